// Cascade policy: paying for the strongest model where a cheap one does, and missing targets or deadlines to save
// money.
#include "policy_p.h"

#include <array>
#include <doctest/doctest.h>

using namespace foxtaildyke;
using namespace std::chrono_literals;

namespace
{

constexpr kind_handle kKind{0};

fleet cascadeFleet(objective_weights weights = {})
{
    fleet config;
    config.versions = {{.name = "cheap-1"}, {.name = "strong-1"}};
    config.kinds.push_back({.name = "page-tag"});
    config.tune.weights = weights;
    return config;
}

constexpr std::array kCandidates{cascade_candidate{version_handle{0}, 100, 300ms},
                                 cascade_candidate{version_handle{1}, 1000, 1000ms}};

void learnMany(cascade_policy &policy, std::string_view version, int met, int missed)
{
    for (int i = 0; i < met + missed; ++i)
        policy.recordRating("page-tag", version, i * met / (met + missed) != (i + 1) * met / (met + missed));
}

/// @returns how many of 1000 decisions start with the cheap model.
int cheapStarts(const cascade_policy &policy, const fleet &config)
{
    int cheap = 0;
    for (std::uint64_t i = 1; i <= 1000; ++i)
        cheap += policy.choose(config, kKind, kCandidates, 10s, true, i).start == 0 ? 1 : 0;
    return cheap;
}

} // namespace

TEST_CASE("policy starts cheap where the cheap model mostly meets the target")
{
    const auto config = cascadeFleet();
    cascade_policy good;
    learnMany(good, "cheap-1", 160, 40);
    learnMany(good, "strong-1", 190, 10);
    CHECK(cheapStarts(good, config) >= 950);
    cascade_policy poor;
    learnMany(poor, "cheap-1", 10, 190);
    learnMany(poor, "strong-1", 190, 10);
    CHECK(cheapStarts(poor, config) <= 60);
}

TEST_CASE("policy weighs latency as configured")
{
    // With the same chances a site that waits at a counter goes for the fast chain, one that pays goes for the cheap
    // one.
    cascade_policy policy;
    learnMany(policy, "cheap-1", 60, 140);
    learnMany(policy, "strong-1", 196, 4);
    CHECK(cheapStarts(policy, cascadeFleet({.cost = 3, .latency = 0.5, .exposure = 1})) >= 900);
    constexpr std::array kSlowCheap{cascade_candidate{version_handle{0}, 100, 900ms},
                                    cascade_candidate{version_handle{1}, 1000, 1000ms}};
    const auto config = cascadeFleet({.cost = 0.5, .latency = 3, .exposure = 1});
    int cheap = 0;
    for (std::uint64_t i = 1; i <= 1000; ++i)
        cheap += policy.choose(config, kKind, kSlowCheap, 10s, true, i).start == 0 ? 1 : 0;
    CHECK(cheap <= 100);
}

TEST_CASE("policy takes the strongest model without ratings, and where the deadline allows no second attempt")
{
    // A cheap answer that no one rates would reach the caller however wrong it is.
    const auto config = cascadeFleet();
    cascade_policy policy;
    learnMany(policy, "cheap-1", 199, 1);
    CHECK(policy.choose(config, kKind, kCandidates, 10s, false).start == 1);
    CHECK(policy.choose(config, kKind, kCandidates, 1200ms, true).start == 1);
    auto unrated = config;
    unrated.kinds[0].rated = false;
    CHECK(policy.choose(unrated, kKind, kCandidates, 10s, true).start == 1);
}

TEST_CASE("policy notices a version that changes")
{
    // Counts that never age hide a change behind a long good past.
    cascade_policy policy;
    learnMany(policy, "cheap-1", 9000, 1000);
    learnMany(policy, "cheap-1", 0, 300);
    CHECK(policy.estimate("page-tag", "cheap-1").mean() < 0.3);
}

TEST_CASE("policy explores a little, and returns to a version that recovered")
{
    const auto config = cascadeFleet();
    cascade_policy policy;
    learnMany(policy, "cheap-1", 20, 180);
    learnMany(policy, "strong-1", 5000, 100);
    CHECK(cheapStarts(policy, config) <= 50);
    int cheapAtEnd = 0;
    for (std::uint64_t i = 1; i <= 20000; ++i) {
        const bool cheap = policy.choose(config, kKind, kCandidates, 10s, true, i).start == 0;
        policy.recordRating("page-tag", cheap ? "cheap-1" : "strong-1", true);
        cheapAtEnd += cheap && i >= 19000 ? 1 : 0;
    }
    CHECK(cheapAtEnd >= 900);
}

TEST_CASE("policy shares its estimates, each answer once")
{
    cascade_policy one;
    cascade_policy two;
    learnMany(one, "cheap-1", 30, 10);
    two.mergeRemoteCounts(one.takeDeltas());
    CHECK(one.takeDeltas().empty());
    CHECK(two.takeDeltas().empty());
    CHECK(two.estimate("page-tag", "cheap-1").mean()
          == doctest::Approx(one.estimate("page-tag", "cheap-1").mean()).epsilon(0.05));
}

TEST_CASE("policy decides on one request the same each time")
{
    // A request that waits is decided on again and again; new draws would make it explore in the end.
    const auto config = cascadeFleet();
    cascade_policy policy;
    learnMany(policy, "cheap-1", 20, 80);
    for (std::uint64_t draw = 0; draw < 500; ++draw) {
        const auto first = policy.choose(config, kKind, kCandidates, 10s, true, draw);
        CHECK(policy.choose(config, kKind, kCandidates, 10s, true, draw).start == first.start);
    }
    CHECK(policy.choose(config, kKind, kCandidates, 10s, true).reason != "exploration");
}
