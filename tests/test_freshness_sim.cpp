// Tests the freshness rules under random faults; see freshness_sim.h. Guards against a host that dispatches under a
// withdrawn configuration, a generation that decreases, and an accepted change that is lost.
#include "freshness_sim.h"

#include <doctest/doctest.h>
#include <iostream>
#include <rapidcheck.h>

using namespace foxtaildyke::sim;

namespace
{

/// Two partitions of the hosts whose boundary moves by one host at a time, while only host 0 reaches the store. The
/// host that changes sides may restart. Detects violations caused by a host that loses its acknowledgements in a
/// restart.
std::vector<fault> movingBoundary(std::mt19937 &random)
{
    const auto below = [&random](int limit) {
        return static_cast<int>(random() % static_cast<unsigned>(limit));
    };
    constexpr std::uint32_t kAllButHost0 = 0xfe;
    std::vector<fault> faults{{fault_kind::cutStore, 0, freshness_sim::kSteps, 0}};
    auto side = static_cast<std::uint32_t>(random()) & kAllButHost0;
    auto step = 10 + below(60);
    faults.front().start = step;
    faults.front().hosts = kAllButHost0;
    while (step < freshness_sim::kSteps) {
        const auto length = 4 + below(30);
        const auto moved = 1U << (1 + below(5));
        faults.push_back({fault_kind::partition, step, length, side});
        if (below(2) == 0)
            faults.push_back({fault_kind::restart, step + length - 1, 1, moved});
        side ^= moved;
        step += length;
    }
    return faults;
}

/// Random faults from one seed: episodes in which some hosts are cut off from the others, with or without access to the
/// store, while other hosts restart or pause. Independent single faults hardly ever combine in a way that violates a
/// rule.
std::vector<fault> randomFaults(std::uint32_t seed)
{
    std::mt19937 random(seed);
    const auto below = [&random](int limit) {
        return static_cast<int>(random() % static_cast<unsigned>(limit));
    };
    if (below(2) == 0)
        return movingBoundary(random);
    std::vector<fault> faults;
    const auto episodes = 1 + below(5);
    for (int i = 0; i < episodes; ++i) {
        const auto start = below(freshness_sim::kSteps);
        const auto length = 20 + below(140);
        const auto side = static_cast<std::uint32_t>(random());
        if (below(4) != 0)
            faults.push_back({fault_kind::partition, start + below(20), length, side});
        if (below(2) == 0)
            faults.push_back({fault_kind::cutStore, start + below(20), length, side});
        else
            faults.push_back({fault_kind::outage, start + below(20), length, 0});
        for (int j = below(5); j > 0; --j)
            faults.push_back({fault_kind::restart, start + below(60), 1 + below(10), 1U << below(8)});
        for (int j = below(3); j > 0; --j)
            faults.push_back({fault_kind::pause, start + below(60), 10 + below(80), 1U << below(8)});
    }
    return faults;
}

} // namespace

TEST_CASE("freshness: no host dispatches under a generation older than an accepted one, under random faults")
{
    std::size_t accepted = 0;
    std::size_t dispatches = 0;
    std::size_t quorumLeases = 0;
    std::size_t quorumRecoveries = 0;
    const auto holds = [&](std::uint32_t seed) {
        const auto hosts = *rc::gen::inRange<std::size_t>(3, 8);
        freshness_sim run(hosts, seed, randomFaults(seed));
        const auto failure = run.run();
        accepted += run.acceptedChanges();
        dispatches += run.dispatches();
        quorumLeases += run.quorumLeases();
        quorumRecoveries += run.quorumRecoveries();
        if (!failure.empty())
            RC_FAIL(failure);
    };
    rc::detail::TestParams params;
    params.seed = 20261203;
    params.maxSuccess = 2000;
    const auto outcome = rc::detail::checkTestable(holds, rc::detail::TestMetadata{}, params);
    if (!outcome.is<rc::detail::SuccessResult>())
        rc::detail::printResultMessage(outcome, std::cout);
    CHECK(outcome.is<rc::detail::SuccessResult>());
    MESSAGE("accepted changes ", accepted, ", dispatch steps ", dispatches, ", leases by quorum ", quorumLeases,
            ", recoveries by quorum ", quorumRecoveries);
    // The result is only valid if the tested paths were executed.
    CHECK(accepted > 100);
    CHECK(quorumLeases > 100);
    CHECK(quorumRecoveries > 10);
}
