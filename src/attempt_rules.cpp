// Decisions at the end of an attempt; see attempt_rules_p.h.
#include "attempt_rules_p.h"

namespace foxtaildyke
{

bool mayRunAgain(const run_history &history)
{
    const bool isRepeatable = history.mayRetry || !history.mayHaveRun;
    const bool isContinuable = !history.hasResponseStarted || history.hasResumePoint;
    return isRepeatable && isContinuable && history.sends < history.maxSends && history.remaining >= kMinRetryTime;
}

next_step nextStepAfter(const attempt_outcome &outcome)
{
    if (outcome.result == attempt_result::answered)
        return next_step::pass_on;
    if (mayRunAgain(outcome))
        return next_step::retry;
    if (outcome.hasResponseStarted)
        return next_step::cut_off;
    if (outcome.result == attempt_result::server_error)
        return next_step::pass_on;
    return outcome.mayHaveRun ? next_step::fail : next_step::refuse;
}

} // namespace foxtaildyke
