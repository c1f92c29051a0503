// Rules for the end of an attempt; see attempt_rules_p.h.
#include "attempt_rules_p.h"

namespace foxtaildyke
{

namespace
{

bool canTryAgain(const attempt_outcome &facts)
{
    const bool isAllowed = facts.mayRetry || !facts.mayHaveRun;
    return isAllowed && facts.sends < facts.maxSends && facts.left >= kMinRetryTime;
}

} // namespace

next_step nextStepAfter(const attempt_outcome &facts)
{
    if (facts.result == attempt_result::answered)
        return next_step::pass_on;
    if (canTryAgain(facts))
        return next_step::retry;
    if (facts.hasCallerBytes)
        return next_step::cut_off;
    if (facts.result == attempt_result::server_error)
        return next_step::pass_on;
    return facts.mayHaveRun ? next_step::fail : next_step::refuse;
}

} // namespace foxtaildyke
