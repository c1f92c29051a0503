// Which hosts share the rate limit of a replica: hosts that send to it store a claim in their host reports, and each
// host derives the same list from them. Addresses a limit that holds for all hosts together, without a coordinator and
// without a call to the store for each request. No I/O, no clock.
#pragma once

#include "gateway_model_p.h"

namespace foxtaildyke
{

/// A limit as a replica has advertised it.
struct known_limit {
    double perSecond = 0; ///< for all hosts together
    instant advertisedAt{}; ///< when the replica last advertised it, by this host's clock
};

class limit_claims
{
public:
    explicit limit_claims(std::string host);

    /// Replaces the stored claims of all hosts, including this one.
    void setReports(const host_reports &reports, instant now);

    /// While the store is unreachable, no host can renew its claims, so none of them expires.
    void setReachable(bool isReachable, instant now);

    /// @param most maximum number of hosts that share the limit; others with a claim leave it to them.
    /// @returns the hosts with a live claim that share the replica's limit, the same list on all hosts.
    [[nodiscard]] std::vector<std::string> sharers(const replica_run &replica, std::size_t most, instant now) const;

    /// @returns the number of other hosts with a live claim.
    [[nodiscard]] std::size_t others(const replica_run &replica, instant now) const;

    /// @returns the limit that another host has been advertised most recently, or nothing if there is no live claim.
    [[nodiscard]] std::optional<known_limit> newest(const replica_run &replica, instant now) const;

    /// @returns when a replica has last ended its limit, as another host states; nothing if none does.
    [[nodiscard]] std::optional<instant> endedAt(const replica_run &replica) const;

    /// @returns this host's stored claim, or null.
    [[nodiscard]] const limit_claim *own(const replica_run &replica) const;

    /// @returns whether a host has a live claim on any replica.
    [[nodiscard]] bool isLive(const std::string &host, instant now) const;

    /// @returns the ids of the replicas on which hosts have claims, live or not.
    [[nodiscard]] std::vector<std::string> replicas() const;

    /// Time for which a claim that isn't renewed counts.
    static constexpr std::chrono::seconds kLifetime{40};

private:
    struct stored_claim {
        limit_claim claim;
        instant seenAt{}; ///< when this host first saw the claim in this form
        instant advertisedAt{}; ///< or ended; estimate by this host's clock, no earlier than the actual instant
    };
    using claims_by_host = std::map<std::string, stored_claim>;

    [[nodiscard]] bool isLive(const stored_claim &stored, instant now) const;
    [[nodiscard]] std::vector<const claims_by_host::value_type *> live(const replica_run &replica, instant now) const;

    std::string m_host;
    std::map<std::string, claims_by_host> m_claims; ///< by replica id
    bool m_isReachable = true;
};

} // namespace foxtaildyke
