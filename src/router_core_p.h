// Decision core of the router: a state machine over all requests in flight on one host. It does no I/O and reads no
// clock. Each input comes with its time, and the core returns actions for the caller to perform.
#pragma once

#include "admission_p.h"
#include "balancer_p.h"
#include "evidence_p.h"
#include "policy_p.h"
#include "quarantine_p.h"
#include "router_config_p.h"
#include "session_p.h"

#include <deque>
#include <map>
#include <memory>
#include <unordered_map>
#include <variant>

namespace foxtaildyke
{

// Inputs.

struct caller_request {
    request_token request{};
    std::string apiKey;
    std::string requestId; ///< `<unix seconds>-<token>`; may be empty for idempotent kinds
    std::string sessionId;
    std::string sessionToken;
    std::string kind;
    std::string prompt;
    std::uint32_t maxTokens = 0; ///< 0: the kind's limit
    std::optional<std::chrono::milliseconds> timeout; ///< relative to arrival
    bool stream = false;
    std::int64_t unixSeconds = 0; ///< wall clock at arrival; the age of the request id is checked against it
};
struct caller_gone {
    request_token request{};
};
struct attempt_chunk {
    attempt_token attempt{};
    std::string text;
};
struct attempt_done {
    attempt_token attempt{};
    std::uint32_t promptTokens = 0;
    std::uint32_t completionTokens = 0;
};
struct attempt_failed {
    attempt_token attempt{};
    attempt_failure failure = attempt_failure::not_sent;
};

/// Result of writing a claim, pin or bill to the ledger.
enum class ledger_status : std::uint8_t {
    written, ///< durable, and the first record of its type for the key
    exists_open, ///< claim: the ledger contains another claim without a bill
    exists_billed, ///< claim: already run and billed; `answer` is set if it was stored
    exists_pinned, ///< pin: an earlier pin applies; `pins` is set
    copied, ///< bill: store unavailable; a host in another failure domain has a copy
    unavailable, ///< nothing was written, and nothing will be written later
    unknown, ///< claim: it may or may not have been written
    count
};
template <>
struct enum_names<ledger_status> {
    static constexpr std::array kNames{"written", "exists_open", "exists_billed", "exists_pinned",
                                       "copied",  "unavailable", "unknown"};
};

/// Action that a ledger_response belongs to. Without it, a late or duplicate response to a pin could be taken for
/// the response to a claim.
enum class ledger_step : std::uint8_t { claim, bill, pin, count };

template <>
struct enum_names<ledger_step> {
    static constexpr std::array kNames{"claim", "bill", "pin"};
};

struct ledger_response {
    request_token request{};
    ledger_step step = ledger_step::claim;
    ledger_status status = ledger_status::unavailable;
    std::string answer; ///< stored response as JSON
    std::vector<std::string> pins; ///< version names
};
struct rating_response {
    request_token request{};
    attempt_token attempt{}; ///< as in request_rating
    std::optional<std::uint32_t> scorePermille; ///< not set: the rating service did not respond
};
struct config_changed {
    router_config_ptr config;
};
struct lease_changed {
    generation_number generation = 0;
    instant expiresAt{}; ///< dispatch under this generation is allowed only before this time
};
struct upstreams_changed {
    std::vector<upstream_info> upstreams;
};
struct load_report {
    std::string upstream;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t slots = 0;
    instant measuredAt{}; ///< by this host's clock
};
/// Totals over all hosts, from the relay.
struct evidence_update {
    std::vector<version_evidence> totals;
    std::vector<std::string> haltedVersions;
    std::vector<version_evidence> ownContribution; ///< this host's own deltas that `totals` already includes
};
/// Rated responses of other hosts since the last update, from the relay.
struct estimates_update {
    std::vector<estimate_counts> counts;
};
/// Requests that crashed upstreams on other hosts.
struct quarantine_update {
    std::vector<std::uint64_t> fingerprints; ///< blocked
    std::vector<std::uint64_t> crashed; ///< have crashed one upstream
};
/// Share of an account's limits that this host may use.
struct limit_shares {
    std::map<std::string, double> shareByAccount; ///< 0..1
};
struct timer_tick {
};
struct drain_request {
};

using core_input =
    std::variant<caller_request, caller_gone, attempt_chunk, attempt_done, attempt_failed, ledger_response,
                 rating_response, config_changed, lease_changed, upstreams_changed, load_report, evidence_update,
                 estimates_update, quarantine_update, limit_shares, timer_tick, drain_request>;

// Actions.

struct start_attempt {
    attempt_token attempt{};
    request_token request{};
    std::string upstream; ///< name in the host list
    std::string address;
    std::uint16_t port = 0;
    std::string model;
    std::string version;
    std::string prompt;
    std::string requestId;
    std::uint32_t maxTokens = 0;
    request_class priority = request_class::standard;
    generation_number generation = 0;
    std::chrono::milliseconds timeout{}; ///< time left until the attempt's deadline
};
struct cancel_attempt {
    attempt_token attempt{};
};
struct send_chunk {
    request_token request{};
    std::string text;
};
/// Final response to a request. Emitted exactly once for each caller_request.
struct finish_request {
    request_token request{};
    outcome_kind outcome = outcome_kind::not_run;
    reason_code reason = reason_code::none;
    std::string field; ///< offending field of an invalid request
    std::chrono::milliseconds retryAfter{}; ///< 0: none
    std::string requestId;
    std::string model;
    std::string version;
    std::string text; ///< part of the response that send_chunk has not delivered
    std::string sessionToken;
    std::uint32_t promptTokens = 0;
    std::uint32_t completionTokens = 0;
    std::uint64_t costMicroUnits = 0;
    std::string storedResponse; ///< response of an earlier run as JSON, if the ledger has it
};
struct write_claim {
    request_token request{};
    std::string account;
    std::string requestId;
};
struct write_bill {
    request_token request{};
    std::string account;
    std::string requestId;
    std::string model;
    std::string version;
    std::uint32_t promptTokens = 0;
    std::uint32_t completionTokens = 0;
    std::uint64_t costMicroUnits = 0;
    std::string answer; ///< response as JSON; empty if it is not stored
};
struct write_pin {
    request_token request{};
    std::string account;
    std::string sessionId;
    std::vector<std::string> versions; ///< proposed version names, one for each model that is open to the account
};
/// Requests a rating. If the request already has its final response, the rating is used as evidence only.
struct request_rating {
    request_token request{};
    attempt_token attempt{}; ///< attempt to rate; a cascade may rate several attempts of one request
    std::string kind;
    std::string text;
};
/// Evidence to share with the other hosts.
struct share_evidence {
    version_evidence delta;
};
/// Counts of rated responses to share with the other hosts.
struct share_estimates {
    std::vector<estimate_counts> delta;
};
struct share_halt {
    std::string version;
};
struct share_quarantine {
    std::uint64_t fingerprint = 0;
    bool isBlocked = true; ///< false: the request has crashed one upstream
};
/// One event for the event log.
struct record_event {
    std::string type; ///< for example "admitted", "dispatched", "escalated"
    request_token request{};
    std::string requestId;
    std::string sessionId;
    std::string account;
    std::string version;
    std::string upstream;
    generation_number generation = 0;
    std::string reason; ///< reason of the decision
};

using core_action =
    std::variant<start_attempt, cancel_attempt, send_chunk, finish_request, write_claim, write_bill, write_pin,
                 request_rating, share_evidence, share_estimates, share_halt, share_quarantine, record_event>;

/// State machine over the requests in flight on one host.
/// @remarks Meaning of the outcomes:
/// - `not_run`: no attempt of this submission was sent. If a claim was written but its attempt was never sent, a resend
///   with the same request id through this host runs. Through another host, or after a restart, the outcome is
///   `may_have_run`, because the claim stays in the ledger.
/// - `may_have_run`: a request with the same id is in flight on this host, the ledger contains another claim without a
///   stored response, or the response to a claim was lost.
/// - `failed_after_run`: an attempt was sent. A non-idempotent attempt continues past its caller's deadline or
///   disconnection until it is billed, so that a resend gets the stored response.
/// - `complete`: the bill is already written. A response whose bill can't be written is withheld (store_unavailable).
/// When a version is withdrawn, its idempotent attempts and its responses that are not yet billed are cancelled and
/// retried on another version within the retry budget, but never in a session. A non-idempotent attempt continues, as
/// its effect can't be undone. A response below the target is delivered if no stronger model can run in time.
class router_core
{
public:
    /// @param hostName name of this host; part of every attempt id.
    /// @param failureDomain failure domain of this host; upstreams in the same one are preferred.
    /// @param seed seed of the random choices; equal seeds and inputs give equal actions.
    router_core(std::string hostName, std::string failureDomain, std::uint64_t seed);
    ~router_core();

    /// Processes one input.
    /// @param now time of the input; must not decrease from one input to the next.
    void handle(const core_input &input, instant now);

    /// @returns the actions since the last call, in order.
    [[nodiscard]] std::vector<core_action> takeActions();

    /// @returns requests for each account since the last call, including refused ones. limit_shares follow this demand.
    [[nodiscard]] std::vector<account_arrivals> takeArrivals();

    /// @returns counts of rated responses by kind and version since the last call, to be shared with the other hosts.
    [[nodiscard]] std::vector<estimate_counts> takeEstimates();

    /// Adds rated responses of other hosts to the estimates.
    /// @param counts new responses since the last call, not totals.
    void learnEstimates(const std::vector<estimate_counts> &counts);

    /// @returns time of the next timer_tick, if any.
    [[nodiscard]] std::optional<instant> nextTimer() const;

    /// @returns number of requests that lack their final response or whose attempt is still in flight or not yet
    /// billed.
    [[nodiscard]] std::size_t openRequests() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace foxtaildyke
