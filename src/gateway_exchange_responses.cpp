// One request on its way: answers of replicas and what follows them; see gateway_exchange_p.h.
#include "gateway_exchange_p.h"

#include "http_status_p.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace foxtaildyke
{

namespace
{

constexpr int kFirstRedirect = 300;
constexpr int kServerError = 500;

/// Longest answer of a plain call that is held until it is whole.
constexpr std::size_t kMostBodyBytes = 16U << 20U;

/// Earliest and latest time after which a refused caller may come back; spread so that callers don't return together.
constexpr double kLeastRetryAfterS = 0.3;
constexpr double kMostRetryAfterS = 1.0;

bool isSuccess(int status)
{
    return status >= http_status::kOk && status < kFirstRedirect;
}

/// @returns whether a status promises that the request has not run.
bool promisesNotRun(int status)
{
    return status == http_status::kRequestTimeout || status == http_status::kMisdirectedRequest
        || status == http_status::kTooManyRequests || status == http_status::kServiceUnavailable;
}

} // namespace

struct gateway_exchange::refusal_row {
    int status;
    std::string_view reason; ///< in logs and metrics
    bool asksToReturn; ///< with a time after which to come back
};

const gateway_exchange::refusal_row &gateway_exchange::rowOf(refusal reason)
{
    static constexpr std::array kRows{
        refusal_row{503, "no_config", true},      refusal_row{503, "no_key_lease", true},
        refusal_row{404, "unknown_route", false}, refusal_row{401, "unknown_key", false},
        refusal_row{400, "missing_id", false},    refusal_row{503, "no_replica", true},
        refusal_row{503, "not_run", true},        refusal_row{502, "failed", false},
        refusal_row{504, "deadline", false},
    };
    static_assert(kRows.size() == static_cast<std::size_t>(refusal::count));
    return kRows[static_cast<std::size_t>(reason)];
}

void gateway_exchange::onUpstreamHead(const message_head &head)
{
    m_firstByteAt = suspendAwareNow();
    m_answer = head;
    m_state.replicas.recordFirstByte(m_replica, std::exchange(m_promptMs, 0));
    const bool isUsable = !head.header(m_state.headerNames.stamp).empty() && head.header("Content-Encoding").empty();
    if (!isSuccess(head.status) || !isUsable)
        return;
    if (const auto model = escalation(head))
        return escalate(*model);
    m_isStream = m_route->retryRule == retry_rule::stream;
}

std::optional<std::size_t> gateway_exchange::escalation(const message_head &head) const
{
    if (m_route->models.empty() || m_hasBegun)
        return std::nullopt;
    cascade_step step;
    step.models = m_route->models.size();
    step.current = m_model;
    step.sends = m_sends;
    step.maxSends = m_route->maxAttempts;
    step.confidence = parseNumber(head.header(m_state.headerNames.confidence));
    step.elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(suspendAwareNow() - m_request.readAt);
    step.objective = m_route->objective;
    const auto next = nextModel(m_state.ladder, step);
    const bool isAffordable =
        next && m_state.budget.tryConsumeRetry(m_service, retry_reason::escalation, suspendAwareNow());
    return isAffordable ? next : std::nullopt;
}

void gateway_exchange::escalate(std::size_t model)
{
    m_state.metrics.recordAttempt(m_service, m_replicaVersion, "escalated");
    m_mayHaveRun = true;
    closeAttempt(true);
    m_model = model;
    m_tried.clear(); // the same replica has read the prompt and may well run the larger model
    attempt();
}

void gateway_exchange::onUpstreamBody(std::string_view bytes)
{
    if (!m_isStream) {
        if (m_body.size() <= kMostBodyBytes)
            m_body.append(bytes);
        return;
    }
    m_events.feed(bytes, [this](std::string_view event, std::optional<std::uint64_t> id) { passEvent(event, id); });
    if (m_callerResponse.pendingBytes() > kCallerBacklogBytes)
        m_upstream->setReading(false);
}

void gateway_exchange::passEvent(std::string_view event, std::optional<std::uint64_t> id)
{
    if (m_eventCount++ == 0)
        m_firstEventAt = suspendAwareNow();
    // A resumed stream may begin with events that the caller has.
    if (id && m_lastEventId && *id <= *m_lastEventId)
        return;
    if (!m_hasBegun)
        beginStream();
    m_callerResponse.streamBytes(event);
    if (id)
        m_lastEventId = id;
}

void gateway_exchange::beginStream()
{
    m_hasBegun = true;
    m_state.metrics.recordFirstEvent(m_route->name, suspendAwareNow() - m_request.readAt);
    m_callerResponse.startStream(m_answer.status, forwardedResponseHeaders(m_answer));
}

attempt_result gateway_exchange::classify(upstream_end end) const
{
    if (end == upstream_end::not_connected)
        return attempt_result::not_connected;
    if (end == upstream_end::malformed)
        return attempt_result::unusable;
    if (end == upstream_end::broken)
        return attempt_result::broken;
    if (m_answer.status == http_status::kMisdirectedRequest)
        return attempt_result::wrong_replica;
    if (!m_answer.header(m_state.headerNames.notRun).empty())
        return attempt_result::not_run;
    if (m_answer.status >= kServerError)
        return attempt_result::server_error;
    // The caller has the beginning of a stream; nothing else can follow it.
    if (m_hasBegun && !m_isStream)
        return attempt_result::unusable;
    const bool isWhole = m_body.size() <= kMostBodyBytes && m_answer.header("Content-Encoding").empty();
    const bool isStamped = !m_answer.header(m_state.headerNames.stamp).empty();
    if (!isWhole || (isSuccess(m_answer.status) && !isStamped) || promisesNotRun(m_answer.status))
        return attempt_result::unusable;
    return attempt_result::answered;
}

void gateway_exchange::onUpstreamEnd(upstream_end end)
{
    const auto result = classify(end);
    m_mayHaveRun = m_mayHaveRun || !hasCertainlyNotRun(result);
    recordAttempt(result);
    if (result == attempt_result::wrong_replica || result == attempt_result::not_connected)
        m_state.replicas.recordUnreachable(m_replica, suspendAwareNow());
    closeAttempt(result == attempt_result::answered);
    follow(result);
}

void gateway_exchange::recordAttempt(attempt_result result)
{
    const auto now = suspendAwareNow();
    m_state.metrics.recordAttempt(m_service, m_replicaVersion, nameOf(result));
    noteVersionAnswer(result);
    if (result == attempt_result::answered)
        return;
    m_state.log.write("attempt_failed",
                      {{"request_id", m_facts.id},
                       {"upstream", m_replica},
                       {"version", m_replicaVersion},
                       {"result", nameOf(result)},
                       {"status", m_answer.status},
                       {"ms", (now - m_sentAt).count() / 1000},
                       {"sends", m_sends}},
                      log_subject::request);
}

void gateway_exchange::noteVersionAnswer(attempt_result result)
{
    if (result != attempt_result::answered && result != attempt_result::server_error)
        return;
    const auto now = suspendAwareNow();
    const std::string stratum =
        m_route->models.empty() ? m_route->name : m_route->name + '/' + m_route->models[m_model];
    version_response answer;
    answer.service = m_service;
    answer.version = m_replicaVersion;
    answer.stratum = stratum;
    answer.replica = m_replica;
    answer.isFailure = result == attempt_result::server_error;
    constexpr std::uint32_t kEventsForPace = 3;
    if (m_route->retryRule != retry_rule::stream)
        answer.latency = now - m_sentAt;
    else if (m_eventCount >= kEventsForPace)
        answer.latency = (now - *m_firstEventAt) / (m_eventCount - 1);
    m_state.rollouts.recordResponse(answer);
}

void gateway_exchange::closeAttempt(std::optional<bool> isGood)
{
    m_state.replicas.recordEnd(m_replica, std::exchange(m_promptMs, 0), isGood, suspendAwareNow());
    m_upstream.reset();
}

void gateway_exchange::follow(attempt_result result)
{
    attempt_outcome facts;
    facts.result = result;
    facts.mayRetry = m_route->mayRetry();
    facts.mayHaveRun = m_mayHaveRun;
    facts.hasCallerBytes = m_hasBegun;
    facts.maxSends = m_route->maxAttempts;
    facts.left = left();
    if (result == attempt_result::not_connected && ++m_connectFailures <= kMostConnectFailures)
        --m_sends; // no replica has seen it
    facts.sends = m_sends;
    repeat(result, facts);
}

void gateway_exchange::repeat(attempt_result result, attempt_outcome facts)
{
    auto step = nextStepAfter(facts);
    const bool isArrival = result != attempt_result::not_connected;
    if (step == next_step::retry && isArrival
        && !m_state.budget.tryConsumeRetry(m_service, retry_reason::failure, suspendAwareNow())) {
        facts.sends = facts.maxSends;
        step = nextStepAfter(facts);
    }
    switch (step) {
    case next_step::pass_on:
        return passOn();
    case next_step::retry:
        return attempt();
    case next_step::refuse:
        return refuse(refusal::not_run);
    case next_step::cut_off:
        return cutOff(nameOf(result));
    default:
        return refuse(refusal::failed);
    }
}

void gateway_exchange::passOn()
{
    // A status that promises "not run" without the replica's word for it must not reach the caller.
    if (promisesNotRun(m_answer.status))
        return refuse(refusal::failed);
    finish(m_answer.status, "answered");
    if (!m_isStream)
        return m_callerResponse.sendResponse(m_answer.status, forwardedResponseHeaders(m_answer), m_body);
    if (!m_hasBegun)
        beginStream();
    m_callerResponse.streamBytes(m_events.rest());
    m_callerResponse.endStream();
}

void gateway_exchange::refuse(refusal reason)
{
    const auto &row = rowOf(reason);
    finish(row.status, row.reason);
    http_headers headers;
    if (!m_facts.id.empty())
        headers.emplace_back(m_state.headerNames.requestId, m_facts.id);
    if (row.asksToReturn)
        headers.emplace_back("Retry-After", retryAfter());
    m_callerResponse.sendResponse(row.status, headers, {});
}

void gateway_exchange::cutOff(std::string_view reason)
{
    finish(m_answer.status, reason);
    m_callerResponse.abort();
}

std::string gateway_exchange::retryAfter()
{
    std::uniform_real_distribution<double> spread(kLeastRetryAfterS, kMostRetryAfterS);
    std::array<char, 16> text{};
    const auto end = std::to_chars(text.begin(), text.end(), spread(m_state.random), std::chars_format::fixed, 2).ptr;
    return {text.begin(), end};
}

} // namespace foxtaildyke
