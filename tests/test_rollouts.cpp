// Roll-outs of versions: stages, exposure, evidence of one host and of all, in virtual time.
#include "rollout_policy_p.h"

#include <doctest/doctest.h>
#include <random>

using namespace foxtaildyke;
using namespace std::chrono_literals;

namespace
{

rollout_order makeOrder(rollout_state state = rollout_state::in_progress, std::uint32_t stage = 0)
{
    return {"s", "v2", 20s, state, stage, 5, 3};
}

version_response makeResponse(std::string_view version, std::string_view replica, bool isFailure,
                              std::chrono::microseconds latency = 10ms)
{
    return {"s", version, "route", replica, isFailure, latency};
}

} // namespace

TEST_CASE("roll-out: a decided order stays decided, and is written again, if the store shows an earlier state of it")
{
    for (const auto state : {rollout_state::rolled_back, rollout_state::completed}) {
        rollout_policy policy;
        policy.setOrders({makeOrder(state, 2)}, 1s);
        auto older = makeOrder(rollout_state::in_progress, 1);
        older.revision = 4;
        policy.setOrders({older}, 2s);
        CHECK(policy.hasUndecided());
        REQUIRE(policy.nextState(2s));
        CHECK(policy.nextState(2s)->state == state);
        CHECK(policy.nextState(2s)->revision == 4); // conditional on what the store has now
        const auto choice = policy.choose("s", 0);
        CHECK((state == rollout_state::completed ? choice.version == "v2" : choice.excluded == version_set{"v2"}));
        policy.setOrders({makeOrder(state, 2)}, 3s);
        CHECK_FALSE(policy.nextState(3s));
    }
}

TEST_CASE("roll-out: a session has the same version on all hosts, the old one in the first stage, and changes once")
{
    rollout_policy host;
    rollout_policy another;
    std::vector<std::uint64_t> keys;
    for (std::uint64_t i = 0; i < 4000; ++i)
        keys.push_back(i * 0x9E3779B97F4A7C15ULL);
    for (const auto key : keys)
        CHECK(host.choose("s", key).version.empty());
    std::set<std::uint64_t> moved;
    for (std::uint32_t stage = 0; stage < rollout_policy::kStageShares.size(); ++stage) {
        const auto order = makeOrder(rollout_state::in_progress, stage);
        host.setOrders({order}, 1s);
        another.setOrders({order}, 3s); // has chosen a version for none of the sessions yet
        for (int i = 0; i < 100; ++i) // requests that leave room in the exposure limits
            for (auto *policy : {&host, &another})
                policy->recordRequest("s", "v1");
        std::size_t onNew = 0;
        for (const auto key : keys) {
            const bool isNew = host.choose("s", key).version == "v2";
            CHECK(isNew == (another.choose("s", key).version == "v2"));
            CHECK((isNew || !moved.contains(key)));
            onNew += isNew ? 1 : 0;
            if (isNew)
                moved.insert(key);
        }
        const double share = static_cast<double>(onNew) / static_cast<double>(keys.size());
        CHECK(share == doctest::Approx(rollout_policy::kStageShares[stage]).epsilon(0.15));
    }
    host.setOrders({makeOrder(rollout_state::rolled_back, 2)}, 12s);
    CHECK(host.choose("s", keys[0]).excluded == version_set{"v2"});
}

TEST_CASE("roll-out: a failing version is rejected within a few responses, and receives no more requests")
{
    rollout_policy policy;
    for (int i = 0; i < 50; ++i)
        policy.recordResponse(makeResponse("v1", "r1", false));
    policy.setOrders({makeOrder()}, 1s);
    int responses = 0;
    for (; responses < 40 && policy.nextState(2s) == std::nullopt; ++responses)
        policy.recordResponse(
            makeResponse("v2", responses % 2 ? "n1" : "n2", responses % 2 == 0 || responses % 3 == 0));
    CHECK(responses < 15);
    REQUIRE(policy.nextState(2s));
    CHECK(policy.nextState(2s)->state == rollout_state::rolled_back);
    CHECK(policy.choose("s", 0).excluded == version_set{"v2"}); // before the store has the decision
}

