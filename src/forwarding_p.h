// Message heads for forwarding: headers sent to a replica, headers returned to the caller, and the metadata that the
// gateway parses from a request. Pure functions.
#pragma once

#include "caller_connection_p.h"
#include "header_names_p.h"

#include <span>

namespace foxtaildyke
{

/// Metadata parsed from a request's headers.
struct request_metadata {
    std::string id; ///< empty: missing
    std::string key; ///< API key; empty: none
    std::string host; ///< value of the Host header
    std::string model; ///< empty: not specified
    std::optional<std::chrono::milliseconds> timeout; ///< time for which the caller waits
    std::optional<std::uint64_t> lastEventId; ///< last event of an interrupted stream that the caller received
    std::uint64_t promptTokens = 0; ///< including shared tokens
    std::uint64_t sharedTokens = 0; ///< in prompt parts shared with other requests
    std::uint64_t outputTokens = 0; ///< estimate, or the upper limit if there is no estimate
    std::uint64_t sharedPrefixHash = 0; ///< hash of the prompt parts shared with other requests; 0: none
    std::vector<std::uint64_t> sharedParts; ///< hashes of the ids of the prompt parts shared with other requests
    std::uint64_t session = 0; ///< hash of the session name, or of the request id if there is no session
};

[[nodiscard]] request_metadata parseRequestHeaders(const message_head &head, const header_names &headerNames);

/// @param account name of the client account; empty: none.
/// @returns a hash of the account, method, target and body, equal on all hosts for the same request sent again.
[[nodiscard]] std::uint64_t fingerprintOf(const inbound_request &request, std::string_view account);

/// Headers that the gateway sets on a forwarded request.
struct forward_fields {
    std::string replica; ///< empty: none, the request goes to another host
    std::string account; ///< empty: none
    std::string model; ///< replaces the caller's value unless empty
    std::chrono::milliseconds timeout{};
    std::optional<std::uint32_t> priority; ///< scheduling priority in an engine
    std::optional<std::uint64_t> lastEventId; ///< replaces the caller's value
    bool keepsKey = false; ///< the API key is forwarded, which another host checks again
    http_headers more; ///< further headers, each of which replaces the caller's value
};

/// @returns the head of the forwarded request, including the blank line that ends it.
[[nodiscard]] std::string forwardedHead(const inbound_request &request, const forward_fields &fields,
                                        const header_names &headerNames);

/// @returns whether a response's body is an event stream, which is assumed if the head doesn't state its type.
[[nodiscard]] bool isEventStream(const message_head &head);

/// @returns whether a status implies that the request has not run.
[[nodiscard]] bool impliesNotRun(int status);

/// @returns the headers of a response that are forwarded to the caller.
[[nodiscard]] http_headers forwardedResponseHeaders(const message_head &response);

} // namespace foxtaildyke
