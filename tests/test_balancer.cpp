// Tests the balancer: no hot spots, no requests to leaving or failing replicas, no short interactive requests (lookups)
// that wait behind long batch requests (drafts).
#include "balancer_p.h"

#include <doctest/doctest.h>
#include <set>

using namespace foxtaildyke;
using namespace std::chrono_literals;

namespace
{

std::vector<upstream_info> replicas(std::size_t count, std::uint32_t slots = 8)
{
    std::vector<upstream_info> list;
    for (std::size_t i = 0; i < count; ++i)
        list.push_back({.name = "r" + std::to_string(i),
                        .failureDomain = i % 2 == 0 ? "a" : "b",
                        .service = "pool",
                        .versions = {"v1"},
                        .slots = slots});
    return list;
}

std::string pickName(balancer &choice, const pick_request &request, instant now = 0s, const tuning &tune = {})
{
    const auto *picked = choice.pick(request, tune, now);
    return picked == nullptr ? std::string{} : picked->name;
}

constexpr pick_request kAny{.service = "pool", .version = "v1"};

} // namespace

TEST_CASE("balancer spreads work by load")
{
    // Guards against all requests going to one replica, and against queueing at a full one.
    balancer choice("a", 1);
    choice.setUpstreams(replicas(9));
    std::map<std::string, int> started;
    for (int i = 0; i < 45; ++i) {
        const auto name = pickName(choice, kAny);
        REQUIRE_FALSE(name.empty());
        choice.recordStart(name);
        ++started[name];
    }
    CHECK(started.size() == 9);
    CHECK(std::ranges::all_of(started, [](const auto &item) { return item.second <= 7; }));
}

TEST_CASE("balancer does not count own requests twice, and expires old reports")
{
    // Otherwise a replica that only this host uses would seem to have twice its load.
    balancer choice("a", 1);
    choice.setUpstreams(replicas(1, 4));
    for (int i = 0; i < 3; ++i)
        choice.recordStart("r0");
    choice.recordLoadReport("r0", 3, 0, 4, 1s);
    CHECK(pickName(choice, {.service = "pool", .version = "v1", .priority = request_class::interactive}, 1s) == "r0");
    choice.recordLoadReport("r0", 9, 0, 4, 2s);
    const pick_request lookup{.service = "pool", .version = "v1", .priority = request_class::interactive};
    CHECK(pickName(choice, lookup, 2s).empty());
    CHECK(pickName(choice, lookup, 20s) == "r0");
    choice.recordLoadReport("r0", 9, 0, 4, 1s);
    CHECK(pickName(choice, lookup, 20s) == "r0");
}

TEST_CASE("balancer keeps a prompt prefix on one replica until that is loaded")
{
    // Without affinity each replica computes the same long prefix; without the bound a popular prefix overloads its
    // replica.
    balancer choice("a", 1);
    choice.setUpstreams(replicas(9));
    const pick_request withPrefix{.service = "pool", .version = "v1", .prefixHash = 77};
    std::set<std::string> names;
    for (int i = 0; i < 50; ++i)
        names.insert(pickName(choice, withPrefix));
    CHECK(names.size() == 1);
    const auto prefixReplica = *names.begin();
    for (int i = 0; i < 3; ++i)
        choice.recordStart(prefixReplica);
    CHECK(pickName(choice, withPrefix) != prefixReplica);
}

TEST_CASE("balancer prefers its own failure domain at equal load")
{
    balancer choice("a", 3);
    choice.setUpstreams(replicas(10));
    int local = 0;
    for (int i = 0; i < 100; ++i) {
        const auto name = pickName(choice, kAny);
        local += (name.back() - '0') % 2 == 0 ? 1 : 0;
    }
    CHECK(local > 65);
}

TEST_CASE("balancer selects no leaving replicas")
{
    balancer choice("a", 1);
    auto list = replicas(2);
    list[0].state = host_state::leaving;
    choice.setUpstreams(list);
    for (int i = 0; i < 20; ++i)
        CHECK(pickName(choice, kAny) == "r1");
    list[1].state = host_state::leaving;
    choice.setUpstreams(list);
    CHECK(pickName(choice, kAny).empty());
    CHECK_FALSE(choice.isServed("pool", "v1", 0s));
}

