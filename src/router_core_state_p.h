// State of the decision core, used by all router_core*.cpp files. Each of them implements one stage of a request.
#pragma once

#include "router_core_p.h"

#include <random>
#include <set>

namespace foxtaildyke
{

/// @returns the Retry-After value for a refused caller; 0 where waiting does not help.
[[nodiscard]] std::chrono::milliseconds retryAfterOf(reason_code reason);

/// Stage of an admitted request.
enum class request_phase : std::uint8_t {
    queued, ///< waits for a free slot
    pinning, ///< waits for the ledger's response to a pin
    claiming, ///< waits for the ledger's response to a claim
    running, ///< an attempt is in flight
    rating, ///< waits for the rating of a buffered response
    billing, ///< waits for the ledger's response to a bill
    count
};

template <>
struct enum_names<request_phase> {
    static constexpr std::array kNames{"queued", "pinning", "claiming", "running", "rating", "billing"};
};

/// Response of one attempt.
struct attempt_response {
    std::string model;
    std::string version;
    std::uint32_t promptMicroUnitsPer1k = 0; ///< prices at dispatch time
    std::uint32_t completionMicroUnitsPer1k = 0;
    std::string text;
    std::uint32_t promptTokens = 0;
    std::uint32_t completionTokens = 0;
    std::uint32_t scorePermille = 0; ///< 0: not rated
};

/// A request in flight.
/// @remarks Refers to configuration entries by name, because handles change with the generation.
struct open_request {
    caller_request input;
    std::string requestId;
    std::string account;
    request_class priority = request_class::standard;
    /// Fixed at admission; a later change of the kind must not allow retries of a claimed request.
    bool idempotent = true;
    std::uint64_t fingerprint = 0;
    std::uint64_t randomBits = 0; ///< input to the policy; the same for each decision on this request
    std::string pool; ///< service of the version planned at admission
    instant arrivedAt{};
    instant deadline{};
    request_phase phase = request_phase::queued;

    bool pinned = false; ///< pins come from a token or the ledger and no longer change
    std::vector<std::string> pins; ///< version names
    std::string sessionToken;

    bool claimed = false; ///< the ledger contains a claim of this request by this host
    bool mayHaveRun = false; ///< an ended attempt may have run on an upstream; never reset
    bool finished = false; ///< finish_request was emitted; the attempt continues until it is billed
    std::optional<attempt_token> attempt; ///< set if and only if phase is running
    attempt_token lastAttempt{}; ///< the attempt whose response is rated or billed
    std::uint32_t attempts = 0; ///< number of dispatches
    std::uint32_t retries = 0; ///< number of retries since the last escalation
    instant timerAt{}; ///< time of its entry in m_timers
    bool callerGone = false;
    std::string avoidUpstream; ///< upstream of the previous, failed attempt

    std::string blockedOnVersion; ///< version without a free slot at the last dispatch pass; may be empty
    std::uint64_t blockedAtEpoch = 0; ///< m_planEpoch at that pass

    attempt_response response; ///< of the attempt in flight or just ended
    std::size_t deliveredBytes = 0; ///< number of bytes of response.text delivered by send_chunk
    std::optional<attempt_response> retainedResponse; ///< best response below the target so far, during an escalation
    std::string escalatedFromModel; ///< if set, only models after this one in the cascade are candidates
    std::uint64_t costMicroUnits = 0; ///< sum over all attempts that reported a token count
};

/// An attempt in flight.
struct open_attempt {
    request_token request{};
    std::string upstream;
    std::string service;
    std::string version;
    instant startedAt{};
    instant stopAt{}; ///< the core cancels the attempt at this time if the adapter has reported nothing
    bool rateBeforeDelivery = false; ///< the response is buffered and rated before its delivery
    bool receivedChunk = false;
};

/// A pending call to the rating service.
struct open_rating {
    request_token request{};
    std::string kind;
    std::string stratum; ///< stratum of the evidence that the rating is counted in
    std::string version;
    std::uint32_t targetPermille = 0;
    instant timesOutAt{};
};

/// Version chosen for a dispatch, or the reason why no dispatch is allowed.
struct dispatch_plan {
    reason_code reason = reason_code::none; ///< none: the plan is valid
    version_handle version;
    bool rateBeforeDelivery = false;
    std::string_view explanation; ///< reason of the choice, for the event log
};

/// Moving averages over complete responses.
struct response_stats {
    double durationMs = 0;
    double completionTokens = 0;
};

struct router_core::implementation {
    implementation(std::string hostName, std::string failureDomain, std::uint64_t seed);

    // Inputs.
    void on(const caller_request &input);
    void on(const caller_gone &input);
    void on(const attempt_chunk &input);
    void on(const attempt_done &input);
    void on(const attempt_failed &input);
    void on(const ledger_response &input);
    void on(const rating_response &input);
    void on(const config_changed &input);
    void on(const lease_changed &input);
    void on(const upstreams_changed &input);
    void on(const load_report &input);
    void on(const evidence_update &input);
    void on(const estimates_update &input);
    void on(const quarantine_update &input);
    void on(const limit_shares &input);
    void on(const timer_tick &input);
    void on(const drain_request &input);

    // Intake: router_core_intake.cpp.
    [[nodiscard]] finish_request checkIdentity(open_request &request) const;
    [[nodiscard]] finish_request checkRequestId(open_request &request);
    [[nodiscard]] finish_request checkSession(open_request &request) const;
    [[nodiscard]] finish_request refusalWithoutLease(const open_request &request) const;
    [[nodiscard]] finish_request checkAdmission(open_request &request);
    void refuse(const open_request &request, finish_request response);

