// Failure tests of the gateway process over loopback, between scripted callers, scripted replicas and a store stand-in.
#include "gateway_process.h"

#include <csignal>

using namespace foxtaildyke;
using namespace std::chrono_literals;

namespace
{

std::string idOf(const received_request &request)
{
    return std::string(request.head.header("Foxtaildyke-Request-Id"));
}

replica_script echoResponse(const received_request &request)
{
    return {responseText(200, idOf(request), "whole body")};
}

std::string onceRequest(const std::string &id)
{
    return requestText("POST", "/once/x", id, {}, "the body");
}

std::string safeRequest(const std::string &id)
{
    return requestText("GET", "/safe/x", id);
}

/// @returns the recorded state of the roll-out of service "s", or empty.
std::string rolloutState(const gateway_process &gateway)
{
    const auto status = gateway.store.statusOf("rollouts", "s");
    return status.is_object() ? status.value("state", "") : std::string();
}

/// A running gateway process with a configuration and one replica.
struct single_replica_fixture : gateway_process {
    explicit single_replica_fixture(const std::string &settings = {}, scripted_replica::script response = echoResponse)
        : gateway_process(settings)
        , replica(loop, "r1", std::move(response))
    {
        publish(1);
        registerReplica(replica);
        REQUIRE(startReady());
    }

    scripted_replica replica;
};

} // namespace

TEST_CASE("gateway process: accepts requests once configuration and replicas are known")
{
    gateway_process gateway;
    scripted_replica replica(gateway.loop, "r1", echoResponse);
    gateway.store.setState(store_state::refusing);
    gateway.start();
    REQUIRE(gateway.waitForLog("store_lost", "config"));
    CHECK(gateway.readiness() == 503);
    CHECK(gateway.sendRequest(safeRequest("early")).head.status == 503); // not 401 or 404: no route or key is known yet
    gateway.publish(1);
    gateway.registerReplica(replica);
    gateway.store.setState(store_state::serving);
    REQUIRE(gateway.runUntil([&] { return gateway.readiness() == 200; }));
    const auto response = gateway.sendRequest(onceRequest("id-1"));
    CHECK(response.head.status == 200);
    CHECK(response.body == "whole body");
    CHECK(replica.requests.size() == 1);
    CHECK(gateway.waitForLog("\"request_id\":\"id-1\"", "\"event\":\"request_end\""));
    CHECK(gateway.metrics().find("account") == std::string::npos); // no label per client account
    CHECK(gateway.metrics().find("status=\"200\"") != std::string::npos);
}

// Guards against a process that a change of its settings file ends, because it has no handler for SIGHUP yet.
TEST_CASE("gateway process: a SIGHUP while it starts doesn't end it")
{
    gateway_process gateway;
    scripted_replica replica(gateway.loop, "r1", echoResponse);
    gateway.publish(1);
    gateway.registerReplica(replica);
    gateway.startWithoutSettings();
    gateway.signal(SIGHUP);
    gateway.runFor(50ms);
    REQUIRE(gateway.process().isRunning());
    gateway.giveSettings();
    REQUIRE(gateway.runUntil([&] { return gateway.readiness() == 200; }));
    CHECK(gateway.sendRequest(safeRequest("id-1")).head.status == 200);
}

// Guards against a process that ends because its port isn't free yet, as after a kill.
TEST_CASE("gateway process: it waits for a port that is in use")
{
    gateway_process gateway;
    scripted_replica replica(gateway.loop, "r1", echoResponse);
    gateway.publish(1);
    gateway.registerReplica(replica);
    {
        http_server other(gateway.loop, [](const http_exchange_ptr &) {});
        REQUIRE(other.listen({"127.0.0.1", gateway.callerPort}).has_value());
        gateway.start();
        REQUIRE(gateway.waitForLog("in use", std::to_string(gateway.callerPort)));
    }
    REQUIRE(gateway.runUntil([&] { return gateway.readiness() == 200; }));
    CHECK(gateway.sendRequest(safeRequest("id-1")).head.status == 200);
}

// Guards against a process that waits for the reader of its output until it is killed.
TEST_CASE("gateway process: it serves and stops while nobody reads its output")
{
    constexpr int kRequests = 60; // several lines each, more than the pipe holds
    gateway_process gateway;
    scripted_replica replica(gateway.loop, "r1", echoResponse);
    gateway.publish(1);
    gateway.registerReplica(replica);
    gateway.leaveOutputUnread();
    REQUIRE(gateway.startReady());
    for (int number = 0; number < kRequests; ++number)
        CHECK(gateway.sendRequest(safeRequest("id-" + std::to_string(number))).head.status == 200);
    gateway.signal(SIGTERM);
    CHECK(gateway.waitExit() == 0);
}