TEST_CASE("roll-out: a slow version is rejected, but not one with cold caches or a single bad replica")
{
    rollout_policy slow;
    rollout_policy cold;
    rollout_policy oneBad;
    for (auto *policy : {&slow, &cold, &oneBad}) {
        for (int i = 0; i < 50; ++i)
            policy->recordResponse(makeResponse("v1", "r1", false, 20ms));
        policy->setOrders({makeOrder()}, 1s);
    }
    for (int i = 0; i < 40; ++i) {
        slow.recordResponse(makeResponse("v2", i % 2 ? "n1" : "n2", false, 160ms));
        cold.recordResponse(makeResponse("v2", i % 2 ? "n1" : "n2", false, 30ms));
        oneBad.recordResponse(makeResponse("v2", i % 3 ? "n1" : "n2", i % 3 == 0));
    }
    CHECK(slow.nextState(2s));
    CHECK_FALSE(cold.nextState(2s));
    CHECK_FALSE(oneBad.nextState(2s));
}

TEST_CASE("roll-out: an impairment that affects both versions equally rejects neither")
{
    rollout_policy policy;
    for (int i = 0; i < 100; ++i)
        policy.recordResponse(makeResponse("v1", "r1", i % 3 == 0));
    policy.setOrders({makeOrder()}, 1s);
    for (int i = 0; i < 30; ++i)
        policy.recordResponse(makeResponse("v2", i % 2 ? "n1" : "n2", i % 3 == 0));
    CHECK_FALSE(policy.nextState(2s));
}

TEST_CASE("roll-out: a version that is accepted by the evidence advances through all stages to completion in time")
{
    rollout_policy policy;
    auto order = makeOrder(rollout_state::ordered);
    instant now = 1s;
    policy.setOrders({order}, now);
    std::vector<std::uint32_t> stages;
    while (order.state != rollout_state::completed && now < 60s) {
        if (const auto next = policy.nextState(now)) {
            order = *next;
            order.revision += 1;
            stages.push_back(order.stage);
            policy.setOrders({order}, now);
        }
        if (order.stage > 0)
            policy.recordResponse(makeResponse("v2", "n1", false));
        now += 100ms;
    }
    CHECK(order.state == rollout_state::completed);
    CHECK(now < 1s + order.duration);
    CHECK(stages == std::vector<std::uint32_t>{0, 1, 2, 2});
}

TEST_CASE("roll-out: a version without evidence is never completed, however long the roll-out takes")
{
    rollout_policy policy;
    policy.setOrders({makeOrder()}, 1s);
    REQUIRE(policy.nextState(20s));
    const auto canary = *policy.nextState(20s);
    CHECK(canary.stage == 1);
    policy.setOrders({canary}, 20s);
    for (instant now = 20s; now < 200s; now += 1s)
        CHECK_FALSE(policy.nextState(now));
}

TEST_CASE("roll-out: the evidence of hosts that see one request each is pooled")
{
    constexpr std::size_t kHosts = 20;
    for (const bool isBad : {false, true}) {
        CAPTURE(isBad);
        std::vector<rollout_policy> policies(kHosts);
        for (std::size_t i = 0; i < kHosts; ++i) {
            policies[i].setOrders({makeOrder(rollout_state::in_progress, 1)}, 1s);
            policies[i].recordResponse(makeResponse("v2", i % 2 ? "n1" : "n2", isBad && i % 2 == 0));
        }
        CHECK_FALSE(policies[0].nextState(20s)); // its own response decides nothing
        for (std::size_t i = 1; i < kHosts; ++i) {
            const auto reports = policies[i].reports();
            REQUIRE(reports.size() == 1);
            for (int repeat = 0; repeat < 3; ++repeat) // delivered again with each change of any host's report
                policies[0].setPeerReports("h" + std::to_string(i), reports);
        }
        const auto next = policies[0].nextState(20s);
        // Only one replica is bad: that is no reason to roll back, and none to accept either.
        CHECK(next.has_value() == !isBad);
        if (!isBad)
            continue;
        policies[1].recordResponse(makeResponse("v2", "n1", true));
        policies[0].setPeerReports("h1", policies[1].reports());
        REQUIRE(policies[0].nextState(20s));
        CHECK(policies[0].nextState(20s)->state == rollout_state::rolled_back);
    }
}

