// Choice of a replica for one attempt, from the registered replicas and from what this host saw of them. Load answered:
// prompts with shared parts, replicas that fail or fall silent while they look healthy, and uneven load.
#pragma once

#include "gateway_model_p.h"

#include <random>
#include <set>

namespace foxtaildyke
{

/// What an attempt asks for.
struct replica_query {
    std::string_view service;
    std::string_view version; ///< only this one; empty: any
    std::string_view excludedVersion; ///< not this one; empty: none is excluded
    std::uint64_t affinity = 0; ///< equal values prefer the same replica, which has read the same prompt; 0: none
    const std::set<std::string> *tried = nullptr; ///< replicas that this request has been sent to
};

class replica_table
{
public:
    replica_table(std::string failureDomain, std::uint64_t seed);

    /// Replaces the registered replicas; what was seen of those that stay is kept, unless they have started anew.
    void setReplicas(const std::vector<replica_entry> &replicas);

    /// @returns a replica, or null where none may take the request. Holds until setReplicas().
    [[nodiscard]] const replica_entry *pick(const replica_query &query, instant now);

    /// @returns whether any replica is registered that may take requests of the service and version.
    [[nodiscard]] bool hasAny(const replica_query &query) const;

    /// @param workMs estimated time that the request takes of the replica, for the comparison of loads.
    void noteStart(const std::string &id, double workMs);

    /// @param isGood nothing: the end tells nothing about the replica.
    void noteEnd(const std::string &id, double workMs, std::optional<bool> isGood, instant now);

    /// The replica answered under another id, or its address refuses connections.
    void noteUnreachable(const std::string &id, instant now);

    [[nodiscard]] std::size_t size() const { return m_replicas.size(); }
    [[nodiscard]] std::uint32_t running(const std::string &id) const;

    /// Load above the mean of its service at which a replica is passed over for its prompt cache: beyond this the wait
    /// costs more than reading the shared parts again.
    static constexpr double kAffinityLoadFactor = 1.5;
    /// Load in ms of work that is no reason to leave the preferred replica: one long prompt.
    static constexpr double kAffinitySlackMs = 150;
    /// Failures in a row that take a replica out.
    static constexpr std::uint32_t kFailuresToEject = 3;
    /// Failure rate over about the last ten answers that takes a replica out.
    static constexpr double kFailureRateToEject = 0.35;
    static constexpr std::chrono::milliseconds kFirstEjection{1000};
    static constexpr std::chrono::milliseconds kLongestEjection{8000};

private:
    struct replica {
        replica_entry entry;
        std::uint64_t idHash = 0;
        std::uint32_t running = 0; ///< attempts of this host
        double workMs = 0; ///< sum of their estimates
        double failureRate = 0; ///< exponentially weighted
        std::uint32_t failuresInRow = 0;
        std::uint32_t ejections = 0; ///< in a row; doubles the time out
        instant ejectedUntil{};
    };
    using candidate_list = std::vector<replica *>;

    [[nodiscard]] static bool fits(const replica &candidate, const replica_query &query);
    [[nodiscard]] candidate_list candidates(const replica_query &query, instant now);
    [[nodiscard]] replica *preferred(const candidate_list &open, std::uint64_t affinity) const;
    [[nodiscard]] replica *leastLoaded(const candidate_list &open);
    void eject(replica &target, instant now);

    std::string m_failureDomain;
    std::mt19937_64 m_random;
    std::unordered_map<std::string, replica> m_replicas; ///< by id
    std::vector<std::string> m_order; ///< ids in a fixed order, so that choices are repeatable
};

} // namespace foxtaildyke
