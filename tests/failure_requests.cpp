// Requests under failures of routers and upstreams. The upstream stubs count the runs.
#include "failure_deployment.h"

#include <csignal>
#include <doctest/doctest.h>

using namespace foxtaildyke;
using namespace foxtaildyke::testing;

namespace
{

/// Two routers by default, two model engines and one plain service.
struct standard_deployment : deployment {
    explicit standard_deployment(std::size_t hosts = 2)
        : deployment(hosts)
    {
        addUpstream({"u1", "models", "swift-1,grand-1"});
        addUpstream({"u2", "models", "swift-1,grand-1"});
        addUpstream({"u3", "desk", "desk-1"});
        for (std::size_t i = 0; i < hosts; ++i)
            REQUIRE(waitUntilServing(i));
    }
    void setFaultsOfModels(const nlohmann::json &faults) const
    {
        setFaults(upstreams[0]->port, faults);
        setFaults(upstreams[1]->port, faults);
    }
    /// Retries while the router reports the first copy of the request as in progress.
    call_response retryUntilFinished(std::size_t router, const caller_call &request) const
    {
        call_response response;
        waitFor([&] {
            response = call(router, request);
            return bodyOf(response).value("reason", "") != "duplicate_in_progress";
        });
        return response;
    }
};

} // namespace

// Guards against a second run of a non-idempotent request whose router died during the first.
TEST_CASE("kill: a non-idempotent request whose router dies during the run does not run a second time")
{
    standard_deployment fleet;
    fleet.setFaultsOfModels({{"late_ms", 3000}});
    const caller_call request{.kind = "reminder-draft", .requestId = makeRequestId("killed")};
    http_task first(fleet.makeCall(0, request));
    REQUIRE(waitFor([&] { return fleet.runsOf(request.requestId) == 1; }));
    fleet.routers[0]->process->kill();
    CHECK(first.get().status != 200);
    const auto retry = fleet.retryUntilFinished(1, request);
    CHECK(retry.status == 409);
    CHECK(bodyOf(retry).value("outcome", "") == "may_have_run");
    CHECK(fleet.runsOf(request.requestId) == 1);
}

// Guards against a lost response or a second run when the caller retries a completed request on another host.
TEST_CASE("kill: after completion, another host returns the stored response without a second run")
{
    standard_deployment fleet;
    const caller_call request{.kind = "payment-promise", .requestId = makeRequestId("answered")};
    const auto first = fleet.call(0, request);
    REQUIRE(first.status == 200);
    fleet.routers[0]->process->kill();
    const auto retry = fleet.retryUntilFinished(1, request);
    CHECK(retry.status == 200);
    CHECK(bodyOf(retry).value("text", "") == bodyOf(first).value("text", "missing"));
    CHECK(fleet.runsOf(request.requestId) == 1);
}

// Guards against an idempotent request that is lost with its router, and against billing it twice.
TEST_CASE("kill: an idempotent stream that ends with its router is served by another host and billed once")
{
    standard_deployment fleet;
    fleet.setFaultsOfModels({{"late_ms", 2000}});
    const caller_call request{.kind = "tone-check", .requestId = makeRequestId("stream"), .stream = true};
    http_task first(fleet.makeCall(0, request));
    REQUIRE(waitFor([&] { return fleet.runsOf(request.requestId) == 1; }));
    fleet.routers[0]->process->kill();
    CHECK_FALSE(first.get().isComplete);
    fleet.setFaultsOfModels({{"late_ms", 0}});
    auto retry = request;
    retry.stream = false;
    CHECK(fleet.retryUntilFinished(1, retry).status == 200);
    CHECK(fleet.retryUntilFinished(1, retry).status == 200);
    CHECK(fleet.ledgerRecords(record_type::bill, request.requestId) == 1);
}

// Guards against responses truncated by a planned stop.
TEST_CASE("stop: SIGTERM lets an open stream finish, refuses new requests as not run, and exits with 0")
{
    standard_deployment fleet;
    fleet.setFaultsOfModels({{"late_ms", 2000}});
    const caller_call request{.kind = "tone-check", .requestId = makeRequestId("drained"), .stream = true};
    http_task open(fleet.makeCall(0, request));
    REQUIRE(waitFor([&] { return fleet.runsOf(request.requestId) == 1; }));
    fleet.routers[0]->process->signal(SIGTERM);
    const caller_call late{.requestId = makeRequestId("late")};
    call_response refused;
    REQUIRE(waitFor([&] {
        refused = fleet.call(0, late);
        return refused.status != 200;
    }));
    if (refused.status != 0)
        CHECK(bodyOf(refused).value("outcome", "") == "not_run");
    const auto &streamResponse = open.get();
    CHECK(streamResponse.isComplete);
    CHECK(streamResponse.body.find("\"complete\"") != std::string::npos);
    CHECK(fleet.routers[0]->process->waitExit() == std::optional(0));
}