TEST_CASE("roll-out: the evidence of hosts that follow relays is pooled as that of hosts that share it themselves")
{
    for (const bool isBad : {false, true}) {
        CAPTURE(isBad);
        std::vector<rollout_policy> relays(2);
        std::vector<rollout_policy> followers(40);
        const auto forAll = [&](const auto &action) {
            std::ranges::for_each(relays, action);
            std::ranges::for_each(followers, action);
        };
        forAll([](rollout_policy &policy) { policy.setOrders({makeOrder(rollout_state::in_progress, 1)}, 0s); });
        std::ranges::for_each(followers, [](rollout_policy &policy) { policy.setRelayed(true); });
        std::uint32_t responses = 0;
        for (int round = 0; round < 3; ++round) {
            for (std::size_t index = 0; index < followers.size(); ++index) {
                const auto *replica = index % 2 ? "n1" : "n2";
                followers[index].recordResponse(makeResponse("v2", replica, isBad && index % 4 < 2));
                ++responses;
            }
            CHECK(followers[0].reports().empty());
            // Some hosts haven't passed on their newest evidence yet, and take the next relay for it.
            for (std::size_t index = 0; index < followers.size(); ++index)
                if (round == 2 || index % 5 > 0)
                    relays[(index + static_cast<std::size_t>(round)) % 2].absorb(followers[index].takeRelayed());
            forAll([&](rollout_policy &policy) {
                for (std::size_t index = 0; index < relays.size(); ++index)
                    if (&policy != &relays[index])
                        policy.setPeerReports("relay-" + std::to_string(index), relays[index].reports());
            });
        }
        forAll([&](const rollout_policy &policy) {
            const auto &evidence = policy.find("s")->evidence;
            CHECK(evidence.verdict() == (isBad ? evidence_verdict::rejected : evidence_verdict::accepted));
        });
        for (const auto &policy : followers)
            CHECK(policy.find("s")->evidence.peerResponses() == responses);
        CHECK(relays[0].find("s")->evidence.own().responses + relays[1].find("s")->evidence.own().responses
              == responses);
        // A host that reads the store itself again shares what no relay has taken.
        followers[0].recordResponse(makeResponse("v2", "n1", false));
        followers[0].setRelayed(false);
        REQUIRE(followers[0].reports().size() == 1);
        CHECK(followers[0].reports().front().responses == 1);
    }
}

TEST_CASE("roll-out: evidence of a restarted host adds to that from before, and that of another order is ignored")
{
    rollout_policy policy;
    policy.setOrders({makeOrder(rollout_state::in_progress, 1)}, 1s);
    rollout_report report{"s", "v2", 3, -2, -2, 6, 0, 6, {"n1"}, {}, {}};
    policy.setPeerReports("h1", {report});
    CHECK_FALSE(policy.nextState(20s));
    auto other = report;
    other.createdRevision = 2;
    policy.setPeerReports("h2", {other});
    CHECK_FALSE(policy.nextState(20s));
    report.responses = 4; // fewer than before: the host has restarted
    report.ratio = report.paceRatio = -1.3;
    policy.setPeerReports("h1", {report});
    CHECK(policy.nextState(20s));
}

TEST_CASE("roll-out: a version that is bad unnoticed stays within the exposure limit, for any distribution of requests")
{
    const exposure_limits limits{0.15, 30};
    for (const std::size_t hosts : {6U, 88U})
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            CAPTURE(hosts);
            CAPTURE(seed);
            std::mt19937_64 random(seed);
            std::vector<rollout_policy> policies(hosts, rollout_policy(limits));
            auto order = makeOrder();
            for (auto &policy : policies) {
                policy.setHosts(hosts);
                policy.setOrders({order}, 0s);
            }
            // Some hosts receive several times as many requests as others.
            std::vector<double> weights(hosts);
            for (std::size_t i = 0; i < hosts; ++i)
                weights[i] = i % 5 == 0 ? 5 : 1;
            std::discrete_distribution<std::size_t> pickHost(weights.begin(), weights.end());
            const int total = 100 * static_cast<int>(hosts) / 4 * 4;
            int exposed = 0;
            for (int i = 0; i < total; ++i) {
                const auto now = std::chrono::duration_cast<instant>(order.duration * i / total);
                for (auto &policy : policies) {
                    if (const auto next = policy.nextState(now)) {
                        order = *next;
                        for (auto &each : policies)
                            each.setOrders({order}, now);
                    }
                }
                const auto at = pickHost(random);
                const bool isNew = policies[at].choose("s", random()).version == "v2";
                policies[at].recordRequest("s", isNew ? "v2" : "v1");
                policies[at].recordResponse(makeResponse(isNew ? "v2" : "v1", "n" + std::to_string(i % 2), false));
                exposed += isNew ? 1 : 0;
            }
            CHECK(exposed <= limits.share * total + limits.slack);
            CHECK(exposed > 0);
        }
}

