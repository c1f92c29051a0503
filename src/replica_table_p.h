// Selects a replica for an attempt, based on the registered replicas and the load and failures observed by this host.
// Addresses prompts with shared prefixes, replicas that fail or stop responding while their health checks pass, and
// uneven load.
#pragma once

#include "load_forecast_p.h"
#include "replica_gate_p.h"

#include <random>
#include <set>

namespace foxtaildyke
{

/// Engine time to process (prefill) a request's prompt, in ms; 0 for services without inference engine.
struct prompt_work {
    double sharedMs = 0; ///< shared prefix, which the engine may have cached from another request
    double ownMs = 0; ///< rest of the prompt
};

/// Requirements of an attempt.
struct replica_query {
    std::string_view service;
    std::string_view version; ///< only this one; empty: any
    const version_set *excludedVersions = nullptr; ///< not these; null: none is excluded
    std::uint64_t sharedPrefixHash = 0; ///< equal for requests with the same shared prefix and model; 0: none
    prompt_work work;
    /// Fraction of the matching replicas to select from, at least two; the same ones on all hosts.
    double replicaShare = 1;
    const std::set<std::string> *tried = nullptr; ///< replicas that this request has already been sent to
    replica_gate *gate = nullptr; ///< what the replicas have stated; null: nothing
};

/// State of a replica that a selection was based on.
struct selection_basis {
    std::uint32_t running = 0; ///< outstanding attempts of this host
    double othersRunning = 0; ///< of all other hosts
    std::optional<std::chrono::milliseconds> othersAge; ///< of the report on the other hosts; unset: unknown
    double backlogMs = 0; ///< prefill time of this host's prompts that aren't processed yet
    double failureRate = 0; ///< moving average
    bool hasCachedPrefix = false; ///< this host has sent the shared prefix to the replica
};

/// A replica that isn't selected for some time because it has failed, for the log.
struct replica_ejection {
    std::string replica; ///< id
    std::chrono::milliseconds time{};
    std::uint32_t consecutiveFailures = 0;
    double failureRate = 0;
};

class replica_table
{
public:
    /// @param host name of this host, which decides the subset of a service's replicas that it uses.
    replica_table(std::string failureDomain, std::uint64_t seed, std::string_view host = {});

    /// Replaces the registered replicas. The observed state of those that remain is kept unless they have restarted.
    void setReplicas(const std::vector<replica_entry> &replicas);

    /// Adds or changes one replica, as above.
    void setReplica(const replica_entry &entry);

    void removeReplica(const std::string &id);

    /// Sets the number of hosts, which the size of the subsets depends on; 0: unknown, each host uses all replicas.
    void setHosts(std::size_t hosts) { m_hosts = hosts; }

    /// @returns a replica, or null if none is eligible. The pointer is valid until setReplicas().
    [[nodiscard]] const replica_entry *pick(const replica_query &query, instant now);

    /// @returns for what a replica that the query matches is excluded at present, or none: limited if any replica is,
    /// as a rate limit allows a request soon.
    [[nodiscard]] send_exclusion exclusion(const replica_query &query, instant now) const;

    /// @returns the present state of a replica, for the log; all zero if it isn't registered.
    [[nodiscard]] selection_basis basisOf(const std::string &id, std::uint64_t sharedPrefixHash, instant now) const;

    /// Records an attempt that is sent to a replica.
    /// @param sharedPrefixHash as in the query.
    /// @returns the prefill time of the part of the prompt that the replica doesn't have cached, in ms.
    double recordStart(const std::string &id, std::uint64_t sharedPrefixHash, const prompt_work &work, instant now);

    /// Records that the replica has processed the prompt of an attempt. @param promptMs as returned by recordStart().
    void recordFirstByte(const std::string &id, double promptMs);

    /// Records the end of an attempt.
    /// @param promptMs as returned by recordStart() if the prompt has not been processed, otherwise 0.
    /// @param isGood whether the replica responded as it should; unset if the end says nothing about the replica.
    /// @param sentAt when the attempt was sent.
    void recordEnd(const std::string &id, double promptMs, std::optional<bool> isGood, instant sentAt, instant now);

    /// Records that a replica didn't respond as it should, apart from the end of the attempt.
    void recordFailure(const std::string &id, instant now);

    /// @returns the replicas of a service that aren't draining, ordered by id.
    [[nodiscard]] std::vector<const replica_entry *> replicasOf(const std::string &service) const;

    /// @returns the services that have replicas.
    [[nodiscard]] std::vector<std::string> services() const;

    /// @returns the load of the replicas at which this host has outstanding requests.
    [[nodiscard]] std::vector<replica_load> ownLoad() const;

    /// Sets the outstanding requests of the other hosts, used until they are older than kMaxLoadAge.
    void setOthersLoad(const shared_load &report, instant now);

    /// @returns the replicas whose loads a host needs to know, ordered by service: its subset of each service that is
    /// too large for all of its replicas to be used by each host. Empty if there is no such service.
    [[nodiscard]] std::vector<std::string> subsetOf(std::string_view host) const;

    /// Ejects a replica that responded with a different id, or whose address refuses connections.
    void recordUnreachable(const std::string &id, instant now);

    /// @returns the replicas that have been ejected since the last call.
    [[nodiscard]] std::vector<replica_ejection> takeEjections() { return std::exchange(m_ejections, {}); }

    [[nodiscard]] std::size_t size() const { return m_replicas.size(); }
    [[nodiscard]] std::uint32_t running(const std::string &id) const;

