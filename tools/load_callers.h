// Callers of both modes of foxtaildyke-load: a repeatable, open-loop list of requests made from the workloads.
#pragma once

#include "load_experiment.h"

namespace foxtaildyke::load
{

/// A request that a caller sends, whatever happened to the ones before.
struct planned_request {
    instant at{};
    std::size_t workload = 0; ///< index into experiment::workloads
    std::string account;
    std::string requestId;
    std::string sessionId; ///< empty: none
    std::uint32_t prefixGroup = 0;
    std::uint64_t hardness = 0; ///< random bits that decide which models meet the target
    bool duplicate = false; ///< also sent through another host at once
};

/// @param unixSeconds wall clock of the callers at the start, for the request ids.
/// @returns all requests of a run, by time. Equal experiments and seeds give equal lists.
[[nodiscard]] std::vector<planned_request> planRequests(const experiment &settings, std::uint64_t seed,
                                                        std::int64_t unixSeconds);

/// @returns a prompt whose first part is that of the prefix group, at about 4 bytes a token.
[[nodiscard]] std::string makePrompt(const workload &source, const planned_request &request, bool shareable);

} // namespace foxtaildyke::load
