// Relay task: what it takes from the decision core and what it tells the core; see relay_task_p.h.
#include "relay_task_p.h"

namespace foxtaildyke
{

namespace
{

constexpr std::chrono::milliseconds kDemandPeriod{1000};

/// Weight of the last second in the smoothed demand: a step is followed to nine tenths within about four seconds.
constexpr double kDemandWeight = 0.5;

/// Demand below this many requests per second counts as none.
constexpr double kLeastRate = 0.001;
constexpr double kMilli = 1000;

/// A share is sent to the core when it changed by more than this part.
constexpr double kShareStep = 0.02;

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
    m_toldQuarantined.insert(entry.fingerprint);
    m_relay.addQuarantined(entry.fingerprint, event_loop::now());
    m_loop.post([this] { drive(); });
}

void relay_task::recordRequest(const std::string &apiKey)
{
    if (!m_config.view())
        return;
    const auto account = m_config.view()->accountByKey(apiKey);
    if (account.isValid())
        m_arrivals[(*m_config.view())[account].name] += 1;
}

void relay_task::measureDemand(instant now)
{
    if (now < m_demandSince + kDemandPeriod)
        return;
    const auto seconds = std::chrono::duration<double>(now - m_demandSince).count();
    m_demandSince = now;
    for (const auto &[account, count] : m_arrivals)
        m_rates.try_emplace(account, 0);
    demand_map demand;
    for (auto &[account, rate] : m_rates) {
        const auto found = m_arrivals.find(account);
        const auto last = found == m_arrivals.end() ? 0 : found->second / seconds;
        rate += kDemandWeight * (last - rate);
        if (rate >= kLeastRate)
            demand[account] = static_cast<std::uint64_t>(rate * kMilli);
    }
    std::erase_if(m_rates, [](const auto &pair) { return pair.second < kLeastRate; });
    m_arrivals.clear();
    m_relay.setDemand(std::move(demand));
}

void relay_task::publishLease()
{
    // A host that may not vouch has no lease, whatever stamps it has.
    const lease_changed lease{m_fresh.generation(), m_fresh.mayAcknowledge() ? m_fresh.leaseEnd() : instant{}};
    if (lease.generation == m_lease.generation && lease.expiresAt == m_lease.expiresAt)
        return;
    m_lease = lease;
    m_deliver(lease);
}

void relay_task::publishShared()
{
    const auto &counts = m_relay.countsOfOthers();
    auto halted = m_relay.shared().haltedVersions();
    if (counts != m_toldCounts || halted != m_toldHalts) {
        evidence_update evidence{.haltedVersions = halted};
        estimates_update estimates;
        for (const auto &[key, values] : counts) {
            const auto told = m_toldCounts[key];
            if (key.kind.empty())
                evidence.totals.push_back(toEvidence(key, values));
            else if (values != told)
                estimates.counts.push_back({key.kind, key.version, values[0] - told[0], values[1] - told[1]});
        }
        m_toldCounts = counts;
        m_toldHalts = std::move(halted);
        m_deliver(std::move(evidence));
        if (!estimates.counts.empty())
            m_deliver(std::move(estimates));
    }
    quarantine_update quarantined;
    const auto present = m_relay.shared().quarantined();
    // An expired entry may come back, and is then news again.
    std::erase_if(m_toldQuarantined,
                  [&](std::uint64_t told) { return std::ranges::find(present, told) == present.end(); });
    for (const auto fingerprint : present)
        if (m_toldQuarantined.insert(fingerprint).second)
            quarantined.fingerprints.push_back(fingerprint);
    if (!quarantined.fingerprints.empty())
        m_deliver(std::move(quarantined));
}

void relay_task::publishShares()
{
    if (!m_config.base())
        return;
    auto shares = m_relay.limitShares();
    const auto hosts = static_cast<double>(std::max<std::size_t>(m_config.base()->hosts.size(), 1));
    for (const auto &account : m_config.base()->accounts)
        shares.try_emplace(account.name, 1 / hosts);
    const bool isClose = std::ranges::equal(shares, m_toldShares, [](const auto &now, const auto &told) {
        return now.first == told.first && std::abs(now.second - told.second) <= kShareStep * told.second;
    });
    if (isClose)
        return;
    m_toldShares = shares;
    m_deliver(limit_shares{std::move(shares)});
}

} // namespace foxtaildyke