TEST_CASE("roll-out: good versions are rolled back in less than 1 of 100 roll-outs, slow ones in more than 99")
{
    constexpr int kRollouts = 300;
    // Pace of 45 ms with a long tail, as measured with replicas under varying load; a load of the new replicas that
    // differs from the old ones' scales it.
    const auto isRejected = [](std::uint64_t seed, double newFactor, double slowShare, double slowFactor) {
        std::mt19937_64 random(seed);
        std::lognormal_distribution<double> pace(std::log(45.0), 0.5);
        const auto latency = [&](double factor) {
            return std::chrono::microseconds(static_cast<std::int64_t>(1000 * factor * pace(random)));
        };
        rollout_policy policy;
        for (int i = 0; i < 100; ++i)
            policy.recordResponse(makeResponse("v1", "r1", false, latency(1)));
        policy.setOrders({makeOrder()}, 0s);
        for (int i = 0; i < 60; ++i) {
            policy.recordResponse(makeResponse("v1", "r1", false, latency(1)));
            const bool isSlow = std::bernoulli_distribution(slowShare)(random);
            policy.recordResponse(
                makeResponse("v2", i % 2 ? "n1" : "n2", false, latency(newFactor * (isSlow ? slowFactor : 1))));
        }
        const auto next = policy.nextState(1s);
        return next && next->state == rollout_state::rolled_back;
    };
    int falseHalts = 0;
    int halts = 0;
    for (std::uint64_t seed = 1; seed <= kRollouts; ++seed) {
        falseHalts += isRejected(seed, 1.2, 0, 1) ? 1 : 0;
        halts += isRejected(seed, 1.0, 0.5, 8) ? 1 : 0;
    }
    CAPTURE(falseHalts);
    CAPTURE(halts);
    CHECK(falseHalts * 100 < kRollouts);
    CHECK(halts * 100 > 99 * kRollouts);
}

TEST_CASE("roll-out: a version whose pace is twice the usual one is rejected, though the old one varies as much")
{
    constexpr int kRollouts = 300;
    constexpr int kResponses = 60;
    enum class version_kind : std::uint8_t { good, slow };
    // The old version's pace under load: the slowest tenth takes twice the median. That of the slow version varies
    // little.
    const auto verdictOn = [](std::uint64_t seed, version_kind kind) {
        std::mt19937_64 random(seed);
        std::lognormal_distribution<double> loaded(std::log(100.0), 0.55);
        std::uniform_real_distribution<double> slow(190, 230);
        const auto latency = [](double ms) {
            return std::chrono::microseconds(static_cast<std::int64_t>(1000 * ms));
        };
        rollout_policy policy;
        for (int i = 0; i < 100; ++i)
            policy.recordResponse(makeResponse("v1", "r1", false, latency(loaded(random))));
        policy.setOrders({makeOrder()}, 0s);
        for (int i = 0; i < kResponses; ++i) {
            policy.recordResponse(makeResponse("v1", "r1", false, latency(loaded(random))));
            const double pace = kind == version_kind::slow ? slow(random) : loaded(random);
            policy.recordResponse(makeResponse("v2", i % 2 ? "n1" : "n2", false, latency(pace)));
        }
        return policy.find("s")->evidence.verdict();
    };
    int rejected = 0;
    int accepted = 0;
    for (std::uint64_t seed = 1; seed <= kRollouts; ++seed) {
        rejected += verdictOn(seed, version_kind::slow) == evidence_verdict::rejected ? 1 : 0;
        accepted += verdictOn(seed, version_kind::good) == evidence_verdict::accepted ? 1 : 0;
    }
    CAPTURE(rejected);
    CAPTURE(accepted);
    CHECK(rejected * 100 > 99 * kRollouts);
    CHECK(accepted * 100 > 99 * kRollouts);
}

TEST_CASE("roll-out: a version that is bad on one route only is rejected despite good responses on others")
{
    rollout_policy policy;
    for (int i = 0; i < 50; ++i)
        policy.recordResponse(makeResponse("v1", "r1", false));
    policy.setOrders({makeOrder()}, 1s);
    int responses = 0;
    for (; responses < 100 && !policy.nextState(2s); ++responses) {
        const bool isOnRoute = responses % 10 == 0;
        auto response = makeResponse("v2", responses / 10 % 2 ? "n1" : "n2", isOnRoute);
        response.stratum = isOnRoute ? "one" : "other";
        policy.recordResponse(response);
    }
    CHECK(responses < 40); // one in ten of these on the bad route
}

