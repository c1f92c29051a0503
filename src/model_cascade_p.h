// Which model of a route answers a request: starts with a small one and goes on to the largest where the small one has
// little confidence in its answer. Load answered: many easy requests among few hard ones, at engines whose largest
// model takes ten times the time of the smallest.
#pragma once

#include "foxtaildyke/foxtaildyke.h"

namespace foxtaildyke
{

struct cascade_settings {
    /// Confidence in percent below which an answer of the smallest model is dropped for one of the largest.
    std::uint32_t confidenceToKeep = 60;
    /// Whether requests start at the smallest model.
    bool startsSmall = true;
    /// Longest first part of the objective that a small model may use up before the request goes to the largest at
    /// once.
    double smallModelShare = 0.5;
};

/// State of a request on its way up.
struct cascade_step {
    std::size_t models = 1; ///< of the route, smallest first
    std::size_t current = 0;
    std::uint32_t sends = 0; ///< replicas to which the request was sent
    std::uint32_t maxSends = 1;
    std::optional<std::uint64_t> confidence; ///< of the answer that has begun, in percent; nothing: not stated
    std::chrono::milliseconds elapsed{};
    std::chrono::milliseconds objective{};
};

/// @returns index of the model to start with.
[[nodiscard]] std::size_t firstModel(const cascade_settings &settings, const cascade_step &step);

/// @returns the model to go on with, or nothing where the answer that has begun is to be kept.
/// @remarks Ask the retry budget afterwards: each step is one more arrival at the service.
[[nodiscard]] std::optional<std::size_t> nextModel(const cascade_settings &settings, const cascade_step &step);

} // namespace foxtaildyke
