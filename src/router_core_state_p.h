// State of the decision core, shared by the router_core*.cpp files. Each file implements one stage of a request.
#pragma once

#include "router_core_p.h"

#include <random>
#include <set>

namespace foxtaildyke
{

/// @returns what a refused caller is told to wait; 0 where waiting does not help.
[[nodiscard]] std::chrono::milliseconds retryAfterOf(reason_code reason);

/// Stage of a request that holds its admission.
enum class request_phase : std::uint8_t {
    queued, ///< waits for a slot
    pinning, ///< waits for the ledger's answer to a pin
    claiming, ///< waits for the ledger's answer to a claim
    running, ///< an attempt is in flight
    rating, ///< waits for the rating of a buffered answer
    billing, ///< waits for the ledger's answer to a bill
    count
};

template <>
struct enum_names<request_phase> {
    static constexpr std::array kNames{"queued", "pinning", "claiming", "running", "rating", "billing"};
};

/// Answer of one attempt.
struct attempt_response {
    std::string model;
    std::string version;
    std::uint32_t promptMicroUnitsPer1k = 0; ///< prices at the dispatch
    std::uint32_t completionMicroUnitsPer1k = 0;
    std::string text;
    std::uint32_t promptTokens = 0;
    std::uint32_t completionTokens = 0;
    std::uint32_t scorePermille = 0; ///< 0: not rated
};

/// A request in flight.
/// @remarks Entries of the configuration are kept by name, because handles change with the generation.
struct open_request {
    caller_request input;
    std::string requestId;
    std::string account;
    request_class priority = request_class::standard;
    bool idempotent = true; ///< as at admission; a later change of the kind must not make a claimed request repeatable
    std::uint64_t fingerprint = 0;
    std::uint64_t draw = 0; ///< random bits for the policy, the same for each decision on this request
    std::string pool; ///< service of the first version that was planned
    instant arrivedAt{};
    instant deadline{};
    request_phase phase = request_phase::queued;

    bool pinned = false; ///< pins are final: from a token or from the ledger
    std::vector<std::string> pins; ///< version names
    std::string sessionToken;

    bool claimed = false; ///< the ledger holds a claim of this request by this host
    bool mayHaveRun = false; ///< an attempt ended that an upstream may have run; never reset
    bool answered = false; ///< finish_request was given; the attempt runs on to its bill
    std::optional<attempt_token> attempt; ///< set exactly while phase is running
    attempt_token lastAttempt{}; ///< the one whose answer is rated or billed
    std::uint32_t attempts = 0; ///< all dispatches
    std::uint32_t retries = 0; ///< failed attempts that were repeated, since the last escalation
    instant timerAt{}; ///< its entry in m_deadlines
    bool callerGone = false;
    std::string avoidUpstream; ///< upstream of the failed attempt before

    std::string waitsFor; ///< version that had no free slot at the last try, or empty
    std::uint64_t waitsSinceEpoch = 0; ///< m_epoch of that try

    attempt_response answer; ///< of the attempt in flight or just ended
    std::size_t deliveredBytes = 0; ///< part of answer.text that send_chunk has delivered
    std::optional<attempt_response> held; ///< best answer below the target, while a stronger model runs
    std::string aboveModel; ///< escalated: only models after this one in the cascade are candidates
    std::uint64_t costMicroUnits = 0; ///< of all attempts with a token count
};

/// An attempt in flight.
struct open_attempt {
    request_token request{};
    std::string upstream;
    std::string service;
    std::string version;
    instant startedAt{};
    instant stopAt{}; ///< cancelled at this time where the adapter reports nothing
    bool rateFirst = false; ///< the answer is rated before it is delivered
    bool sawChunk = false;
};

/// A rating that was asked for.
struct open_rating {
    request_token request{};
    std::string kind;
    std::string stratum; ///< of the evidence
    std::string version;
    std::uint32_t targetPermille = 0;
    instant givenUpAt{};
};

/// What a dispatch would do, or why it may not be done.
struct dispatch_plan {
    reason_code reason = reason_code::none; ///< none: the plan is valid
    version_handle version;
    bool rateFirst = false;
    std::string_view why; ///< for the time line
};

/// Smoothed measures of whole answers.
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
    [[nodiscard]] finish_request withoutLease(const open_request &request) const;
    [[nodiscard]] finish_request checkAdmission(open_request &request);
    void refuse(const open_request &request, finish_request answer);

