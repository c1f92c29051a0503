// Decision core, last stages: answers of the ledger and the rating service, escalation, billing, the final answer.
#include "router_core_state_p.h"

#include <nlohmann/json.hpp>

namespace foxtaildyke
{

namespace
{

/// The ledger answers a bill within tens of milliseconds; a reply that is later than this is lost.
constexpr std::chrono::seconds kBillTimeout{2};
constexpr std::chrono::seconds kRatingTimeout{2}; ///< then the rating service counts as down
constexpr std::size_t kMaxStoredResponseBytes = 2048; ///< most that the ledger keeps of an answer
constexpr std::size_t kUnsentClaimsLimit = 1024; ///< bounds the memory of unsent claims

std::string storedForm(const attempt_response &answer, std::uint64_t costMicroUnits)
{
    const nlohmann::json body{{"text", answer.text},
                              {"model", answer.model},
                              {"version", answer.version},
                              {"prompt_tokens", answer.promptTokens},
                              {"completion_tokens", answer.completionTokens},
                              {"cost_micro_units", costMicroUnits}};
    auto text = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return text.size() <= kMaxStoredResponseBytes ? text : std::string{};
}

} // namespace

void router_core::implementation::on(const ledger_response &input)
{
    struct expected_reply {
        request_phase phase;
        void (implementation::*handler)(open_request &, const ledger_response &);
    };
    static constexpr std::array kReplies{expected_reply{request_phase::claiming, &implementation::onClaimReply},
                                         expected_reply{request_phase::billing, &implementation::onBillReply},
                                         expected_reply{request_phase::pinning, &implementation::onPinReply}};
    static_assert(kReplies.size() == static_cast<std::size_t>(ledger_step::count));
    const auto &expected = kReplies[static_cast<std::size_t>(input.step)];
    auto *request = find(input.request);
    if (!request || request->phase != expected.phase)
        return record("dropped", "late or doubled ledger reply");
    (this->*expected.handler)(*request, input);
    pump();
}

void router_core::implementation::onPinReply(open_request &request, const ledger_response &reply)
{
    if (reply.status != ledger_status::written && reply.status != ledger_status::exists_pinned)
        return fail(request, reason_code::store_unavailable);
    if (!reply.pins.empty())
        request.pins = reply.pins;
    request.pinned = true;
    request.phase = request_phase::queued;
    record("pinned", request, reply.status == ledger_status::written ? "first pin of the session" : "earlier pin");
}

void router_core::implementation::onClaimReply(open_request &request, const ledger_response &reply)
{
    const auto own = std::ranges::find(m_unsentClaims, std::pair(request.account, request.requestId));
    const bool isOwn = reply.status == ledger_status::exists_open && own != m_unsentClaims.end();
    // Used up by any reply but "nothing was written", so that it can't let a second submission run.
    if (own != m_unsentClaims.end() && reply.status != ledger_status::unavailable)
        m_unsentClaims.erase(own);
    if (isOwn || reply.status == ledger_status::written) {
        request.claimed = true;
        request.phase = request_phase::queued;
        return record("claimed", request, isOwn ? "this host's claim, never sent" : "first claim of the request id");
    }
    if (reply.status == ledger_status::unavailable)
        return fail(request, reason_code::store_unavailable);
    finish_request answer{.outcome = outcome_kind::may_have_run, .reason = reason_code::store_unavailable};
    if (reply.status == ledger_status::exists_open || reply.status == ledger_status::exists_billed)
        answer.reason = reason_code::duplicate_in_progress;
    if (reply.status == ledger_status::exists_billed && !reply.answer.empty()) {
        answer.outcome = outcome_kind::complete;
        answer.reason = reason_code::none;
        answer.storedResponse = reply.answer;
    }
    finish(request, std::move(answer));
}

void router_core::implementation::onBillReply(open_request &request, const ledger_response &reply)
{
    const bool isBilled = reply.status == ledger_status::written || reply.status == ledger_status::copied
        || reply.status == ledger_status::exists_billed;
    record(isBilled ? "billed" : "not_billed", request, std::string(nameOf(reply.status)));
    if (request.answered)
        return drop(request);
    if (!isBilled) // An answer without a bill would break R4, so it is withheld.
        return fail(request, reason_code::store_unavailable);
    const auto &answer = request.answer;
    finish(request,
           {.outcome = outcome_kind::complete,
            .model = answer.model,
            .version = answer.version,
            .text = answer.text.substr(request.deliveredBytes),
            .promptTokens = answer.promptTokens,
            .completionTokens = answer.completionTokens,
            .costMicroUnits = request.costMicroUnits});
}

void router_core::implementation::askRating(const open_request &request)
{
    const auto kind = m_config->kindByName(request.input.kind);
    if (!kind.isValid() || !(*m_config)[kind].rated)
        return recordResult(request.answer.version, std::nullopt);
    m_ratings[request.lastAttempt] = {.request = request.input.request,
                                      .kind = request.input.kind,
                                      .stratum = stratumOf(request),
                                      .version = request.answer.version,
                                      .targetPermille = (*m_config)[kind].targetPermille,
                                      .givenUpAt = m_now + kRatingTimeout};
    m_actions.emplace_back(
        request_rating{request.input.request, request.lastAttempt, request.input.kind, request.answer.text});
}

void router_core::implementation::on(const rating_response &input)
{
    const auto found = m_ratings.find(input.attempt);
    if (found == m_ratings.end())
        return record("dropped", "late or doubled rating");
    const auto rating = found->second;
    m_ratings.erase(found);
    if (std::exchange(m_ratingAvailable, input.scorePermille.has_value()) != input.scorePermille.has_value()) {
        ++m_epoch;
        record("rating_service", m_ratingAvailable ? "answers again" : "does not answer");
    }
    if (input.scorePermille) {
        const bool passed = *input.scorePermille >= rating.targetPermille;
        m_policy.recordRating(rating.kind, rating.version, passed);
        recordResult(rating.version, passed, rating.stratum);
    } else {
        recordResult(rating.version, std::nullopt);
    }
    auto *request = find(rating.request);
    if (request && request->phase == request_phase::rating && request->lastAttempt == input.attempt)
        onRated(*request, input.scorePermille);
    pump();
}

void router_core::implementation::expireRatings()
{
    std::vector<attempt_token> expired;
    for (const auto &[attempt, entry] : m_ratings) {
        if (entry.givenUpAt <= m_now)
            expired.push_back(attempt);
    }
    for (const auto attempt : expired)
        on(rating_response{.attempt = attempt});
}

void router_core::implementation::onRated(open_request &request, std::optional<std::uint32_t> score)
{
    const auto kind = m_config->kindByName(request.input.kind);
    const auto target = kind.isValid() ? (*m_config)[kind].targetPermille : 0;
    request.answer.scorePermille = score.value_or(0);
    const auto text = score ? std::to_string(*score) : "none";
    record("rated", request, "score " + text + ", target " + std::to_string(target));
    if (score && *score >= target)
        return startBill(request, "meets the target");
    escalate(request);
}

void router_core::implementation::escalate(open_request &request)
{
    if (!request.held || request.answer.scorePermille >= request.held->scorePermille)
        request.held = request.answer;
    request.aboveModel = request.answer.model;
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
    request.answer = {};
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
    const auto &answer = request.answer;
    m_actions.emplace_back(
        write_bill{.request = request.input.request,
                   .account = request.account,
                   .requestId = request.requestId,
                   .model = answer.model,
                   .version = answer.version,
                   .promptTokens = answer.promptTokens,
                   .completionTokens = answer.completionTokens,
                   .costMicroUnits = request.costMicroUnits,
                   .answer = request.idempotent ? std::string{} : storedForm(answer, request.costMicroUnits)});
}

void router_core::implementation::fail(open_request &request, reason_code reason)
{
    if (request.answered)
        return drop(request);
    const bool mayDeliverHeld = request.held && request.deliveredBytes == 0 && reason != reason_code::caller_gone
        && request.phase != request_phase::billing;
    if (mayDeliverHeld) {
        request.answer = *request.held;
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

void router_core::implementation::finish(open_request &request, finish_request answer)
{
    answer.request = request.input.request;
    answer.requestId = request.requestId;
    answer.sessionToken = request.sessionToken;
    const auto &key = m_config->tune.sessionKey;
    if (request.pinned && answer.sessionToken.empty() && !key.empty())
        answer.sessionToken =
            signPins({request.account, request.input.sessionId, m_config->generation, request.pins}, key);
    if (answer.outcome == outcome_kind::not_run && request.claimed) {
        m_unsentClaims.emplace_back(request.account, request.requestId);
        if (m_unsentClaims.size() > kUnsentClaimsLimit)
            m_unsentClaims.pop_front();
    }
    record("finished", request, std::string(nameOf(answer.outcome)) + ": " + std::string(nameOf(answer.reason)));
    m_actions.emplace_back(std::move(answer));
    request.answered = true;
    m_deadlines.erase({request.timerAt, request.input.request});
    if (!request.attempt)
        drop(request);
}

void router_core::implementation::drop(open_request &request)
{
    const auto token = request.input.request;
    m_admission.remove(token);
    m_admission.release(request.account);
    m_deadlines.erase({request.timerAt, token});
    m_keys.erase({request.account, request.requestId});
    m_requests.erase(token);
}

void router_core::implementation::setTimer(open_request &request, instant time)
{
    m_deadlines.erase({request.timerAt, request.input.request});
    request.timerAt = time;
    m_deadlines.emplace(time, request.input.request);
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
        // The claim may be written, or another host may hold one.
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
