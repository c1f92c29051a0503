// Callers' protocol without its sockets: request bodies to inputs of the core, final answers to statuses and bodies.
#pragma once

#include "router_core_p.h"

namespace foxtaildyke
{

/// Headers of POST /v1/answers as received; absent ones are empty.
struct caller_headers {
    std::string authorization;
    std::string requestId;
    std::string sessionId;
    std::string sessionToken;
    std::string deadlineMs;
};

/// Largest body of a request.
constexpr std::size_t kCallerBodyLimitBytes = 1UL << 20U;

/// Reads a request.
/// @returns the request, or what to answer: unknown_account without a bearer key, body_too_large, or malformed_body
/// with the offending field.
struct caller_refusal {
    reason_code reason = reason_code::malformed_body;
    std::string field;
};
[[nodiscard]] std::variant<caller_request, caller_refusal> decodeCallerRequest(const caller_headers &headers,
                                                                               std::string_view body);

/// @returns the HTTP status of a final answer.
[[nodiscard]] int httpStatusOf(outcome_kind outcome, reason_code reason);

/// @returns the JSON object of a final answer.
/// @param text whole text of the answer; left out where `withText` is false (it was streamed).
[[nodiscard]] std::string encodeResponse(const finish_request &answer, std::string_view text, bool withText);

/// @returns a server-sent event with a part of the answer's text.
[[nodiscard]] std::string encodeTextEvent(std::string_view text);

/// @returns the last server-sent event of an answer; it carries the outcome.
[[nodiscard]] std::string encodeOutcomeEvent(const finish_request &answer);

/// @returns the value of Retry-After in whole seconds, at least 1; empty where the answer has none.
[[nodiscard]] std::string retryAfterOf(const finish_request &answer);

} // namespace foxtaildyke
