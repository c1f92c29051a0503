// Decision core, first stage: checks a caller's request and admits it to the queue or refuses it at once.
#include "router_core_state_p.h"

#include <charconv>

namespace foxtaildyke
{

namespace
{

/// Wall clocks of hosts and callers may differ by this much. An id from the future would outlive its ledger entry.
constexpr std::chrono::seconds kClockSkew{60};
/// Of the estimated wait, to admit. At 3 times a pool's capacity 50 in 100 refusals came at once with 1.5, 62 with 2
/// and 78 with 3, and as many drafts were served: the queue stays long enough.
constexpr double kWaitMargin = 3;
constexpr std::chrono::milliseconds kLeastRetryMs{1000}; ///< least Retry-After of a request that would wait too long
constexpr std::size_t kOpenLimit = 4096; ///< open requests of a host; bounds its memory

struct parsed_id {
    std::int64_t unixSeconds = 0;
    bool valid = false;
};

parsed_id parseRequestId(std::string_view text)
{
    constexpr std::size_t kLongestId = 128;
    parsed_id parsed;
    const auto dash = text.find('-');
    if (text.size() > kLongestId || dash == std::string_view::npos || dash == 0 || dash + 1 == text.size())
        return parsed;
    const auto [end, status] = std::from_chars(text.data(), text.data() + dash, parsed.unixSeconds);
    parsed.valid = status == std::errc{} && end == text.data() + dash && parsed.unixSeconds >= 0;
    return parsed;
}

finish_request invalid(reason_code reason, std::string field)
{
    return {.outcome = outcome_kind::invalid, .reason = reason, .field = std::move(field)};
}

finish_request notRun(reason_code reason, std::chrono::milliseconds retryAfter = {})
{
    return {.outcome = outcome_kind::not_run, .reason = reason, .retryAfter = retryAfter};
}

const finish_request kAccepted{.outcome = outcome_kind::complete};

bool isAccepted(const finish_request &answer)
{
    return answer.outcome == outcome_kind::complete;
}

} // namespace

void router_core::implementation::on(const caller_request &input)
{
    if (find(input.request))
        return;
    auto request = std::make_unique<open_request>();
    request->input = input;
    request->requestId = input.requestId;
    request->arrivedAt = m_now;
    request->draw = m_random();
    auto answer = checkIdentity(*request);
    if (isAccepted(answer))
        answer = checkRequestId(*request);
    if (isAccepted(answer))
        answer = checkSession(*request);
    if (isAccepted(answer))
        answer = checkAdmission(*request);
    if (!isAccepted(answer))
        return refuse(*request, std::move(answer));
    auto &admitted = *m_requests.emplace(input.request, std::move(request)).first->second;
    m_keys.emplace(admitted.account, admitted.requestId);
    setTimer(admitted, admitted.deadline);
    record("admitted", admitted, "within the limits of the account");
    enqueue(admitted, "first attempt");
    pump();
}

finish_request router_core::implementation::checkIdentity(open_request &request) const
{
    if (m_draining)
        return notRun(reason_code::draining, retryAfterOf(reason_code::draining));
    if (!m_config)
        return notRun(reason_code::no_fresh_configuration, retryAfterOf(reason_code::no_fresh_configuration));
    const auto &input = request.input;
    const auto account = input.apiKey.empty() ? account_handle{} : m_config->accountByKey(input.apiKey);
    if (!account.isValid())
        return invalid(reason_code::unknown_account, "Authorization");
    request.account = (*m_config)[account].name;
    const auto kind = m_config->kindByName(input.kind);
    if (!kind.isValid())
        return invalid(reason_code::unknown_kind, "kind");
    const auto &entry = (*m_config)[kind];
    request.priority = entry.priority;
    request.idempotent = entry.idempotent;
    request.deadline = m_now + std::min(input.deadline.value_or(entry.deadline), entry.deadline);
    request.fingerprint = fingerprintOf(request.account, input.kind, input.prompt);
    return kAccepted;
}

finish_request router_core::implementation::checkRequestId(open_request &request)
{
    const auto &input = request.input;
    if (input.requestId.empty()) {
        if (!request.idempotent)
            return invalid(reason_code::missing_request_id, "Foxtaildyke-Request-Id");
        request.requestId = std::to_string(input.unixSeconds) + "-" + m_hostName + "-" + std::to_string(m_random());
        return kAccepted;
    }
    const auto id = parseRequestId(input.requestId);
    const auto retention = m_config->tune.ledgerRetention;
    const auto skew = std::min<std::chrono::seconds>(kClockSkew, retention / 10);
    const std::chrono::seconds age{input.unixSeconds - id.unixSeconds};
    if (!id.valid || age < -skew)
        return invalid(reason_code::malformed_request_id, "Foxtaildyke-Request-Id");
    if (age > retention - skew)
        return invalid(reason_code::request_id_expired, "Foxtaildyke-Request-Id");
    return kAccepted;
}

finish_request router_core::implementation::checkSession(open_request &request) const
{
    const auto &input = request.input;
    if (input.sessionToken.empty())
        return kAccepted;
    const auto &key = m_config->tune.sessionKey;
    const auto pins = verifyPins(input.sessionToken, key);
    const bool matches = !key.empty() && pins.has_value() && pins.value().account == request.account
        && (input.sessionId.empty() || pins.value().sessionId == input.sessionId);
    if (!matches)
        return invalid(reason_code::invalid_session_token, "Foxtaildyke-Session-Token");
    request.input.sessionId = pins.value().sessionId;
    request.pins = pins.value().versions;
    request.pinned = true;
    request.sessionToken = input.sessionToken;
    return kAccepted;
}

/// A host without a lease may be cut off from the ledger as well, so it can't know whether another host runs this id.
finish_request router_core::implementation::withoutLease(const open_request &request) const
{
    auto answer = notRun(reason_code::no_fresh_configuration, retryAfterOf(reason_code::no_fresh_configuration));
    if (!request.idempotent)
        answer.outcome = outcome_kind::may_have_run;
    return answer;
}

finish_request router_core::implementation::checkAdmission(open_request &request)
{
    if (m_keys.contains({request.account, request.requestId})) {
        // The first one may be running, so that "not run" would not hold for this request id.
        return {.outcome = outcome_kind::may_have_run, .reason = reason_code::duplicate_in_progress};
    }
    if (!hasLease())
        return withoutLease(request);
    const auto chosen = plan(request);
    if (chosen.reason == reason_code::quarantined && !request.idempotent) {
        // An earlier request with the same id may be what crashed the upstreams.
        return {.outcome = outcome_kind::may_have_run, .reason = reason_code::quarantined};
    }
    if (chosen.reason != reason_code::none)
        return notRun(chosen.reason, retryAfterOf(chosen.reason));
    if (m_requests.size() >= kOpenLimit)
        return notRun(reason_code::over_capacity, retryAfterOf(reason_code::over_capacity));
    request.pool = (*m_config)[(*m_config)[chosen.version].model].service;
    const auto wait = m_admission.estimateQueueWait(request.account, request.priority, request.pool);
    if (!canEndInTime(request, chosen.version, m_now + std::chrono::duration_cast<instant>(kWaitMargin * wait)))
        return notRun(reason_code::deadline_unreachable, m_admission.addJitter(std::max(wait, kLeastRetryMs)));
    const auto verdict = m_admission.admit(*m_config, m_config->accountByName(request.account), m_now);
    return verdict.reason == reason_code::none ? kAccepted : notRun(verdict.reason, verdict.retryAfter);
}

void router_core::implementation::refuse(const open_request &request, finish_request answer)
{
    answer.request = request.input.request;
    answer.requestId = request.requestId;
    record("refused", request, std::string(nameOf(answer.outcome)) + ": " + std::string(nameOf(answer.reason)));
    m_actions.emplace_back(std::move(answer));
}

} // namespace foxtaildyke