// Guards against a listener that tries again at once, for ever, while no descriptor is left for another connection.
TEST_CASE("gateway process: without a free descriptor it waits instead of using the processor")
{
    constexpr std::size_t kCallers = 100;
    single_replica_fixture fixture;
    fixture.process().limitDescriptors(kCallers / 2);
    std::vector<std::unique_ptr<scripted_caller>> callers;
    for (std::size_t number = 0; number < kCallers; ++number)
        callers.push_back(std::make_unique<scripted_caller>(fixture.loop, fixture.callerPort));
    callers.push_back(std::make_unique<scripted_caller>(fixture.loop, fixture.readinessPort()));
    fixture.runFor(200ms);
    const auto before = fixture.process().processorTime();
    fixture.runFor(1s);
    CHECK(fixture.process().processorTime() - before < 500ms);
    CHECK(fixture.hasLogged("accept_paused", "errno"));
    callers.clear();
    CHECK(fixture.sendRequest(safeRequest("id-1")).head.status == 200);
}

TEST_CASE("gateway process: an invalid request is refused with the status for its error")
{
    single_replica_fixture fixture;
    CHECK(fixture.sendRequest(requestText("GET", "/none/x", "id-1")).head.status == 404);
    CHECK(
        fixture.sendRequest("GET /safe/x HTTP/1.1\r\nHost: h.example\r\nFoxtaildyke-Request-Id: i\r\n\r\n").head.status
        == 401);
    CHECK(fixture.sendRequest("GET /safe/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key-1\r\n\r\n")
              .head.status
          == 400);
    CHECK(fixture.sendRequest("not HTTP\r\n\r\n").head.status == 400);
    CHECK(
        fixture.sendRequest(requestText("GET", "/safe/x", "id-2", "X: " + std::string(5000, 'x') + "\r\n")).head.status
        == 431);
    CHECK(fixture.sendRequest(requestText("POST", "/once/x", "id-3", {}, std::string(100'001, 'x'))).head.status
          == 413);
    CHECK(fixture.sendRequest("GET /safe/x HTTP/1.1\r\nHost: h.exa").head.status == 408); // the head is never completed
    CHECK(fixture.replica.requests.empty());
}

TEST_CASE("gateway process: chunked bodies, ambiguous body lengths, and route matching by host and path prefix")
{
    single_replica_fixture fixture;
    const std::string head = "POST /once/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key-1\r\n";
    CHECK(fixture
              .sendRequest(head
                           + "Foxtaildyke-Request-Id: id-1\r\nTransfer-Encoding: "
                             "chunked\r\n\r\n4\r\nfour\r\n3\r\nand\r\n0\r\n\r\n")
              .head.status
          == 200);
    REQUIRE(fixture.replica.requests.size() == 1);
    CHECK(fixture.replica.requests[0].body == "fourand");
    CHECK(fixture
              .sendRequest(
                  head
                  + "Foxtaildyke-Request-Id: id-2\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
              .head.status
          == 400);
    CHECK(fixture
              .sendRequest("POST /once/x HTTP/1.1\r\nHost: other.example\r\nAuthorization: Bearer key-1\r\n"
                           "Foxtaildyke-Request-Id: id-3\r\nContent-Length: 0\r\n\r\n")
              .head.status
          == 404);
    CHECK(fixture.sendRequest(requestText("POST", "/once", "id-4")).head.status == 404); // the prefix ends with a slash
    CHECK(fixture.replica.requests.size() == 1);
}

TEST_CASE("gateway process: events are forwarded as they arrive, and reserved headers from a client are removed")
{
    single_replica_fixture fixture({}, [](const received_request &request) {
        return replica_script{.bytes = streamText(idOf(request), 1, 3, false)};
    });
    scripted_caller caller(fixture.loop, fixture.callerPort);
    caller.send(requestText("POST", "/stream/x", "id-1",
                            "Foxtaildyke-Tenant: forged\r\nKv-From: 10.0.0.1:1/7\r\nFoxtaildyke-Retention: 3\r\n"));
    CHECK(fixture.runUntil([&] { return !caller.responses.empty() && caller.responses[0].body == eventsText(1, 3); }));
    CHECK_FALSE(caller.responses[0].isComplete);
    const auto &forwarded = fixture.replica.requests.at(0).head;
    CHECK(forwarded.header("Foxtaildyke-Tenant") == "account-1");
    CHECK(forwarded.header("Kv-From").empty());
    CHECK(forwarded.header("Foxtaildyke-Retention").empty());
    CHECK(forwarded.header("Authorization").empty());
}

TEST_CASE("gateway process: a response before the body was read is forwarded and keeps the connection in sync")
{
    single_replica_fixture fixture({}, echoResponse);
    fixture.replica.respondsAfterHead = true;
    const std::string body(60'000, 'x');
    CHECK(fixture.sendRequest(requestText("POST", "/once/x", "id-1", {}, body)).body == "whole body");
    CHECK(fixture.sendRequest(requestText("POST", "/once/x", "id-2", {}, body)).body == "whole body");
    // Every complete request at the replica must be one that was sent.
    for (const auto &request : fixture.replica.requests) {
        CHECK(request.head.target == "/once/x");
        CHECK(request.body == body);
    }
}

TEST_CASE("gateway process: a slow caller applies backpressure to the replica and receives all events")
{
    constexpr int kEvents = 300'000; // 9 MB on the wire; the socket buffers in between take a few MB
    single_replica_fixture fixture(
        {}, [](const received_request &request) { return replica_script{streamText(idOf(request), 1, kEvents)}; });
    scripted_caller caller(fixture.loop, fixture.callerPort);
    caller.setReading(false);
    caller.send(requestText("POST", "/stream/x", "id-1"));
    REQUIRE(fixture.runUntil([&] { return fixture.replica.requests.size() == 1; }));
    fixture.runFor(1s);
    CHECK(fixture.replica.pendingBytes() > 0);
    caller.setReading(true);
    REQUIRE(fixture.runUntil([&] { return !caller.responses.empty() && caller.responses[0].isComplete; }));
    CHECK(caller.responses[0].body == eventsText(1, kEvents));
}

TEST_CASE("gateway process: a replica connection is reused for no longer than the replica allows")
{
    std::string headers;
    single_replica_fixture fixture({}, [&](const received_request &request) {
        return replica_script{responseText(200, idOf(request), "whole body", headers)};
    });
    int requestCount = 0;
    // With a persistent connection, and with one that the replica closes after the response.
    for (const std::string next :
         {"", "Keep-Alive: timeout=5\r\n", "Connection: close\r\n", "Keep-Alive: timeout=1\r\n"}) {
        headers = next;
        for (int i = 0; i < 3; ++i)
            CHECK(fixture.sendRequest(onceRequest("id-" + std::to_string(++requestCount))).head.status == 200);
    }
    CHECK(fixture.replica.requests.size() == 12);
}

TEST_CASE("gateway process: paged lists, expired change history and entries of other writers")
{
    gateway_process gateway;
    gateway.store.pageItems = 2;
    gateway.publish(1);
    std::vector<std::unique_ptr<scripted_replica>> replicas;
    for (int i = 1; i <= 5; ++i) {
        replicas.push_back(std::make_unique<scripted_replica>(gateway.loop, "r" + std::to_string(i), echoResponse));
        gateway.registerReplica(*replicas.back());
    }
    gateway.store.put("servers", "r0", {{"service", 7}, {"address", "nowhere"}});
    gateway.store.put("servers", "r6", {{"service", "s"}, {"address", "127.0.0.1:1"}, {"state", "asleep"}});
    REQUIRE(gateway.startReady());
    CHECK(gateway.waitForLog("replicas_listed", "\"count\":5"));
    CHECK(gateway.waitForLog("replica_unusable", "r6"));
    for (int i = 0; i < 40; ++i)
        CHECK(gateway.sendRequest(onceRequest("id-" + std::to_string(i))).head.status == 200);
    CHECK(std::ranges::all_of(replicas, [](const auto &replica) { return !replica->requests.empty(); }));

    gateway.store.remove("servers", "r1");
    gateway.store.discardHistory();
    REQUIRE(gateway.waitForLog("store_history_gone", "servers"));
    REQUIRE(gateway.runUntil([&] { return gateway.metrics().find("replicas 4") != std::string::npos; }));
    const auto before = replicas[0]->requests.size();
    for (int i = 40; i < 60; ++i)
        CHECK(gateway.sendRequest(onceRequest("id-" + std::to_string(i))).head.status == 200);
    CHECK(replicas[0]->requests.size() == before);
}

// Guards against gateways that end, or start and never get ready, because of one entry of another writer.
TEST_CASE("gateway process: entries that can't be read neither end it nor hide replicas, also from one that starts")
{
    constexpr std::size_t kDepth = 250'000;
    const std::vector<std::string> specs{"{\"service\":" + std::string(kDepth, '[') + std::string(kDepth, ']') + "}",
                                         "{\"service\":\"\xff\xfe\"}", R"({"batch_slots":1e999})"};
    for (const bool isAtStart : {false, true}) {
        gateway_process gateway;
        gateway.publish(1);
        scripted_replica replica(gateway.loop, "r1", echoResponse);
        gateway.registerReplica(replica);
        const auto leaveEntries = [&] {
            for (const auto &spec : specs)
                gateway.store.putRaw("servers", "r0-" + std::to_string(&spec - specs.data()), spec);
        };
        if (isAtStart)
            leaveEntries();
        REQUIRE(gateway.startReady());
        leaveEntries();
        REQUIRE(gateway.waitForLog("entry_unreadable", "servers/r0-2"));
        scripted_replica late(gateway.loop, "r2", echoResponse);
        gateway.registerReplica(late);
        REQUIRE(gateway.runUntil([&] { return gateway.metrics().find("replicas 2") != std::string::npos; }));
        CHECK(gateway.sendRequest(onceRequest("id-1")).head.status == 200);
    }
}

TEST_CASE("gateway process: a configuration takes effect without a restart and is never replaced by an older one")
{
    single_replica_fixture fixture;
    CHECK(fixture.sendRequest(safeRequest("id-1")).head.status == 200);
    fixture.publishWithoutSafe(5);
    REQUIRE(fixture.waitForLog("config_in_force", "\"generation\":5"));
    CHECK(fixture.sendRequest(safeRequest("id-2")).head.status == 404);
    fixture.publish(3);
    fixture.runFor(600ms);
    CHECK(fixture.sendRequest(safeRequest("id-3")).head.status == 404);
    CHECK(fixture.sendRequest(onceRequest("id-4")).head.status == 200);
}

TEST_CASE("gateway process: a key that was withdrawn while the process was suspended is refused")
{
    single_replica_fixture fixture("key_lease_ms = 1000\n");
    CHECK(fixture.sendRequest(onceRequest("id-1")).head.status == 200);
    fixture.signal(SIGSTOP);
    fixture.publish(2, {"key-2"});
    fixture.store.setState(store_state::silent);
    fixture.runFor(1200ms); // longer than the lease
    fixture.signal(SIGCONT);
    CHECK(fixture.sendRequest(onceRequest("id-2")).head.status == 503); // the validity of the key cannot be checked
    CHECK(fixture.readiness() == 503);
    fixture.store.setState(store_state::serving);
    // A response that arrived while the process was suspended delivers the version but must not renew the lease.
    REQUIRE(fixture.waitForLog("config_in_force", "\"generation\":2"));
    REQUIRE(fixture.runUntil([&] { return fixture.readiness() == 200; }));
    CHECK(fixture.sendRequest(onceRequest("id-3")).head.status == 401);
    CHECK(fixture.replica.requests.size() == 1);
}

TEST_CASE("gateway process: suspended across its key lease, a retry and a connection to a replica at once")
{
    single_replica_fixture fixture("key_lease_ms = 1000\n", [](const received_request &request) {
        if (idOf(request) == "first")
            return replica_script{.bytes = responseText(200, "first", "whole body", "Keep-Alive: timeout=2\r\n")};
        return replica_script{.bytes = "", .resets = true, .delay = 500ms};
    });
    // Leaves a connection that the replica keeps open for two seconds.
    CHECK(fixture.sendRequest(safeRequest("first")).head.status == 200);
    scripted_caller caller(fixture.loop, fixture.callerPort);
    caller.send(safeRequest("in-flight"));
    REQUIRE(fixture.runUntil([&] { return fixture.replica.requests.size() == 2; }));
    fixture.signal(SIGSTOP);
    // Meanwhile the request fails, its key is withdrawn, and another request arrives.
    fixture.publish(2, {"key-2"});
    fixture.store.setState(store_state::silent);
    scripted_caller later(fixture.loop, fixture.callerPort);
    later.send(safeRequest("later"));
    fixture.runFor(2500ms);
    fixture.signal(SIGCONT);
    REQUIRE(fixture.runUntil([&] {
        return caller.responses.size() == 1 && caller.responses[0].isComplete && later.responses.size() == 1
            && later.responses[0].isComplete;
    }));
    CHECK(caller.responses[0].head.status == 502);
    CHECK(later.responses[0].head.status == 503);
    fixture.store.setState(store_state::serving);
    REQUIRE(fixture.runUntil([&] { return fixture.readiness() == 200; }));
    CHECK(fixture.sendRequest(safeRequest("last")).head.status == 401);
    CHECK(fixture.replica.requests.size() == 2);
}

TEST_CASE("gateway process: requests are served during each kind of store outage")
{
    for (const auto state :
         {store_state::refusing, store_state::limiting, store_state::dropping, store_state::silent}) {
        single_replica_fixture fixture;
        fixture.store.setState(state);
        REQUIRE(fixture.waitForLog("store_lost", "servers"));
        CHECK(fixture.sendRequest(onceRequest("id-1")).head.status == 200);
        fixture.store.setState(store_state::serving);
        CHECK(fixture.waitForLog("store_regained", "servers"));
    }
}

TEST_CASE("gateway process: a response is complete or recognizably an error")
{
    replica_script next;
    single_replica_fixture fixture({}, [&](const received_request &) { return next; });
    next = {.bytes = "HTTP/1.1 200 OK\r\nFoxtaildyke-Server-Stamp: s\r\nContent-Length: 50\r\n\r\ncut", .closes = true};
    CHECK(fixture.sendRequest(onceRequest("id-1")).head.status == 502);
    next = {.bytes = "HTTP/1.1 200 OK\r\nFoxtaildyke-Server-Stamp: s\r\n\r\nno length", .resets = true};
    CHECK(fixture.sendRequest(onceRequest("id-2")).head.status == 502);
    next = {.bytes = "HTTP/1.1 200 OK\r\nFoxtaildyke-Server-Stamp: s\r\n\r\nno length", .closes = true};
    const auto unsized = fixture.sendRequest(onceRequest("id-3"));
    CHECK(unsized.head.status == 200);
    CHECK(unsized.body == "no length");
    next = {.bytes = responseText(200, "id-0", "of another request") + responseText(200, "id-4", "mine")};
    CHECK(fixture.sendRequest(onceRequest("id-4")).body == "mine");
    next = {.bytes = responseText(200, "id-5", "mine") + "bytes that belong to nothing"};
    CHECK(fixture.sendRequest(onceRequest("id-5")).body == "mine");
    next = {.bytes = responseText(200, "id-6", "after them")};
    CHECK(fixture.sendRequest(onceRequest("id-6")).body == "after them");
    next = {.bytes = responseText(200, "id-7", "packed", "Content-Encoding: gzip\r\n")};
    CHECK(fixture.sendRequest(onceRequest("id-7")).head.status == 502);
}

TEST_CASE("gateway process: which requests are retried after a replica failure")
{
    replica_script next;
    single_replica_fixture fixture({}, [&](const received_request &) { return next; });
    next = {.bytes = "", .resets = true};
    CHECK(fixture.sendRequest(onceRequest("id-1")).head.status == 502);
    CHECK(fixture.replica.requests.size() == 1); // the request may have run
    CHECK(fixture.sendRequest(safeRequest("id-2")).head.status == 502);
    CHECK(fixture.replica.requests.size() == 3);
    next = {.bytes = notRunText()};
    const auto refused = fixture.sendRequest(onceRequest("id-3"));
    CHECK(refused.head.status == 503);
    CHECK_FALSE(refused.head.header("Retry-After").empty());
    CHECK(fixture.replica.requests.size() == 5);
}

TEST_CASE("gateway process: a stream resumes at another replica, and a replica restarts at another address")
{
    gateway_process gateway;
    const auto script = [](const received_request &request) {
        const auto after = request.head.header("Last-Event-Id");
        const int first = after.empty() ? 1 : std::stoi(std::string(after)) + 1;
        if (first > 4)
            return replica_script{streamText("id-1", first, 9)};
        return replica_script{.bytes = streamText("id-1", first, first + 3, false) + "5\r\nid: 9\r\n", .resets = true};
    };
    gateway.publish(1);
    auto one = std::make_unique<scripted_replica>(gateway.loop, "r1", script);
    scripted_replica two(gateway.loop, "r2", script);
    gateway.registerReplica(*one);
    gateway.registerReplica(two);
    REQUIRE(gateway.startReady());
    const auto response = gateway.sendRequest(requestText("POST", "/stream/x", "id-1"));
    CHECK(response.isComplete);
    CHECK(response.body == eventsText(1, 9));

    one.reset();
    scripted_replica restarted(gateway.loop, "r1", echoResponse);
    gateway.registerReplica(restarted, "v1", "ready", 1'700'000'009'000);
    gateway.store.remove("servers", "r2");
    REQUIRE(gateway.waitForLog("replica_removed", "r2"));
    CHECK(gateway.sendRequest(onceRequest("id-2")).head.status == 200);
    CHECK(restarted.requests.size() == 1);
}

TEST_CASE("gateway process: a draining replica receives no further requests")
{
    single_replica_fixture fixture;
    scripted_replica other(fixture.loop, "r2", echoResponse);
    fixture.registerReplica(other);
    fixture.registerReplica(fixture.replica, "v1", "draining");
    REQUIRE(fixture.waitForLog("replica_changed", "\"draining\":true"));
    for (int i = 0; i < 10; ++i)
        CHECK(fixture.sendRequest(onceRequest("id-" + std::to_string(i))).head.status == 200);
    CHECK(fixture.replica.requests.empty());
    CHECK(other.requests.size() == 10);
}

TEST_CASE("gateway process: the upstream request is cancelled at once when the caller disconnects")
{
    single_replica_fixture fixture({},
                                   [](const received_request &) { return replica_script{.bytes = "", .delay = 30s}; });
    scripted_caller caller(fixture.loop, fixture.callerPort);
    caller.send(requestText("POST", "/stream/x", "id-1"));
    REQUIRE(fixture.runUntil([&] { return fixture.replica.requests.size() == 1; }));
    caller.close();
    CHECK(fixture.runUntil([&] { return fixture.replica.connectionsLost == 1; }));
    CHECK(fixture.waitForLog("\"request_id\":\"id-1\"", "caller_gone"));
}

TEST_CASE("gateway process: a low-confidence response is replaced by the largest model's before any is forwarded")
{
    single_replica_fixture fixture({}, [](const received_request &request) {
        const bool isSmall = request.head.header("Foxtaildyke-Model") == "small";
        const std::string confidence = isSmall ? "20" : "90";
        return replica_script{.bytes = streamText(idOf(request), 1, isSmall ? 1 : 2, !isSmall,
                                                  "Foxtaildyke-Confidence: " + confidence + "\r\n")};
    });
    for (int i = 0; i < 3; ++i) // requests that raise the retry budget to allow an escalation
        CHECK(fixture.sendRequest(requestText("POST", "/stream/x", "id-" + std::to_string(i))).isComplete);
    CHECK(fixture.sendRequest(requestText("POST", "/sized/x", "id-9", "Foxtaildyke-Model: *\r\n")).body
          == eventsText(1, 2));
    CHECK(fixture.replica.requests.back().head.header("Foxtaildyke-Model") == "large");
    CHECK(fixture.waitForLog("\"event\":\"escalation\",\"request_id\":\"id-9\"",
                             "\"from\":\"small\",\"to\":\"large\",\"confidence\":20"));
    CHECK(fixture.waitForLog("\"event\":\"attempt\",\"request_id\":\"id-9\"", "\"model\":\"large\""));
}

TEST_CASE("gateway process: the chosen replica and model, escalations and their denial are logged")
{
    // Escalations may use half of this host's share of the slack: a sixteenth of 160.
    constexpr std::size_t kAllowed = 5;
    single_replica_fixture fixture("retry_ratio = 0\n", [](const received_request &request) {
        return replica_script{.bytes = streamText(idOf(request), 1, 2, true, "Foxtaildyke-Confidence: 20\r\n"),
                              .delay = 300ms};
    });
    // All start while the budget allows an escalation; when they get their responses, it is used up before the last.
    std::vector<std::unique_ptr<scripted_caller>> callers;
    for (std::size_t i = 0; i <= kAllowed; ++i) {
        callers.push_back(std::make_unique<scripted_caller>(fixture.loop, fixture.callerPort));
        callers.back()->send(requestText("POST", "/sized/x", "id-" + std::to_string(i), "Foxtaildyke-Model: *\r\n"));
    }
    REQUIRE(fixture.runUntil([&] {
        return std::ranges::all_of(callers, [](const auto &caller) {
            return caller->responses.size() == 1 && caller->responses[0].isComplete;
        });
    }));
    CHECK(fixture.replica.requests.size() == 2 * kAllowed + 1);
    CHECK(fixture.waitForLog("\"event\":\"attempt\",\"request_id\":\"id-0\"",
                             "\"upstream\":\"r1\",\"version\":\"v1\",\"sends\":1"));
    CHECK(fixture.waitForLog("\"event\":\"escalation\",\"request_id\":\"id-",
                             "\"outcome\":\"denied by the retry budget\""));
    CHECK(
        fixture.waitForLog("\"event\":\"request_end\",\"request_id\":\"id-", "\"model\":\"small\",\"confidence\":20"));
    // A request that starts now could not be escalated, so it goes to the largest model at once.
    CHECK(fixture.sendRequest(requestText("POST", "/sized/x", "id-late", "Foxtaildyke-Model: *\r\n")).isComplete);
    CHECK(fixture.replica.requests.size() == 2 * kAllowed + 2);
    CHECK(fixture.waitForLog("\"event\":\"request_end\",\"request_id\":\"id-late\"",
                             "\"model\":\"large\",\"confidence\":20"));
}

TEST_CASE("gateway process: retries after failures stay within the retry budget")
{
    gateway_process gateway("retry_ratio = 0.2\n");
    scripted_replica replica(gateway.loop, "r1",
                             [](const received_request &) { return replica_script{.bytes = "", .resets = true}; });
    gateway.publish(1);
    gateway.registerReplica(replica);
    REQUIRE(gateway.startReady());
    constexpr int kRequests = 60;
    for (int i = 0; i < kRequests; ++i)
        gateway.sendRequest(safeRequest("id-" + std::to_string(i)));
    // 0.2 of the 60 requests, plus this host's share of the slack: a sixteenth of 160.
    CHECK(replica.requests.size() > kRequests);
    CHECK(replica.requests.size() <= kRequests + 12 + 10);
}

TEST_CASE("gateway process: a roll-out is carried out and recorded even if write responses are lost or late")
{
    for (const auto writeOutcome : {write_outcome::answered, write_outcome::response_lost, write_outcome::late}) {
        single_replica_fixture fixture;
        scripted_replica newer(fixture.loop, "r2", echoResponse);
        fixture.store.writeOutcome = writeOutcome;
        fixture.registerReplica(newer, "v2");
        fixture.store.put("rollouts", "s", {{"service", "s"}, {"target", "v2"}, {"duration_s", 6}});
        int requestCount = 0;
        CHECK(fixture.runUntil([&] {
            fixture.sendRequest(onceRequest("id-" + std::to_string(++requestCount)));
            return rolloutState(fixture) == "completed";
        }));
        CHECK(newer.requests.size() >= 5);
    }
}

TEST_CASE("gateway process: a failing version is rolled back and receives no further requests")
{
    single_replica_fixture fixture;
    scripted_replica newer(fixture.loop, "r2", [](const received_request &request) {
        return replica_script{responseText(500, idOf(request), "bad")};
    });
    fixture.registerReplica(newer, "v2");
    fixture.store.put("rollouts", "s", {{"service", "s"}, {"target", "v2"}, {"duration_s", 6}});
    int requestCount = 0;
    REQUIRE(fixture.runUntil([&] {
        fixture.sendRequest(onceRequest("id-" + std::to_string(++requestCount)));
        return rolloutState(fixture) == "rolled_back";
    }));
    REQUIRE(fixture.waitForLog("rollout_state", "rolled_back"));
    const auto before = newer.requests.size();
    CHECK(before <= 50); // upper limit of responses from a bad version until it is detected
    for (int i = 0; i < 50; ++i)
        CHECK(fixture.sendRequest(onceRequest("after-" + std::to_string(i))).head.status == 200);
    CHECK(newer.requests.size() == before);
}

TEST_CASE("gateway process: a version stays rolled back when the store comes back from a copy that lacks its order")
{
    single_replica_fixture fixture;
    scripted_replica newer(fixture.loop, "r2", [](const received_request &request) {
        return replica_script{responseText(500, idOf(request), "bad")};
    });
    fixture.registerReplica(newer, "v2");
    fixture.store.takeCopy();
    const auto writeOrder = [&fixture] {
        fixture.store.put("rollouts", "s", {{"service", "s"}, {"target", "v2"}, {"duration_s", 6}});
    };
    writeOrder();
    int requestCount = 0;
    const auto serve = [&] {
        CHECK(fixture.sendRequest(onceRequest("id-" + std::to_string(++requestCount))).head.status >= 200);
    };
    REQUIRE(fixture.runUntil([&] {
        serve();
        return rolloutState(fixture) == "rolled_back";
    }));
    const auto before = newer.requests.size();
    fixture.store.setState(store_state::silent);
    fixture.store.rewind();
    fixture.store.setState(store_state::serving);
    REQUIRE(fixture.waitForLog("store_rewound", ""));
    fixture.runFor(300ms); // the host knows that the order is missing
    writeOrder();
    REQUIRE(fixture.runUntil([&] {
        serve();
        return rolloutState(fixture) == "rolled_back";
    }));
    CHECK(newer.requests.size() == before);
}

TEST_CASE("gateway process: a version whose streams stall is rolled back before any of them ends")
{
    single_replica_fixture fixture(
        {}, [](const received_request &request) { return replica_script{streamText(idOf(request), 1, 8)}; });
    const auto stall = [](const received_request &request) {
        return replica_script{.bytes = streamText(idOf(request), 1, 2, false)};
    };
    scripted_replica newer(fixture.loop, "r2", stall);
    scripted_replica another(fixture.loop, "r3", stall);
    fixture.registerReplica(newer, "v2");
    fixture.registerReplica(another, "v2");
    fixture.store.put("rollouts", "s", {{"service", "s"}, {"target", "v2"}, {"duration_s", 6}});
    std::vector<std::unique_ptr<scripted_caller>> callers;
    REQUIRE(fixture.runUntil([&] {
        callers.push_back(std::make_unique<scripted_caller>(fixture.loop, fixture.callerPort));
        callers.back()->send(requestText("POST", "/stream/x", "id-" + std::to_string(callers.size())));
        fixture.runFor(10ms);
        return rolloutState(fixture) == "rolled_back";
    }));
    CHECK(fixture.waitForLog("rollout_decision", "\"verdict\":\"rejected\""));
    CHECK_FALSE(fixture.hasLogged("\"status\":504", "request_end"));
}

TEST_CASE("gateway process: a graceful stop completes requests in flight and fails the readiness check")
{
    single_replica_fixture fixture({}, [](const received_request &request) {
        return replica_script{.bytes = responseText(200, idOf(request), "late"), .delay = 1500ms};
    });
    scripted_caller caller(fixture.loop, fixture.callerPort);
    caller.send(onceRequest("id-1"));
    REQUIRE(fixture.runUntil([&] { return fixture.replica.requests.size() == 1; }));
    fixture.signal(SIGTERM);
    REQUIRE(fixture.runUntil([&] { return fixture.readiness() != 200; }));
    CHECK(fixture.waitExit() == 0);
    CHECK(fixture.runUntil([&] { return !caller.responses.empty() && caller.responses[0].isComplete; }));
    CHECK(caller.responses[0].head.status == 200);
    CHECK(fixture.hasLogged("\"event\":\"stop_begun\"", "connections"));
}

TEST_CASE("gateway process: serves requests after a kill and restart, and keeps serving after a reload signal")
{
    single_replica_fixture fixture;
    CHECK(fixture.sendRequest(onceRequest("id-1")).head.status == 200);
    fixture.process().kill();
    CHECK_FALSE(fixture.sendRequest(onceRequest("id-2")).isComplete);
    REQUIRE(fixture.startReady());
    CHECK(fixture.sendRequest(onceRequest("id-3")).head.status == 200);
    fixture.signal(SIGHUP);
    REQUIRE(fixture.waitForLog("\"event\":\"reload\"", "settings"));
    CHECK(fixture.sendRequest(onceRequest("id-4")).head.status == 200);
}

TEST_CASE("gateway process: an invalid setting ends the process with an error that names the field")
{
    gateway_process gateway("retry_ratio = many\n");
    gateway.start();
    CHECK(gateway.waitExit().value_or(0) != 0);
    CHECK(gateway.hasLogged("gateway/retry_ratio", ""));
}

TEST_CASE("gateway process: logs and metrics state how a stream was framed and whether it ended inside an event")
{
    single_replica_fixture fixture({}, [](const received_request &request) {
        return replica_script{.bytes = "HTTP/1.1 200 OK\r\nFoxtaildyke-Request-Id: " + idOf(request)
                                  + "\r\nFoxtaildyke-Server-Stamp: s\r\n\r\n" + eventsText(1, 2) + "id: 3\nda",
                              .resets = true};
    });
    (void)fixture.sendRequest(requestText("POST", "/stream/x", "id-1"));
    CHECK(fixture.waitForLog("\"event\":\"attempt_failed\",\"request_id\":\"id-1\"",
                             "\"framing\":\"connection_end\",\"events\":2,\"unfinished_bytes\":8"));
    CHECK(fixture.metrics().find(
              "foxtaildyke_gateway_stream_ends_total{framing=\"connection_end\",inside_event=\"true\",")
          != std::string::npos);
}
