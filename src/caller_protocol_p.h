// Callers' protocol, independent of sockets: decodes requests into inputs of the core and encodes final responses.
#pragma once

#include "router_core_p.h"

namespace foxtaildyke
{

/// Headers of POST /v1/answers as received; an absent header is empty.
struct caller_headers {
    std::string authorization;
    std::string requestId;
    std::string sessionId;
    std::string sessionToken;
    std::string deadlineMs;
};

/// Maximum size of a request body.
constexpr std::size_t kCallerBodyLimitBytes = 1UL << 20U;

/// Why a request is rejected.
struct caller_refusal {
    reason_code reason = reason_code::malformed_body;
    std::string field;
};

/// Decodes a request.
/// @returns the request, or its refusal: unknown_account without a bearer key, body_too_large, or malformed_body with
/// the offending field.
[[nodiscard]] std::variant<caller_request, caller_refusal> decodeCallerRequest(const caller_headers &headers,
                                                                               std::string_view body);

/// @returns the HTTP status of a final response.
[[nodiscard]] int httpStatusOf(outcome_kind outcome, reason_code reason);

/// @returns the JSON object of a final response.
/// @param text complete text of the response; omitted if `withText` is false because it was streamed.
[[nodiscard]] std::string encodeResponse(const finish_request &response, std::string_view text, bool withText);

/// @returns a server-sent event with a part of the response text.
[[nodiscard]] std::string encodeTextEvent(std::string_view text);

/// @returns the last server-sent event of a response; it carries the outcome.
[[nodiscard]] std::string encodeOutcomeEvent(const finish_request &response);

/// @returns the value of Retry-After in whole seconds, at least 1, or empty if the response has none.
[[nodiscard]] std::string retryAfterOf(const finish_request &response);

} // namespace foxtaildyke