TEST_CASE(
    "roll-out: good versions are rolled back in less than 1 of 100 roll-outs over many hosts with few responses each")
{
    constexpr std::size_t kHosts = 88;
    constexpr int kRollouts = 100;
    constexpr int kBaselineResponses = 6; // of each route, as in the first half of an order of 15 s
    int falseHalts = 0;
    for (std::uint64_t seed = 1; seed <= kRollouts; ++seed) {
        std::mt19937_64 random(seed);
        std::lognormal_distribution<double> pace(std::log(45.0), 0.5);
        std::vector<rollout_policy> hosts(kHosts);
        const std::array<std::string, 3> routes{"a", "b", "c"};
        const auto record = [&](rollout_policy &host, std::string_view version, const std::string &route) {
            const auto latency = std::chrono::microseconds(static_cast<std::int64_t>(1000 * pace(random)));
            auto response = makeResponse(version, random() % 2 ? "n1" : "n2", false, latency);
            response.stratum = route;
            host.recordResponse(response);
        };
        for (auto &host : hosts) {
            for (int i = 0; i < kBaselineResponses; ++i)
                for (const auto &route : routes)
                    record(host, "v1", route);
            host.setOrders({makeOrder()}, 0s);
        }
        bool isRolledBack = false;
        for (int round = 0; round < 5; ++round) {
            for (std::size_t i = 0; i < kHosts; ++i) {
                record(hosts[i], "v2", routes[random() % routes.size()]);
                hosts[0].setPeerReports("h" + std::to_string(i),
                                        i > 0 ? hosts[i].reports() : std::vector<rollout_report>());
            }
            const auto next = hosts[0].nextState(1s);
            isRolledBack = isRolledBack || (next && next->state == rollout_state::rolled_back);
        }
        falseHalts += isRolledBack ? 1 : 0;
    }
    CAPTURE(falseHalts);
    CHECK(falseHalts * 100 < kRollouts);
}

TEST_CASE("roll-out: an order that a rewound store lost, and that is written again, keeps what was decided")
{
    for (const auto state : {rollout_state::rolled_back, rollout_state::completed}) {
        rollout_policy policy;
        policy.setOrders({makeOrder(state, 2)}, 1s);
        policy.recordRewind(5s);
        policy.setOrders({}, 5s);
        const auto isKept = [&] {
            const auto choice = policy.choose("s", 0);
            return state == rollout_state::completed ? choice.version == "v2" : choice.excluded == version_set{"v2"};
        };
        CHECK(isKept());
        CHECK_FALSE(policy.nextState(5s)); // there is nothing to write to
        rollout_order again{"s", "v2", 20s, rollout_state::ordered, 0, 8, 8};
        policy.setOrders({again}, 6s);
        CHECK(isKept());
        REQUIRE(policy.nextState(6s));
        CHECK(policy.nextState(6s)->state == state);
        CHECK(policy.nextState(6s)->revision == 8);
        // Much later it is another order for the same version.
        policy.setOrders({}, 100s);
        again.createdRevision = again.revision = 90;
        policy.setOrders({again}, 101s);
        CHECK(policy.nextState(101s)->state == rollout_state::in_progress);
    }
}

TEST_CASE("roll-out: the exposure of an order that a rewound store lost counts on when it is written again")
{
    rollout_policy policy;
    policy.setOrders({makeOrder(rollout_state::in_progress, 1)}, 1s);
    for (int request = 0; request < 100; ++request)
        policy.recordRequest("s", "v2");
    policy.recordRewind(5s);
    policy.setOrders({}, 5s);
    policy.setOrders({{"s", "v2", 20s, rollout_state::ordered, 0, 8, 8}}, 6s);
    CHECK(policy.find("s")->budget.exposed() == 100);
    CHECK(policy.find("s")->order.stage == 1);
}

TEST_CASE("roll-out: a version that was rolled back receives no requests under the next order of its service")
{
    rollout_policy policy;
    policy.setOrders({makeOrder(rollout_state::rolled_back, 1)}, 1s);
    auto next = makeOrder(rollout_state::in_progress);
    next.target = "v3";
    next.createdRevision = 9;
    policy.setOrders({next}, 2s);
    // The replicas of v2 stay registered for some seconds. A choice is safe if it names the version in use, or excludes
    // v2.
    const auto choice = policy.choose("s", 0);
    CHECK((choice.version == "v1" || choice.excluded.contains("v2")));
    CHECK(choice.excluded.contains("v3"));
    // A host that starts now learns it from the order that the others write.
    rollout_policy later;
    later.setOrders({policy.find("s")->order}, 3s);
    CHECK(later.choose("s", 0).excluded == version_set{"v2", "v3"});
    // The version may be ordered again.
    auto again = makeOrder();
    again.createdRevision = 12;
    policy.setOrders({again}, 4s);
    CHECK(policy.choose("s", 0).excluded == version_set{"v2"});
    again.stage = 2;
    policy.setOrders({again}, 5s);
    for (int request = 0; request < 100; ++request)
        policy.recordRequest("s", "v1");
    CHECK(policy.choose("s", 0).version == "v2");
}
