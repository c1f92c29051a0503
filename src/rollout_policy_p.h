// Moves a service to another version step by step: which requests the new version gets, when it is judged bad, and when
// the ramp goes on. All hosts compute the same share from the stage that the store holds; any host may write the next
// state, under the revision it has seen. Load answered: a version that fails, is slow, or turns bad late or under load.
#pragma once

#include "gateway_model_p.h"

#include <map>
#include <set>
#include <unordered_map>

namespace foxtaildyke
{

/// Versions that may run a request.
struct version_choice {
    std::string version; ///< only this one; empty: any
    std::string excluded; ///< not this one; empty: none
};

/// What an answer says of the version that gave it.
struct version_answer {
    std::string_view service;
    std::string_view version;
    std::string_view stratum; ///< population in which answers can be compared: route and model
    std::string_view replica;
    bool isFailure = false; ///< the replica answered with an error
    /// Time to the answer, or between two events of a stream; nothing: not measured. The time to the first event says
    /// more about cold prompt caches than about the version.
    std::optional<std::chrono::microseconds> latency;
};

using replica_counter = std::function<std::size_t(const rollout_order &order)>;

class rollout_policy
{
public:
    /// Replaces the orders known.
    void setOrders(const std::vector<rollout_order> &orders, instant now);

    explicit rollout_policy(std::chrono::milliseconds sessionGap);

    /// @param key of the request's session. A session that began on the old version keeps it until the ramp has left
    /// its first stage; one that began on the new version keeps that.
    [[nodiscard]] version_choice choose(const std::string &service, std::uint64_t key, instant now);

    /// Takes an answer into account; of all services, so that there is a baseline when an order comes.
    void noteAnswer(const version_answer &answer);

    /// @param replicasOf replicas of the old version that the service of an order has now.
    /// @returns the state to record next for a service, or nothing. Ask about once a second.
    [[nodiscard]] std::optional<rollout_order> nextState(instant now, const replica_counter &replicasOf);

    /// @returns the share of the first stage. Sessions that are under way when it begins move from host to host, so
    /// that a host may take one for new and change its version. Their number grows with the service.
    [[nodiscard]] static double firstShareFor(std::size_t replicas);

    /// Share of requests that the new version gets in each stage. Bounds of the users: 0.0975 to 0.15 of all requests
    /// until the end of the order may meet a bad version.
    static constexpr std::array kStageShares{0.07, 0.22, 0.5, 1.0};
    /// Replicas above which the new version gets nothing in the first stage: about one session for each of 90 replicas
    /// was under way when it began, of which three may change their version.
    static constexpr std::size_t kMostReplicasForFirstStage = 30;
    /// End of each stage as a part of the order's duration. The first half belongs to sessions that began before.
    static constexpr std::array kStageEnds{0.52, 0.60, 0.68, 0.85};
    /// Log likelihood ratio at which a version is rejected: three failures in a row at a base rate of 0.03.
    static constexpr double kRejectScore = 6.5;
    /// Least failure rate assumed of a good version, and of a bad one.
    static constexpr double kGoodRate = 0.03;
    static constexpr double kBadRate = 0.3;
    /// An answer counts as failed where it took this many times the baseline's mean, and more than the margin above it.
    static constexpr double kSlowFactor = 3.5;
    static constexpr std::chrono::milliseconds kSlowMargin{20};

private:
    struct baseline {
        double failureRate = 0;
        double latencyUs = 0; ///< exponentially weighted mean of good answers
        std::uint32_t answers = 0;
    };
    struct trial {
        rollout_order order;
        instant since{}; ///< when this host first saw the order
        instant stageSince{};
        double score = 0; ///< CUSUM of the sequential test, never below 0
        std::set<std::string, std::less<>> failedReplicas;
        std::set<std::string, std::less<>> answeringReplicas;
        bool isRejected = false;
    };
    /// A session that was seen lately.
    struct session_note {
        bool isOnOld = false; ///< began before the new version got requests, or outside of its share
        instant seenAt{};
    };
    [[nodiscard]] bool beganOnOld(std::uint64_t key, bool isInShare, instant now);
    void forgetSessions(instant now);
    [[nodiscard]] static double shareOf(const rollout_order &order);
    void judge(trial &target, const version_answer &answer);

    std::chrono::milliseconds m_sessionGap; ///< requests of a session that are further apart don't belong together
    std::map<std::string, trial, std::less<>> m_trials; ///< by service
    std::unordered_map<std::uint64_t, session_note> m_sessions; ///< by key
    instant m_sessionsSweptAt{};
    std::map<std::string, baseline, std::less<>> m_baselines; ///< by stratum
};

} // namespace foxtaildyke
