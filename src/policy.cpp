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

constexpr double kOwnWindow = 200; ///< answers of a version after which an older one counts 1/e
constexpr double kKindWindow = 2000; ///< answers of a kind after which an unused version's estimate is 1/e as firm
/// Decisions on sampled instead of mean chances. Of no effect on cost from 0.01 to 0.10 (148.4, 148.2, 147.5
/// micro-units in lin-shou-policy.ini), so chosen to notice a change of an unused version within some hundred requests.
constexpr double kExplorationShare = 0.05;

/// Pulls an estimate towards the prior Beta(1, 1).
void age(beta_estimate &estimate, double keep)
{
    estimate.successes = 1 + (estimate.successes - 1) * keep;
    estimate.failures = 1 + (estimate.failures - 1) * keep;
}

double sample(const beta_estimate &chance, std::minstd_rand &random)
{
    const auto met = std::gamma_distribution<double>(chance.successes)(random);
    const auto missed = std::gamma_distribution<double>(chance.failures)(random);
    return met + missed > 0 ? met / (met + missed) : chance.mean();
}

/// @returns whether the request with these random bits is one that explores.
bool isExploring(std::uint64_t draw)
{
    constexpr std::uint64_t kSteps = 10000;
    // Hashed, because tokens that count up would explore in runs.
    return draw != 0 && XXH64(&draw, sizeof draw, 0) % kSteps < static_cast<std::uint64_t>(kExplorationShare * kSteps);
}

/// @returns the start by a rule that looks at no estimate.
std::size_t fixedStart(start_rule rule, std::size_t candidates, std::uint64_t draw)
{
    if (rule == start_rule::uniform)
        return XXH64(&draw, sizeof draw, 1) % candidates;
    return rule == start_rule::cheapest ? 0 : candidates - 1;
}

/// Expected course of a cascade from one of its models on.
struct chain {
    double cost = 0; ///< micro-units
    double latencyMs = 0;
    double worstLatencyMs = 0; ///< each attempt is made
    double missChance = 1; ///< no model meets the target
};

chain prepend(const cascade_candidate &candidate, double meets, const chain &rest)
{
    const auto latency = static_cast<double>(candidate.expectedLatency.count());
    return {candidate.expectedCostMicroUnits + (1 - meets) * rest.cost, latency + (1 - meets) * rest.latencyMs,
            latency + rest.worstLatencyMs, (1 - meets) * rest.missChance};
}

/// Weighted loss relative to the strongest model alone, so that the weights need no units.
double lossOf(const chain &option, const chain &strongest, const objective_weights &weights)
{
    return weights.cost * option.cost / std::max(1e-9, strongest.cost)
        + weights.latency * option.latencyMs / std::max(1.0, strongest.latencyMs)
        + weights.exposure * option.missChance;
}

} // namespace

void cascade_policy::update(const estimate_counts &counts)
{
    const auto answers = static_cast<double>(counts.met + counts.missed);
    // Without this a version that lost its place once would never be tried again, however it changes.
    for (auto &[key, entry] : m_estimates) {
        if (key.first == counts.kind && key.second != counts.version)
            age(entry, std::exp(-answers / kKindWindow));
    }
    auto &entry = m_estimates[{counts.kind, counts.version}];
    age(entry, std::exp(-answers / kOwnWindow));
    entry.successes += static_cast<double>(counts.met);
    entry.failures += static_cast<double>(counts.missed);
}

void cascade_policy::recordRating(std::string_view kind, std::string_view version, bool metTarget)
{
    const estimate_counts one{std::string(kind), std::string(version), metTarget ? 1U : 0U, metTarget ? 0U : 1U};
    update(one);
    auto &pending = m_pending[{one.kind, one.version}];
    pending.met += one.met;
    pending.missed += one.missed;
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

cascade_decision cascade_policy::choose(const fleet &config, kind_handle kind,
                                        std::span<const cascade_candidate> candidates,
                                        std::chrono::milliseconds remaining, bool ratingAvailable,
                                        std::uint64_t draw) const
{
    const auto last = candidates.size() - 1;
    if (!ratingAvailable)
        return {last, "rating unavailable"};
    if (!config[kind].rated)
        return {last, "kind is not rated"};
    if (config.tune.startRule != start_rule::least_loss)
        return {fixedStart(config.tune.startRule, candidates.size(), draw), nameOf(config.tune.startRule)};
    const auto &name = config[kind].name;
    const bool explores = isExploring(draw);
    std::minstd_rand random(static_cast<std::uint32_t>(draw ^ (draw >> 32)));
    const auto chanceOf = [&](std::size_t index) {
        const auto chance = estimate(name, config[candidates[index].version].name);
        return explores ? sample(chance, random) : chance.mean();
    };
    const auto strongest = prepend(candidates[last], chanceOf(last), {});
    auto option = strongest;
    cascade_decision best{last, "strongest is cheapest"};
    auto bestLoss = lossOf(strongest, strongest, config.tune.weights);
    for (std::size_t i = last; i-- > 0;) {
        option = prepend(candidates[i], chanceOf(i), option);
        const auto loss = lossOf(option, strongest, config.tune.weights);
        if (option.worstLatencyMs > static_cast<double>(remaining.count()) || loss >= bestLoss)
            continue;
        bestLoss = loss;
        best = {i, explores ? "exploration" : "least expected loss"};
    }
    return best;
}

} // namespace foxtaildyke
