// Choice of a replica for one attempt, from the registered replicas and from what this host saw of them. Load answered:
// prompts with shared parts, replicas that fail or fall silent while they look healthy, and uneven load.
#pragma once

#include "gateway_model_p.h"

#include <random>
#include <set>

namespace foxtaildyke
{

/// Time that a request's prompt takes of an engine, in ms; 0 for plain services.
struct prompt_work {
    double sharedMs = 0; ///< parts that the engine may have read for another request
    double ownMs = 0;
};

/// What an attempt asks for.
struct replica_query {
    std::string_view service;
    std::string_view version; ///< only this one; empty: any
    std::string_view excludedVersion; ///< not this one; empty: none is excluded
    std::uint64_t sharedPrefixHash = 0; ///< equal values have the same shared parts and model; 0: none
    prompt_work work;
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

    /// Counts an attempt that is sent.
    /// @param sharedPrefixHash as in the query.
    /// @returns the part of the prompt that the replica has to read, in ms.
    double recordStart(const std::string &id, std::uint64_t sharedPrefixHash, const prompt_work &work, instant now);

    /// The replica has read the prompt of an attempt. @param promptMs as recordStart() returned it.
    void recordFirstByte(const std::string &id, double promptMs);

    /// @param promptMs of an attempt whose prompt has not been read, otherwise 0.
    /// @param isGood nothing: the end tells nothing about the replica.
    void recordEnd(const std::string &id, double promptMs, std::optional<bool> isGood, instant now);

    /// @returns replicas at which this host has requests.
    [[nodiscard]] std::vector<replica_load> ownLoad() const;

    /// Takes what the other hosts have at the replicas; it counts until it is too old.
    void setOthersLoad(const std::vector<replica_load> &loads, instant now);

    /// The replica answered under another id, or its address refuses connections.
    void recordUnreachable(const std::string &id, instant now);

    [[nodiscard]] std::size_t size() const { return m_replicas.size(); }
    [[nodiscard]] std::uint32_t running(const std::string &id) const;

    /// Time for which a replica is taken to keep the shared parts that this host sent there.
    static constexpr std::chrono::seconds kPrefixCacheLifetime{15};
    /// Delay of a first token by each request that is running, in ms: a step takes 0.05 ms more for each.
    static constexpr double kRunningMs = 0.5;
    /// Time for which a request holds its slot, in ms: 2 to 38 events of 10 tokens at 3.55 ms a step.
    static constexpr double kSlotMs = 500;
    /// Part of the load of other hosts that counts: it is half a second old on average.
    static constexpr double kOthersShare = 0.5;
    /// Weight of reading a shared prompt again against a wait, where the load of other hosts is known: the wait may be
    /// over when the request arrives.
    static constexpr double kRereadWeight = 6;
    /// Age at which the load of other hosts says nothing any more: three reports.
    static constexpr std::chrono::milliseconds kMaxLoadAge{1500};
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
        double backlogMs = 0; ///< prompts of them that have not been read
        double othersRunning = 0; ///< the same of all other hosts, where it is known
        double othersBacklogMs = 0;
        std::unordered_map<std::uint64_t, instant>
            sentPrompts; ///< shared parts, by when this host last sent them there
        double failureRate = 0; ///< exponentially weighted
        std::uint32_t failuresInRow = 0;
        std::uint32_t ejections = 0; ///< in a row; doubles the time out
        instant ejectedUntil{};
    };
    using candidate_list = std::vector<replica *>;

    [[nodiscard]] static bool fits(const replica &candidate, const replica_query &query);
    [[nodiscard]] candidate_list candidates(const replica_query &query, instant now);
    [[nodiscard]] replica *soonest(const candidate_list &open, const replica_query &query, instant now);
    [[nodiscard]] static double waitMs(const replica &candidate);
    void forgetOthers(instant now);
    [[nodiscard]] static bool hasRead(const replica &candidate, std::uint64_t sharedPrefixHash, instant now);
    [[nodiscard]] replica *leastLoaded(const candidate_list &open);
    void eject(replica &target, instant now);

    std::string m_failureDomain;
    std::mt19937_64 m_random;
    std::unordered_map<std::string, replica> m_replicas; ///< by id
    std::optional<instant> m_othersKnownAt; ///< nothing: loads of other hosts aren't known
    std::vector<std::string> m_order; ///< ids in a fixed order, so that choices are repeatable
};

} // namespace foxtaildyke
