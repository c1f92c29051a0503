// Protects replicas that have stated that they are brittle: they fall over when they have to reject too many requests
// in a second for want of room. All hosts together must stay below that without a message between them. So each host
// keeps its outstanding requests to its part of the replica's slots, and after a rejection waits for its part of the
// rejections that the replica bears. Without I/O.
#pragma once

#include "gateway_model_p.h"

#include <optional>
#include <random>

namespace foxtaildyke
{

/// Requests at a replica now, as this host knows them.
struct slot_usage {
    std::uint32_t slots = 1;
    std::uint32_t own = 0; ///< outstanding requests of this host
    std::optional<double> others; ///< of all other hosts; unset: unknown
    std::chrono::milliseconds meanDuration{0}; ///< of a request
};

class brittle_replicas
{
public:
    explicit brittle_replicas(std::uint64_t seed)
        : m_random(seed)
    {
    }

    /// Sets the number of hosts.
    void setHosts(std::size_t hosts) { m_hosts = std::max<std::size_t>(1, hosts); }

    /// Records what a response of a replica states.
    /// @param rejections that it bears in a second; unset: it isn't brittle.
    /// @returns whether it has become brittle, or no longer is.
    bool recordStatement(const replica_run &replica, std::optional<double> rejections, instant now);

    /// Records that a replica has rejected a request for want of room.
    void recordRejection(const std::string &replica, instant now);

    /// Records that a request is sent to a replica.
    void recordSend(const std::string &replica, instant now);

    /// Forgets what an earlier run of a replica has stated.
    void setReplica(const replica_entry &entry);
    void removeReplica(const std::string &id) { m_replicas.erase(id); }

    /// @returns whether this host may send a request to the replica now.
    [[nodiscard]] bool hasRoom(const std::string &replica, const slot_usage &usage, instant now) const;

    [[nodiscard]] std::size_t count() const { return m_replicas.size(); }

    /// Hosts assumed while their number isn't known, as for rate limits.
    static constexpr std::size_t kAssumedHosts = 16;
    /// Part of the slots that is used where the requests of all hosts are known, half a second late.
    static constexpr double kOccupiedPart = 0.8;
    /// Time between two requests to a brittle replica: a rejection arrives within a round trip (6 ms at most), so that
    /// no second request is sent to a replica that has no room.
    static constexpr std::chrono::milliseconds kSpacing{10};
    /// Part of the rate that the slots can serve which is used where there are fewer slots than hosts: with 6 slots,
    /// half of it is rejected once in 20 requests if they arrive at random and none may wait.
    static constexpr double kRatePart = 0.5;
    /// Bounds of the time without requests after a rejection. The upper one is longer than the replicas' busy times,
    /// and short enough to use a replica that has recovered.
    static constexpr std::chrono::milliseconds kMinPause{1000};
    static constexpr std::chrono::milliseconds kMaxPause{30'000};

private:
    /// @returns the least time between two requests of this host to a replica.
    [[nodiscard]] std::chrono::milliseconds spacing(const slot_usage &usage) const;

    struct brittle_replica {
        std::int64_t startedAtMs = 0;
        double rejections = 0; ///< per second
        instant pausedUntil = instant::min();
        instant sentAt{}; ///< last request, or when it was first known to be brittle
        double phase = 1; ///< part of the spacing after sentAt: at first random, as all hosts may learn of it together
    };

    std::mt19937_64 m_random;
    std::size_t m_hosts = kAssumedHosts;
    std::map<std::string, brittle_replica> m_replicas; ///< by id; those that are brittle
};

} // namespace foxtaildyke