// Guards against requests that are cut off although their connection was accepted before the process ended.
TEST_CASE("stop: requests on connections that were accepted during the stop are refused as not run, not cut off")
{
    standard_deployment fleet;
    // A host without open requests, whose callers connect and send their request in two parts.
    std::vector<std::unique_ptr<partial_call>> calls;
    fleet.routers[0]->process->signal(SIGTERM);
    for (int index = 0; index < 40; ++index) {
        const caller_call request{.requestId = makeRequestId("late-" + std::to_string(index))};
        calls.push_back(std::make_unique<partial_call>(fleet.makeCall(0, request)));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(300)); // beyond the shortest drain
    std::size_t refused = 0;
    for (auto &call : calls) {
        const auto response = call->finish();
        refused += response.isComplete && bodyOf(response).value("outcome", "") == "not_run" ? 1 : 0;
    }
    CHECK(refused == calls.size());
    CHECK(fleet.routers[0]->process->waitExit() == std::optional(0));
}

// Guards against a response delivered as complete although the upstream's stream was truncated.
TEST_CASE("upstream: a truncated response is never reported as complete")
{
    standard_deployment fleet;
    fleet.setFaultsOfModels({{"truncated", true}});
    const auto response = fleet.call(0, {.kind = "reminder-draft", .requestId = makeRequestId("truncated")});
    CHECK(response.status == 502);
    CHECK(bodyOf(response).value("outcome", "") == "failed_after_run");
    CHECK(bodyOf(response).value("reason", "") == "answer_truncated");
}

// Guards against text of another request in a response when an upstream mixes events of other attempts into its stream.
TEST_CASE("upstream: responses to other requests are discarded and the caller gets its own")
{
    standard_deployment fleet;
    const caller_call request{.kind = "tone-check", .prompt = "own", .requestId = makeRequestId("own")};
    const auto plain = bodyOf(fleet.call(0, request));
    fleet.setFaultsOfModels({{"crossed", true}});
    auto crossed = request;
    crossed.requestId = makeRequestId("crossed");
    const auto response = fleet.call(0, crossed);
    if (response.status == 200)
        CHECK(bodyOf(response).value("text", "").size() <= plain.value("text", "").size() + crossed.requestId.size());
    else
        CHECK(bodyOf(response).value("outcome", "") == "failed_after_run");
    CHECK(bodyOf(response).value("text", "").find("foreign") == std::string::npos);
}

// Guards against a request that crashes one upstream after another when its caller retries it.
TEST_CASE("upstream: a request that crashes upstreams reaches at most two and is then refused on every host")
{
    standard_deployment fleet;
    for (const std::string name : {"u4", "u5", "u6"})
        fleet.addUpstream({name, "models", "swift-1,grand-1"});
    const auto countRunning = [&] {
        return std::ranges::count_if(fleet.upstreams,
                                     [](const auto &upstream) { return upstream->process->isRunning(); });
    };
    const auto before = countRunning();
    const auto sendPoisonRequest = [&](std::size_t router) {
        return fleet.call(router, {.kind = "tone-check", .prompt = "poison pill", .requestId = makeRequestId("p")});
    };
    CHECK(sendPoisonRequest(0).status != 200);
    REQUIRE(waitFor([&] { return bodyOf(sendPoisonRequest(1)).value("reason", "") == "quarantined"; }));
    CHECK(bodyOf(sendPoisonRequest(0)).value("reason", "") == "quarantined");
    CHECK(before - countRunning() <= 2);
}

// Guards against dispatching to a replica that the host list shows as leaving.
TEST_CASE("upstream: a leaving replica gets no new requests once its state is known")
{
    standard_deployment fleet;
    fleet.setFaults(fleet.upstreams[0]->port, {{"leave", true}});
    const auto runs = [&] {
        return fleet.counts(fleet.upstreams[0]->port)["runs_by_version"].value("swift-1", 0);
    };
    // The host list is read once a second: after three consecutive rounds without a run on the replica, none may
    // follow.
    int roundsWithoutRun = 0;
    REQUIRE(waitFor([&] {
        const auto before = runs();
        for (int i = 0; i < 10; ++i)
            fleet.call(0, {});
        roundsWithoutRun = runs() == before ? roundsWithoutRun + 1 : 0;
        return roundsWithoutRun >= 3;
    }));
    const auto finalRuns = runs();
    for (int i = 0; i < 50; ++i)
        CHECK(fleet.call(0, {}).status == 200);
    CHECK(runs() == finalRuns);
}

// Guards against a session whose version changes when it reaches another host after a roll-out.
TEST_CASE("session: token or session id alone keeps the version on another host after a newer version is active")
{
    standard_deployment fleet;
    const auto first = bodyOf(fleet.call(0, {.requestId = makeRequestId("s1"), .sessionId = "s"}));
    REQUIRE(first.value("version", "") == "swift-1");
    const auto generation = fleet.publish({{"", "version swift-2", "model", "swift"},
                                           {"", "version swift-2", "state", "active"},
                                           {"", "version swift-2", "baseline", "swift-1"}});
    CHECK(generation == 2);
    fleet.addUpstream({"u7", "models", "swift-2"});
    for (const std::size_t router : {0U, 1U})
        REQUIRE(waitFor([&] { return bodyOf(fleet.call(router, {})).value("version", "") == "swift-2"; }));
    const auto token = first.value("session_token", "");
    CHECK(!token.empty());
    const auto byToken =
        bodyOf(fleet.call(1, {.requestId = makeRequestId("s2"), .sessionId = "s", .sessionToken = token}));
    CHECK(byToken.value("version", "") == "swift-1");
    const auto byId = bodyOf(fleet.call(1, {.requestId = makeRequestId("s3"), .sessionId = "s"}));
    CHECK(byId.value("version", "") == "swift-1");
}
