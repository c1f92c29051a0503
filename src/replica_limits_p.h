// Rate limits that replicas advertise in their responses: the requests per second that a replica accepts from all hosts
// together, for as long as it states so. Each host sends at its share of the limit, which it derives from the claims
// of all hosts (limit_claims). No I/O, no clock.
#pragma once

#include "limit_claims_p.h"

#include <random>

namespace foxtaildyke
{

/// A host's part in the limit of one replica, for the log.
struct limit_share {
    std::string replica;
    double perSecond = 0; ///< limit for all hosts
    double share = 0; ///< fraction of it that this host uses
    std::size_t sharers = 0; ///< hosts that share it
};

class replica_limits
{
public:
    replica_limits(const std::string &host, std::uint64_t seed);

    /// Replaces the registered replicas. A replica that has restarted has no limit until it advertises one.
    void setReplicas(const std::vector<replica_entry> &replicas, instant now);

    /// Adds, changes or removes one of them.
    void setReplica(const replica_entry &entry, instant now);
    void removeReplica(const std::string &id, instant now);

    /// Sets the number of hosts, as this host's relay estimates it. It may differ from host to host: the estimates of
    /// the relays' groups are such that the hosts' shares add up to the limit.
    void setHosts(std::size_t hosts)
    {
        m_hosts = std::max<std::size_t>(1, hosts);
        m_isSizeKnown = true;
    }

    void setStoreReachable(bool isReachable, instant now);

    /// Replaces the stored reports of all hosts.
    void setReports(const host_reports &reports, instant now);

    /// Records what a response of a replica states.
    /// @param perSecond the limit; unset: the replica advertises none.
    /// @param sentAt when the request was sent.
    /// @returns whether this changes what was known.
    bool recordResponse(const std::string &replica, std::optional<double> perSecond, instant sentAt, instant now);

    /// @returns the limit that the replica has advertised to this host, or nothing.
    [[nodiscard]] std::optional<double> advertisedLimit(const std::string &replica) const;

    /// Called for each replica that a request could be sent to, which shows that this host has use for a share.
    /// @returns whether the replica's limit allows a request now.
    [[nodiscard]] bool hasRoom(const std::string &replica, instant now);

    /// Counts a request that is sent to a replica, whatever its reason.
    void recordSend(const std::string &replica, instant now);

    /// @returns the time after which the caller of a request that was refused for lack of room should come back.
    /// Callers get successive times, at the rate at which this host may send to the service.
    [[nodiscard]] std::chrono::milliseconds returnDelay(const std::string &service, instant now);

    /// Updates shares and claims. To be called from time to time.
    void advance(instant now);

    /// Gives up all claims, because this host stops; other hosts could take them over only once they have expired.
    void leave(instant now);

    /// @returns whether this host's claims have changed or need to be renewed in the store.
    [[nodiscard]] bool isPublishDue(instant now) const;
    /// @returns this host's claims, which are to be stored.
    [[nodiscard]] std::vector<limit_claim> publish(instant now);
    /// Called when storing the claims has failed or the store has lost them; they become due again.
    void recordPublishFailure();

    /// @returns whether a host has a claim that hasn't expired.
    [[nodiscard]] bool hasLiveClaim(const std::string &host, instant now) const { return m_claims.isLive(host, now); }

    /// @returns the shares that have changed since the last call.
    [[nodiscard]] std::vector<limit_share> takeChangedShares();

    /// @returns the number of replicas with a limit.
    [[nodiscard]] std::size_t count(instant now) const;

