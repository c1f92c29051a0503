// Selection of the model; see model_cascade_p.h.
#include "model_cascade_p.h"

namespace foxtaildyke
{

std::size_t firstModel(const cascade_settings &settings, const cascade_step &step)
{
    // Where escalation is impossible, the request goes to the largest model at once.
    run_history afterRun = step;
    ++afterRun.sends;
    afterRun.mayHaveRun = true;
    const bool canEscalate = mayRunAgain(afterRun) && step.isEscalationAllowed;
    return settings.startsSmall && canEscalate ? 0 : step.models - 1;
}

std::optional<std::size_t> nextModel(const cascade_settings &settings, const cascade_step &step)
{
    const bool isLargest = step.current + 1 >= step.models;
    if (isLargest || !step.confidence)
        return std::nullopt;
    run_history afterRun = step;
    afterRun.mayHaveRun = true; // its response has begun
    if (step.hasResponseStarted || !mayRunAgain(afterRun))
        return std::nullopt;
    if (*step.confidence >= settings.confidenceToKeep)
        return std::nullopt;
    if (std::chrono::duration<double>(step.elapsed)
        > settings.smallModelShare * std::chrono::duration<double>(step.objective))
        return std::nullopt;
    return step.models - 1;
}

} // namespace foxtaildyke
