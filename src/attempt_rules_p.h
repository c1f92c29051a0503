// What follows the end of an attempt: pure rules by what may be repeated, what the replica stated, and what the caller
// has received. Load answered: replicas that refuse, fail, break off or fall silent.
#pragma once

#include "gateway_model_p.h"

namespace foxtaildyke
{

/// How an attempt at a replica ended.
enum class attempt_result : std::uint8_t {
    answered, ///< whole answer that can be passed on
    server_error, ///< whole answer of the replica with a status of 500 or more
    not_run, ///< the replica states that it did not run the request
    wrong_replica, ///< the address belongs to another replica; not run
    not_connected, ///< nothing was sent
    broken, ///< no whole answer; the request may have run
    unusable, ///< an answer that can't be trusted: no stamp, encoded, or not HTTP
    count
};

template <>
struct enum_names<attempt_result> {
    static constexpr std::array kNames{"answered",      "server_error", "not_run", "wrong_replica",
                                       "not_connected", "broken",       "unusable"};
};

/// @returns whether the replica can't have run the request.
[[nodiscard]] constexpr bool hasCertainlyNotRun(attempt_result result)
{
    return result == attempt_result::not_run || result == attempt_result::wrong_replica
        || result == attempt_result::not_connected;
}

struct attempt_outcome {
    attempt_result result = attempt_result::broken;
    bool mayRetry = false; ///< the kind of request may run more than once
    bool mayHaveRun = false; ///< this attempt or one before may have run
    bool hasCallerBytes = false; ///< part of the answer has gone to the caller
    std::uint32_t sends = 0; ///< replicas to which it was sent
    std::uint32_t maxSends = 1;
    std::chrono::milliseconds left{}; ///< until the deadline
};

enum class next_step : std::uint8_t {
    pass_on, ///< give the caller the replica's answer
    retry, ///< if the retry budget allows it; otherwise ask again with `sends` at its maximum
    refuse, ///< 503: it has not run and never will
    fail, ///< 502: it may have run
    cut_off, ///< break off the answer that has begun
    count
};

template <>
struct enum_names<next_step> {
    static constexpr std::array kNames{"pass_on", "try_again", "refuse", "fail", "cut_off"};
};

/// A repeat that could not end in this time isn't sent: about the fastest plain answer and one round trip.
inline constexpr std::chrono::milliseconds kMinRetryTime{20};

[[nodiscard]] next_step nextStepAfter(const attempt_outcome &facts);

} // namespace foxtaildyke