TEST_CASE("balancer opens the circuit of a failing replica and probes it with one request")
{
    // A dead replica appears idle; without a single trial request it would get a burst each time the circuit closes.
    balancer choice("a", 1);
    choice.setUpstreams(replicas(2));
    const auto fail = [&](std::string_view name, instant now) {
        choice.recordStart(name);
        choice.recordEnd(name, attempt_failure::connection_lost, now);
    };
    const pick_request exceptR1{.service = "pool", .version = "v1", .exclude = "r1"};
    for (int i = 0; i < 3; ++i)
        fail("r0", 1s);
    CHECK(pickName(choice, exceptR1, 2s).empty());
    CHECK(pickName(choice, exceptR1, 7s) == "r0");
    choice.recordStart("r0");
    CHECK(pickName(choice, exceptR1, 7s).empty());
    choice.recordEnd("r0", attempt_failure::timed_out, 8s);
    CHECK(pickName(choice, exceptR1, 14s).empty());
    CHECK(pickName(choice, exceptR1, 19s) == "r0");
    choice.recordStart("r0");
    choice.recordEnd("r0", std::nullopt, 20s);
    choice.recordStart("r0");
    CHECK(pickName(choice, exceptR1, 20s) == "r0");
}

TEST_CASE("balancer keeps the last circuit of a pool closed")
{
    // Requests to an overloaded pool time out; if all its circuits opened, all its requests would be refused.
    balancer choice("a", 1);
    choice.setUpstreams(replicas(2));
    for (int i = 0; i < 10; ++i) {
        for (const std::string_view name : {"r0", "r1"}) {
            choice.recordStart(name);
            choice.recordEnd(name, attempt_failure::timed_out, 1s);
        }
    }
    CHECK(choice.isServed("pool", "v1", 2s));
    CHECK_FALSE(pickName(choice, kAny, 2s).empty());
}

TEST_CASE("hosts do not fill the interactive reserve between two load reports")
{
    // All hosts receive the same report of free slots. If all hosts fill them at once, lookups have to wait for a
    // whole draft.
    balancer choice("a", 1);
    choice.setUpstreams(replicas(4, 5));
    for (const auto *name : {"r0", "r1", "r2", "r3"})
        choice.recordLoadReport(name, 2, 0, 5, 1s);
    const pick_request draft{
        .service = "pool", .version = "v1", .priority = request_class::batch, .exclude = {}, .hosts = 4};
    const auto startAttempts = [&](instant now) {
        int count = 0;
        for (auto name = pickName(choice, draft, now); !name.empty() && count < 20;
             name = pickName(choice, draft, now)) {
            choice.recordStart(name);
            ++count;
        }
        return count;
    };
    // 20 slots, 8 in use, 4 reserved: four hosts that start 2 attempts each fill the rest.
    CHECK(startAttempts(1100ms) == 2);
    // When the reports stop, the estimate for other hosts must not keep this host from using the pool permanently.
    CHECK(startAttempts(60s) > 0);
}

TEST_CASE("balancer does not open a circuit on rejected requests, and avoids a replica that refused")
{
    balancer choice("a", 1);
    choice.setUpstreams(replicas(1));
    for (int i = 0; i < 5; ++i) {
        choice.recordStart("r0");
        choice.recordEnd("r0", attempt_failure::rejected, 1s);
    }
    CHECK(pickName(choice, kAny, 1s) == "r0");
    choice.recordStart("r0");
    choice.recordEnd("r0", attempt_failure::overloaded, 1s);
    CHECK(pickName(choice, kAny, 1s).empty());
    CHECK(choice.isServed("pool", "v1", 1s));
}

TEST_CASE("balancer reserves slots for interactive requests")
{
    // If drafts occupied all slots, lookups would wait for a whole draft.
    balancer choice("a", 1);
    choice.setUpstreams(replicas(2, 5));
    int drafts = 0;
    for (; drafts < 100; ++drafts) {
        const auto name = pickName(choice, {.service = "pool", .version = "v1", .priority = request_class::batch});
        if (name.empty())
            break;
        choice.recordStart(name);
    }
    CHECK(drafts == 8);
    CHECK_FALSE(pickName(choice, {.service = "pool", .version = "v1", .priority = request_class::interactive}).empty());
}

TEST_CASE("balancer uses a stable subset of a large pool")
{
    // Connections from each host to each replica do not scale, and an unstable subset loses caches and connections.
    balancer choice("a", 5);
    auto list = replicas(400);
    choice.setUpstreams(list);
    CHECK(choice.poolSize("pool", "v1") == balancer::kSubsetSize);
    const auto collect = [&] {
        std::set<std::string> names;
        for (int i = 0; i < 4000; ++i)
            names.insert(pickName(choice, kAny));
        return names;
    };
    const auto before = collect();
    list.erase(list.begin() + 10);
    choice.setUpstreams(list);
    const auto after = collect();
    std::vector<std::string> common;
    std::ranges::set_intersection(before, after, std::back_inserter(common));
    CHECK(common.size() >= balancer::kSubsetSize - 1);
    CHECK(std::ranges::any_of(before, [](const std::string &name) { return (name.back() - '0') % 2 == 1; }));
}
