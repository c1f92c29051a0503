// Acceptance of generations; see acceptance_p.h.
#include "acceptance_p.h"

#include "settings_table_p.h"

namespace foxtaildyke
{

namespace
{

constexpr std::string_view kLeaseKey = "freshness_lease_ms";
constexpr int kMarginDivisor = 10; ///< 10% margin for clocks that run at different rates

std::chrono::milliseconds leaseOf(const config_document &document)
{
    const auto built = buildRouterConfig(document.layers, document.generation, "");
    return built.has_value() ? built.value().tune.freshnessLease : tuning{}.freshnessLease;
}

/// Longest lease that the settings allow; used where the lease before a change is not known.
std::chrono::milliseconds longestPossibleLease()
{
    const auto &rows = section_table<tuning>::kRows;
    const auto row = std::ranges::find(rows, kLeaseKey, &key_row<tuning>::key);
    return std::chrono::milliseconds(static_cast<std::int64_t>(row->maximum));
}

std::set<std::string> hostsOf(const config_document &document)
{
    std::set<std::string> hosts;
    for (const auto &[section, keys] : document.layers.base) {
        const auto [type, name] = splitSection(section);
        if (type == section_table<host_config>::kSection)
            hosts.emplace(name);
    }
    return hosts;
}

} // namespace

void acceptance::recordConfiguration(const config_document &document)
{
    if (document.generation == 0 || document.generation < m_accepted || m_known.contains(document.generation))
        return;
    for (const auto &change : document.history) {
        if (change.generation > m_accepted)
            m_changes.try_emplace(change.generation, effectOf(change));
    }
    auto hosts = hostsOf(document);
    m_known[document.generation] = {std::move(hosts), leaseOf(document), std::nullopt};
}

acceptance::change_effect acceptance::effectOf(const config_change &change)
{
    change_effect effect;
    for (const auto &edit : change.edits) {
        effect.changesLease = effect.changesLease || edit.key == kLeaseKey;
        if (splitSection(edit.section).type != section_table<host_config>::kSection)
            continue;
        // Adding a host sets all its keys, including region. Any other edit of a host section removes or replaces the
        // process that used the name.
        const auto setsRegion = [&](const config_edit &other) {
            return other.section == edit.section && other.key == "region" && other.value;
        };
        const bool isNew = edit.value && std::ranges::any_of(change.edits, setsRegion);
        effect.replacesHosts = effect.replacesHosts || !isNew;
    }
    return effect;
}

void acceptance::recordStatus(const host_status &status, instant now)
{
    // Only acknowledgements from the same status are counted together; see m_acknowledged.
    m_acknowledged.clear();
    for (const auto &host : status.acknowledged)
        m_acknowledged[host] = status.generation;
    for (auto &[generation, known] : m_known) {
        if (!known.majorityAt && hasMajority(generation))
            known.majorityAt = now;
    }
    tick(now);
}

bool acceptance::tick(instant now)
{
    const auto before = m_accepted;
    // Newest first: accepting a generation also accepts all earlier ones.
    for (auto known = m_known.rbegin(); known != m_known.rend() && known->first > m_accepted; ++known) {
        if (!isWaitOver(known->second, known->first, now) && !isAcknowledgedByAll(known->first))
            continue;
        accept(known->first);
        break;
    }
    return m_accepted != before;
}

generation_number acceptance::newest() const
{
    return m_known.empty() ? 0 : m_known.rbegin()->first;
}

bool acceptance::hasMajority(generation_number generation) const
{
    const auto known = m_known.find(generation);
    if (known == m_known.end())
        return false;
    const auto hasAcknowledged = [&](const std::string &host) {
        const auto entry = m_acknowledged.find(host);
        return entry != m_acknowledged.end() && entry->second >= generation;
    };
    const auto count = static_cast<std::size_t>(std::ranges::count_if(known->second.hosts, hasAcknowledged));
    return count * 2 > known->second.hosts.size();
}

std::vector<std::string> acceptance::unacknowledged(generation_number generation) const
{
    // A generation written by another process may be unknown here; the next known one has nearly the same hosts.
    const auto known = m_known.lower_bound(generation);
    if (generation <= m_accepted || known == m_known.end())
        return {};
    std::vector<std::string> missing;
    for (const auto &host : known->second.hosts) {
        const auto entry = m_acknowledged.find(host);
        if (entry == m_acknowledged.end() || entry->second < generation)
            missing.push_back(host);
    }
    return missing;
}

/// A host may still hold a lease of any generation from the accepted one on, so the longest of them applies.
std::chrono::milliseconds acceptance::longestLease(generation_number generation) const
{
    std::chrono::milliseconds longest{0};
    for (const auto &[number, known] : m_known) {
        if (number <= generation)
            longest = std::max(longest, known.lease);
    }
    for (const auto &[number, effect] : m_changes) {
        if (number <= generation && effect.changesLease && !m_known.contains(number - 1))
            longest = std::max(longest, longestPossibleLease());
    }
    return longest;
}

bool acceptance::isWaitOver(const known_generation &known, generation_number generation, instant now) const
{
    const auto lease = longestLease(generation);
    return known.majorityAt && now - *known.majorityAt >= lease + lease / kMarginDivisor;
}

/// If all registered hosts have acknowledged the generation, there is no need to wait for leases to end, unless a host
/// was removed from the list since the accepted generation: a removed host sends no acknowledgements and may still hold
/// a lease.
bool acceptance::isAcknowledgedByAll(generation_number generation) const
{
    if (!hasMajority(generation) || !unacknowledged(generation).empty())
        return false;
    for (auto number = m_accepted + 1; number <= generation; ++number) {
        const auto change = m_changes.find(number);
        if (change == m_changes.end() || change->second.replacesHosts)
            return false;
    }
    return true;
}

void acceptance::accept(generation_number generation)
{
    m_accepted = generation;
    m_known.erase(m_known.begin(), m_known.find(generation));
    m_changes.erase(m_changes.begin(), m_changes.upper_bound(generation));
}

} // namespace foxtaildyke
