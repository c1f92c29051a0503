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
struct version_response {
    std::string_view service;
    std::string_view version;
    std::string_view stratum; ///< population in which answers can be compared: route and model
    std::string_view replica;
    bool isFailure = false; ///< the replica answered with an error
    /// Time to the answer, or between two events of a stream; nothing: not measured. The time to the first event says
    /// more about cold prompt caches than about the version.
    std::optional<std::chrono::microseconds> latency;
};

class rollout_policy
{
public:
    /// Replaces the orders known.
    void setOrders(const std::vector<rollout_order> &orders, instant now);

    /// @param key of the request's session: it has the same version on all hosts, and moves to the new one only once.
    [[nodiscard]] version_choice choose(const std::string &service, std::uint64_t key) const;

    /// Takes an answer into account; of all services, so that there is a baseline when an order comes.
    void recordResponse(const version_response &answer);

    /// @returns the state to record next for a service, or nothing. Ask about once a second.
    [[nodiscard]] std::optional<rollout_order> nextState(instant now);

    /// Share of requests that the new version gets in each stage. None in the first half of an order, which belongs to
    /// the sessions that are under way: most of their requests reach hosts that have not seen them, and any share would
    /// change the version of some. What a bad version gets in the second and third stage stays below the users' bounds
    /// of 0.0975 to 0.15 of all requests until the end of the order.
    static constexpr std::array kStageShares{0.0, 0.22, 0.5, 1.0};
    /// End of each stage as a part of the order's duration.
    static constexpr std::array kStageEnds{0.52, 0.62, 0.70, 0.85};
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
        instant stageSince{}; ///< when this host first saw the order in its present stage
        /// CUSUM of the sequential test, never below 0: by stratum, as a version may be bad on one route only, and
        /// under the empty name for all together.
        std::map<std::string, double, std::less<>> scores;
        std::set<std::string, std::less<>> failedReplicas;
        std::set<std::string, std::less<>> answeringReplicas;
        bool isRejected = false;
    };
    void judge(trial &target, const version_response &answer);
    /// @returns whether the score has reached the threshold.
    [[nodiscard]] static bool addEvidence(double &score, bool isBad, double goodRate);

    std::map<std::string, trial, std::less<>> m_trials; ///< by service
    std::map<std::string, baseline, std::less<>> m_baselines; ///< by stratum
};

} // namespace foxtaildyke
