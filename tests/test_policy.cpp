// Cascade policy. Guards against using the strongest model where a cheaper one suffices, and against missing targets or
// deadlines to save cost.
#include "policy_p.h"

#include <array>
#include <doctest/doctest.h>

using namespace foxtaildyke;
using namespace std::chrono_literals;

namespace
{

constexpr kind_handle kKind{0};

router_config configWithCascade(objective_weights weights = {})
{
    router_config config;
    config.versions = {{.name = "cheap-1"}, {.name = "strong-1"}};
    config.kinds.push_back({.name = "page-tag"});
    config.tune.weights = weights;
    return config;
}

constexpr std::array kCandidates{cascade_candidate{version_handle{0}, 100, 300ms},
                                 cascade_candidate{version_handle{1}, 1000, 1000ms}};

/// Records ratings that met and missed the target, evenly interleaved.
void recordRatings(cascade_policy &policy, std::string_view version, int met, int missed)
{
    for (int i = 0; i < met + missed; ++i)
        policy.recordRating("page-tag", version, i * met / (met + missed) != (i + 1) * met / (met + missed));
}

/// @returns the number of decisions out of 1000 that start with the cheap model.
int cheapStarts(const cascade_policy &policy, const router_config &config)
{
    int cheap = 0;
    for (std::uint64_t i = 1; i <= 1000; ++i)
        cheap += policy.choose(config, kKind, kCandidates, 10s, true, i).start == 0 ? 1 : 0;
    return cheap;
}

} // namespace

TEST_CASE("policy starts cheap where the cheap model mostly meets the target")
{
    const auto config = configWithCascade();
    cascade_policy good;
    recordRatings(good, "cheap-1", 160, 40);
    recordRatings(good, "strong-1", 190, 10);
    CHECK(cheapStarts(good, config) >= 950);
    cascade_policy poor;
    recordRatings(poor, "cheap-1", 10, 190);
    recordRatings(poor, "strong-1", 190, 10);
    CHECK(cheapStarts(poor, config) <= 60);
}

TEST_CASE("policy weighs latency as configured")
{
    // With the same estimates, high latency weights select the fast cascade and high cost weights the cheap one.
    cascade_policy policy;
    recordRatings(policy, "cheap-1", 60, 140);
    recordRatings(policy, "strong-1", 196, 4);
    CHECK(cheapStarts(policy, configWithCascade({.cost = 3, .latency = 0.5, .exposure = 1})) >= 900);
    constexpr std::array kSlowCheap{cascade_candidate{version_handle{0}, 100, 900ms},
                                    cascade_candidate{version_handle{1}, 1000, 1000ms}};
    const auto config = configWithCascade({.cost = 0.5, .latency = 3, .exposure = 1});
    int cheap = 0;
    for (std::uint64_t i = 1; i <= 1000; ++i)
        cheap += policy.choose(config, kKind, kSlowCheap, 10s, true, i).start == 0 ? 1 : 0;
    CHECK(cheap <= 100);
}

TEST_CASE("policy chooses the strongest model without ratings, or if the deadline allows no second attempt")
{
    // An unrated response of the cheap model would reach the caller even if it is wrong.
    const auto config = configWithCascade();
    cascade_policy policy;
    recordRatings(policy, "cheap-1", 199, 1);
    CHECK(policy.choose(config, kKind, kCandidates, 10s, false).start == 1);
    CHECK(policy.choose(config, kKind, kCandidates, 1200ms, true).start == 1);
    auto unrated = config;
    unrated.kinds[0].rated = false;
    CHECK(policy.choose(unrated, kKind, kCandidates, 10s, true).start == 1);
}

TEST_CASE("policy detects a change of a version")
{
    // Without decay, a long good history hides a change.
    cascade_policy policy;
    recordRatings(policy, "cheap-1", 9000, 1000);
    recordRatings(policy, "cheap-1", 0, 300);
    CHECK(policy.estimate("page-tag", "cheap-1").mean() < 0.3);
}

TEST_CASE("policy explores a small share of requests, and returns to a version that recovered")
{
    const auto config = configWithCascade();
    cascade_policy policy;
    recordRatings(policy, "cheap-1", 20, 180);
    recordRatings(policy, "strong-1", 5000, 100);
    CHECK(cheapStarts(policy, config) <= 50);
    int cheapAtEnd = 0;
    for (std::uint64_t i = 1; i <= 20000; ++i) {
        const bool cheap = policy.choose(config, kKind, kCandidates, 10s, true, i).start == 0;
        policy.recordRating("page-tag", cheap ? "cheap-1" : "strong-1", true);
        cheapAtEnd += cheap && i >= 19000 ? 1 : 0;
    }
    CHECK(cheapAtEnd >= 900);
}

TEST_CASE("policy shares its estimates, each response once")
{
    cascade_policy one;
    cascade_policy two;
    recordRatings(one, "cheap-1", 30, 10);
    two.mergeRemoteCounts(one.takeDeltas());
    CHECK(one.takeDeltas().empty());
    CHECK(two.takeDeltas().empty());
    CHECK(two.estimate("page-tag", "cheap-1").mean()
          == doctest::Approx(one.estimate("page-tag", "cheap-1").mean()).epsilon(0.05));
}

TEST_CASE("policy makes the same decision each time for one request")
{
    // A waiting request is decided on several times; new random bits each time would eventually make it explore.
    const auto config = configWithCascade();
    cascade_policy policy;
    recordRatings(policy, "cheap-1", 20, 80);
    for (std::uint64_t draw = 0; draw < 500; ++draw) {
        const auto first = policy.choose(config, kKind, kCandidates, 10s, true, draw);
        CHECK(policy.choose(config, kKind, kCandidates, 10s, true, draw).start == first.start);
    }
    CHECK(policy.choose(config, kKind, kCandidates, 10s, true).reason != "exploration");
}