    // Dispatch: router_core_dispatch.cpp.
    [[nodiscard]] bool hasLease() const;
    /// @returns averages over earlier responses of the kind and version, or null.
    [[nodiscard]] const response_stats *statsOf(const open_request &request, version_handle version) const;
    [[nodiscard]] bool canFinishInTime(const open_request &request, version_handle version, instant start) const;
    [[nodiscard]] bool isLeaseExpected() const;
    void recordLeaseState();
    [[nodiscard]] bool isOpenToNewSessions(version_handle version) const;
    [[nodiscard]] dispatch_plan plan(const open_request &request) const;
    /// Appends the versions that may run the request, in cascade order.
    /// @returns a plan with only the reason set: none, or why the request can't run.
    [[nodiscard]] dispatch_plan collectCandidates(const open_request &request,
                                                  std::vector<version_handle> &versions) const;
    [[nodiscard]] cascade_candidate estimateOf(const open_request &request, version_handle version) const;
    void dispatchQueued();
    void tryStart(open_request &request);
    /// Fails queued requests that can't start before their deadline.
    void failUnreachable();
    /// @returns the estimated time in ms between two starts of requests from the queue ahead of this one.
    [[nodiscard]] double msPerStart(const open_request &request) const;
    void failQueued(open_request &request, reason_code reason);
    void startPin(open_request &request);
    void startClaim(open_request &request);
    void dispatch(open_request &request, const dispatch_plan &chosen, const upstream_info &upstream);
    void enqueue(open_request &request, std::string reason);

    // Attempts: router_core_attempts.cpp.
    /// @returns the request of an attempt in flight; if there is none, records the event as dropped and returns null.
    [[nodiscard]] open_request *requestOf(attempt_token attempt, std::string_view event);
    [[nodiscard]] bool hasOtherUpstream(const open_request &request, version_handle version) const;
    void endAttempt(open_request &request, std::optional<attempt_failure> failure);
    void cancelAttempt(open_request &request, std::string reason);
    /// @param ran whether an upstream may have run the failed attempt.
    void retryOrFail(open_request &request, reason_code reason, bool ran);
    /// @returns why the request may not be retried, or an empty text after charging the retry to the budget.
    [[nodiscard]] std::string_view retryObstacle(const open_request &request, bool ran);
    void recordResult(const std::string &version, std::optional<bool> passed, const std::string &stratum = {});
    [[nodiscard]] bool isTimeoutEvidence(const open_request &request, const open_attempt &attempt) const;
    [[nodiscard]] static std::string stratumOf(const open_request &request);
    void checkEvidence(const std::string &version);
    void recordFailure(const open_request &request, const open_attempt &attempt, attempt_failure failure);
    void recordResponseStats(const open_request &request, const open_attempt &attempt);
    void cancelIfWithdrawn(open_request &request);

    // Completion: router_core_completion.cpp.
    void onPinResponse(open_request &request, const ledger_response &response);
    void onClaimResponse(open_request &request, const ledger_response &response);
    void onBillResponse(open_request &request, const ledger_response &response);
    void requestRating(const open_request &request);
    void onRated(open_request &request, std::optional<std::uint32_t> score);
    void escalate(open_request &request);
    void startBill(open_request &request, std::string reason);
    void fail(open_request &request, reason_code reason);
    void finish(open_request &request, finish_request response);
    void drop(open_request &request);
    void setTimer(open_request &request, instant time);
    void onDeadline(open_request &request);
    void expireRatings();

    // Event log.
    void record(std::string type, const open_request &request, std::string reason);
    void record(std::string type, std::string reason);

    [[nodiscard]] open_request *findRequest(request_token request);

private:
    friend class router_core;

    std::string m_hostName;
    std::mt19937_64 m_random; ///< generates request ids and the random bits of requests
    instant m_now{}; ///< time of the input being handled
    router_config_ptr m_config; ///< null until the first configuration
    lease_changed m_lease;
    std::optional<instant> m_noLeaseSince; ///< time of the first input without a lease for the generation in force
    bool m_draining = false;
    bool m_ratingAvailable = true;
    bool m_evidenceChanged = false;
    std::uint64_t m_planEpoch = 0; ///< incremented whenever the plan of a queued request may change
    instant m_replannedAt{}; ///< time of the last increment by the timer
    instant m_lastTickAt{};
    std::uint64_t m_lastAttempt = 0;

    admission m_admission;
    balancer m_balancer;
    cascade_policy m_policy;
    evidence_table m_evidence;
    quarantine m_quarantine;
    std::vector<upstream_info> m_upstreams;
    std::set<std::string, std::less<>> m_haltedVersions; ///< versions halted by evidence, on this or another host
    std::map<std::pair<std::string, std::string>, response_stats> m_responseStats; ///< key: names of kind and version

    /// Invariant: contains a request from admission until its finish_request and, if an attempt continues, its bill.
    std::unordered_map<request_token, std::unique_ptr<open_request>> m_requests;
    /// Invariant: each entry belongs to one running request.
    std::unordered_map<attempt_token, open_attempt> m_attempts;
    std::map<attempt_token, open_rating> m_ratings;
    std::set<std::pair<instant, request_token>> m_timers; ///< at most one for each request; see open_request::timerAt
    std::set<std::pair<std::string, std::string>> m_openRequestIds; ///< (account, request id) of requests in flight
    std::unordered_map<std::uint64_t, std::uint32_t> m_runningByFingerprint; ///< number of attempts in flight
    /// (account, request id) of claims by this host whose attempt was never sent. A resend through this host may run.
    std::deque<std::pair<std::string, std::string>> m_unsentClaims;

    std::vector<core_action> m_actions;
};

} // namespace foxtaildyke
