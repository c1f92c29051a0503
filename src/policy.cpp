// Model choice of a cascade; see policy_p.h.
#include "policy_p.h"

#include <cmath>
#include <random>
#include <utility>
#include <xxhash.h>

namespace foxtaildyke
{

namespace
{

constexpr double kVersionWindow = 200; ///< responses of a version after which an older response weighs 1/e
constexpr double kKindWindow = 2000; ///< responses of a kind after which an unused version's counts are down to 1/e
/// Share of decisions that use sampled instead of mean probabilities. Values from 0.01 to 0.10 don't affect the cost
/// (148.4, 148.2, 147.5 micro-units in lin-shou-policy.ini); this one detects a change of an unused version within a
/// few hundred requests.
constexpr double kExplorationShare = 0.05;

/// Decays an estimate towards the prior Beta(1, 1).
void decay(beta_estimate &estimate, double factor)
{
    estimate.successes = 1 + (estimate.successes - 1) * factor;
    estimate.failures = 1 + (estimate.failures - 1) * factor;
}

double sample(const beta_estimate &probability, std::minstd_rand &random)
{
    const auto met = std::gamma_distribution<double>(probability.successes)(random);
    const auto missed = std::gamma_distribution<double>(probability.failures)(random);
    return met + missed > 0 ? met / (met + missed) : probability.mean();
}

/// @returns whether the request with these random bits explores.
bool isExploring(std::uint64_t randomBits)
{
    constexpr std::uint64_t kSteps = 10000;
    // Hashed, because consecutive values would otherwise explore in a row.
    return randomBits != 0
        && XXH64(&randomBits, sizeof randomBits, 0) % kSteps < static_cast<std::uint64_t>(kExplorationShare * kSteps);
}

/// @returns the start index for a rule that doesn't use the estimates.
std::size_t fixedStart(start_rule rule, std::size_t candidates, std::uint64_t randomBits)
{
    if (rule == start_rule::uniform)
        return XXH64(&randomBits, sizeof randomBits, 1) % candidates;
    return rule == start_rule::cheapest ? 0 : candidates - 1;
}

/// Expected outcome of a cascade that starts at a given model.
struct cascade_outcome {
    double cost = 0; ///< micro-units
    double latencyMs = 0;
    double worstLatencyMs = 0; ///< if all attempts are needed
    double missProbability = 1; ///< probability that no model meets the target
};

/// @returns the outcome of a cascade that starts at the candidate and continues with `rest` below the target.
cascade_outcome prepend(const cascade_candidate &candidate, double metProbability, const cascade_outcome &rest)
{
    const auto latency = static_cast<double>(candidate.expectedLatency.count());
    return {candidate.expectedCostMicroUnits + (1 - metProbability) * rest.cost,
            latency + (1 - metProbability) * rest.latencyMs, latency + rest.worstLatencyMs,
            (1 - metProbability) * rest.missProbability};
}

/// Weighted loss, relative to using only the strongest model so that the weights are dimensionless.
double relativeLoss(const cascade_outcome &option, const cascade_outcome &strongest, const objective_weights &weights)
{
    return weights.cost * option.cost / std::max(1e-9, strongest.cost)
        + weights.latency * option.latencyMs / std::max(1.0, strongest.latencyMs)
        + weights.exposure * option.missProbability;
}

} // namespace

void cascade_policy::update(const estimate_counts &counts)
{
    const auto responses = static_cast<double>(counts.met + counts.missed);
    // Without this decay, a version with a poor estimate would never be used again, even after it improved.
    for (auto &[key, entry] : m_estimates) {
        if (key.first == counts.kind && key.second != counts.version)
            decay(entry, std::exp(-responses / kKindWindow));
    }
    auto &entry = m_estimates[{counts.kind, counts.version}];
    decay(entry, std::exp(-responses / kVersionWindow));
    entry.successes += static_cast<double>(counts.met);
    entry.failures += static_cast<double>(counts.missed);
}

void cascade_policy::recordRating(std::string_view kind, std::string_view version, bool metTarget)
{
    const estimate_counts increment{std::string(kind), std::string(version), metTarget ? 1U : 0U, metTarget ? 0U : 1U};
    update(increment);
    auto &pending = m_pending[{increment.kind, increment.version}];
    pending.met += increment.met;
    pending.missed += increment.missed;
}

void cascade_policy::mergeRemoteCounts(const std::vector<estimate_counts> &counts)
{
    std::ranges::for_each(counts, [this](const estimate_counts &entry) { update(entry); });
}

std::vector<estimate_counts> cascade_policy::takeDeltas()
{
    std::vector<estimate_counts> deltas;
    for (const auto &[key, entry] : std::exchange(m_pending, {}))
        deltas.push_back({key.first, key.second, entry.met, entry.missed});
    return deltas;
}

beta_estimate cascade_policy::estimate(std::string_view kind, std::string_view version) const
{
    const auto found = m_estimates.find(std::pair{std::string(kind), std::string(version)});
    return found == m_estimates.end() ? beta_estimate{} : found->second;
}

cascade_decision cascade_policy::choose(const router_config &config, kind_handle kind,
                                        std::span<const cascade_candidate> candidates,
                                        std::chrono::milliseconds remaining, bool ratingAvailable,
                                        std::uint64_t randomBits) const
{
    const auto last = candidates.size() - 1;
    if (!ratingAvailable)
        return {last, "rating unavailable"};
    if (!config[kind].rated)
        return {last, "kind is not rated"};
    if (config.tune.startRule != start_rule::least_loss)
        return {fixedStart(config.tune.startRule, candidates.size(), randomBits), nameOf(config.tune.startRule)};
    const auto &name = config[kind].name;
    const bool explores = isExploring(randomBits);
    std::minstd_rand random(static_cast<std::uint32_t>(randomBits ^ (randomBits >> 32)));
    const auto probabilityOf = [&](std::size_t index) {
        const auto probability = estimate(name, config[candidates[index].version].name);
        return explores ? sample(probability, random) : probability.mean();
    };
    const auto strongest = prepend(candidates[last], probabilityOf(last), {});
    auto option = strongest;
    cascade_decision best{last, "strongest is cheapest"};
    auto bestLoss = relativeLoss(strongest, strongest, config.tune.weights);
    for (std::size_t i = last; i-- > 0;) {
        option = prepend(candidates[i], probabilityOf(i), option);
        const auto loss = relativeLoss(option, strongest, config.tune.weights);
        if (option.worstLatencyMs > static_cast<double>(remaining.count()) || loss >= bestLoss)
            continue;
        bestLoss = loss;
        best = {i, explores ? "exploration" : "least expected loss"};
    }
    return best;
}

} // namespace foxtaildyke
