// Configuration, claims and bills under platform failures, network partitions and suspended hosts.
#include "failure_deployment.h"

#include <csignal>
#include <doctest/doctest.h>

using namespace foxtaildyke;
using namespace foxtaildyke::testing;

namespace
{

/// Longer than the freshness lease of the test settings (2 s).
constexpr std::chrono::milliseconds kBeyondLease{3000};

struct three_host_deployment : deployment {
    three_host_deployment()
        : deployment(3)
    {
        addUpstream({"u1", "models", "swift-1,grand-1"});
        addUpstream({"u2", "models", "swift-1,grand-1"});
        addUpstream({"u3", "desk", "desk-1"});
        for (std::size_t i = 0; i < 3; ++i)
            REQUIRE(waitUntilServing(i));
    }
    bool refusesAsStale(std::size_t router) const
    {
        return waitFor([&] {
            const auto response = call(router, {});
            return response.status == 503 && bodyOf(response).value("reason", "") == "no_fresh_configuration";
        });
    }
    generation_number withdraw(const std::string &version)
    {
        return publish({{"", "version " + version, "state", "withdrawn"}});
    }
    bool refusesVersion(std::size_t router, const std::string &kind) const
    {
        return waitFor([&] {
            const auto reason =
                bodyOf(call(router, {.kind = kind, .requestId = makeRequestId("w")})).value("reason", "");
            return reason == "version_withdrawn" || reason == "not_allowed";
        });
    }
};

} // namespace

// Guards against dispatching to a withdrawn version from a host that was suspended while the withdrawal was published.
TEST_CASE("freeze: a router that resumes after its lease expired sends nothing to a version withdrawn meanwhile")
{
    three_host_deployment fleet;
    fleet.routers[2]->process->signal(SIGSTOP);
    fleet.withdraw("grand-1");
    REQUIRE(fleet.refusesVersion(0, "reminder-draft"));
    std::this_thread::sleep_for(kBeyondLease);
    const auto runs = fleet.runsOfVersion("grand-1");
    // These are buffered in the suspended router's socket, so it reads them before any update about the withdrawal.
    const auto firstCall = fleet.makeCall(2, {.kind = "reminder-draft", .requestId = makeRequestId("frozen-1")});
    const auto secondCall = fleet.makeCall(2, {.kind = "reminder-draft", .requestId = makeRequestId("frozen-2")});
    http_task first(firstCall);
    http_task second(secondCall);
    std::this_thread::sleep_for(std::chrono::milliseconds{300});
    fleet.routers[2]->process->signal(SIGCONT);
    CHECK(first.get().status != 200);
    CHECK(second.get().status != 200);
    CHECK(fleet.runsOfVersion("grand-1") == runs);
}

// Guards against a store outage that stops service, and against "not run" for a request that has run.
TEST_CASE("outage: hosts keep serving, non-idempotent requests are refused as not run, and service resumes")
{
    three_host_deployment fleet;
    fleet.setFaults(fleet.platformPort, {{"outage", true}});
    std::this_thread::sleep_for(kBeyondLease);
    for (std::size_t i = 0; i < 3; ++i)
        CHECK(fleet.call(i, {.requestId = makeRequestId("o" + std::to_string(i))}).status == 200);
    const caller_call promise{.kind = "payment-promise", .requestId = makeRequestId("promise")};
    const auto refused = fleet.call(0, promise);
    CHECK(refused.status == 503);
    CHECK(bodyOf(refused).value("outcome", "") == "not_run");
    CHECK(bodyOf(refused).value("reason", "") == "store_unavailable");
    CHECK(refused.headers.contains("retry-after"));
    CHECK(fleet.runsOf(promise.requestId) == 0);
    fleet.setFaults(fleet.platformPort, {{"outage", false}});
    CHECK(waitFor([&] { return fleet.call(1, promise).status == 200; }));
    CHECK(fleet.runsOf(promise.requestId) == 1);
}

// Guards against bills lost when a host dies during a store outage, and against duplicate bills afterwards.
TEST_CASE("outage and kill: a bill issued during an outage is written once although its host died")
{
    three_host_deployment fleet;
    fleet.setFaults(fleet.platformPort, {{"outage", true}});
    const caller_call request{.kind = "tone-check", .requestId = makeRequestId("billed")};
    REQUIRE(waitFor([&] { return fleet.call(0, request).status == 200; }));
    fleet.routers[0]->process->kill();
    CHECK(fleet.call(1, request).status == 200);
    fleet.setFaults(fleet.platformPort, {{"outage", false}});
    REQUIRE(waitFor([&] { return fleet.ledgerRecords(record_type::bill, request.requestId) >= 1; }));
    std::this_thread::sleep_for(kBeyondLease);
    CHECK(fleet.ledgerRecords(record_type::bill, request.requestId) == 1);
}

