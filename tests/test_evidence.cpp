// Tests the detection of bad versions: late detection exposes callers to a bad version, a false halt stops a good
// roll-out, and counting a result twice distorts both.
#include "evidence_p.h"

#include <doctest/doctest.h>
#include <random>

using namespace foxtaildyke;

namespace
{

constexpr version_handle kOld{0};
constexpr version_handle kNew{1};

router_config configWithRollout(std::size_t hosts)
{
    router_config config;
    config.models.push_back({.name = "swift", .service = "pool"});
    config.versions.push_back({.name = "swift-1", .model = model_handle{0}});
    config.versions.push_back({.name = "swift-2",
                               .model = model_handle{0},
                               .state = version_state::rolling_out,
                               .exposureBudget = 8,
                               .baseline = kOld});
    for (std::size_t i = 0; i < hosts; ++i)
        config.hosts.push_back({.name = "h" + std::to_string(i)});
    return config;
}

struct rating_source {
    std::mt19937_64 random;
    bool passes(double failureRate) { return std::uniform_real_distribution<double>()(random) >= failureRate; }
};

/// Records rated responses until the version is rejected. @returns the number of responses, at most `limit`.
int responsesUntilRejected(evidence_table &table, const router_config &config, rating_source &source,
                           double failureRate, int limit)
{
    for (int i = 0; i < limit; ++i) {
        table.recordResult("swift-2", source.passes(failureRate));
        if (table.isRejected(config, kNew))
            return i + 1;
    }
    return limit;
}

evidence_table withBaseline(rating_source &source, double failureRate)
{
    evidence_table table;
    for (int i = 0; i < 1000; ++i)
        table.recordResult("swift-1", source.passes(failureRate));
    return table;
}

} // namespace

TEST_CASE("evidence rejects a bad version within 20 responses on average, early and late")
{
    // Guards against a score that stays low because of good responses in the past.
    const auto config = configWithRollout(9);
    for (const int goodBefore : {0, 1000}) {
        rating_source source{std::mt19937_64{11}};
        int sum = 0;
        for (int run = 0; run < 200; ++run) {
            auto table = withBaseline(source, 0.05);
            for (int i = 0; i < goodBefore; ++i)
                table.recordResult("swift-2", source.passes(0.05));
            CHECK_FALSE(table.isRejected(config, kNew));
            sum += responsesUntilRejected(table, config, source, 0.5, 400);
        }
        CHECK(sum <= 200 * 20);
    }
}

TEST_CASE("evidence halts at most 3 in 1000 roll-outs of a good version")
{
    // A roll-out consists of 2000 rated responses at the baseline's failure rate.
    const auto config = configWithRollout(9);
    rating_source source{std::mt19937_64{12}};
    int halts = 0;
    for (int run = 0; run < 1000; ++run) {
        auto table = withBaseline(source, 0.05);
        halts += responsesUntilRejected(table, config, source, 0.05, 2001) <= 2000 ? 1 : 0;
    }
    CHECK(halts <= 3);
}

TEST_CASE("evidence compares with the measured rate of the baseline")
{
    // With a constant reference rate, a version that is as weak as its baseline would be halted.
    const auto config = configWithRollout(1);
    rating_source source{std::mt19937_64{13}};
    auto table = withBaseline(source, 0.25);
    CHECK(responsesUntilRejected(table, config, source, 0.25, 300) == 300);
    CHECK(table.estimatedFailureRate("swift-1") == doctest::Approx(0.25).epsilon(0.2));
}

TEST_CASE("evidence compares failure rates within one stratum")
{
    // Otherwise a cascade that starts to send a strong model only the requests that weaker ones failed, or a burst of
    // harder requests, would halt a good version.
    const auto config = configWithRollout(1);
    rating_source source{std::mt19937_64{14}};
    evidence_table table;
    const auto record = [&](std::string_view version, std::string_view stratum, double rate, int responses) {
        bool rejected = false;
        for (int i = 0; i < responses; ++i) {
            table.recordResult(version, source.passes(rate), stratum);
            rejected = table.isRejected(config, kNew) || table.isRejected(config, kOld) || rejected;
        }
        return rejected;
    };
    CHECK_FALSE(record("swift-1", "page-tag", 0.04, 500));
    CHECK_FALSE(record("swift-1", "page-tag/escalated", 0.4, 200));
    CHECK_FALSE(record("swift-1", "appeal-draft", 0.8, 500));
    CHECK_FALSE(record("swift-2", "page-tag", 0.04, 300));
    CHECK_FALSE(record("swift-2", "appeal-draft", 0.8, 300));
    CHECK(record("swift-2", "page-tag", 0.5, 60));
    CHECK_FALSE(table.isRejected(config, kOld));
}

