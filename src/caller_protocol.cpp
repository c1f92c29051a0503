// Callers' protocol; see caller_protocol_p.h.
#include "caller_protocol_p.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace foxtaildyke
{

namespace
{

using nlohmann::json;
using nlohmann::ordered_json;

constexpr std::string_view kBearer = "Bearer ";
constexpr std::int64_t kMaxTimeoutMs = 24LL * 3600 * 1000;

struct status_entry {
    reason_code reason;
    int status;
};

/// Reasons with a status of their own; all others map to the status of their outcome.
constexpr std::array kReasonStatuses{
    status_entry{reason_code::unknown_account, 401},
    status_entry{reason_code::body_too_large, 413},
    status_entry{reason_code::not_allowed, 403},
    status_entry{reason_code::version_withdrawn, 403},
    status_entry{reason_code::session_version_withdrawn, 409},
    status_entry{reason_code::duplicate_in_progress, 409},
    status_entry{reason_code::quarantined, 403},
    status_entry{reason_code::request_id_expired, 409},
    status_entry{reason_code::rate_limited, 429},
    status_entry{reason_code::deadline_exceeded, 504},
};

constexpr std::array<int, static_cast<std::size_t>(outcome_kind::count)> kOutcomeStatuses{200, 400, 503, 409, 502};

std::string dump(const ordered_json &body)
{
    return body.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

bool readText(const json &body, const char *field, bool isRequired, std::string &target)
{
    const auto found = body.find(field);
    if (found == body.end())
        return !isRequired;
    if (!found->is_string())
        return false;
    target = found->get<std::string>();
    return !isRequired || !target.empty();
}

bool readMaxTokens(const json &body, std::uint32_t &target)
{
    const auto found = body.find("max_tokens");
    if (found == body.end())
        return true;
    if (!found->is_number_unsigned() || found->get<std::uint64_t>() == 0 || found->get<std::uint64_t>() > UINT32_MAX)
        return false;
    target = found->get<std::uint32_t>();
    return true;
}

bool readStream(const json &body, bool &target)
{
    const auto found = body.find("stream");
    if (found == body.end())
        return true;
    if (!found->is_boolean())
        return false;
    target = found->get<bool>();
    return true;
}

/// @returns the name of the missing or malformed field, or null.
const char *readBody(const json &body, caller_request &request)
{
    if (!body.is_object())
        return "body";
    if (!readText(body, "kind", true, request.kind))
        return "kind";
    if (!readText(body, "prompt", true, request.prompt))
        return "prompt";
    if (!readMaxTokens(body, request.maxTokens))
        return "max_tokens";
    if (!readStream(body, request.stream))
        return "stream";
    return nullptr;
}

bool readTimeout(const std::string &text, std::optional<std::chrono::milliseconds> &target)
{
    if (text.empty())
        return true;
    std::int64_t value = 0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), value);
    if (read.ec != std::errc{} || read.ptr != text.data() + text.size() || value <= 0 || value > kMaxTimeoutMs)
        return false;
    target = std::chrono::milliseconds(value);
    return true;
}

ordered_json responseObject(const finish_request &response)
{
    ordered_json body{{"outcome", nameOf(response.outcome)}};
    if (response.reason != reason_code::none)
        body["reason"] = nameOf(response.reason);
    if (!response.field.empty())
        body["field"] = response.field;
    if (!response.requestId.empty())
        body["request_id"] = response.requestId;
    if (response.retryAfter.count() > 0)
        body["retry_after_ms"] = response.retryAfter.count();
    if (response.outcome != outcome_kind::complete)
        return body;
    body["model"] = response.model;
    body["version"] = response.version;
    body["prompt_tokens"] = response.promptTokens;
    body["completion_tokens"] = response.completionTokens;
    body["cost_micro_units"] = response.costMicroUnits;
    if (!response.sessionToken.empty())
        body["session_token"] = response.sessionToken;
    return body;
}

} // namespace

std::variant<caller_request, caller_refusal> decodeCallerRequest(const caller_headers &headers, std::string_view body)
{
    if (!headers.authorization.starts_with(kBearer) || headers.authorization.size() == kBearer.size())
        return caller_refusal{reason_code::unknown_account, "Authorization"};
    if (body.size() > kCallerBodyLimitBytes)
        return caller_refusal{reason_code::body_too_large, "body"};
    caller_request request;
    request.apiKey = headers.authorization.substr(kBearer.size());
    request.requestId = headers.requestId;
    request.sessionId = headers.sessionId;
    request.sessionToken = headers.sessionToken;
    if (!readTimeout(headers.deadlineMs, request.timeout))
        return caller_refusal{reason_code::malformed_body, "Foxtaildyke-Deadline-Ms"};
    if (const char *field = readBody(json::parse(body, nullptr, false), request))
        return caller_refusal{reason_code::malformed_body, field};
    return request;
}

int httpStatusOf(outcome_kind outcome, reason_code reason)
{
    const auto found = std::ranges::find(kReasonStatuses, reason, &status_entry::reason);
    if (found == kReasonStatuses.end() || outcome == outcome_kind::complete || outcome == outcome_kind::may_have_run)
        return kOutcomeStatuses[static_cast<std::size_t>(outcome)];
    return found->status;
}

std::string encodeResponse(const finish_request &response, std::string_view text, bool withText)
{
    auto body = responseObject(response);
    if (response.outcome == outcome_kind::complete && withText)
        body["text"] = text;
    if (!response.storedResponse.empty()) {
        const auto stored = ordered_json::parse(response.storedResponse, nullptr, false);
        if (stored.is_object())
            body.update(stored);
        body["repeated"] = true;
    }
    return dump(body);
}

std::string encodeTextEvent(std::string_view text)
{
    return "data: " + dump({{"text", text}}) + "\n\n";
}

std::string encodeOutcomeEvent(const finish_request &response)
{
    return "event: outcome\ndata: " + encodeResponse(response, {}, false) + "\n\n";
}

std::string retryAfterOf(const finish_request &response)
{
    if (response.retryAfter.count() <= 0)
        return {};
    return std::to_string(std::chrono::ceil<std::chrono::seconds>(response.retryAfter).count());
}

} // namespace foxtaildyke
