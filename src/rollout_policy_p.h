// Gradual roll-out of a version: selects the requests that are sent to the new version, and advances the stages or
// rolls back by the evidence. All hosts derive the same share from the stage in the store. Any host may write the next
// state, conditional on the revision it has read.
#pragma once

#include "exposure_budget_p.h"
#include "gateway_model_p.h"
#include "rollout_evidence_p.h"

namespace foxtaildyke
{

/// Versions that may run a request.
struct version_choice {
    std::string version; ///< only this version; empty: any
    version_set excluded; ///< not these versions
    /// Fraction of the version's replicas that the requests are gathered on, so that their load is like that of the
    /// replicas of the version in use, and a version that is bad under load shows at a small share of the traffic.
    double replicaShare = 1;

    /// @returns the choice of any other version than the excluded ones and this one.
    [[nodiscard]] version_choice withExcluded(const std::string &other) const
    {
        version_choice choice{{}, excluded};
        choice.excluded.insert(other);
        return choice;
    }
};

/// An order with what this host knows of it.
struct tracked_rollout {
    rollout_order order;
    instant startedAt{}; ///< when this host first saw the order, or its estimate if the order was in progress then
    bool isAheadOfStore = false; ///< the store shows an earlier state of the order, which is to be written again
    bool isMissing = false; ///< the store has lost the order, which the operator is expected to write again
    bool isOverdue = false; ///< the order's duration has passed without a decision
    rollout_evidence evidence;
    exposure_budget budget;
    /// Limits at the end of the first stage, by stratum: until then the version in use carries the whole load, which
    /// the new version takes over.
    std::map<std::string, std::chrono::microseconds, std::less<>> fullLoadLimits;
};

class rollout_policy
{
public:
    explicit rollout_policy(exposure_limits limits = {})
        : m_limits(limits)
    {
    }

    /// Sets the number of hosts among which the slack of the exposure limits is divided.
    void setHosts(std::size_t hosts) { m_hosts = std::max(kAssumedHosts, hosts); }

    /// Records that the store has come back from an older copy, which may lack orders until they are written again.
    void recordRewind(instant now) { m_rewoundAt = now; }

    /// Replaces the known orders. The evidence collected for an order that remains is kept.
    void setOrders(const std::vector<rollout_order> &orders, instant now);

    /// @param key of the request's session, which gets the same version on all hosts and changes version only once.
    [[nodiscard]] version_choice choose(const std::string &service, std::uint64_t key) const;

    /// Counts a request sent to a replica of a version.
    void recordRequest(std::string_view service, std::string_view version);

    /// @returns the latency above which a response of a version under evaluation is slow; nothing for other versions.
    [[nodiscard]] std::optional<std::chrono::microseconds> slowLimit(std::string_view service, std::string_view version,
                                                                     std::string_view stratum) const;

    /// Records a response, also for services without an order so that a baseline exists when one arrives.
    void recordResponse(const version_response &response);

    /// @returns this host's evidence on undecided orders, for the other hosts; empty without responses.
    [[nodiscard]] std::vector<rollout_report> reports() const;

    /// @param isRelayed a relay adds this host's responses to its own evidence from now on.
    void setRelayed(bool isRelayed);

    /// @returns the responses to undecided orders that were recorded since the last call while they were relayed.
    [[nodiscard]] std::vector<rollout_report> takeRelayed();

    /// Adds responses that another host has passed to this one, or that no relay has taken, to this host's evidence.
    void absorb(const std::vector<rollout_report> &reports);

    /// Replaces the evidence of another host.
    void setPeerReports(const std::string &host, const std::vector<rollout_report> &reports);

    /// @returns whether a report belongs to an order that is neither completed nor rolled back.
    [[nodiscard]] bool isUndecided(const rollout_report &report) const;

    /// @returns the next state to write for a service, if any. To be called several times per second.
    [[nodiscard]] std::optional<rollout_order> nextState(instant now);

    /// @returns whether nextState() may return a state at some time, because an order is undecided or ahead of the
    /// store.
    [[nodiscard]] bool hasUndecided() const;

    /// @returns the state of an order on this host, for the log.
    [[nodiscard]] const tracked_rollout *find(std::string_view service) const;

    /// Share of requests sent to the new version in each stage. It is 0 in the first half of an order, to let existing
    /// sessions finish: most of their requests reach hosts that have no record of the session, and any share would
    /// change the version of some. The last stage lets requests of the old version finish before its replicas stop.
    static constexpr std::array kStageShares{0.0, 0.12, 1.0};
    /// Earliest end of each stage as a fraction of the order's duration. The stages after the first end only once the
    /// evidence has accepted the version. A version that is bad in a way that doesn't show before the end of the order
    /// receives 0.12 * (0.93 - 0.52) + 1 - 0.93 = 0.12 of all requests until then, within the exposure limits of the
    /// users (0.15).
    static constexpr std::array kStageEnds{0.52, 0.93, 0.96};
    /// Number of hosts assumed while the actual number is unknown or lower.
    static constexpr std::size_t kAssumedHosts = 16;
    /// Time after a rewind of the store in which an order is taken for the lost one that it equals.
    static constexpr std::chrono::seconds kRewriteTime{30};

private:
    using rollout_map = std::map<std::string, tracked_rollout, std::less<>>;

    /// @returns the roll-out if the version is under evaluation for the service, or null.
    [[nodiscard]] const tracked_rollout *findUnderEvaluation(std::string_view service, std::string_view version) const;
    [[nodiscard]] std::optional<std::chrono::microseconds> slowLimit(const tracked_rollout &target,
                                                                     std::string_view stratum) const;
    [[nodiscard]] bool isRewriting(instant now) const { return m_rewoundAt && now - *m_rewoundAt < kRewriteTime; }
    /// @returns whether an order is the known one, possibly written again after a rewind.
    [[nodiscard]] bool isSameOrder(const rollout_order &order, const rollout_order &known, instant now) const;
    /// Adds the versions that were rolled back before an order arrived.
    void recordRolledBack(const rollout_order &order);
    /// Records the limits under full load, at the end of the first stage.
    void freezeLimits(tracked_rollout &target) const;

    exposure_limits m_limits;
    bool m_isRelayed = false;
    std::size_t m_hosts = kAssumedHosts; ///< among which the slack is divided
    rollout_map m_rollouts; ///< by service
    /// Versions that were rolled back, by service; without the target of the present order. Their replicas may stay
    /// registered for some seconds, also under the next order.
    std::map<std::string, version_set, std::less<>> m_rolledBack;
    std::optional<instant> m_rewoundAt; ///< last rewind of the store
    std::map<std::string, version_baseline, std::less<>> m_baselines; ///< by stratum
};

} // namespace foxtaildyke
