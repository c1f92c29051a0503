// Heads of forwarded messages: what goes on to a replica, what goes back to the caller, and what the gateway reads of a
// request on the way. Pure functions.
#pragma once

#include "caller_connection_p.h"
#include "header_names_p.h"

#include <span>

namespace foxtaildyke
{

/// What the gateway reads of a request's headers.
struct request_metadata {
    std::string id; ///< empty: missing
    std::string key; ///< API key; empty: none
    std::string host;
    std::string model; ///< empty: not stated
    std::optional<std::chrono::milliseconds> deadline; ///< how long the caller waits
    std::optional<std::uint64_t> lastEventId; ///< the caller resumes a stream after this event
    std::uint64_t promptTokens = 0; ///< shared ones included
    std::uint64_t sharedTokens = 0; ///< of the parts that other requests share
    std::uint64_t outputTokens = 0; ///< estimate, or the most
    std::uint64_t sharedPrefixHash = 0; ///< hash of the prompt's parts that other requests share; 0: none
    std::uint64_t session = 0; ///< hash of the session's name, or of the id where there is none
};

[[nodiscard]] request_metadata parseRequestHeaders(const message_head &head, const header_names &headerNames);

/// What the gateway sets on a forwarded request.
struct forward_fields {
    std::string replica;
    std::string account; ///< empty: none
    std::string model; ///< replaces the caller's where not empty
    std::chrono::milliseconds deadline{};
    std::optional<std::uint32_t> priority; ///< at an engine
    std::optional<std::uint64_t> lastEventId; ///< replaces the caller's
};

/// @returns the head of the forwarded request, with the blank line at its end.
[[nodiscard]] std::string forwardedHead(const caller_request &request, const forward_fields &fields,
                                        const header_names &headerNames);

/// @returns the headers of an answer that go on to the caller.
[[nodiscard]] http_headers forwardedResponseHeaders(const message_head &answer);

} // namespace foxtaildyke