TEST_CASE("evidence compares a version without a baseline with its own history")
{
    // The first version of a cheap model fails many requests by design. It must be allowed to serve, but be rejected if
    // its failure rate rises.
    const auto config = configWithRollout(1);
    rating_source source{std::mt19937_64{15}};
    evidence_table table;
    for (int i = 0; i < 1000; ++i) {
        table.recordResult("swift-1", source.passes(0.3));
        REQUIRE_FALSE(table.isRejected(config, kOld));
    }
    int responses = 0;
    for (; responses < 300 && !table.isRejected(config, kOld); ++responses)
        table.recordResult("swift-1", source.passes(0.9));
    CHECK(responses < 60);
}

TEST_CASE("evidence of several hosts counts each result once")
{
    // The relay's totals include this host's own deltas; counted twice, they would halve the evidence needed.
    const auto config = configWithRollout(2);
    evidence_table merged("h0");
    evidence_table reference("h0");
    merged.recordResult("swift-2", false);
    const auto own = merged.takeDeltas();
    REQUIRE(own.size() == 1);
    CHECK(merged.takeDeltas().empty());
    const std::vector<version_evidence> totals{{"swift-2", 2, 3, 5, 5}};
    merged.setTotals(totals, instant{1}, own);
    merged.setTotals(totals, instant{2}, own);
    CHECK_FALSE(merged.isRejected(config, kNew));
    for (const bool passed : {false, false, false, true, true})
        reference.recordResult("swift-2", passed);
    CHECK_FALSE(reference.isRejected(config, kNew));
    CHECK(merged.score("swift-2") == doctest::Approx(reference.score("swift-2")));
}

TEST_CASE("evidence keeps a rejection, and treats smaller totals of a restarted relay as a new base")
{
    const auto config = configWithRollout(2);
    evidence_table table("h0");
    table.setTotals({{"swift-2", 0, 12, 12, 12}}, instant{1});
    CHECK(table.isRejected(config, kNew));
    table.setTotals({{"swift-2", 500, 0, 500, 500}}, instant{2});
    CHECK(table.isRejected(config, kNew));
    evidence_table other("h0");
    other.setTotals({{"swift-2", 90, 3, 93, 93}}, instant{1});
    CHECK_FALSE(other.isRejected(config, kNew));
    other.setTotals({{"swift-2", 0, 1, 1, 1}}, instant{2});
    other.setTotals({{"swift-2", 0, 2, 2, 2}}, instant{3});
    CHECK_FALSE(other.isRejected(config, kNew));
}

TEST_CASE("the exposure budget of all hosts is kept without the relay")
{
    // If each disconnected host used the whole budget, callers would be exposed to it once per host.
    const auto config = configWithRollout(9);
    std::uint32_t exposed = 0;
    for (const auto &host : config.hosts) {
        evidence_table table(host.name);
        while (table.hasExposureLeft(config, kNew, instant{0}) && exposed < 100) {
            table.recordDispatch("swift-2");
            ++exposed;
        }
    }
    CHECK(exposed == 8);
}

TEST_CASE("a host borrows exposure that the others leave unused, until the relay is lost")
{
    const auto config = configWithRollout(4);
    evidence_table table("h0");
    const auto dispatchAttempts = [&](instant now) {
        int count = 0;
        for (; table.hasExposureLeft(config, kNew, now) && count < 100; ++count)
            table.recordDispatch("swift-2");
        return count;
    };
    CHECK(dispatchAttempts(instant{0}) == 2);
    table.setTotals({{"swift-2", 0, 0, 2, 0}}, instant{1000});
    CHECK(dispatchAttempts(instant{1000}) == 2);
    table.recordResult("swift-2", std::nullopt);
    CHECK(dispatchAttempts(instant{60'000'000}) == 0);
}

TEST_CASE("a suspected version is limited to its exposure budget before it is rejected")
{
    // Without this limit an active version that turns bad would serve at its full rate until the test rejects it.
    auto config = configWithRollout(1);
    config.versions[1].state = version_state::active;
    evidence_table table("h0");
    for (int i = 0; i < 20; ++i)
        table.recordDispatch("swift-2");
    CHECK(table.hasExposureLeft(config, kNew, instant{0}));
    for (int i = 0; i < 3; ++i)
        table.recordResult("swift-2", false);
    CHECK_FALSE(table.isRejected(config, kNew));
    CHECK_FALSE(table.hasExposureLeft(config, kNew, instant{0}));
}
