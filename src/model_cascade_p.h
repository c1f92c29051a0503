// Selects the model of a route that serves a request: starts with the smallest and escalates to the largest if the
// smallest states a low confidence in its response. Addresses the case where most requests are easy, a few are hard,
// and the largest model takes ten times as long as the smallest.
#pragma once

#include "attempt_rules_p.h"

namespace foxtaildyke
{

struct cascade_settings {
    /// Confidence in percent below which the response of the smallest model is discarded and the request escalated to
    /// the largest.
    std::uint32_t confidenceToKeep = 60;
    /// Whether requests start with the smallest model.
    bool startsSmall = true;
    /// Fraction of the latency objective after which the request is no longer escalated and the response of the small
    /// model is kept.
    double smallModelShare = 0.5;
};

/// State of a request in the cascade.
struct cascade_step : run_history {
    std::size_t models = 1; ///< of the route, smallest first
    std::size_t current = 0;
    std::optional<std::uint64_t> confidence; ///< of the response that has begun, in percent; empty: not stated
    std::chrono::milliseconds elapsed{}; ///< since the request was read
    std::chrono::milliseconds objective{}; ///< latency objective of the route
    /// Whether the retry budget allows an escalation now. If it is used up by failures, a request that starts with the
    /// smallest model would have to keep its response, however low the confidence.
    bool isEscalationAllowed = true;
};

/// @returns index of the model to start with, also for a retry before anything was delivered to the caller: the largest
/// if the request may not run once more after that.
[[nodiscard]] std::size_t firstModel(const cascade_settings &settings, const cascade_step &step);

/// @returns index of the model to escalate to, or nothing if the response that has begun is to be kept.
/// @remarks Check the retry budget afterwards: each escalation is one more arrival at the service.
[[nodiscard]] std::optional<std::size_t> nextModel(const cascade_settings &settings, const cascade_step &step);

} // namespace foxtaildyke
