// Decision core, third stage: events of attempts, and whether a failed request may be retried.
#include "router_core_state_p.h"

namespace foxtaildyke
{

namespace
{

/// Retries where an upstream may have run the attempt; the retry goes to another upstream.
constexpr std::uint32_t kRetriesAfterRun = 1;
constexpr std::uint32_t kRetriesNotRun = 2; ///< where no upstream has run the attempt
/// Bounds memory where an upstream ignores max_tokens.
constexpr std::size_t kResponseBytesLimit = std::size_t{4} << 20;
constexpr double kSmoothing = 0.2; ///< weight of the newest value in an exponential moving average

std::uint64_t costOf(const attempt_response &response)
{
    constexpr std::uint64_t kTokensPerPrice = 1000;
    const std::uint64_t cost = std::uint64_t{response.promptTokens} * response.promptMicroUnitsPer1k
        + std::uint64_t{response.completionTokens} * response.completionMicroUnitsPer1k;
    return (cost + kTokensPerPrice - 1) / kTokensPerPrice;
}

bool upstreamMayHaveRun(attempt_failure failure)
{
    return failure != attempt_failure::not_sent && failure != attempt_failure::overloaded;
}

/// @returns whether the failure counts as evidence against the version. A lost connection concerns the replica only:
/// one crash ends all its attempts at once, on all hosts, and would halt a good version. The circuit breaker handles
/// it.
bool isVersionFault(attempt_failure failure)
{
    return failure == attempt_failure::truncated || failure == attempt_failure::rejected;
}

reason_code reasonOf(attempt_failure failure)
{
    static constexpr std::array kReasons{reason_code::no_upstream,       reason_code::over_capacity,
                                         reason_code::upstream_failed,   reason_code::answer_truncated,
                                         reason_code::deadline_exceeded, reason_code::upstream_failed};
    static_assert(kReasons.size() == static_cast<std::size_t>(attempt_failure::count));
    return kReasons[static_cast<std::size_t>(failure)];
}

void smooth(double &mean, double value)
{
    mean += kSmoothing * (value - mean);
}

} // namespace

open_request *router_core::implementation::requestOf(attempt_token attempt, std::string_view event)
{
    const auto found = m_attempts.find(attempt);
    if (found != m_attempts.end())
        return m_requests.at(found->second.request).get();
    record("dropped",
           "late or foreign " + std::string(event) + " of attempt "
               + std::to_string(static_cast<std::uint64_t>(attempt)));
    return nullptr;
}

void router_core::implementation::on(const attempt_chunk &input)
{
    auto *request = requestOf(input.attempt, "chunk");
    if (!request)
        return;
    auto &attempt = m_attempts.at(input.attempt);
    attempt.receivedChunk = true;
    request->response.text += input.text;
    if (request->response.text.size() > kResponseBytesLimit) {
        request->avoidUpstream = attempt.upstream;
        cancelAttempt(*request, "response longer than the limit");
        retryOrFail(*request, reason_code::upstream_failed, true);
        return dispatchQueued();
    }
    if (!request->input.stream || attempt.rateBeforeDelivery || request->finished || request->callerGone)
        return;
    request->deliveredBytes = request->response.text.size();
    m_actions.emplace_back(send_chunk{request->input.request, input.text});
}

void router_core::implementation::on(const attempt_done &input)
{
    auto *request = requestOf(input.attempt, "end");
    if (!request)
        return;
    const auto attempt = m_attempts.at(input.attempt);
    request->response.promptTokens = input.promptTokens;
    request->response.completionTokens = input.completionTokens;
    request->costMicroUnits += costOf(request->response);
    recordResponseStats(*request, attempt);
    endAttempt(*request, std::nullopt);
    requestRating(*request);
    if (attempt.rateBeforeDelivery && !request->finished) {
        request->phase = request_phase::rating;
        record("rating", *request, "a stronger model is left, so the answer is rated before delivery");
    } else {
        startBill(*request, "whole answer");
    }
    dispatchQueued();
}

void router_core::implementation::on(const attempt_failed &input)
{
    auto *request = requestOf(input.attempt, "failure");
    if (!request)
        return;
    const auto attempt = m_attempts.at(input.attempt);
    // An upstream that has sent text has run the request, whatever failure the adapter reports.
    const auto failure =
        attempt.receivedChunk && !upstreamMayHaveRun(input.failure) ? attempt_failure::connection_lost : input.failure;
    record("attempt_failed", *request, std::string(nameOf(failure)));
    endAttempt(*request, failure);
    recordFailure(*request, attempt, failure);
    request->avoidUpstream = attempt.upstream;
    auto reason = reasonOf(failure);
    if (failure == attempt_failure::connection_lost) {
        const bool isBlocked = m_quarantine.recordCrash(request->fingerprint, m_config->tune, m_now);
        if (isBlocked) {
            record("quarantined", *request, "connections lost on two upstreams");
            reason = reason_code::quarantined;
        }
        m_actions.emplace_back(share_quarantine{request->fingerprint, isBlocked});
    }
    retryOrFail(*request, reason, upstreamMayHaveRun(failure));
    dispatchQueued();
}

void router_core::implementation::on(const caller_gone &input)
{
    auto *request = findRequest(input.request);
    if (!request || request->finished || request->callerGone)
        return;
    request->callerGone = true;
    record("caller_gone", *request, "in phase " + std::string(nameOf(request->phase)));
    if (request->phase == request_phase::billing)
        return;
    if (request->phase == request_phase::running && !request->idempotent)
        return; // Continues until it is billed, so that a resend gets the stored response.
    if (request->phase == request_phase::claiming)
        return finish(*request, {.outcome = outcome_kind::may_have_run, .reason = reason_code::caller_gone});
    if (request->attempt)
        cancelAttempt(*request, "caller gone");
    fail(*request, reason_code::caller_gone);
    dispatchQueued();
}

void router_core::implementation::endAttempt(open_request &request, std::optional<attempt_failure> failure)
{
    const auto found = m_attempts.find(*request.attempt);
    const auto duration = std::chrono::duration_cast<std::chrono::milliseconds>(m_now - found->second.startedAt);
    m_balancer.recordEnd(found->second.upstream, failure, m_now);
    m_admission.recordEnd(found->second.service, request.priority, duration);
    const auto running = m_runningByFingerprint.find(request.fingerprint);
    if (--running->second == 0)
        m_runningByFingerprint.erase(running);
    m_attempts.erase(found);
    request.lastAttempt = *request.attempt;
    request.attempt.reset();
    m_planEpoch += failure ? 1 : 0; // The failure may have opened the circuit breaker of the upstream.
    request.mayHaveRun = request.mayHaveRun || !failure || upstreamMayHaveRun(*failure);
}

void router_core::implementation::cancelAttempt(open_request &request, std::string reason)
{
    record("cancelled", request, std::move(reason));
    m_actions.emplace_back(cancel_attempt{*request.attempt});
    const auto attempt = m_attempts.at(*request.attempt);
    const bool isLate = m_now >= request.deadline;
    endAttempt(request, isLate ? std::optional(attempt_failure::timed_out) : std::nullopt);
    recordFailure(request, attempt, isLate ? attempt_failure::timed_out : attempt_failure::not_sent);
}

void router_core::implementation::recordFailure(const open_request &request, const open_attempt &attempt,
                                                attempt_failure failure)
{
    const bool isEvidence =
        isVersionFault(failure) || (failure == attempt_failure::timed_out && isTimeoutEvidence(request, attempt));
    recordResult(attempt.version, isEvidence ? std::optional(false) : std::nullopt, stratumOf(request));
}

bool router_core::implementation::isTimeoutEvidence(const open_request &request, const open_attempt &attempt) const
{
    // Attempts of good versions also time out where their pool is overloaded. Timeouts therefore count only against a
    // version with a baseline to fall back on, and only where the attempt had at least half of the kind's maximum
    // timeout.
    const auto kind = m_config->kindByName(request.input.kind);
    const auto version = m_config->versionByName(attempt.version);
    return kind.isValid() && version.isValid() && (*m_config)[version].baseline.isValid()
        && 2 * (m_now - attempt.startedAt) >= (*m_config)[kind].maxTimeout;
}

std::string router_core::implementation::stratumOf(const open_request &request)
{
    // An escalated request has already missed its target on a weaker model, so its results are counted in a separate
    // stratum.
    return request.escalatedFromModel.empty() ? request.input.kind : request.input.kind + "/escalated";
}

void router_core::implementation::recordResult(const std::string &version, std::optional<bool> passed,
                                               const std::string &stratum)
{
    m_evidence.recordResult(version, passed, stratum);
    m_evidenceChanged = true;
    checkEvidence(version);
}

void router_core::implementation::checkEvidence(const std::string &version)
{
    if (!m_config)
        return;
    const auto handle = m_config->versionByName(version);
    if (!handle.isValid() || !m_evidence.isRejected(*m_config, handle) || !m_haltedVersions.insert(version).second)
        return;
    ++m_planEpoch;
    record("halted", "evidence rejects version " + version);
    m_actions.emplace_back(share_halt{version});
}

void router_core::implementation::recordResponseStats(const open_request &request, const open_attempt &attempt)
{
    // A mean beyond the kind's maximum timeout would refuse all later requests of the kind.
    if (m_now > request.deadline)
        return;
    const response_stats stats{std::chrono::duration<double, std::milli>(m_now - attempt.startedAt).count(),
                               static_cast<double>(request.response.completionTokens)};
    const auto [entry, isNew] = m_responseStats.try_emplace({request.input.kind, attempt.version}, stats);
    if (isNew)
        return;
    smooth(entry->second.durationMs, stats.durationMs);
    smooth(entry->second.completionTokens, stats.completionTokens);
}

bool router_core::implementation::hasOtherUpstream(const open_request &request, version_handle version) const
{
    const auto &entry = (*m_config)[version];
    const auto &service = (*m_config)[entry.model].service;
    return std::ranges::any_of(m_upstreams, [&](const upstream_info &upstream) {
        return upstream.name != request.avoidUpstream && upstream.state == host_state::live
            && upstream.service == service
            && std::ranges::find(upstream.versions, entry.name) != upstream.versions.end();
    });
}

std::string_view router_core::implementation::retryObstacle(const open_request &request, bool ran)
{
    if (!request.idempotent && request.mayHaveRun)
        return "not idempotent and may have run";
    if (request.deliveredBytes > 0)
        return "part of the response is delivered";
    if (request.retries >= (ran ? kRetriesAfterRun : kRetriesNotRun))
        return "retried before";
    if (m_now >= request.deadline)
        return "deadline reached";
    const auto chosen = plan(request);
    const bool waitsForLease = chosen.reason == reason_code::no_fresh_configuration && isLeaseExpected();
    if (chosen.reason != reason_code::none && !waitsForLease)
        return nameOf(chosen.reason);
    if (!waitsForLease && !hasOtherUpstream(request, chosen.version))
        return "no other upstream";
    if (!m_admission.tryConsumeRetry(m_config->tune))
        return "retry budget used up";
    return {};
}

void router_core::implementation::retryOrFail(open_request &request, reason_code reason, bool ran)
{
    if (request.finished)
        return drop(request);
    const auto obstacle = retryObstacle(request, ran);
    if (!obstacle.empty()) {
        record("not_retried", request, std::string(obstacle));
        return fail(request, reason);
    }
    ++request.retries;
    request.response = {};
    enqueue(request, "retry after " + std::string(nameOf(reason)));
}

void router_core::implementation::cancelIfWithdrawn(open_request &request)
{
    const auto isWithdrawn = [&](const std::string &name) {
        const auto version = m_config->versionByName(name);
        return version.isValid() && (*m_config)[version].state == version_state::withdrawn;
    };
    if (request.retainedResponse && isWithdrawn(request.retainedResponse->version))
        request.retainedResponse.reset();
    // The effect of a non-idempotent attempt can't be undone, nor the attempt retried; its caller has to get the
    // result.
    if (!request.idempotent || !isWithdrawn(request.response.version))
        return;
    if (request.phase != request_phase::running && request.phase != request_phase::rating)
        return;
    if (request.attempt)
        cancelAttempt(request, "version withdrawn");
    request.avoidUpstream.clear();
    if (request.pinned)
        return fail(request, reason_code::session_version_withdrawn);
    retryOrFail(request, reason_code::version_withdrawn, true);
}

} // namespace foxtaildyke