    /// Time for which a replica is assumed to cache a shared prefix that this host sent to it.
    static constexpr std::chrono::seconds kPrefixCacheLifetime{15};
    /// Delay of the first token per running request, in ms. A step of the engine takes 0.05 ms longer for each of them.
    static constexpr double kDelayPerRequestMs = 0.5;
    /// The same in a large fleet, where the prompts of the other hosts' requests aren't known: the time to the first
    /// token grows by this for each running request of any kind.
    static constexpr double kForecastDelayPerRequestMs = 10;
    /// Mean age of the loads in a report when it arrives: the hosts report to their relays, and these to each other,
    /// several times a second.
    static constexpr std::chrono::milliseconds kReportDelay{150};
    /// Weight of prefilling a shared prefix at another replica against waiting, where the load from other hosts is
    /// known: the prefix also displaces others there.
    static constexpr double kRepeatedPrefillWeight = 2;
    /// Age at which the load from other hosts is discarded: three report intervals.
    static constexpr std::chrono::milliseconds kMaxLoadAge{1500};
    /// Consecutive failures at which a replica is ejected.
    static constexpr std::uint32_t kFailuresToEject = 3;
    /// Failure rate over about the last ten responses at which a replica is ejected.
    static constexpr double kFailureRateToEject = 0.35;
    static constexpr std::chrono::milliseconds kBaseEjectionTime{1000};
    static constexpr std::chrono::milliseconds kMaxEjectionTime{8000};

private:
    struct replica {
        replica_entry entry;
        std::uint64_t idHash = 0;
        std::uint64_t hostRank = 0; ///< order in which this host chooses its subset
        std::uint32_t running = 0; ///< outstanding attempts of this host
        double backlogMs = 0; ///< prefill time of their prompts that aren't processed yet
        std::optional<double> othersRunning; ///< attempts of all other hosts, if known
        std::unordered_map<std::uint64_t, instant> sentPrefixes; ///< by shared prefix hash: when this host last sent it
        double failureRate = 0; ///< exponentially weighted moving average
        std::uint32_t consecutiveFailures = 0;
        std::uint32_t consecutiveEjections = 0; ///< each doubles the next ejection's duration
        instant ejectedUntil{};
    };
    using candidate_list = std::vector<replica *>;
    /// Replicas of one service.
    struct replica_pool {
        candidate_list byId; ///< a fixed order makes selections reproducible
        candidate_list byRank; ///< in the order in which this host chooses its subset
    };

    void addToPool(replica &added);
    void removeFromPool(replica &removed);
    [[nodiscard]] static bool isEligible(const replica &candidate, const replica_query &query);
    [[nodiscard]] send_exclusion exclusionOf(const replica &candidate, const replica_query &query, instant now) const;
    [[nodiscard]] candidate_list candidates(const replica_query &query, instant now);
    [[nodiscard]] static candidate_list gatheredReplicas(const replica_pool &pool, const replica_query &query);
    [[nodiscard]] candidate_list subset(const replica_pool &pool, const replica_query &query, std::size_t size,
                                        instant now) const;
    /// Adds the preferred replica for the prompt if it isn't in this host's subset.
    void addPreferred(candidate_list &available, const replica_pool &pool, const replica_query &query,
                      instant now) const;
    [[nodiscard]] bool mayGetRequest(const replica &candidate, const replica_query &query, instant now) const;
    [[nodiscard]] static double meanOthersRunning(const candidate_list &replicas);
    [[nodiscard]] replica *earliestFirstToken(const candidate_list &available, const replica_query &query, instant now);
    [[nodiscard]] replica *earliestByOwnLoad(const candidate_list &available, const replica_query &query, instant now);
    [[nodiscard]] replica *earliestByForecast(const candidate_list &available, const replica_query &query, instant now);
    [[nodiscard]] double waitMs(const replica &candidate, double running, double delayPerRequestMs) const;
    [[nodiscard]] const duration_estimator &durations(const std::string &service) const;
    /// @returns the replica on which all hosts gather the requests with a shared prefix, or null without prefix.
    [[nodiscard]] static replica *preferredFor(std::uint64_t sharedPrefixHash, const candidate_list &available);
    void expireOthersLoad(instant now);
    [[nodiscard]] static bool hasCachedPrefix(const replica &candidate, std::uint64_t sharedPrefixHash, instant now);
    [[nodiscard]] replica *leastLoaded(const candidate_list &available);
    template <typename score_function>
    [[nodiscard]] static replica *leastOf(const candidate_list &candidates, const score_function &score);
    /// @returns a number that is uniformly distributed in [0, most).
    [[nodiscard]] double noise(double most);
    void recordFailure(const std::string &id, replica &target, instant now);
    void eject(const std::string &id, replica &target, instant now);

    std::string m_failureDomain;
    std::mt19937_64 m_random;
    std::unordered_map<std::string, replica> m_replicas; ///< by id
    std::map<std::string, duration_estimator> m_durations; ///< by service
    std::optional<instant> m_othersReportedAt; ///< unset: the load from other hosts is unknown
    std::vector<replica_ejection> m_ejections; ///< since takeEjections()
    std::uint64_t m_hostHash;
    std::size_t m_hosts = 0;
    /// By service. Invariant: holds each replica of m_replicas once, whose addresses are stable.
    std::map<std::string, replica_pool, std::less<>> m_pools;
};

} // namespace foxtaildyke
