// Decides what follows the end of an attempt from what may be retried, what the replica stated, and what the caller has
// received. Does no I/O. Addresses replicas that refuse requests, fail, break off a response or stop responding.
#pragma once

#include "gateway_model_p.h"

namespace foxtaildyke
{

/// How an attempt at a replica ended.
enum class attempt_result : std::uint8_t {
    answered, ///< complete response that can be passed on
    server_error, ///< complete response of the replica with a status of 500 or more
    not_run, ///< the replica states that it did not run the request
    wrong_replica, ///< the address belongs to another replica; not run
    not_connected, ///< nothing was sent
    broken, ///< incomplete or missing response; the request may have run
    truncated, ///< the response's framing is complete, but its content isn't; the request may have run
    unusable, ///< untrusted response: without stamp, encoded, or not HTTP
    count
};

template <>
struct enum_names<attempt_result> {
    static constexpr std::array kNames{"answered",      "server_error", "not_run",   "wrong_replica",
                                       "not_connected", "broken",       "truncated", "unusable"};
};

/// @returns whether it is certain that the replica has not run the request.
[[nodiscard]] constexpr bool hasCertainlyNotRun(attempt_result result)
{
    return result == attempt_result::not_run || result == attempt_result::wrong_replica
        || result == attempt_result::not_connected;
}

/// What has happened to a request so far.
struct run_history {
    bool mayRetry = false; ///< requests of this kind may run more than once
    bool mayHaveRun = false; ///< an attempt may have run
    bool hasResponseStarted = false; ///< part of the response was sent to the caller
    bool hasResumePoint = true; ///< if so, a replica can continue after the last event that was sent
    std::uint32_t sends = 0; ///< replicas to which the request was sent
    std::uint32_t maxSends = 1;
    std::chrono::milliseconds remaining{}; ///< until the deadline
};

/// No retry is sent with less time left than this: about the fastest non-streamed response plus one round trip.
inline constexpr std::chrono::milliseconds kMinRetryTime{20};

/// @returns whether the request may be sent to a replica once more, whatever for: a retry, an escalation, which drops
/// the response of the run before, a resumed stream, or a detour after an attempt. Doesn't ask the retry budget.
[[nodiscard]] bool mayRunAgain(const run_history &history);

struct attempt_outcome : run_history {
    attempt_result result = attempt_result::broken;
};

enum class next_step : std::uint8_t {
    pass_on, ///< pass the replica's response on to the caller
    retry, ///< if the retry budget allows it; if not, decide again with `sends` at its maximum
    refuse, ///< 503: the request has not run and never will
    fail, ///< 502: the request may have run
    cut_off, ///< break off the response that has begun
    count
};

template <>
struct enum_names<next_step> {
    static constexpr std::array kNames{"pass_on", "try_again", "refuse", "fail", "cut_off"};
};

[[nodiscard]] next_step nextStepAfter(const attempt_outcome &outcome);

} // namespace foxtaildyke
