// Protocol between a host that is cut off from replicas and one that serves its requests: headers of such requests and
// their responses, and the exchange of statements. Pure functions. Nothing of it reaches callers or replicas.
#pragma once

#include "detour_hosts_p.h"
#include "forwarding_p.h"

namespace foxtaildyke
{

/// Path at which hosts exchange statements.
inline constexpr const char *kStatementsPath = "/hosts";

/// What the host that received a request tells the one that serves it.
struct detour_request {
    std::string host; ///< that received the request
    std::string service; ///< chosen there
    generation_number generation = 0; ///< configuration by which it has validated the request
    std::uint32_t sends = 0; ///< replicas to which it has sent the request
    std::optional<std::size_t> model; ///< index of the model of a stream that has begun
};

/// Why a host doesn't try to serve another one's request.
enum class detour_refusal : std::uint8_t {
    none, ///< it does
    outdated, ///< it knows an older configuration, or can't confirm the one it knows; others may soon know it
    cut_off, ///< it doesn't reach the service either
    busy, ///< it serves as many already as it may
    count
};

template <>
struct enum_names<detour_refusal> {
    static constexpr std::array kNames{"none", "outdated", "cut_off", "busy"};
};

/// @returns for how long a host isn't chosen that has refused a request, or has failed (`none`).
[[nodiscard]] std::chrono::milliseconds pauseAfter(detour_refusal refusal);

/// What the host that serves a request tells the one that received it.
struct detour_response {
    detour_refusal refusal = detour_refusal::none;
    std::optional<replica_run> replica; ///< that responded
    std::optional<std::size_t> model; ///< index of the model that did
};

/// @returns the head of a request to another host, with the caller's own headers.
/// @param timeout time that is left for the request.
[[nodiscard]] std::string detourHead(const inbound_request &request, const detour_request &detour,
                                     std::chrono::milliseconds timeout, std::optional<std::uint64_t> lastEventId,
                                     const header_names &headerNames);

/// Removes what detourHead() has added. @returns nothing if the request lacks it.
[[nodiscard]] std::optional<detour_request> takeDetour(message_head &head);

/// Adds headers to a replica's response, for the host that received the request.
void addDetourResponse(http_headers &headers, const detour_response &response);
[[nodiscard]] http_headers refusedDetourHeaders(detour_refusal refusal);

/// Removes what the other host has added to a response. @returns what it was.
[[nodiscard]] detour_response takeDetourResponse(message_head &head);

[[nodiscard]] std::string encodeStatements(const host_statement &own, const std::vector<aged_statement> &others);

/// @returns the sender's statement first, or nothing if the text isn't from a host.
[[nodiscard]] std::vector<aged_statement> decodeStatements(const std::string &text);

} // namespace foxtaildyke
