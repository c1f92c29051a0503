// The users' rule on a replica's rate limit, checked over what the replica received.
#pragma once

#include "foxtaildyke/foxtaildyke.h"

#include <algorithm>
#include <ranges>

namespace foxtaildyke::rate_limit_rule
{

/// The rule holds for windows of this length ...
inline constexpr std::chrono::seconds kWindow{4};
/// ... that begin this long after the replica first advertised its limit.
inline constexpr std::chrono::seconds kSettleTime{3};

/// @returns the number of requests that a replica may receive in a window.
inline std::size_t allowedInWindow(double perSecond)
{
    return static_cast<std::size_t>(1.5 * perSecond * static_cast<double>(kWindow.count()) + 5);
}

/// @param times of the requests, ascending.
/// @returns the largest number of requests in a window that begins kSettleTime or more after the limit was advertised.
template <std::ranges::forward_range range>
std::size_t mostInWindow(const range &times, instant advertisedAt)
{
    std::size_t most = 0;
    for (auto first = times.begin(); first != times.end(); ++first) {
        if (*first < advertisedAt + kSettleTime)
            continue;
        const auto last = std::find_if(first, times.end(), [first](instant at) { return at >= *first + kWindow; });
        most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
}

} // namespace foxtaildyke::rate_limit_rule
