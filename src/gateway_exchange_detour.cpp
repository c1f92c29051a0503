// Processing of one request: detours through a host that reaches the replicas, in place of this host or for another
// one; see gateway_exchange_p.h. The host that serves the request applies all rules on it, as for a request of its own;
// the host that received it passes the response on, and decides what follows when it is lost.
#include "gateway_exchange_p.h"

#include "http_status_p.h"

#include <nlohmann/json.hpp>

namespace foxtaildyke
{

namespace
{

/// Requests of other hosts that a host serves at the same time, at most: twice what a host has in progress itself at
/// the highest rates of the deployments.
constexpr std::uint32_t kMaxDetoursServed = 256;

/// Time by which the deadline of the serving host is earlier, so that its answer arrives in time.
constexpr std::chrono::milliseconds kDetourMargin{10};

} // namespace

std::optional<http_endpoint> gateway_exchange::chooseDetour()
{
    const auto since = m_state.reach.failingSince(m_service);
    if (m_servedDetour || !since || !m_state.reach.isCutOff(m_service))
        return std::nullopt;
    return m_state.detours.choose(m_service, *since, m_triedHosts, suspendAwareNow());
}

void gateway_exchange::sendDetour(const http_endpoint &host)
{
    detour_request detour;
    detour.host = m_state.settings.host;
    detour.service = m_service;
    detour.generation = m_config->version;
    detour.sends = m_sends;
    if (m_hasStreamStarted)
        detour.model = m_model;
    const auto lastEventId = m_hasStreamStarted ? m_lastEventId : std::nullopt;
    const auto timeout = std::max(std::chrono::milliseconds{1}, remainingTime() - kDetourMargin);
    resetAttempt();
    m_replica.clear();
    m_replicaVersion.clear();
    m_detour = host;
    m_triedHosts.insert(host);
    m_detourRefusal = detour_refusal::none;
    m_state.detours.recordStart(host);
    m_state.log.write("detour",
                      {{"request_id", m_metadata.id},
                       {"service", m_service},
                       {"host", textOf(host)},
                       {"sends", m_sends},
                       {"remaining_ms", timeout.count()}},
                      log_subject::request);
    upstream_request request{host,
                             "detour " + textOf(host),
                             detourHead(*m_request, detour, timeout, lastEventId, m_state.headerNames),
                             sharedBody(),
                             m_metadata.id,
                             false};
    m_upstream = std::make_unique<upstream_exchange>(m_state.pool, std::move(request), m_detourHandler);
}

void gateway_exchange::onDetourHead(const message_head &head)
{
    m_firstByteAt = suspendAwareNow();
    m_response = head;
    const auto detour = takeDetourResponse(m_response);
    m_detourRefusal = detour.refusal;
    m_statement = m_state.headerNames.decodeStatement(m_response);
    if (detour.replica) {
        // This host will send to the replica again, and must know what it has stated to the caller.
        m_replica = detour.replica->id;
        m_replicaStartedAtMs = detour.replica->startedAtMs;
        recordStatement();
    }
    if (detour.model && *detour.model < m_route->models.size())
        m_model = *detour.model;
    m_isStream = m_route->retryRule == retry_rule::stream && http_status::isSuccess(head.status)
        && m_statement.isStamped && isEventStream(head);
}

attempt_result gateway_exchange::classifyDetour(upstream_end end)
{
    const bool isRefused = end == upstream_end::complete && m_detourRefusal != detour_refusal::none;
    if (end == upstream_end::not_connected || isRefused)
        return attempt_result::not_connected; // no replica has received the request
    if (end == upstream_end::malformed)
        return attempt_result::unusable;
    if (end == upstream_end::broken)
        return attempt_result::broken;
    const bool isUnstamped = http_status::isSuccess(m_response.status) && !m_statement.isStamped;
    if (isUnstamped || (m_hasStreamStarted && !m_isStream))
        return attempt_result::unusable;
    return m_isStream && !isWholeStream() ? attempt_result::truncated : attempt_result::answered;
}

void gateway_exchange::onDetourEnd(upstream_end end)
{
    const auto result = classifyDetour(end);
    const auto host = *m_detour;
    const bool hasNotRun =
        hasCertainlyNotRun(result) || (result == attempt_result::answered && impliesNotRun(m_response.status));
    m_mayHaveRun = m_mayHaveRun || !hasNotRun;
    m_state.metrics.recordDetour(nameOf(result));
    if (result != attempt_result::answered) {
        clearBody();
        m_state.detours.recordFailure(host, suspendAwareNow(), pauseAfter(m_detourRefusal));
        m_state.log.write("detour_failed",
                          {{"request_id", m_metadata.id},
                           {"host", textOf(host)},
                           {"result", nameOf(result)},
                           {"refusal", nameOf(m_detourRefusal)},
                           {"ms", (suspendAwareNow() - m_sentAt).count() / 1000}},
                          log_subject::request);
    }
    closeAttempt(std::nullopt);
    if (result == attempt_result::answered)
        return forwardDetourResponse();
    handleAttemptResult(result);
}

void gateway_exchange::forwardDetourResponse()
{
    // "Not run" is true for the other host's attempts; an earlier one of this host may have run.
    if (impliesNotRun(m_response.status) && m_mayHaveRun)
        return m_hasStreamStarted ? abortResponse(refusal::failed) : refuse(refusal::failed);
    passOn("detoured");
}

bool gateway_exchange::tryWaitForHost(instant now)
{
    if (m_servedDetour || m_state.settings.detour.port == 0)
        return false;
    const auto since = m_state.reach.failingSince(m_service);
    const bool mayWait = remainingTime() > kRetryDelay && m_connectFailures < kMaxConnectFailures;
    const bool isOnePaused = mayWait && since && m_state.detours.mayChooseSoon(m_service, *since, now);
    if (!m_state.reach.isNewlyCutOff(m_service, now) && !(isOnePaused && m_pauseWaits++ < kMaxPauseWaits))
        return false;
    m_triedHosts.clear();
    m_retryTimer.start(kRetryDelay);
    return true;
}

detour_refusal gateway_exchange::checkDetour() const
{
    if (!m_servedDetour)
        return detour_refusal::none;
    if (m_config->version < m_servedDetour->generation || !m_state.hasKeyLease(suspendAwareNow()))
        return detour_refusal::outdated;
    if (m_state.reach.isCutOff(m_servedDetour->service))
        return detour_refusal::cut_off;
    return m_state.detoursServed < kMaxDetoursServed ? detour_refusal::none : detour_refusal::busy;
}

void gateway_exchange::refuseDetour(detour_refusal refusal)
{
    finish(http_status::kServiceUnavailable, "detour_refused");
    auto headers = refusedDetourHeaders(refusal);
    headers.emplace_back(m_state.headerNames.requestId, m_metadata.id);
    m_callerResponse.sendResponse(http_status::kServiceUnavailable, headers, {});
}

/// @returns the headers of the response for the caller, or for the host that has received the request.
http_headers gateway_exchange::responseHeaders() const
{
    auto headers = forwardedResponseHeaders(m_response);
    if (m_servedDetour) {
        const auto model = m_route->models.empty() ? std::nullopt : std::optional(m_model);
        addDetourResponse(headers, {detour_refusal::none, replica_run{m_replica, m_replicaStartedAtMs}, model});
    }
    return headers;
}

} // namespace foxtaildyke
