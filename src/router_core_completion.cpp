// Decision core, last stages: responses of the ledger and the rating service, escalation, billing, the final response.
#include "router_core_state_p.h"

#include <nlohmann/json.hpp>

namespace foxtaildyke
{

namespace
{

/// The ledger acknowledges a bill within tens of milliseconds; a later response than this counts as lost.
constexpr std::chrono::seconds kBillTimeout{2};
constexpr std::chrono::seconds kRatingTimeout{2}; ///< after this the rating service counts as unavailable
constexpr std::size_t kMaxStoredResponseBytes = 2048; ///< longer responses are not stored in the ledger
constexpr std::size_t kUnsentClaimsLimit = 1024; ///< bounds the memory that m_unsentClaims uses

std::string toStoredJson(const attempt_response &response, std::uint64_t costMicroUnits)
{
    const nlohmann::json body{{"text", response.text},
                              {"model", response.model},
                              {"version", response.version},
                              {"prompt_tokens", response.promptTokens},
                              {"completion_tokens", response.completionTokens},
                              {"cost_micro_units", costMicroUnits}};
    auto text = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return text.size() <= kMaxStoredResponseBytes ? text : std::string{};
}

} // namespace

void router_core::implementation::on(const ledger_response &input)
{
    struct expected_response {
        request_phase phase;
        void (implementation::*handler)(open_request &, const ledger_response &);
    };
    static constexpr std::array kExpectedResponses{
        expected_response{request_phase::claiming, &implementation::onClaimResponse},
        expected_response{request_phase::billing, &implementation::onBillResponse},
        expected_response{request_phase::pinning, &implementation::onPinResponse}};
    static_assert(kExpectedResponses.size() == static_cast<std::size_t>(ledger_step::count));
    const auto &expected = kExpectedResponses[static_cast<std::size_t>(input.step)];
    auto *request = findRequest(input.request);
    if (!request || request->phase != expected.phase)
        return record("dropped", "late or doubled ledger reply");
    (this->*expected.handler)(*request, input);
    dispatchQueued();
}

void router_core::implementation::onPinResponse(open_request &request, const ledger_response &response)
{
    if (response.status != ledger_status::written && response.status != ledger_status::exists_pinned)
        return fail(request, reason_code::store_unavailable);
    if (!response.pins.empty())
        request.pins = response.pins;
    request.pinned = true;
    request.phase = request_phase::queued;
    record("pinned", request, response.status == ledger_status::written ? "first pin of the session" : "earlier pin");
}

void router_core::implementation::onClaimResponse(open_request &request, const ledger_response &response)
{
    const auto unsentClaim = std::ranges::find(m_unsentClaims, std::pair(request.account, request.requestId));
    const bool isUnsentClaim = response.status == ledger_status::exists_open && unsentClaim != m_unsentClaims.end();
    // Any response except "nothing was written" consumes the entry, so that it can't admit a second submission.
    if (unsentClaim != m_unsentClaims.end() && response.status != ledger_status::unavailable)
        m_unsentClaims.erase(unsentClaim);
    if (isUnsentClaim || response.status == ledger_status::written) {
        request.claimed = true;
        request.phase = request_phase::queued;
        return record("claimed", request,
                      isUnsentClaim ? "this host's claim, never sent" : "first claim of the request id");
    }
    if (response.status == ledger_status::unavailable)
        return fail(request, reason_code::store_unavailable);
    finish_request finalResponse{.outcome = outcome_kind::may_have_run, .reason = reason_code::store_unavailable};
    if (response.status == ledger_status::exists_open || response.status == ledger_status::exists_billed)
        finalResponse.reason = reason_code::duplicate_in_progress;
    if (response.status == ledger_status::exists_billed && !response.answer.empty()) {
        finalResponse.outcome = outcome_kind::complete;
        finalResponse.reason = reason_code::none;
        finalResponse.storedResponse = response.answer;
    }
    finish(request, std::move(finalResponse));
}

void router_core::implementation::onBillResponse(open_request &request, const ledger_response &response)
{
    const bool isBilled = response.status == ledger_status::written || response.status == ledger_status::copied
        || response.status == ledger_status::exists_billed;
    record(isBilled ? "billed" : "not_billed", request, std::string(nameOf(response.status)));
    if (request.finished)
        return drop(request);
    if (!isBilled) // Rule R4 requires a bill for each request, so an unbilled response is withheld.
        return fail(request, reason_code::store_unavailable);
    const auto &attemptResponse = request.response;
    finish(request,
           {.outcome = outcome_kind::complete,
            .model = attemptResponse.model,
            .version = attemptResponse.version,
            .text = attemptResponse.text.substr(request.deliveredBytes),
            .promptTokens = attemptResponse.promptTokens,
            .completionTokens = attemptResponse.completionTokens,
            .costMicroUnits = request.costMicroUnits});
}

void router_core::implementation::requestRating(const open_request &request)
{
    const auto kind = m_config->kindByName(request.input.kind);
    if (!kind.isValid() || !(*m_config)[kind].rated)
        return recordResult(request.response.version, std::nullopt);
    m_ratings[request.lastAttempt] = {.request = request.input.request,
                                      .kind = request.input.kind,
                                      .stratum = stratumOf(request),
                                      .version = request.response.version,
                                      .targetPermille = (*m_config)[kind].targetPermille,
                                      .timesOutAt = m_now + kRatingTimeout};
    m_actions.emplace_back(
        request_rating{request.input.request, request.lastAttempt, request.input.kind, request.response.text});
}

void router_core::implementation::on(const rating_response &input)
{
    const auto found = m_ratings.find(input.attempt);
    if (found == m_ratings.end())
        return record("dropped", "late or doubled rating");
    const auto rating = found->second;
    m_ratings.erase(found);
    if (std::exchange(m_ratingAvailable, input.scorePermille.has_value()) != input.scorePermille.has_value()) {
        ++m_planEpoch;
        record("rating_service", m_ratingAvailable ? "answers again" : "does not answer");
    }
    if (input.scorePermille) {
        const bool passed = *input.scorePermille >= rating.targetPermille;
        m_policy.recordRating(rating.kind, rating.version, passed);
        recordResult(rating.version, passed, rating.stratum);
    } else {
        recordResult(rating.version, std::nullopt);
    }
    auto *request = findRequest(rating.request);
    if (request && request->phase == request_phase::rating && request->lastAttempt == input.attempt)
        onRated(*request, input.scorePermille);
    dispatchQueued();
}

void router_core::implementation::expireRatings()
{
    std::vector<attempt_token> expired;
    for (const auto &[attempt, entry] : m_ratings) {
        if (entry.timesOutAt <= m_now)
            expired.push_back(attempt);
    }
    for (const auto attempt : expired)
        on(rating_response{.attempt = attempt});
}

void router_core::implementation::onRated(open_request &request, std::optional<std::uint32_t> score)
{
    const auto kind = m_config->kindByName(request.input.kind);
    const auto target = kind.isValid() ? (*m_config)[kind].targetPermille : 0;
    request.response.scorePermille = score.value_or(0);
    const auto text = score ? std::to_string(*score) : "none";
    record("rated", request, "score " + text + ", target " + std::to_string(target));
    if (score && *score >= target)
        return startBill(request, "meets the target");
    escalate(request);
}

void router_core::implementation::escalate(open_request &request)
{
    if (!request.retainedResponse || request.response.scorePermille >= request.retainedResponse->scorePermille)
        request.retainedResponse = request.response;
    request.escalatedFromModel = request.response.model;
    const auto next = plan(request);
    if (next.reason != reason_code::none) {
        record("not_escalated", request, std::string(nameOf(next.reason)));
        return fail(request, next.reason);
    }
    const auto expected = estimateOf(request, next.version).expectedLatency;
    if (m_now + expected >= request.deadline) {
        record("not_escalated", request, "no time left");
        return fail(request, reason_code::deadline_exceeded);
    }
    record("escalated", request, "below the target; next is " + (*m_config)[next.version].name);
    request.response = {};
    request.retries = 0;
    request.avoidUpstream.clear();
    enqueue(request, "escalation");
}

void router_core::implementation::startBill(open_request &request, std::string reason)
{
    m_admission.remove(request.input.request);
    request.phase = request_phase::billing;
    setTimer(request, m_now + kBillTimeout);
    record("billing", request, std::move(reason));
    const auto &response = request.response;
    m_actions.emplace_back(
        write_bill{.request = request.input.request,
                   .account = request.account,
                   .requestId = request.requestId,
                   .model = response.model,
                   .version = response.version,
                   .promptTokens = response.promptTokens,
                   .completionTokens = response.completionTokens,
                   .costMicroUnits = request.costMicroUnits,
                   .answer = request.idempotent ? std::string{} : toStoredJson(response, request.costMicroUnits)});
}

void router_core::implementation::fail(open_request &request, reason_code reason)
{
    if (request.finished)
        return drop(request);
    const bool mayDeliverRetained = request.retainedResponse && request.deliveredBytes == 0
        && reason != reason_code::caller_gone && request.phase != request_phase::billing;
    if (mayDeliverRetained) {
        request.response = *request.retainedResponse;
        return startBill(request, "best answer below the target; no stronger one: " + std::string(nameOf(reason)));
    }
    const bool mayHaveRun = request.mayHaveRun || request.attempt;
    if (mayHaveRun && reason == reason_code::deadline_unreachable)
        reason = reason_code::deadline_exceeded;
    finish(request,
           {.outcome = mayHaveRun ? outcome_kind::failed_after_run : outcome_kind::not_run,
            .reason = reason,
            .retryAfter = mayHaveRun ? std::chrono::milliseconds{} : retryAfterOf(reason)});
}

void router_core::implementation::finish(open_request &request, finish_request response)
{
    response.request = request.input.request;
    response.requestId = request.requestId;
    response.sessionToken = request.sessionToken;
    const auto &key = m_config->tune.sessionKey;
    if (request.pinned && response.sessionToken.empty() && !key.empty())
        response.sessionToken =
            signPins({request.account, request.input.sessionId, m_config->generation, request.pins}, key);
    if (response.outcome == outcome_kind::not_run && request.claimed) {
        m_unsentClaims.emplace_back(request.account, request.requestId);
        if (m_unsentClaims.size() > kUnsentClaimsLimit)
            m_unsentClaims.pop_front();
    }
    record("finished", request, std::string(nameOf(response.outcome)) + ": " + std::string(nameOf(response.reason)));
    m_actions.emplace_back(std::move(response));
    request.finished = true;
    m_timers.erase({request.timerAt, request.input.request});
    if (!request.attempt)
        drop(request);
}

void router_core::implementation::drop(open_request &request)
{
    const auto token = request.input.request;
    m_admission.remove(token);
    m_admission.release(request.account);
    m_timers.erase({request.timerAt, token});
    m_openRequestIds.erase({request.account, request.requestId});
    m_requests.erase(token);
}

void router_core::implementation::setTimer(open_request &request, instant time)
{
    m_timers.erase({request.timerAt, request.input.request});
    request.timerAt = time;
    m_timers.emplace(time, request.input.request);
}

void router_core::implementation::onDeadline(open_request &request)
{
    switch (request.phase) {
    case request_phase::queued:
        return fail(request, request.mayHaveRun ? reason_code::deadline_exceeded : reason_code::deadline_unreachable);
    case request_phase::pinning:
    case request_phase::billing:
        return fail(request, reason_code::store_unavailable);
    case request_phase::claiming:
        // The claim may have been written, or the ledger may contain one of another host.
        return finish(request, {.outcome = outcome_kind::may_have_run, .reason = reason_code::store_unavailable});
    case request_phase::rating:
        return startBill(request, "deadline reached before the rating");
    case request_phase::running:
        if (request.idempotent)
            cancelAttempt(request, "deadline reached");
        return fail(request, reason_code::deadline_exceeded);
    case request_phase::count:
        break;
    }
}

} // namespace foxtaildyke
