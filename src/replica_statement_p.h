// What a replica states about itself in the head of a response, apart from the response to the request. Decoded by the
// adapter, which knows the names on the wire.
#pragma once

#include "foxtaildyke/foxtaildyke.h"

#include <optional>
#include <string>
#include <vector>

namespace foxtaildyke
{

/// Parts of a statement whose value can be unusable.
enum class statement_field : std::uint8_t { leaving, retry_after, rate_limit, bearable_rejections, count };

template <>
struct enum_names<statement_field> {
    static constexpr std::array kNames{"leaving", "retry_after", "rate_limit", "bearable_rejections"};
};

/// A value that can't be used and has no effect.
struct unusable_statement {
    statement_field field = statement_field::leaving;
    std::string text; ///< as received, shortened
};

/// @remarks How long the connection may be kept is not a part: it concerns the connection, not the replica, and is read
/// by upstream_exchange.
struct replica_statement {
    bool isStamped = false; ///< the response is certain to originate from a replica
    bool hasNotRun = false; ///< it did not run the request
    bool isLeaving = false; ///< it will exit and wants no further requests
    std::optional<double> retryAfterSeconds; ///< with a rejection: time for which it wants no requests from this host
    std::optional<double> rateLimit; ///< requests per second that it accepts from all hosts together; unset: no limit
    /// Requests per second that it can reject for want of room without falling over; unset: it isn't brittle.
    std::optional<double> bearableRejections;
    std::optional<std::uint64_t> confidence; ///< 0 to 100: the model's confidence in its output
    std::vector<unusable_statement> unusable;

    [[nodiscard]] bool isUnusable(statement_field field) const
    {
        return std::ranges::find(unusable, field, &unusable_statement::field) != unusable.end();
    }
};

} // namespace foxtaildyke
