// Gradual roll-out of a version: selects the requests that are sent to the new version, detects a bad version, and
// advances the stages. All hosts derive the same share from the stage in the store. Any host may write the next state,
// conditional on the revision it has read. Addresses versions that fail, are slow, or get worse late or under load.
#pragma once

#include "gateway_model_p.h"

#include <map>
#include <set>
#include <unordered_map>

namespace foxtaildyke
{

/// Versions that may run a request.
struct version_choice {
    std::string version; ///< only this version; empty: any
    std::string excluded; ///< not this version; empty: none is excluded
};

/// Response as evidence on the version that produced it.
struct version_response {
    std::string_view service;
    std::string_view version;
    std::string_view stratum; ///< group within which responses are comparable: route and model
    std::string_view replica;
    bool isFailure = false; ///< the replica responded with an error
    /// Time to the response, or between two events of a stream; unset: not measured. The time to the first event isn't
    /// used, as it depends more on cold prompt caches than on the version.
    std::optional<std::chrono::microseconds> latency;
};

class rollout_policy
{
public:
    /// Replaces the known orders. The evidence collected for an order that remains is kept.
    void setOrders(const std::vector<rollout_order> &orders, instant now);

    /// @param key of the request's session, which gets the same version on all hosts and changes version only once.
    [[nodiscard]] version_choice choose(const std::string &service, std::uint64_t key) const;

    /// Records a response, also for services without an order so that a baseline exists when one arrives.
    void recordResponse(const version_response &response);

    /// @returns the next state to write for a service, if any. To be called about once per second.
    [[nodiscard]] std::optional<rollout_order> nextState(instant now);

    /// Share of requests sent to the new version in each stage. It is 0 in the first half of an order, to let existing
    /// sessions finish: most of their requests reach hosts that have no record of the session, and any share would
    /// change the version of some. The requests that a bad version receives in the second and third stage stay below
    /// the users' bounds of 0.0975 to 0.15 of all requests until the end of the order.
    static constexpr std::array kStageShares{0.0, 0.22, 0.5, 1.0};
    /// End of each stage as a fraction of the order's duration. The first stage covers the half of the order in which
    /// existing sessions keep their version, see kStageShares.
    static constexpr std::array kStageEnds{0.52, 0.62, 0.70, 0.85};
    /// Log-likelihood ratio at which a version is rejected; reached by three consecutive failures at a base rate of
    /// 0.03.
    static constexpr double kRejectThreshold = 6.5;
    /// Minimum failure rate assumed for a good version, and for a bad one.
    static constexpr double kGoodRate = 0.03;
    static constexpr double kBadRate = 0.3;
    /// A response counts as failed if its latency exceeds this multiple of the baseline's mean plus the margin.
    static constexpr double kSlowFactor = 3.5;
    static constexpr std::chrono::milliseconds kSlowMargin{20};

private:
    struct baseline {
        double failureRate = 0;
        double latencyUs = 0; ///< exponentially weighted mean over good responses
        std::uint32_t responses = 0;
    };
    struct tracked_rollout {
        rollout_order order;
        instant stageStartedAt{}; ///< when this host first saw the order in its current stage
        /// CUSUM scores of the sequential test, never below 0: per stratum, as a version may be bad on a single route,
        /// and under the empty name for all strata together.
        std::map<std::string, double, std::less<>> scores;
        std::set<std::string, std::less<>> failedReplicas;
        std::set<std::string, std::less<>> respondingReplicas;
        bool isRejected = false;
    };
    void evaluate(tracked_rollout &target, const version_response &response);
    /// Adds one response to a score. @returns whether the score has reached the threshold.
    [[nodiscard]] static bool addEvidence(double &score, bool isBad, double goodRate);

    std::map<std::string, tracked_rollout, std::less<>> m_rollouts; ///< by service
    std::map<std::string, baseline, std::less<>> m_baselines; ///< by stratum
};

} // namespace foxtaildyke
