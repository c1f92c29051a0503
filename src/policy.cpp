// Model choice of a cascade; see policy_p.h.
#include "policy_p.h"

#include <cmath>

namespace foxtaildyke
{

void cascade_policy::learn(std::string_view kind, std::string_view version, bool metTarget)
{
    auto &entry = m_estimates[{std::string(kind), std::string(version)}];
    (metTarget ? entry.successes : entry.failures) += 1;
}

beta_estimate cascade_policy::estimate(std::string_view kind, std::string_view version) const
{
    const auto found = m_estimates.find(std::pair{std::string(kind), std::string(version)});
    return found == m_estimates.end() ? beta_estimate{} : found->second;
}

cascade_decision cascade_policy::choose(const fleet &config, kind_handle kind,
                                        std::span<const cascade_candidate> candidates,
                                        std::chrono::milliseconds remaining, bool ratingAvailable) const
{
    const auto last = candidates.size() - 1;
    if (!ratingAvailable)
        return {last, "rating unavailable"};
    const auto &name = config[kind].name;
    // Expected cost of starting at i: its own cost, plus that of the rest of the chain when it misses the target.
    double chainCost = candidates[last].expectedCostMicroUnits;
    auto chainLatency = candidates[last].expectedLatency;
    cascade_decision best{last, "strongest is cheapest"};
    double bestCost = chainCost;
    for (std::size_t i = last; i-- > 0;) {
        const auto meets = estimate(name, config[candidates[i].version].name).mean();
        chainCost = candidates[i].expectedCostMicroUnits + (1 - meets) * chainCost;
        chainLatency += candidates[i].expectedLatency;
        if (chainLatency > remaining || chainCost >= bestCost)
            continue;
        bestCost = chainCost;
        best = {i, "least expected cost"};
    }
    return best;
}

} // namespace foxtaildyke