    /// Hosts assumed while no host has stored a claim and the actual number isn't known.
    static constexpr std::size_t kAssumedHosts = 16;
    /// Fraction of the limit that the hosts of a large fleet use together without claims, as the requests of that many
    /// hosts coincide at random.
    static constexpr double kUnclaimedPart = 0.7;
    /// Time after which a host without a claim loses a request that it may send, so that many hosts don't save them up.
    static constexpr std::chrono::seconds kUnclaimedTokenLifetime{1};
    /// Limits above this one are never reached and are treated as none.
    static constexpr double kMaxPerSecond = 10'000;
    /// Requests per second, over all hosts, that a replica gets at least, so that a limit near 0 that it no longer
    /// advertises is noticed.
    static constexpr double kProbesPerSecond = 0.1;
    /// Requests that a host may send in a burst: at least one, or those of this time at its share.
    static constexpr std::chrono::milliseconds kBurstTime{250};
    /// Hosts that share a limit, beyond one for each request per second. Each may send one request at any time, so
    /// their number bounds the burst of all hosts together.
    static constexpr std::size_t kExtraSharers = 3;
    /// Time from the moment at which a host sees its own claim in the store to its first use, in which the other hosts
    /// see it as well.
    static constexpr std::chrono::milliseconds kSettleTime{1000};
    static constexpr std::chrono::seconds kRenewInterval{15};
    /// Time after its last confirmed renewal for which a host uses its own claim. Ends before it expires for others.
    static constexpr std::chrono::seconds kLease{30};
    static_assert(kRenewInterval * 1.2 < kLease && kLease < limit_claims::kLifetime);
    /// Time from the first advertisement of a limit for which a host that doesn't know the number of hosts waits for
    /// claims, if the store is reachable. It ends, as the store may accept no claims.
    static constexpr std::chrono::seconds kClaimPatience{5};
    /// Minimum time between two writes of this host's claims.
    static constexpr std::chrono::milliseconds kPublishInterval{1000};
    /// Time for which a host states in the store that a limit has ended, so that those that don't send to the replica
    /// learn of it.
    static constexpr std::chrono::seconds kEndAnnouncement{10};
    /// Delay of a write that only withdraws claims.
    static constexpr std::chrono::milliseconds kWithdrawDelay{2000};
    /// Change of a limit that is stored at once rather than with the next renewal.
    static constexpr double kMaxUnpublishedChange = 2;
    /// Random delay of a first claim for each host of a large fleet, so that most see that the limit is shared out.
    static constexpr std::chrono::milliseconds kClaimSpreadPerHost{20};
    /// Maximum number of replicas on which a host has claims.
    static constexpr std::size_t kMaxClaims = 64;
    /// Range of the times after which refused callers come back.
    static constexpr std::chrono::milliseconds kMinReturnDelay{300};
    static constexpr std::chrono::milliseconds kMaxReturnDelay{10'000};

private:
    struct registered_replica {
        std::string service;
        std::int64_t startedAtMs = 0;
    };
    /// Invariant: the replica is registered, and has advertised a limit to this host, another host has a live claim, or
    /// this host announces that the limit has ended.
    struct limited_replica {
        std::optional<known_limit>
            advertised; ///< to this host; unset: it learned of the limit from others, or the limit has ended
        instant endedAt = instant::min(); ///< when the replica advertised no limit any more; older claims don't count
        bool isEndAnnounced = false; ///< this host states in the store that the limit has ended
        instant knownSince{}; ///< when this host learned of the limit
        bool isClaimed = false; ///< this host has or wants a claim
        std::optional<instant> visibleSince; ///< this host's claim is in the store
        instant demandAt{}; ///< last call of hasRoom()
        double perSecond = 0; ///< limit for all hosts
        double share = 0; ///< of this host
        bool isShareClaimed = false; ///< the share follows from the hosts' claims, not from their assumed number
        std::size_t sharers = 0;
        bool hasChangedShare = false; ///< since takeChangedShares()
        double tokens = 0; ///< requests that this host may send, at refilledAt
        instant refilledAt{};
    };

    [[nodiscard]] replica_run runOf(const std::string &replica) const;
    [[nodiscard]] std::optional<known_limit> limitOf(const std::string &replica, const limited_replica &limited,
                                                     instant now) const;
    [[nodiscard]] static std::size_t maxSharers(double perSecond);
    /// Requests per second that this host may send.
    [[nodiscard]] static double rateOf(const limited_replica &limited);
    static void refill(limited_replica &limited, instant now);
    /// Recomputes the share. @returns whether the replica has a limit.
    bool update(const std::string &replica, limited_replica &limited, instant now);
    /// @returns this host's share while the hosts don't share the limit by claims.
    [[nodiscard]] double unclaimedShare(const limited_replica &limited, instant now) const;
    /// @returns this host's share by the claims of all hosts, or nothing if the hosts don't share the limit by claims.
    [[nodiscard]] std::optional<double> claimedShare(const std::string &replica, const limited_replica &limited,
                                                     instant now) const;
    [[nodiscard]] bool isLargeFleet() const { return m_hosts > kAssumedHosts; }
    void tryClaim(const std::string &replica, limited_replica &limited, instant now);
    void withdraw(limited_replica &limited, instant now);
    void endLimit(const std::string &replica, instant now);
    void schedulePublish(std::chrono::milliseconds delay, instant now);

    std::string m_host;
    std::mt19937_64 m_random;
    limit_claims m_claims;
    std::size_t m_hosts = kAssumedHosts;
    bool m_isSizeKnown = false; ///< m_hosts is an estimate, not kAssumedHosts
    bool m_isStoreReachable = true;
    bool m_isLeaving = false;
    std::unordered_map<std::string, registered_replica> m_registered; ///< by id
    std::map<std::string, limited_replica> m_limited; ///< by id
    std::map<std::string, instant> m_nextReturn; ///< by service: time given to the next refused caller
    std::uint64_t m_firstSerial; ///< of this process; claims with lower ones are of an earlier process
    std::uint64_t m_serial; ///< of the claims last published
    instant m_publishedAt{};
    instant m_confirmedAt{}; ///< when the claims that the store last showed were published
    instant m_renewAt{};
    std::optional<instant> m_publishDueAt; ///< unset: only the renewal is due
    bool m_hasPublishedClaims = false; ///< at the last publish()
};

} // namespace foxtaildyke
