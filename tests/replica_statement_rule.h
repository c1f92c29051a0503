// The users' rules on replicas that leave and on replicas that want no requests for some time, checked over what a
// replica received from one host.
#pragma once

#include "foxtaildyke/foxtaildyke.h"

#include <algorithm>
#include <ranges>

namespace foxtaildyke::replica_statement_rule
{

/// Time after the first response that states the leaving from which on the replica may get no request.
inline constexpr std::chrono::milliseconds kDrainTime{2000};
/// Requests that arrive up to this time after a rejection with Retry-After don't count.
inline constexpr std::chrono::milliseconds kRejectionDelay{500};
/// Requests allowed in the rest of that time.
inline constexpr std::size_t kMaxAfterRejection = 2;

/// @param times of the requests, ascending.
/// @returns the number of requests that the replica should not have received.
template <std::ranges::forward_range range>
std::size_t afterLeaving(const range &times, instant statedAt)
{
    return static_cast<std::size_t>(
        std::ranges::count_if(times, [&](instant at) { return at > statedAt + kDrainTime; }));
}

/// @param times of the requests, ascending.
/// @param rejectedAt times of the rejections, each with the same Retry-After.
/// @returns the largest number of requests, over all rejections, within the time that one asked for.
template <std::ranges::forward_range range>
std::size_t mostAfterRejection(const range &times, const range &rejectedAt, double retryAfterSeconds)
{
    const auto pause = std::chrono::duration_cast<instant>(std::chrono::duration<double>(retryAfterSeconds));
    std::size_t most = 0;
    for (const instant rejected : rejectedAt) {
        const auto isWithin = [&](instant at) {
            return at > rejected + kRejectionDelay && at < rejected + pause;
        };
        most = std::max(most, static_cast<std::size_t>(std::ranges::count_if(times, isWithin)));
    }
    return most;
}

} // namespace foxtaildyke::replica_statement_rule
