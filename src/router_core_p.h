// Decision core of the router: a state machine over all requests in flight of one host. It does no I/O and reads no
// clock; inputs come with their time, and what has to be done comes back as actions.
#pragma once

#include "admission_p.h"
#include "balancer_p.h"
#include "evidence_p.h"
#include "fleet_p.h"
#include "policy_p.h"
#include "quarantine_p.h"
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
    std::optional<std::chrono::milliseconds> deadline; ///< from arrival
    bool stream = false;
    std::int64_t unixSeconds = 0; ///< wall clock at arrival, to check the age of the request id
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

/// Answer of the ledger to a claim, pin or bill.
enum class ledger_status : std::uint8_t {
    written, ///< durable, and the first of its type for the key
    exists_open, ///< claim: another claim without a bill
    exists_billed, ///< claim: already run and billed; `answer` is set where it was stored
    exists_pinned, ///< pin: an earlier pin holds; `pins` is set
    copied, ///< bill: store down; a host in another failure domain holds a copy
    unavailable, ///< nothing was written and nothing will be
    unknown, ///< claim: it may or may not have been written
    count
};
template <>
struct enum_names<ledger_status> {
    static constexpr std::array kNames{"written", "exists_open", "exists_billed", "exists_pinned",
                                       "copied",  "unavailable", "unknown"};
};

/// Which action a ledger_response answers. Without it a pin's late or doubled reply could pass for a claim's.
enum class ledger_step : std::uint8_t { claim, bill, pin, count };

template <>
struct enum_names<ledger_step> {
    static constexpr std::array kNames{"claim", "bill", "pin"};
};

struct ledger_response {
    request_token request{};
    ledger_step step = ledger_step::claim;
    ledger_status status = ledger_status::unavailable;
    std::string answer; ///< stored answer as JSON
    std::vector<std::string> pins; ///< version names
};
struct rating_response {
    request_token request{};
    attempt_token attempt{}; ///< as in request_rating
    std::optional<std::uint32_t> scorePermille; ///< nothing: the rating service did not answer
};
struct config_changed {
    fleet_ptr config;
};
struct lease_changed {
    generation_number generation = 0;
    instant expiresAt{}; ///< no dispatch under this generation at or after this time
};
struct upstreams_changed {
    std::vector<upstream_info> upstreams;
};
struct load_report {
    std::string upstream;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t slots = 0;
    instant measuredAt{}; ///< on this host's clock
};
/// Totals over all hosts, from the relay.
struct evidence_update {
    std::vector<version_evidence> totals;
    std::vector<std::string> haltedVersions;
    std::vector<version_evidence> ownContribution; ///< what `totals` holds of this host's deltas
};
/// Rated answers of other hosts that are new since the last update, from the relay.
struct estimates_update {
    std::vector<estimate_counts> counts;
};
struct quarantine_update {
    std::vector<std::uint64_t> fingerprints;
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
    std::chrono::milliseconds timeout{}; ///< until the attempt's deadline
};
struct cancel_attempt {
    attempt_token attempt{};
};
struct send_chunk {
    request_token request{};
    std::string text;
};
/// Final answer of a request. Exactly one for each caller_request.
struct finish_request {
    request_token request{};
    outcome_kind outcome = outcome_kind::not_run;
    reason_code reason = reason_code::none;
    std::string field; ///< names the offending field of an invalid request
    std::chrono::milliseconds retryAfter{}; ///< 0: none
    std::string requestId;
    std::string model;
    std::string version;
    std::string text; ///< buffered part of the answer that send_chunk has not delivered
    std::string sessionToken;
    std::uint32_t promptTokens = 0;
    std::uint32_t completionTokens = 0;
    std::uint64_t costMicroUnits = 0;
    std::string storedResponse; ///< JSON of an earlier run, where the ledger had it
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
    std::string answer; ///< JSON; empty where it is not kept
};
struct write_pin {
    request_token request{};
    std::string account;
    std::string sessionId;
    std::vector<std::string> versions; ///< proposed version names, one for each model that is open to the account
};
/// The request may already have its final answer; the reply is then used as evidence only.
struct request_rating {
    request_token request{};
    attempt_token attempt{}; ///< whose answer is rated; a cascade rates several answers of one request
    std::string kind;
    std::string text;
};
/// Evidence to share with the other hosts.
struct share_evidence {
    version_evidence delta;
};
/// Rated answers to share with the other hosts.
struct share_estimates {
    std::vector<estimate_counts> delta;
};
struct share_halt {
    std::string version;
};
struct share_quarantine {
    std::uint64_t fingerprint = 0;
};
/// One line of the time line.
struct record_event {
    std::string type; ///< for example "admitted", "dispatched", "escalated"
    request_token request{};
    std::string requestId;
    std::string sessionId;
    std::string account;
    std::string version;
    std::string upstream;
    generation_number generation = 0;
    std::string reason; ///< why the core decided so
};

using core_action =
    std::variant<start_attempt, cancel_attempt, send_chunk, finish_request, write_claim, write_bill, write_pin,
                 request_rating, share_evidence, share_estimates, share_halt, share_quarantine, record_event>;

/// State machine over the requests in flight of one host.
/// @remarks What a caller is told:
/// - `not_run`: no attempt of this submission was sent. Where a claim was written but its attempt was certainly never
///   sent, a resend with the same request id through this host runs; through another host, or after a restart, it is
///   answered `may_have_run`, because the claim stays in the ledger.
/// - `may_have_run`: an equal request id is in flight here, the ledger holds another claim without a stored answer, or
///   the reply to a claim was lost.
/// - `failed_after_run`: an attempt was sent. A non-idempotent one runs on past its caller's deadline or disconnection
///   to its bill, so that a resend gets the stored answer.
/// - `complete`: the bill was written before. An answer whose bill can't be written is withheld (store_unavailable).
/// An idempotent attempt, or an answer not yet billed, of a version that is withdrawn is cancelled and repeated on
/// another version within the retry budget, but never in a session. A non-idempotent one runs on, as its effect can't
/// be undone. An answer below the target is delivered where no stronger model can run in time.
class router_core
{
public:
    /// @param hostName name of this host; part of every attempt id.
    /// @param failureDomain where this host stands; near upstreams are preferred.
    /// @param seed of the random choices; equal seeds and inputs give equal actions.
    router_core(std::string hostName, std::string failureDomain, std::uint64_t seed);
    ~router_core();

    /// Takes one input.
    /// @param now time of the input; never before the time of the input before.
    void handle(const core_input &input, instant now);

    /// @returns the actions since the last call, in order.
    [[nodiscard]] std::vector<core_action> takeActions();

    /// @returns requests per account since the last call, refused ones included: the demand that limit_shares follow.
    [[nodiscard]] std::vector<account_arrivals> takeArrivals();

    /// @returns rated answers per kind and version since the last call, to be shared with the other hosts.
    [[nodiscard]] std::vector<estimate_counts> takeEstimates();

    /// Takes rated answers of other hosts into account.
    /// @param counts new answers only, not sums.
    void learnEstimates(const std::vector<estimate_counts> &counts);

    /// @returns when timer_tick is due next, or nothing.
    [[nodiscard]] std::optional<instant> nextTimer() const;

    /// @returns requests that have no final answer yet, and those whose attempt still runs on to its bill.
    [[nodiscard]] std::size_t openRequests() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace foxtaildyke
