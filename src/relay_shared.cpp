// State shared through the relay tree; see relay_shared_p.h.
#include "relay_shared_p.h"

#include <set>

namespace foxtaildyke
{

namespace
{

/// Limit of the number of tallies; roots change rarely. Beyond it, the least recently updated tally is evicted: old
/// evidence is lost then, but none is counted twice.
constexpr std::size_t kMaxTallies = 64;

void addTo(count_values &sum, const count_values &values)
{
    std::ranges::transform(sum, values, sum.begin(), std::plus{});
}

std::vector<shared_count> toVector(const std::map<count_key, count_values> &counts)
{
    std::vector<shared_count> list;
    list.reserve(counts.size());
    for (const auto &[key, values] : counts)
        list.push_back({key, values});
    return list;
}

template <typename map>
std::vector<std::uint64_t> keysOf(const map &entries)
{
    std::vector<std::uint64_t> keys;
    std::ranges::transform(entries, std::back_inserter(keys), [](const auto &entry) { return entry.first; });
    return keys;
}

} // namespace

shared_state::shared_state(tally_id ownTally)
    : m_ownTally(ownTally)
{
}

void shared_state::recordGrowth(count_item &entry, link_number link)
{
    const auto isDue = [this](std::uint64_t current, std::uint64_t published) {
        const auto step = m_dampingDivisor == 0 ? 0 : published / m_dampingDivisor;
        return current > published + step;
    };
    entry.state.link = link;
    if (!std::ranges::equal(entry.values, entry.published, std::not_fn(isDue))) {
        entry.published = entry.values;
        entry.state.changed = ++m_lastUpdate;
    }
}

void shared_state::publishAll()
{
    for (auto &[key, entry] : m_counts) {
        if (entry.values == entry.published)
            continue;
        entry.published = entry.values;
        entry.state.changed = ++m_lastUpdate;
    }
}

void shared_state::addToOwnTally(const std::vector<shared_count> &delta)
{
    for (const auto &count : delta) {
        auto &entry = m_counts[{m_ownTally, count.key}];
        addTo(entry.values, count.values);
        recordGrowth(entry, kNoLink);
    }
    evictOldestTally();
}

bool shared_state::merge(const shared_updates &updates, link_number link, instant now)
{
    for (const auto &tally : updates.tallies) {
        for (const auto &count : tally.counts) {
            auto &entry = m_counts[{tally.root, count.key}];
            const auto before = entry.values;
            std::ranges::transform(entry.values, count.values, entry.values.begin(),
                                   [](auto a, auto b) { return std::max(a, b); });
            if (entry.values != before)
                recordGrowth(entry, link);
        }
    }
    evictOldestTally();
    bool isUrgent = false;
    for (const auto &version : updates.haltedVersions)
        if (m_halted.try_emplace(version, item{m_lastUpdate + 1, link}).second) {
            ++m_lastUpdate;
            isUrgent = true;
        }
    const item origin{0, link, now};
    isUrgent = mergeFingerprints(m_quarantined, updates.quarantined, origin) || isUrgent;
    // All requests that were running on an upstream may be reported at once; only few of them caused its end.
    mergeFingerprints(m_crashed, updates.crashed, origin);
    return isUrgent;
}

bool shared_state::mergeFingerprints(fingerprint_map &known, const std::vector<std::uint64_t> &received,
                                     const item &origin)
{
    const auto before = m_lastUpdate;
    for (const auto fingerprint : received)
        if (known.try_emplace(fingerprint, item{m_lastUpdate + 1, origin.link, origin.receivedAt}).second)
            ++m_lastUpdate;
    return m_lastUpdate > before;
}

void shared_state::evictOldestTally()
{
    std::map<tally_id, update_sequence> newest;
    for (const auto &[key, entry] : m_counts)
        newest[key.first] = std::max(newest[key.first], entry.state.changed);
    if (newest.size() <= kMaxTallies)
        return;
    const auto oldest = std::ranges::min_element(newest, {}, [](const auto &pair) { return pair.second; })->first;
    std::erase_if(m_counts, [oldest](const auto &pair) { return pair.first.first == oldest; });
}

bool shared_state::halt(const std::string &version)
{
    return merge({.haltedVersions = {version}}, kNoLink, {});
}

bool shared_state::addQuarantined(std::uint64_t fingerprint, instant now)
{
    return merge({.quarantined = {fingerprint}}, kNoLink, now);
}

void shared_state::addCrashed(std::uint64_t fingerprint, instant now)
{
    merge({.crashed = {fingerprint}}, kNoLink, now);
}

void shared_state::expireQuarantined(instant before)
{
    for (auto *known : {&m_quarantined, &m_crashed})
        std::erase_if(*known, [before](const auto &pair) { return pair.second.receivedAt < before; });
}

shared_updates shared_state::updatesAfter(update_sequence seen, link_number link) const
{
    const auto isUnsent = [seen, link](const item &state) {
        return state.changed > seen && (link == kNoLink || state.link != link);
    };
    shared_updates updates;
    for (const auto &[key, entry] : m_counts) {
        if (!isUnsent(entry.state))
            continue;
        if (updates.tallies.empty() || updates.tallies.back().root != key.first)
            updates.tallies.push_back({key.first, {}});
        updates.tallies.back().counts.push_back({key.second, entry.values});
    }
    for (const auto &[version, state] : m_halted)
        if (isUnsent(state))
            updates.haltedVersions.push_back(version);
    for (const auto &[fingerprint, state] : m_quarantined)
        if (isUnsent(state))
            updates.quarantined.push_back(fingerprint);
    for (const auto &[fingerprint, state] : m_crashed)
        if (isUnsent(state))
            updates.crashed.push_back(fingerprint);
    return updates;
}

std::map<count_key, count_values> shared_state::totals() const
{
    std::map<count_key, count_values> sums;
    for (const auto &[key, entry] : m_counts)
        addTo(sums[key.second], entry.values);
    return sums;
}

std::vector<std::string> shared_state::haltedVersions() const
{
    std::vector<std::string> names;
    for (const auto &[version, state] : m_halted)
        names.push_back(version);
    return names;
}

std::vector<std::uint64_t> shared_state::quarantined() const
{
    return keysOf(m_quarantined);
}

std::vector<std::uint64_t> shared_state::crashed() const
{
    return keysOf(m_crashed);
}

void delta_queue::add(const std::vector<shared_count> &counts)
{
    for (const auto &count : counts)
        addTo(m_pending[count.key], count.values);
}

delta_queue::delta delta_queue::next(const std::function<bool(const shared_count &)> &isDue)
{
    if (m_unconfirmed.sequence != 0)
        return m_unconfirmed;
    auto due = toVector(m_pending);
    std::erase_if(due, std::not_fn(isDue));
    if (due.empty())
        return {};
    for (const auto &count : due)
        m_pending.erase(count.key);
    m_unconfirmed = {++m_sequence, std::move(due)};
    return m_unconfirmed;
}

void delta_queue::confirm(std::uint64_t sequence)
{
    if (m_unconfirmed.sequence != 0 && sequence >= m_unconfirmed.sequence)
        m_unconfirmed = {};
}

void delta_queue::dropUnconfirmed()
{
    m_unconfirmed = {};
}

std::vector<shared_count> delta_queue::takeAll()
{
    auto all = toVector(m_pending);
    m_pending.clear();
    return all;
}

shared_count toSharedCount(const version_evidence &evidence)
{
    return {{{}, evidence.version}, {evidence.passed, evidence.failed, evidence.dispatched, evidence.settled}};
}

version_evidence toEvidence(const count_key &key, const count_values &values)
{
    return {key.version, values[0], values[1], values[2], values[3]};
}

} // namespace foxtaildyke
