// Hosts that share the rate limits of replicas; see limit_claims_p.h.
#include "limit_claims_p.h"

#include "text_hash_p.h"

namespace foxtaildyke
{

limit_claims::limit_claims(std::string host)
    : m_host(std::move(host))
{
}

void limit_claims::setReports(const host_reports &reports, instant now)
{
    std::map<std::string, claims_by_host> next;
    for (const auto &[host, report] : reports) {
        for (const auto &claim : report.limits) {
            const auto &before = m_claims[claim.replica];
            const auto known = before.find(host);
            const bool isUnchanged = known != before.end() && known->second.claim == claim;
            next[claim.replica].insert_or_assign(
                host, isUnchanged ? known->second : stored_claim{claim, now, now - claim.age});
        }
    }
    m_claims = std::move(next);
}

void limit_claims::setReachable(bool isReachable, instant now)
{
    if (isReachable && !m_isReachable)
        for (auto &[replica, claims] : m_claims)
            for (auto &[host, stored] : claims)
                stored.seenAt = now;
    m_isReachable = isReachable;
}

bool limit_claims::isLive(const stored_claim &stored, instant now) const
{
    return !m_isReachable || now - stored.seenAt < kLifetime;
}

std::vector<const limit_claims::claims_by_host::value_type *> limit_claims::live(const replica_run &replica,
                                                                                 instant now) const
{
    std::vector<const claims_by_host::value_type *> found;
    const auto claims = m_claims.find(replica.id);
    if (claims == m_claims.end())
        return found;
    for (const auto &entry : claims->second)
        if (entry.second.claim.startedAtMs == replica.startedAtMs && !entry.second.claim.hasEnded
            && isLive(entry.second, now))
            found.push_back(&entry);
    return found;
}

std::vector<std::string> limit_claims::sharers(const replica_run &replica, std::size_t most, instant now) const
{
    std::vector<std::string> hosts;
    std::ranges::transform(live(replica, now), std::back_inserter(hosts),
                           [](const auto *entry) { return entry->first; });
    std::ranges::sort(hosts, {}, [&replica](const std::string &host) { return hashOf(host, hashOf(replica.id)); });
    hosts.resize(std::min(hosts.size(), most));
    return hosts;
}

std::size_t limit_claims::others(const replica_run &replica, instant now) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(live(replica, now), [this](const auto *entry) { return entry->first != m_host; }));
}

std::optional<known_limit> limit_claims::newest(const replica_run &replica, instant now) const
{
    std::optional<known_limit> newest;
    for (const auto *entry : live(replica, now)) {
        const auto &[claim, seenAt, advertisedAt] = entry->second;
        if (entry->first != m_host && (!newest || advertisedAt > newest->advertisedAt))
            newest = known_limit{claim.perSecond, advertisedAt};
    }
    return newest;
}

std::optional<instant> limit_claims::endedAt(const replica_run &replica) const
{
    std::optional<instant> latest;
    const auto claims = m_claims.find(replica.id);
    if (claims == m_claims.end())
        return latest;
    for (const auto &[host, stored] : claims->second)
        if (stored.claim.hasEnded && stored.claim.startedAtMs == replica.startedAtMs && host != m_host)
            latest = std::max(stored.advertisedAt, latest.value_or(stored.advertisedAt));
    return latest;
}

const limit_claim *limit_claims::own(const replica_run &replica) const
{
    const auto claims = m_claims.find(replica.id);
    if (claims == m_claims.end())
        return nullptr;
    const auto found = claims->second.find(m_host);
    const bool isStored = found != claims->second.end() && !found->second.claim.hasEnded
        && found->second.claim.startedAtMs == replica.startedAtMs;
    return isStored ? &found->second.claim : nullptr;
}

bool limit_claims::isLive(const std::string &host, instant now) const
{
    return std::ranges::any_of(m_claims, [&](const auto &entry) {
        const auto found = entry.second.find(host);
        return found != entry.second.end() && isLive(found->second, now);
    });
}

std::vector<std::string> limit_claims::replicas() const
{
    std::vector<std::string> ids;
    std::ranges::transform(m_claims, std::back_inserter(ids), [](const auto &entry) { return entry.first; });
    return ids;
}

} // namespace foxtaildyke
