// Decision core, first stage: checks a caller's request and either queues or refuses it.
#include "router_core_state_p.h"

#include <charconv>

namespace foxtaildyke
{

namespace
{

/// Accepted difference between the wall clocks of hosts and callers. A request id dated in the future would still be
/// valid after its ledger entry has expired.
constexpr std::chrono::seconds kClockSkew{60};
/// Multiplies the estimated wait at admission. With 3 times a pool's capacity offered, 50 of 100 refusals were
/// immediate at a margin of 1.5, 62 at 2 and 78 at 3. The number of drafts served did not change, as the queue stays
/// long enough.
constexpr double kWaitMargin = 3;
/// Lower bound of Retry-After for a request that would wait too long.
constexpr std::chrono::milliseconds kMinRetryMs{1000};
constexpr std::size_t kOpenRequestLimit = 4096; ///< open requests of one host; bounds its memory

struct parsed_id {
    std::int64_t unixSeconds = 0;
    bool valid = false;
};

parsed_id parseRequestId(std::string_view text)
{
    constexpr std::size_t kMaxIdLength = 128;
    parsed_id parsed;
    const auto dash = text.find('-');
    if (text.size() > kMaxIdLength || dash == std::string_view::npos || dash == 0 || dash + 1 == text.size())
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

bool isAccepted(const finish_request &response)
{
    return response.outcome == outcome_kind::complete;
}

} // namespace

void router_core::implementation::on(const caller_request &input)
{
    if (findRequest(input.request))
        return;
    auto request = std::make_unique<open_request>();
    request->input = input;
    request->requestId = input.requestId;
    request->arrivedAt = m_now;
    request->randomBits = m_random();
    auto response = checkIdentity(*request);
    if (isAccepted(response))
        response = checkRequestId(*request);
    if (isAccepted(response))
        response = checkSession(*request);
    if (isAccepted(response))
        response = checkAdmission(*request);
    if (!isAccepted(response))
        return refuse(*request, std::move(response));
    auto &admitted = *m_requests.emplace(input.request, std::move(request)).first->second;
    m_openRequestIds.emplace(admitted.account, admitted.requestId);
    setTimer(admitted, admitted.deadline);
    record("admitted", admitted, "within the limits of the account");
    enqueue(admitted, "first attempt");
    dispatchQueued();
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
    request.deadline = m_now + std::min(input.timeout.value_or(entry.maxTimeout), entry.maxTimeout);
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

/// A host without a lease may be disconnected from the ledger too, so it can't determine whether another host runs
/// this id.
finish_request router_core::implementation::refusalWithoutLease(const open_request &request) const
{
    auto response = notRun(reason_code::no_fresh_configuration, retryAfterOf(reason_code::no_fresh_configuration));
    if (!request.idempotent)
        response.outcome = outcome_kind::may_have_run;
    return response;
}

finish_request router_core::implementation::checkAdmission(open_request &request)
{
    if (m_openRequestIds.contains({request.account, request.requestId})) {
        // The first request with this id may be running, so "not run" would be wrong.
        return {.outcome = outcome_kind::may_have_run, .reason = reason_code::duplicate_in_progress};
    }
    if (!hasLease())
        return refusalWithoutLease(request);
    const auto chosen = plan(request);
    if (chosen.reason == reason_code::quarantined && !request.idempotent) {
        // An earlier request with the same id may have crashed the upstreams, and thus have run.
        return {.outcome = outcome_kind::may_have_run, .reason = reason_code::quarantined};
    }
    if (chosen.reason != reason_code::none)
        return notRun(chosen.reason, retryAfterOf(chosen.reason));
    if (m_requests.size() >= kOpenRequestLimit)
        return notRun(reason_code::over_capacity, retryAfterOf(reason_code::over_capacity));
    request.pool = (*m_config)[(*m_config)[chosen.version].model].service;
    const auto wait = m_admission.estimateQueueWait(request.account, request.priority, request.pool);
    if (!canFinishInTime(request, chosen.version, m_now + std::chrono::duration_cast<instant>(kWaitMargin * wait)))
        return notRun(reason_code::deadline_unreachable, m_admission.addJitter(std::max(wait, kMinRetryMs)));
    const auto decision = m_admission.admit(*m_config, m_config->accountByName(request.account), m_now);
    return decision.reason == reason_code::none ? kAccepted : notRun(decision.reason, decision.retryAfter);
}

void router_core::implementation::refuse(const open_request &request, finish_request response)
{
    response.request = request.input.request;
    response.requestId = request.requestId;
    record("refused", request, std::string(nameOf(response.outcome)) + ": " + std::string(nameOf(response.reason)));
    m_actions.emplace_back(std::move(response));
}

} // namespace foxtaildyke