    // Dispatch: router_core_dispatch.cpp.
    [[nodiscard]] bool hasLease() const;
    /// @returns the smoothed measures of earlier answers, or nothing.
    [[nodiscard]] const response_stats *sizeOf(const open_request &request, version_handle version) const;
    [[nodiscard]] bool canEndInTime(const open_request &request, version_handle version, instant start) const;
    [[nodiscard]] bool isLeaseDue() const;
    void noteLease();
    [[nodiscard]] bool isOpenToNewSessions(version_handle version) const;
    [[nodiscard]] dispatch_plan plan(const open_request &request) const;
    [[nodiscard]] dispatch_plan candidates(const open_request &request, std::vector<version_handle> &found) const;
    [[nodiscard]] cascade_candidate estimateOf(const open_request &request, version_handle version) const;
    void pump();
    void tryStart(open_request &request);
    /// Refuses queued requests that can't start before their deadline.
    void refuseLate();
    [[nodiscard]] double msForEachStart(const open_request &request) const;
    void giveUpQueued(open_request &request, reason_code reason);
    void startPin(open_request &request);
    void startClaim(open_request &request);
    void dispatch(open_request &request, const dispatch_plan &chosen, const upstream_info &upstream);
    void enqueue(open_request &request, std::string reason);

    // Attempts: router_core_attempts.cpp.
    [[nodiscard]] open_request *requestOf(attempt_token attempt, std::string_view event);
    [[nodiscard]] bool hasOtherUpstream(const open_request &request, version_handle version) const;
    void endAttempt(open_request &request, std::optional<attempt_failure> failure);
    void cancelAttempt(open_request &request, std::string reason);
    /// @param ran an upstream may have run the failed attempt.
    void retryOrFail(open_request &request, reason_code reason, bool ran);
    [[nodiscard]] std::string_view whyNoRetry(const open_request &request, bool ran);
    void recordResult(const std::string &version, std::optional<bool> passed, const std::string &stratum = {});
    [[nodiscard]] bool isUnlikelyTimeout(const open_request &request, const open_attempt &attempt) const;
    [[nodiscard]] static std::string stratumOf(const open_request &request);
    void checkEvidence(const std::string &version);
    void settleFailure(const open_request &request, const open_attempt &attempt, attempt_failure failure);
    void noteSize(const open_request &request, const open_attempt &attempt);
    void stopWithdrawn(open_request &request);

    // Answers: router_core_completion.cpp.
    void onPinReply(open_request &request, const ledger_response &reply);
    void onClaimReply(open_request &request, const ledger_response &reply);
    void onBillReply(open_request &request, const ledger_response &reply);
    void askRating(const open_request &request);
    void onRated(open_request &request, std::optional<std::uint32_t> score);
    void escalate(open_request &request);
    void startBill(open_request &request, std::string reason);
    void fail(open_request &request, reason_code reason);
    void finish(open_request &request, finish_request answer);
    void drop(open_request &request);
    void setTimer(open_request &request, instant time);
    void onDeadline(open_request &request);
    void expireRatings();

    // Time line.
    void record(std::string type, const open_request &request, std::string reason);
    void record(std::string type, std::string reason);

    [[nodiscard]] open_request *find(request_token request);

private:
    friend class router_core;

    std::string m_hostName;
    std::mt19937_64 m_random; ///< of generated request ids
    instant m_now{}; ///< time of the input being handled
    fleet_ptr m_config; ///< null until the first configuration
    lease_changed m_lease;
    std::optional<instant> m_noLeaseSince; ///< first input without a lease for the generation in force
    bool m_draining = false;
    bool m_ratingAvailable = true;
    bool m_evidenceChanged = false;
    std::uint64_t m_epoch = 0; ///< grows whenever the plan of a queued request may change
    instant m_epochAt{}; ///< last growth by time
    instant m_tickedAt{};
    std::uint64_t m_lastAttempt = 0;

    admission m_admission;
    balancer m_balancer;
    cascade_policy m_policy;
    evidence_table m_evidence;
    quarantine m_quarantine;
    std::vector<upstream_info> m_upstreams;
    std::set<std::string, std::less<>> m_halted; ///< versions that evidence has halted, here or on another host
    std::map<std::pair<std::string, std::string>, response_stats> m_answerSizes; ///< by names of kind and version

    /// Invariant: holds a request from its admission until its finish_request and, where an attempt runs on, its bill.
    std::unordered_map<request_token, std::unique_ptr<open_request>> m_requests;
    std::unordered_map<attempt_token, open_attempt> m_attempts; ///< invariant: each belongs to one running request
    std::map<attempt_token, open_rating> m_ratings;
    std::set<std::pair<instant, request_token>> m_deadlines; ///< timers of requests; see open_request::timerAt
    std::set<std::pair<std::string, std::string>> m_keys; ///< (account, request id) in flight
    std::unordered_map<std::uint64_t, std::uint32_t> m_running; ///< attempts in flight by fingerprint
    /// Claims that this host wrote and certainly never sent; a resend through this host may still run.
    std::deque<std::pair<std::string, std::string>> m_unsentClaims;

    std::vector<core_action> m_actions;
};

} // namespace foxtaildyke
