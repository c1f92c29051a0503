// Decisions at the end of an attempt; see attempt_rules_p.h.
#include "attempt_rules_p.h"

namespace foxtaildyke
{

namespace
{

bool canRetry(const attempt_outcome &outcome)
{
    const bool isAllowed = outcome.mayRetry || !outcome.mayHaveRun;
    return isAllowed && outcome.sends < outcome.maxSends && outcome.remaining >= kMinRetryTime;
}

} // namespace

next_step nextStepAfter(const attempt_outcome &outcome)
{
    if (outcome.result == attempt_result::answered)
        return next_step::pass_on;
    if (canRetry(outcome))
        return next_step::retry;
    if (outcome.hasResponseStarted)
        return next_step::cut_off;
    if (outcome.result == attempt_result::server_error)
        return next_step::pass_on;
    return outcome.mayHaveRun ? next_step::fail : next_step::refuse;
}

} // namespace foxtaildyke
