// State shared through the relay tree; see relay_shared_p.h.
#include "relay_shared_p.h"

#include <set>

namespace foxtaildyke
{

namespace
{

/// Roots change seldom; past this number the tally that changed least recently is forgotten. Old evidence then counts
/// for less, and nothing counts twice.
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

} // namespace

shared_state::shared_state(tally_id ownTally)
    : m_ownTally(ownTally)
{
}

void shared_state::noteGrowth(count_item &entry, link_number link)
{
    const auto isDue = [this](std::uint64_t now, std::uint64_t announced) {
        const auto step = m_dampingDivisor == 0 ? 0 : announced / m_dampingDivisor;
        return now > announced + step;
    };
    entry.state.link = link;
    if (!std::ranges::equal(entry.values, entry.announced, std::not_fn(isDue))) {
        entry.announced = entry.values;
        entry.state.changed = ++m_news;
    }
}

void shared_state::announceAll()
{
    for (auto &[key, entry] : m_counts) {
        if (entry.values == entry.announced)
            continue;
        entry.announced = entry.values;
        entry.state.changed = ++m_news;
    }
}

void shared_state::addToOwnTally(const std::vector<shared_count> &delta)
{
    for (const auto &count : delta) {
        auto &entry = m_counts[{m_ownTally, count.key}];
        addTo(entry.values, count.values);
        noteGrowth(entry, kNoLink);
    }
    dropOldestTally();
}

bool shared_state::merge(const shared_updates &news, link_number link, instant now)
{
    for (const auto &tally : news.tallies) {
        for (const auto &count : tally.counts) {
            auto &entry = m_counts[{tally.root, count.key}];
            const auto before = entry.values;
            std::ranges::transform(entry.values, count.values, entry.values.begin(),
                                   [](auto a, auto b) { return std::max(a, b); });
            if (entry.values != before)
                noteGrowth(entry, link);
        }
    }
    dropOldestTally();
    bool isUrgent = false;
    for (const auto &version : news.haltedVersions)
        if (m_halted.try_emplace(version, item{m_news + 1, link}).second) {
            ++m_news;
            isUrgent = true;
        }
    for (const auto fingerprint : news.quarantined)
        if (m_quarantined.try_emplace(fingerprint, item{m_news + 1, link, now}).second) {
            ++m_news;
            isUrgent = true;
        }
    return isUrgent;
}

void shared_state::dropOldestTally()
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

void shared_state::expireQuarantined(instant before)
{
    std::erase_if(m_quarantined, [before](const auto &pair) { return pair.second.learntAt < before; });
}

shared_updates shared_state::newsAfter(update_sequence seen, link_number link) const
{
    const auto isWanted = [seen, link](const item &state) {
        return state.changed > seen && (link == kNoLink || state.link != link);
    };
    shared_updates news;
    for (const auto &[key, entry] : m_counts) {
        if (!isWanted(entry.state))
            continue;
        if (news.tallies.empty() || news.tallies.back().root != key.first)
            news.tallies.push_back({key.first, {}});
        news.tallies.back().counts.push_back({key.second, entry.values});
    }
    for (const auto &[version, state] : m_halted)
        if (isWanted(state))
            news.haltedVersions.push_back(version);
    for (const auto &[fingerprint, state] : m_quarantined)
        if (isWanted(state))
            news.quarantined.push_back(fingerprint);
    return news;
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
    std::vector<std::uint64_t> list;
    for (const auto &[fingerprint, state] : m_quarantined)
        list.push_back(fingerprint);
    return list;
}

void delta_queue::add(const std::vector<shared_count> &counts)
{
    for (const auto &count : counts)
        addTo(m_waiting[count.key], count.values);
}

delta_queue::delta delta_queue::next(const std::function<bool(const shared_count &)> &isDue)
{
    if (m_sent.sequence != 0)
        return m_sent;
    auto due = toVector(m_waiting);
    std::erase_if(due, std::not_fn(isDue));
    if (due.empty())
        return {};
    for (const auto &count : due)
        m_waiting.erase(count.key);
    m_sent = {++m_sequence, std::move(due)};
    return m_sent;
}

void delta_queue::confirm(std::uint64_t sequence)
{
    if (m_sent.sequence != 0 && sequence >= m_sent.sequence)
        m_sent = {};
}

void delta_queue::changeParent()
{
    m_sent = {};
}

std::vector<shared_count> delta_queue::takeAll()
{
    auto all = toVector(m_waiting);
    m_waiting.clear();
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
