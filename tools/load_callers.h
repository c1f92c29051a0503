// Request generation for both modes of foxtaildyke-load: a deterministic, open-loop schedule built from the workloads.
#pragma once

#include "load_experiment.h"

namespace foxtaildyke::load
{

/// A scheduled request; it is sent regardless of the outcome of earlier requests.
struct planned_request {
    instant arrivesAt{};
    std::size_t workload = 0; ///< index into experiment::workloads
    std::string account;
    std::string requestId;
    std::string sessionId; ///< empty: none
    std::uint32_t prefixGroup = 0;
    std::uint64_t difficulty = 0; ///< random bits that decide which models meet the target
    bool isDuplicated = false; ///< also sent to a second host at the same time
};

/// @param unixSeconds the callers' wall-clock time at the start, used in request ids.
/// @returns all requests of a run, ordered by time. Equal experiments and seeds give equal lists.
[[nodiscard]] std::vector<planned_request> planRequests(const experiment &settings, std::uint64_t seed,
                                                        std::int64_t unixSeconds);

/// @param shareable false: the prompt starts with the request id, so that different requests share no prefix.
/// @returns a prompt that starts with the prefix of the prefix group, at about 4 bytes per token.
[[nodiscard]] std::string makePrompt(const workload &source, const planned_request &request, bool shareable);

} // namespace foxtaildyke::load
