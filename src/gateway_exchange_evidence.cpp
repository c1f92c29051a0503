// Processing of one request: what its attempts say on versions and on crashes of replicas; see gateway_exchange_p.h.
#include "gateway_exchange_p.h"

#include "http_status_p.h"

namespace foxtaildyke
{

std::string gateway_exchange::stratum() const
{
    return m_route->models.empty() ? m_route->name : m_route->name + '/' + m_route->models[m_model];
}

void gateway_exchange::startEvidenceTimer()
{
    if (m_detour)
        return;
    const auto limit = m_state.rollouts.slowLimit(m_service, m_replicaVersion, stratum());
    if (!limit || m_hasVersionEvidence)
        return;
    const std::uint32_t latencies = m_isStream ? kEventsForEvidence - 1 : 1;
    m_evidenceTimer.start(*limit * latencies + std::chrono::milliseconds{1});
}

void gateway_exchange::recordSlowAttempt()
{
    const auto now = suspendAwareNow();
    if (!m_firstByteAt)
        return attributeEvidence(now - m_sentAt);
    // Of a stream, the event after those received is still to come.
    recordEvidence(false, m_isStream ? (now - *m_firstEventAt) / m_eventCount : now - m_sentAt);
}

std::optional<std::chrono::microseconds> gateway_exchange::versionLatency() const
{
    const auto now = suspendAwareNow();
    if (m_route->retryRule != retry_rule::stream)
        return now - m_sentAt;
    if (m_eventCount < kMinEventsForPace)
        return std::nullopt;
    return (now - *m_firstEventAt) / (m_eventCount - 1);
}

void gateway_exchange::recordVersionResponse(attempt_result result)
{
    const bool isPaused = m_statement.retryAfterSeconds.has_value();
    if (result == attempt_result::answered || (result == attempt_result::server_error && !isPaused))
        recordEvidence(result == attempt_result::server_error, versionLatency());
}

void gateway_exchange::recordEvidence(bool isFailure, std::optional<std::chrono::microseconds> latency)
{
    m_evidenceTimer.stop();
    if (m_detour || std::exchange(m_hasVersionEvidence, true))
        return;
    const auto name = stratum();
    version_response response;
    response.service = m_service;
    response.version = m_replicaVersion;
    response.stratum = name;
    response.replica = m_replica;
    response.isFailure = isFailure;
    response.latency = latency;
    m_state.rollouts.recordResponse(response);
}

void gateway_exchange::attributeEvidence(std::optional<std::chrono::microseconds> latency)
{
    m_evidenceTimer.stop();
    if (m_detour || std::exchange(m_hasVersionEvidence, true))
        return;
    const auto now = suspendAwareNow();
    const auto record = [&state = m_state, service = m_service, version = m_replicaVersion, name = stratum(),
                         replica = m_replica, latency] {
        version_response response;
        response.service = service;
        response.version = version;
        response.stratum = name;
        response.replica = replica;
        response.isFailure = !latency;
        response.latency = latency;
        state.rollouts.recordResponse(response);
    };
    m_state.reach.attribute(m_service, contact_kind::any, now, now, record);
    m_state.requestProbe();
}

void gateway_exchange::attributeFailure(contact_kind needed, instant since)
{
    const bool isUnreachable = needed == contact_kind::connection;
    const auto record = [&state = m_state, replica = m_replica, isUnreachable] {
        const auto now = suspendAwareNow();
        state.replicas.recordFailure(replica, now);
        if (isUnreachable)
            state.replicas.recordUnreachable(replica, now);
    };
    m_state.reach.attribute(m_service, needed, since, suspendAwareNow(), record);
    m_state.requestProbe();
}

/// A replica that has ended may have been crashed by this request; one that has responded hasn't. An error response
/// rules nothing out, because a replica may also fail without running the request.
void gateway_exchange::recordCrashEvidence(attempt_result result)
{
    if (result == attempt_result::answered && http_status::isSuccess(m_response.status))
        recordBegun();
    if (result == attempt_result::answered)
        return m_state.crashes.recordResponse(m_fingerprint, suspendAwareNow());
    if (result != attempt_result::broken && result != attempt_result::truncated)
        return;
    if (!std::exchange(m_holdsCrashReport, true))
        m_state.crashes.holdReport(m_fingerprint);
    broken_attempt attempt;
    attempt.service = m_service;
    attempt.replica = m_replica;
    attempt.address = m_replicaAddress;
    attempt.crashId = m_crashId;
    attempt.fingerprint = m_fingerprint;
    attempt.isResponding = http_status::isSuccess(m_response.status);
    attempt.traits = m_traits;
    attempt.requestId = m_metadata.id;
    if (m_eventCount < kEventsForBegin)
        attempt.parts = m_metadata.sharedParts;
    m_state.crashDetector.check(std::move(attempt));
}

void gateway_exchange::recordBegun()
{
    if (m_detour)
        return;
    m_state.crashes.recordBegun(m_metadata.sharedParts, suspendAwareNow());
}

std::optional<crash_block> gateway_exchange::findBlock() const
{
    return m_state.crashes.findBlock(m_traits, suspendAwareNow());
}

void gateway_exchange::releaseCrashReport()
{
    if (std::exchange(m_holdsCrashReport, false))
        m_state.crashes.releaseReport(m_fingerprint, suspendAwareNow());
}

} // namespace foxtaildyke
