// Rate limits advertised by replicas; see replica_limits_p.h.
#include "replica_limits_p.h"

#include <cmath>

namespace foxtaildyke
{

namespace
{

double seconds(instant time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

replica_limits::replica_limits(const std::string &host, std::uint64_t seed)
    : m_host(host)
    , m_random(seed)
    , m_claims(host)
    , m_firstSerial(m_random() >> 16U)
    , m_serial(m_firstSerial)
{
}

replica_run replica_limits::runOf(const std::string &replica) const
{
    return {replica, m_registered.at(replica).startedAtMs};
}

void replica_limits::setReplicas(const std::vector<replica_entry> &replicas, instant now)
{
    const auto before = std::exchange(m_registered, {});
    for (const auto &entry : replicas)
        m_registered.insert_or_assign(entry.id, registered_replica{entry.service, entry.startedAtMs});
    const auto isSameRun = [&](const std::string &replica) {
        const auto found = m_registered.find(replica);
        return found != m_registered.end() && found->second.startedAtMs == before.at(replica).startedAtMs;
    };
    for (auto &[replica, limited] : m_limited)
        if (!isSameRun(replica))
            withdraw(limited, now);
    std::erase_if(m_limited, [&](const auto &entry) { return !isSameRun(entry.first); });
    advance(now);
}

void replica_limits::setReplica(const replica_entry &entry, instant now)
{
    const auto [known, isNew] =
        m_registered.try_emplace(entry.id, registered_replica{entry.service, entry.startedAtMs});
    const bool isSameRun = !isNew && known->second.startedAtMs == entry.startedAtMs;
    known->second = {entry.service, entry.startedAtMs};
    if (!isSameRun)
        endLimit(entry.id, now);
    advance(now);
}

void replica_limits::removeReplica(const std::string &id, instant now)
{
    m_registered.erase(id);
    endLimit(id, now);
}

/// Ends the limit of a replica that is gone or has restarted.
void replica_limits::endLimit(const std::string &replica, instant now)
{
    const auto found = m_limited.find(replica);
    if (found == m_limited.end())
        return;
    withdraw(found->second, now);
    m_limited.erase(found);
}

void replica_limits::setStoreReachable(bool isReachable, instant now)
{
    m_isStoreReachable = isReachable;
    m_claims.setReachable(isReachable, now);
}

void replica_limits::setReports(const host_reports &reports, instant now)
{
    m_claims.setReports(reports, now);
    for (auto &[replica, limited] : m_limited) {
        const auto *own = m_claims.own(runOf(replica));
        const bool isVisible = limited.isClaimed && own && own->serial > m_firstSerial && own->serial <= m_serial;
        if (isVisible && own->serial == m_serial)
            m_confirmedAt = m_publishedAt;
        limited.visibleSince = isVisible ? limited.visibleSince.value_or(now) : std::optional<instant>();
    }
    advance(now);
}

std::optional<known_limit> replica_limits::limitOf(const std::string &replica, const limited_replica &limited,
                                                   instant now) const
{
    const auto run = runOf(replica);
    auto limit = limited.advertised;
    if (const auto claimed = m_claims.newest(run, now);
        claimed && (!limit || claimed->advertisedAt > limit->advertisedAt))
        limit = claimed;
    const auto ended = std::max(limited.endedAt, m_claims.endedAt(run).value_or(instant::min()));
    return limit && limit->advertisedAt > ended ? limit : std::nullopt;
}

std::size_t replica_limits::maxSharers(double perSecond)
{
    return static_cast<std::size_t>(std::min(perSecond, kMaxPerSecond)) + kExtraSharers;
}

double replica_limits::rateOf(const limited_replica &limited)
{
    return std::max(limited.perSecond, kProbesPerSecond) * limited.share;
}

void replica_limits::refill(limited_replica &limited, instant now)
{
    const double rate = rateOf(limited);
    limited.tokens += rate * std::max(0.0, seconds(now - limited.refilledAt));
    limited.refilledAt = now;
    if (limited.isShareClaimed || rate * seconds(kUnclaimedTokenLifetime) >= 1) {
        limited.tokens = std::min(limited.tokens, std::max(1.0, rate * seconds(kBurstTime)));
        return;
    }
    const double excess = limited.tokens - 1 - rate * seconds(kUnclaimedTokenLifetime);
    limited.tokens -= std::max(0.0, std::ceil(excess));
}

std::optional<double> replica_limits::claimedShare(const std::string &replica, const limited_replica &limited,
                                                   instant now) const
{
    const auto run = runOf(replica);
    if (limited.visibleSince && now - m_confirmedAt >= kLease)
        return std::nullopt;
    if (limited.visibleSince && now - *limited.visibleSince >= kSettleTime) {
        const auto sharers = m_claims.sharers(run, maxSharers(limited.perSecond), now);
        const bool isSharer = std::ranges::find(sharers, m_host) != sharers.end();
        return isSharer ? 1.0 / static_cast<double>(sharers.size()) : 0.0;
    }
    // The hosts whose claims are settled use the whole limit.
    return m_claims.others(run, now) > 0 ? std::optional(0.0) : std::nullopt;
}

double replica_limits::unclaimedShare(const limited_replica &limited, instant now) const
{
    const bool awaitsClaims = !m_isSizeKnown && m_isStoreReachable && now - limited.knownSince < kClaimPatience;
    return awaitsClaims ? 0.0 : (isLargeFleet() ? kUnclaimedPart : 1.0) / static_cast<double>(m_hosts);
}

bool replica_limits::update(const std::string &replica, limited_replica &limited, instant now)
{
    refill(limited, now);
    const auto limit = limitOf(replica, limited, now);
    if (!limit)
        return false;
    limited.perSecond = limit->perSecond;
    const auto claimed = claimedShare(replica, limited, now);
    const auto share = claimed.value_or(unclaimedShare(limited, now));
    // Random moments of the first request keep the hosts from sending at the same time.
    if (claimed && !limited.isShareClaimed)
        limited.tokens = std::max(limited.tokens, std::uniform_real_distribution<double>(0, 1)(m_random));
    limited.isShareClaimed = claimed.has_value();
    limited.hasChangedShare = limited.hasChangedShare || share != limited.share;
    limited.share = share;
    limited.sharers = m_claims.sharers(runOf(replica), maxSharers(limited.perSecond), now).size();
    if (limited.visibleSince && now - *limited.visibleSince >= kSettleTime && share == 0)
        withdraw(limited, now); // more hosts claimed the limit at once than can share it
    return true;
}

void replica_limits::advance(instant now)
{
    for (const auto &replica : m_claims.replicas())
        if (m_registered.contains(replica) && m_claims.others(runOf(replica), now) > 0)
            m_limited.try_emplace(replica, limited_replica{.knownSince = now, .refilledAt = now});
    const bool isRenewalDue = now >= m_renewAt;
    std::set<std::string> unlimited;
    for (auto &[replica, limited] : m_limited) {
        if (isRenewalDue && limited.isClaimed && limited.demandAt < m_publishedAt)
            withdraw(limited, now);
        if (update(replica, limited, now))
            continue;
        withdraw(limited, now);
        if (limited.isEndAnnounced && now - limited.endedAt >= kEndAnnouncement) {
            limited.isEndAnnounced = false;
            schedulePublish(kWithdrawDelay, now);
        }
        // As long as another host has a claim, endedAt says whether that is older.
        if (!limited.isEndAnnounced && m_claims.others(runOf(replica), now) == 0)
            unlimited.insert(replica);
    }
    std::erase_if(m_limited, [&](const auto &entry) { return unlimited.contains(entry.first); });
}

bool replica_limits::recordResponse(const std::string &replica, std::optional<double> perSecond, instant sentAt,
                                    instant now)
{
    if (!m_registered.contains(replica))
        return false;
    if (perSecond && *perSecond > kMaxPerSecond)
        perSecond.reset();
    auto known = m_limited.find(replica);
    if (!perSecond) {
        const auto limit = known == m_limited.end() ? std::nullopt : limitOf(replica, known->second, now);
        // Responses may overtake each other; one to an earlier request doesn't lift a limit advertised since.
        if (!limit || sentAt <= limit->advertisedAt)
            return false;
        known->second.advertised.reset();
        known->second.endedAt = now;
        known->second.isEndAnnounced = known->second.isClaimed;
        withdraw(known->second, now);
        schedulePublish(std::chrono::milliseconds{0}, now);
        return true;
    }
    if (known == m_limited.end()) {
        // Many hosts may learn of the limit at the same time, and must not send at the same time.
        const double tokens =
            m_isSizeKnown && !isLargeFleet() ? 1.0 : std::uniform_real_distribution<double>(0, 1)(m_random);
        known =
            m_limited.emplace(replica, limited_replica{.knownSince = now, .tokens = tokens, .refilledAt = now}).first;
    }
    auto &limited = known->second;
    const auto before = std::exchange(limited.advertised, known_limit{*perSecond, now});
    const auto [low, high] = std::minmax(limited.perSecond, *perSecond);
    if (limited.isClaimed && high > kMaxUnpublishedChange * low)
        schedulePublish(std::chrono::milliseconds{0}, now);
    static_cast<void>(update(replica, limited, now));
    return !before || before->perSecond != *perSecond;
}

std::size_t replica_limits::count(instant now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_limited, [&](const auto &entry) { return limitOf(entry.first, entry.second, now).has_value(); }));
}

std::optional<double> replica_limits::advertisedLimit(const std::string &replica) const
{
    const auto known = m_limited.find(replica);
    return known != m_limited.end() && known->second.advertised ? std::optional(known->second.advertised->perSecond)
                                                                : std::nullopt;
}

bool replica_limits::hasRoom(const std::string &replica, instant now)
{
    const auto known = m_limited.find(replica);
    if (known == m_limited.end() || !limitOf(replica, known->second, now))
        return true;
    auto &limited = known->second;
    limited.demandAt = now;
    refill(limited, now);
    if (limited.tokens >= 1)
        return true;
    tryClaim(replica, limited, now);
    return false;
}

void replica_limits::recordSend(const std::string &replica, instant now)
{
    const auto known = m_limited.find(replica);
    if (known == m_limited.end())
        return;
    refill(known->second, now);
    known->second.tokens -= 1;
}

std::chrono::milliseconds replica_limits::returnDelay(const std::string &service, instant now)
{
    double rate = 0;
    for (const auto &[replica, limited] : m_limited)
        if (m_registered.at(replica).service == service)
            rate += std::max(rateOf(limited), limited.perSecond / static_cast<double>(m_hosts));
    const auto interval =
        std::chrono::duration_cast<instant>(std::chrono::duration<double>(1.0 / std::max(rate, kProbesPerSecond)));
    auto &next = m_nextReturn[service];
    next = std::max<instant>(next, now + kMinReturnDelay);
    std::uniform_real_distribution<double> spread(0, 1);
    if (next - now > kMaxReturnDelay) {
        next = now + kMaxReturnDelay;
        return std::chrono::duration_cast<std::chrono::milliseconds>(kMaxReturnDelay * (1 - spread(m_random) / 2));
    }
    const auto delay = next - now + std::chrono::duration_cast<instant>(interval * spread(m_random));
    next += interval;
    return std::min(kMaxReturnDelay, std::chrono::duration_cast<std::chrono::milliseconds>(delay));
}

void replica_limits::tryClaim(const std::string &replica, limited_replica &limited, instant now)
{
    const bool isFull = m_claims.others(runOf(replica), now) >= maxSharers(limited.perSecond);
    const auto claimed = std::ranges::count_if(m_limited, [](const auto &entry) { return entry.second.isClaimed; });
    if (m_isLeaving || limited.isClaimed || isFull || static_cast<std::size_t>(claimed) >= kMaxClaims)
        return;
    limited.isClaimed = true;
    std::chrono::milliseconds delay{0};
    if (isLargeFleet())
        delay = std::chrono::milliseconds{std::uniform_int_distribution<std::int64_t>(
            0, kClaimSpreadPerHost.count() * static_cast<std::int64_t>(m_hosts))(m_random)};
    schedulePublish(delay, now);
}

void replica_limits::withdraw(limited_replica &limited, instant now)
{
    limited.visibleSince.reset();
    if (std::exchange(limited.isClaimed, false))
        schedulePublish(kWithdrawDelay, now);
}

void replica_limits::leave(instant now)
{
    m_isLeaving = true;
    for (auto &[replica, limited] : m_limited)
        withdraw(limited, now);
    if (m_hasPublishedClaims)
        schedulePublish(std::chrono::milliseconds{0}, now);
    advance(now);
}

void replica_limits::schedulePublish(std::chrono::milliseconds delay, instant now)
{
    const instant due = std::max<instant>(now + delay, m_publishedAt + kPublishInterval);
    m_publishDueAt = std::min(due, m_publishDueAt.value_or(due));
}

void replica_limits::recordPublishFailure()
{
    if (m_hasPublishedClaims)
        schedulePublish(kPublishInterval, m_publishedAt);
}

bool replica_limits::isPublishDue(instant now) const
{
    if (!m_isStoreReachable)
        return false;
    const bool hasClaims = std::ranges::any_of(m_limited, [](const auto &entry) { return entry.second.isClaimed; });
    return (m_publishDueAt && now >= *m_publishDueAt) || (hasClaims && now >= m_renewAt);
}

std::vector<limit_claim> replica_limits::publish(instant now)
{
    constexpr double kRenewSpread = 0.2;
    std::uniform_real_distribution<double> spread(1 - kRenewSpread, 1 + kRenewSpread);
    ++m_serial;
    m_publishedAt = now;
    m_publishDueAt.reset();
    m_renewAt = now + std::chrono::duration_cast<instant>(kRenewInterval * spread(m_random));
    std::vector<limit_claim> claims;
    for (auto &[replica, limited] : m_limited) {
        const auto run = runOf(replica);
        const auto limit = limitOf(replica, limited, now);
        // Other hosts may have claimed the limit since this one decided to.
        const bool isFull = m_claims.others(run, now) >= maxSharers(limited.perSecond);
        limited.isClaimed = limited.isClaimed && limit && (limited.visibleSince || !isFull);
        limited.isEndAnnounced = limited.isEndAnnounced && !limit;
        if (limited.isEndAnnounced)
            claims.push_back({replica, run.startedAtMs, limited.perSecond,
                              std::chrono::duration_cast<std::chrono::milliseconds>(now - limited.endedAt), m_serial,
                              true});
        if (limited.isClaimed)
            claims.push_back({replica, run.startedAtMs, limit->perSecond,
                              std::chrono::duration_cast<std::chrono::milliseconds>(now - limit->advertisedAt),
                              m_serial});
    }
    m_hasPublishedClaims = m_hasPublishedClaims || !claims.empty();
    return claims;
}

std::vector<limit_share> replica_limits::takeChangedShares()
{
    std::vector<limit_share> changed;
    for (auto &[replica, limited] : m_limited)
        if (std::exchange(limited.hasChangedShare, false))
            changed.push_back({replica, limited.perSecond, limited.share, limited.sharers});
    return changed;
}

} // namespace foxtaildyke
