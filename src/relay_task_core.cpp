// Relay task: exchange of inputs and outputs with the decision core; see relay_task_p.h.
#include "relay_task_p.h"

namespace foxtaildyke
{

namespace
{

constexpr std::chrono::milliseconds kDemandPeriod{1000};

/// Weight of the last period in the smoothed demand: the estimate reaches 90% of a step within about four seconds.
constexpr double kDemandWeight = 0.5;

/// Demand below this rate, in requests per second, counts as none.
constexpr double kMinRate = 0.001;
constexpr double kMilli = 1000;

/// Minimum relative change of a share that is sent to the core.
constexpr double kMinShareChange = 0.02;

/// Adds the fingerprints that are present to those published, and removes others: an expired entry may be added again
/// and is then delivered again.
/// @returns the fingerprints that were not published before.
std::vector<std::uint64_t> takeUnpublished(std::set<std::uint64_t> &published,
                                           const std::vector<std::uint64_t> &present)
{
    std::erase_if(published, [&](std::uint64_t known) { return std::ranges::find(present, known) == present.end(); });
    std::vector<std::uint64_t> unpublished;
    std::ranges::copy_if(present, std::back_inserter(unpublished),
                         [&](std::uint64_t fingerprint) { return published.insert(fingerprint).second; });
    return unpublished;
}

} // namespace

void relay_task::share(const share_evidence &evidence)
{
    m_relay.addEvidence({toSharedCount(evidence.delta)});
}

void relay_task::share(const share_estimates &estimates)
{
    std::vector<shared_count> counts;
    for (const auto &entry : estimates.delta)
        counts.push_back({{entry.kind, entry.version}, {entry.met, entry.missed, 0, 0}});
    m_relay.addEvidence(counts);
}

void relay_task::share(const share_halt &halt)
{
    m_relay.halt(halt.version, event_loop::now());
    m_loop.post([this] { drive(); });
}

void relay_task::share(const share_quarantine &entry)
{
    if (entry.isBlocked) {
        m_publishedQuarantined.insert(entry.fingerprint);
        m_relay.addQuarantined(entry.fingerprint, event_loop::now());
    } else {
        m_publishedCrashed.insert(entry.fingerprint);
        m_relay.addCrashed(entry.fingerprint, event_loop::now());
    }
    m_loop.post([this] { drive(); });
}

void relay_task::recordRequest(const std::string &apiKey)
{
    if (!m_config.view())
        return;
    const auto account = m_config.view()->accountByKey(apiKey);
    if (account.isValid())
        m_requestCounts[(*m_config.view())[account].name] += 1;
}

void relay_task::measureDemand(instant now)
{
    if (now < m_demandSince + kDemandPeriod)
        return;
    const auto seconds = std::chrono::duration<double>(now - m_demandSince).count();
    m_demandSince = now;
    for (const auto &[account, count] : m_requestCounts)
        m_requestRates.try_emplace(account, 0);
    demand_map demand;
    for (auto &[account, rate] : m_requestRates) {
        const auto found = m_requestCounts.find(account);
        const auto last = found == m_requestCounts.end() ? 0 : found->second / seconds;
        rate += kDemandWeight * (last - rate);
        if (rate >= kMinRate)
            demand[account] = static_cast<std::uint64_t>(rate * kMilli);
    }
    std::erase_if(m_requestRates, [](const auto &pair) { return pair.second < kMinRate; });
    m_requestCounts.clear();
    m_relay.setDemand(std::move(demand));
}

void relay_task::publishLease()
{
    // A host that may not acknowledge generations has no lease, whatever stamps it has.
    const lease_changed lease{m_freshness.generation(),
                              m_freshness.mayAcknowledge() ? m_freshness.leaseEnd() : instant{}};
    if (lease.generation == m_lease.generation && lease.expiresAt == m_lease.expiresAt)
        return;
    m_lease = lease;
    m_deliver(lease);
}

void relay_task::publishShared()
{
    const auto &counts = m_relay.countsOfOthers();
    auto halted = m_relay.shared().haltedVersions();
    if (counts != m_publishedCounts || halted != m_publishedHalts) {
        evidence_update evidence{.haltedVersions = halted};
        estimates_update estimates;
        for (const auto &[key, values] : counts) {
            const auto published = m_publishedCounts[key];
            if (key.kind.empty())
                evidence.totals.push_back(toEvidence(key, values));
            else if (values != published)
                estimates.counts.push_back({key.kind, key.version, values[0] - published[0], values[1] - published[1]});
        }
        m_publishedCounts = counts;
        m_publishedHalts = std::move(halted);
        m_deliver(std::move(evidence));
        if (!estimates.counts.empty())
            m_deliver(std::move(estimates));
    }
    quarantine_update quarantined{takeUnpublished(m_publishedQuarantined, m_relay.shared().quarantined()),
                                  takeUnpublished(m_publishedCrashed, m_relay.shared().crashed())};
    if (!quarantined.fingerprints.empty() || !quarantined.crashed.empty())
        m_deliver(std::move(quarantined));
}

void relay_task::publishLimitShares()
{
    if (!m_config.base())
        return;
    auto shares = m_relay.limitShares();
    const auto hosts = static_cast<double>(std::max<std::size_t>(m_config.base()->hosts.size(), 1));
    for (const auto &account : m_config.base()->accounts)
        shares.try_emplace(account.name, 1 / hosts);
    const bool isClose = std::ranges::equal(shares, m_publishedShares, [](const auto &now, const auto &published) {
        return now.first == published.first
            && std::abs(now.second - published.second) <= kMinShareChange * published.second;
    });
    if (isClose)
        return;
    m_publishedShares = shares;
    m_deliver(limit_shares{std::move(shares)});
}

} // namespace foxtaildyke
