// Processing of one request: handling of replica responses; see gateway_exchange_p.h.
#include "gateway_exchange_p.h"

#include "http_status_p.h"
#include "text_hash_p.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace foxtaildyke
{

namespace
{

constexpr int kServerError = 500;

/// Largest non-streamed response; such a response is buffered until it is complete.
constexpr std::size_t kMaxBodyBytes = 16U << 20U;
/// Largest event of a stream. Events hold a few tokens; a longer one is no event of a model.
constexpr std::size_t kMaxEventBytes = 256U << 10U;

/// Range of the Retry-After value; it is randomized so that refused callers don't retry at the same time.
constexpr double kMinRetryAfterS = 0.3;
constexpr double kMaxRetryAfterS = 1.0;

} // namespace

struct gateway_exchange::refusal_row {
    int status;
    std::string_view reason; ///< in logs and metrics
    bool hasRetryAfter; ///< the response has a Retry-After header
};

const gateway_exchange::refusal_row &gateway_exchange::rowOf(refusal reason)
{
    static constexpr std::array kRows{
        refusal_row{503, "no_config", true},      refusal_row{503, "no_key_lease", true},
        refusal_row{404, "unknown_route", false}, refusal_row{401, "unknown_key", false},
        refusal_row{400, "missing_id", false},    refusal_row{503, "no_replica", true},
        refusal_row{503, "unreachable", true},    refusal_row{503, "rate_limited", true},
        refusal_row{503, "paused", true},         refusal_row{503, "full", true},
        refusal_row{503, "quarantined", true},    refusal_row{503, "not_run", true},
        refusal_row{502, "failed", false},        refusal_row{504, "deadline", false},
        refusal_row{503, "stopping", true},
    };
    static_assert(kRows.size() == static_cast<std::size_t>(refusal::count));
    return kRows[static_cast<std::size_t>(reason)];
}

void gateway_exchange::onUpstreamConnected()
{
    m_state.reach.recordConnected(m_service, m_sentAt, suspendAwareNow());
}

void gateway_exchange::onUpstreamHead(const message_head &head)
{
    m_firstByteAt = suspendAwareNow();
    m_state.reach.recordReceived(m_service, *m_firstByteAt);
    m_response = head;
    m_statement = m_state.headerNames.decodeStatement(head);
    m_state.replicas.recordFirstByte(m_replica, std::exchange(m_promptMs, 0));
    recordStatement();
    const bool isUsable = m_statement.isStamped && head.header("Content-Encoding").empty();
    if (!http_status::isSuccess(head.status) || !isUsable)
        return;
    if (const auto model = escalation())
        return escalate(*model);
    m_isStream = m_route->retryRule == retry_rule::stream && isEventStream(head);
}

void gateway_exchange::recordStatement()
{
    if (m_response.status == http_status::kMisdirectedRequest)
        return; // another replica at the address
    const replica_run replica{m_replica, m_replicaStartedAtMs};
    logStatementEffect(m_state.gate.recordStatement(replica, m_statement, m_sentAt, *m_firstByteAt));
}

void gateway_exchange::logStatementEffect(const statement_effect &effect) const
{
    for (const auto &unusable : m_statement.unusable)
        m_state.log.write("replica_statement_invalid",
                          {{"request_id", m_metadata.id},
                           {"upstream", m_replica},
                           {"field", nameOf(unusable.field)},
                           {"text", unusable.text}},
                          log_subject::request);
    if (effect.isNewlyLeaving)
        m_state.log.write("replica_leaving", {{"upstream", m_replica}, {"request_id", m_metadata.id}});
    if (effect.pause)
        m_state.log.write("replica_paused",
                          {{"upstream", m_replica},
                           {"request_id", m_metadata.id},
                           {"ms", effect.pause->count()},
                           {"stated_s", *m_statement.retryAfterSeconds},
                           {"bounded", effect.isPauseBounded}},
                          log_subject::request);
    if (effect.hasBrittlenessChanged) {
        nlohmann::ordered_json brittle{{"upstream", m_replica},
                                       {"brittle", m_statement.bearableRejections.has_value()}};
        if (m_statement.bearableRejections)
            brittle["rejections_per_second"] = *m_statement.bearableRejections;
        m_state.log.write("replica_brittle", brittle);
    }
    if (!effect.hasLimitChanged)
        return;
    nlohmann::ordered_json fields{{"upstream", m_replica}};
    if (m_statement.rateLimit)
        fields["per_second"] = *m_statement.rateLimit;
    if (effect.limitBefore)
        fields["before"] = *effect.limitBefore;
    m_state.log.write(m_statement.rateLimit ? "replica_limit_advertised" : "replica_limit_ended", fields);
}

std::optional<std::size_t> gateway_exchange::escalation()
{
    const bool hasFixedModel = m_servedDetour && m_servedDetour->model;
    if (m_route->models.empty() || hasFixedModel || !mayUseKey())
        return std::nullopt;
    cascade_step step{runHistory()};
    step.models = m_route->models.size();
    step.current = m_model;
    step.confidence = m_statement.confidence;
    step.elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(suspendAwareNow() - m_request->readAt);
    step.objective = m_route->objective;
    const auto next = nextModel(m_state.cascade, step);
    if (!next)
        return std::nullopt;
    const bool isAllowed = tryConsumeRetry(retry_reason::escalation);
    m_state.log.write("escalation",
                      {{"request_id", m_metadata.id},
                       {"upstream", m_replica},
                       {"from", m_route->models[m_model]},
                       {"to", m_route->models[*next]},
                       {"confidence", m_statement.confidence.value_or(0)},
                       {"threshold", m_state.cascade.confidenceToKeep},
                       {"ms", step.elapsed.count()},
                       {"sends", m_sends},
                       {"outcome", isAllowed ? "escalated" : "denied by the retry budget"}},
                      log_subject::request);
    return isAllowed ? next : std::nullopt;
}

void gateway_exchange::escalate(std::size_t model)
{
    m_state.metrics.recordAttempt(m_service, m_replicaVersion, "escalated");
    m_mayHaveRun = true;
    closeAttempt(true);
    m_model = model;
    m_triedReplicas.clear(); // the same replica has processed the prompt and may be suitable for the larger model
    attempt();
}

bool gateway_exchange::bufferBody(std::string_view bytes)
{
    if (m_body.size() + bytes.size() > kMaxBodyBytes
        || m_state.bufferedBodyBytes + bytes.size() > m_state.responseBytesLimit)
        return false;
    m_body.append(bytes);
    m_state.bufferedBodyBytes += bytes.size();
    return true;
}

void gateway_exchange::clearBody()
{
    m_state.bufferedBodyBytes -= m_body.size();
    m_body = {};
}

bool gateway_exchange::onUpstreamBody(std::string_view bytes)
{
    m_state.reach.recordReceived(m_service, suspendAwareNow());
    return readBody(bytes);
}

bool gateway_exchange::readBody(std::string_view bytes)
{
    if (!m_isStream)
        return bufferBody(bytes);
    m_events.feed(bytes, [this](std::string_view event, std::optional<std::uint64_t> id) { forwardEvent(event, id); });
    if (m_callerResponse.pendingBytes() > kMaxCallerBacklogBytes)
        m_upstream->setReading(false);
    return m_events.rest().size() <= kMaxEventBytes;
}

void gateway_exchange::forwardEvent(std::string_view event, std::optional<std::uint64_t> id)
{
    if (m_eventCount++ == 0) {
        m_firstEventAt = suspendAwareNow();
        startEvidenceTimer();
    }
    if (m_eventCount == kEventsForBegin)
        recordBegun();
    if (m_eventCount == kEventsForEvidence)
        recordEvidence(false, versionLatency());
    // A resumed stream may begin with events that the caller has already received.
    if (id && m_lastEventId && *id <= *m_lastEventId)
        return;
    if (!m_hasStreamStarted)
        beginStream();
    m_callerResponse.streamBytes(event);
    if (id)
        m_lastEventId = id;
}

void gateway_exchange::beginStream()
{
    m_hasStreamStarted = true;
    m_state.metrics.recordFirstEvent(m_route->name, suspendAwareNow() - m_request->readAt);
    m_callerResponse.startStream(m_response.status, responseHeaders());
}

bool gateway_exchange::isWholeStream()
{
    const bool endsBetweenEvents =
        m_events.finish([this](std::string_view event, std::optional<std::uint64_t> id) { forwardEvent(event, id); });
    // A connection that is closed before the first event says nothing about the events that were to follow.
    return endsBetweenEvents && (m_eventCount > 0 || m_response.framing != body_framing::connection_end);
}

attempt_result gateway_exchange::classify(upstream_end end)
{
    if (end == upstream_end::not_connected)
        return attempt_result::not_connected;
    if (end == upstream_end::malformed)
        return attempt_result::unusable;
    if (end == upstream_end::broken)
        return attempt_result::broken;
    if (m_response.status == http_status::kMisdirectedRequest)
        return attempt_result::wrong_replica;
    if (m_statement.hasNotRun)
        return attempt_result::not_run;
    if (m_response.status >= kServerError)
        return attempt_result::server_error;
    // The caller has received the beginning of a stream; only events of that stream can follow.
    if (m_hasStreamStarted && !m_isStream)
        return attempt_result::unusable;
    const bool isEncoded = !m_response.header("Content-Encoding").empty();
    if (isEncoded || (http_status::isSuccess(m_response.status) && !m_statement.isStamped)
        || impliesNotRun(m_response.status))
        return attempt_result::unusable;
    return m_isStream && !isWholeStream() ? attempt_result::truncated : attempt_result::answered;
}

void gateway_exchange::onUpstreamEnd(upstream_end end)
{
    if (end == upstream_end::complete)
        m_respondedReplicas.insert(m_replica);
    const auto result = classify(end);
    m_mayHaveRun = m_mayHaveRun || !hasCertainlyNotRun(result);
    recordAttempt(result);
    recordCrashEvidence(result);
    if (result != attempt_result::answered && result != attempt_result::server_error)
        clearBody();
    const auto now = suspendAwareNow();
    if (result == attempt_result::wrong_replica)
        m_state.replicas.recordUnreachable(m_replica, now);
    // These may be failures of this host's network instead of the replica.
    const bool isAmbiguous = result == attempt_result::not_connected || result == attempt_result::broken;
    if (result == attempt_result::not_connected) {
        m_state.reach.recordConnectFailure(m_service, m_replica, m_sentAt, now);
        attributeFailure(contact_kind::connection, m_sentAt);
    } else if (result == attempt_result::broken) {
        attributeFailure(contact_kind::any, now);
    }
    // A replica that states how long it wants no requests doesn't fail; it gets none until then.
    const bool isPaused = m_statement.retryAfterSeconds.has_value();
    closeAttempt(isPaused || isAmbiguous ? std::nullopt : std::optional(result == attempt_result::answered));
    handleAttemptResult(result);
}

void gateway_exchange::recordAttempt(attempt_result result)
{
    const auto now = suspendAwareNow();
    m_state.metrics.recordAttempt(m_service, m_replicaVersion, nameOf(result));
    if (m_isStream)
        m_state.metrics.recordStreamEnd(nameOf(m_response.framing), nameOf(result), !m_events.rest().empty());
    recordVersionResponse(result);
    if (result == attempt_result::answered)
        return;
    nlohmann::ordered_json fields{{"request_id", m_metadata.id},
                                  {"fingerprint", hexText(m_fingerprint)},
                                  {"upstream", m_replica},
                                  {"version", m_replicaVersion},
                                  {"result", nameOf(result)},
                                  {"status", m_response.status},
                                  {"ms", (now - m_sentAt).count() / 1000},
                                  {"sends", m_sends}};
    addStreamFields(fields);
    if (!m_metadata.sharedParts.empty())
        fields["prompt_parts"] = hexTexts(m_metadata.sharedParts);
    m_state.log.write("attempt_failed", fields, log_subject::request);
}

void gateway_exchange::addStreamFields(nlohmann::ordered_json &fields) const
{
    if (!m_isStream)
        return;
    fields["framing"] = nameOf(m_response.framing);
    fields["events"] = m_eventCount;
    fields["unfinished_bytes"] = m_events.rest().size();
}

void gateway_exchange::closeAttempt(std::optional<bool> isGood)
{
    m_silenceTimer.stop();
    if (m_detour) {
        m_state.detours.recordEnd(*m_detour);
        m_detour.reset();
        m_upstream.reset();
        return;
    }
    m_state.replicas.recordEnd(m_replica, std::exchange(m_promptMs, 0), isGood, m_sentAt, suspendAwareNow());
    m_upstream.reset();
}

void gateway_exchange::handleAttemptResult(attempt_result result)
{
    if (result == attempt_result::not_connected && ++m_connectFailures <= kMaxConnectFailures)
        --m_sends; // no replica has received the request
    attempt_outcome outcome{runHistory()};
    outcome.result = result;
    retryOrFinish(result, outcome);
}

bool gateway_exchange::tryConsumeRetry(retry_reason reason)
{
    const bool isAllowed = m_state.budget.tryConsumeRetry(m_service, reason, suspendAwareNow());
    m_state.metrics.recordRetry(m_service, nameOf(reason), isAllowed);
    return isAllowed;
}

void gateway_exchange::retryOrFinish(attempt_result result, attempt_outcome outcome)
{
    auto step = nextStepAfter(outcome);
    const bool hasReachedReplica = result != attempt_result::not_connected;
    if (step == next_step::retry && hasReachedReplica && !tryConsumeRetry(retry_reason::failure)) {
        outcome.sends = outcome.maxSends;
        step = nextStepAfter(outcome);
    }
    switch (step) {
    case next_step::pass_on:
        return forwardResponse();
    case next_step::retry:
        if (m_model == 0 && !m_hasStreamStarted)
            chooseFirstModel(); // the retry may have used up what an escalation would need
        if (m_connectFailures >= kFailuresToDelay && m_state.reach.isInDoubt(m_service))
            return m_retryTimer.start(kRetryDelay);
        return attempt();
    case next_step::refuse:
        return refuse(refusal::not_run);
    case next_step::cut_off:
        return abortResponse(nameOf(result));
    default:
        return refuse(refusal::failed);
    }
}

void gateway_exchange::forwardResponse()
{
    // A status that implies "not run" must not reach the caller unless the replica stated that the request has not run.
    if (impliesNotRun(m_response.status))
        return refuse(refusal::failed);
    passOn("answered");
}

void gateway_exchange::passOn(std::string_view reason)
{
    finish(m_response.status, reason);
    if (!m_isStream)
        return m_callerResponse.sendResponse(m_response.status, responseHeaders(), m_body);
    if (!m_hasStreamStarted)
        beginStream();
    m_callerResponse.streamBytes(m_events.rest());
    m_callerResponse.endStream();
}

void gateway_exchange::refuse(refusal reason)
{
    const auto &row = rowOf(reason);
    finish(row.status, row.reason);
    http_headers headers;
    if (!m_metadata.id.empty())
        headers.emplace_back(m_state.headerNames.requestId, m_metadata.id);
    if (row.hasRetryAfter)
        headers.emplace_back("Retry-After", retryAfter(reason));
    if (reason == refusal::unreachable)
        m_callerResponse.closeAfterResponse(); // a new connection may reach another host
    m_callerResponse.sendResponse(row.status, headers, {});
}

void gateway_exchange::abortResponse(refusal reason)
{
    abortResponse(rowOf(reason).reason);
}

void gateway_exchange::abortResponse(std::string_view reason)
{
    finish(m_response.status, reason);
    m_callerResponse.abort();
}

/// @returns the Retry-After value in seconds: the rest of the quarantine, the time at which there is room for the
/// request, or a short random time.
std::string gateway_exchange::retryAfter(refusal reason)
{
    std::uniform_real_distribution<double> spread(kMinRetryAfterS, kMaxRetryAfterS);
    double seconds = spread(m_state.random);
    if (reason == refusal::rate_limited || reason == refusal::paused) {
        const auto delay = m_state.gate.returnDelay(m_service, m_exclusion, suspendAwareNow());
        seconds = std::chrono::duration<double>(delay).count();
    }
    if (reason == refusal::quarantined)
        seconds += std::chrono::duration<double>(m_block->remaining).count();
    std::array<char, 16> text{};
    const auto end = std::to_chars(text.begin(), text.end(), seconds, std::chars_format::fixed, 2).ptr;
    return {text.begin(), end};
}

} // namespace foxtaildyke