// Guards against a host that starts without state during an outage and serves an old generation or none.
TEST_CASE("outage and restart: a host that starts during an outage recovers the newest generation from its peers")
{
    three_host_deployment fleet;
    fleet.withdraw("grand-1");
    for (std::size_t i = 0; i < 3; ++i)
        REQUIRE(fleet.refusesVersion(i, "reminder-draft"));
    const auto runs = fleet.runsOfVersion("grand-1");
    fleet.setFaults(fleet.platformPort, {{"outage", true}});
    fleet.routers[1]->process->kill();
    fleet.startRouter(1);
    CHECK(fleet.waitUntilServing(1));
    CHECK(fleet.refusesVersion(1, "reminder-draft"));
    CHECK(fleet.runsOfVersion("grand-1") == runs);
}

// Guards against a partitioned minority that serves under a possibly stale configuration.
TEST_CASE("cut: a host without store and peers refuses as not run, and serves again when the cut is healed")
{
    three_host_deployment fleet;
    fleet.routers[2]->platformLink->cut();
    fleet.cutPeers(2);
    CHECK(fleet.refusesAsStale(2));
    CHECK(fleet.call(0, {}).status == 200);
    fleet.routers[2]->platformLink->heal();
    fleet.healPeers(2);
    CHECK(fleet.waitUntilServing(2));
}

// Guards against a host that stops serving when only its connection to the store is cut.
TEST_CASE("cut: a host that is cut off from the store alone keeps serving through its peers")
{
    three_host_deployment fleet;
    fleet.routers[0]->platformLink->cut();
    std::this_thread::sleep_for(kBeyondLease);
    CHECK(fleet.call(0, {}).status == 200);
    fleet.withdraw("grand-1");
    CHECK(fleet.refusesVersion(0, "reminder-draft"));
}

// Guards against a majority formed with acknowledgements of hosts that have already received a newer generation, and
// against service on the wrong side of a partition during a store outage.
TEST_CASE("cut during an outage: the minority refuses while the majority serves")
{
    three_host_deployment fleet;
    fleet.setFaults(fleet.platformPort, {{"outage", true}});
    fleet.cutPeers(0);
    CHECK(fleet.refusesAsStale(0));
    CHECK(waitFor([&] { return fleet.call(1, {}).status == 200 && fleet.call(2, {}).status == 200; }));
    fleet.healPeers(0);
    CHECK(fleet.waitUntilServing(0));
}

// Guards against a duplicate claim or bill when the response to a write is lost.
TEST_CASE("lost responses: requests whose ledger writes lose their responses run once and are billed once")
{
    three_host_deployment fleet;
    for (int i = 0; i < 5; ++i) {
        fleet.setFaults(fleet.platformPort, {{"lose_answers", 2}});
        const caller_call request{.kind = "payment-promise", .requestId = makeRequestId("lost" + std::to_string(i))};
        const auto response = fleet.call(static_cast<std::size_t>(i) % 3, request);
        CHECK((response.status == 200 || bodyOf(response).value("outcome", "") == "may_have_run"
               || bodyOf(response).value("outcome", "") == "not_run"));
        fleet.setFaults(fleet.platformPort, {{"lose_answers", 0}});
        const auto retry = fleet.call(static_cast<std::size_t>(i + 1) % 3, request);
        CAPTURE(i);
        CAPTURE(response.body);
        CAPTURE(retry.body);
        CHECK(retry.status != 0);
        CHECK(fleet.runsOf(request.requestId) <= 1);
        if (response.status == 200) {
            CHECK(retry.status == 200);
            CHECK(fleet.ledgerRecords(record_type::claim, request.requestId) == 1);
            CHECK(fleet.ledgerRecords(record_type::bill, request.requestId) == 1);
        }
    }
}

// Guards against a second run of a non-idempotent request when the store takes long to write its claim.
TEST_CASE("slow store: non-idempotent requests still run once")
{
    three_host_deployment fleet;
    fleet.setFaults(fleet.platformPort, {{"slow_ms", 400}});
    const caller_call request{.kind = "payment-promise", .requestId = makeRequestId("slow")};
    const auto response = fleet.call(0, request);
    CHECK(response.status == 200);
    CHECK(fleet.call(1, request).status == 200);
    CHECK(fleet.runsOf(request.requestId) == 1);
}

// Guards against "not run" for a request that runs on another host: a caller that trusts it submits the request again.
TEST_CASE("cut: a retry on a host that cannot read the ledger is not refused as not run")
{
    three_host_deployment fleet;
    fleet.routers[2]->platformLink->cut();
    fleet.cutPeers(2);
    REQUIRE(fleet.refusesAsStale(2));
    fleet.setFaults(fleet.upstreams[0]->port, {{"late_ms", 5000}});
    fleet.setFaults(fleet.upstreams[1]->port, {{"late_ms", 5000}});
    const caller_call request{.kind = "reminder-draft", .requestId = makeRequestId("elsewhere")};
    http_task first(fleet.makeCall(0, request));
    REQUIRE(waitFor([&] { return fleet.runsOf(request.requestId) == 1; }));
    const auto retry = fleet.call(2, request);
    CHECK(bodyOf(retry).value("outcome", "") != "not_run");
    CHECK(first.get().status == 200);
}
