// Sessions with the gateway's program over loopback: what callers, replicas and the store see of it.
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

replica_script echoAnswer(const received_request &request)
{
    return {responseText(200, idOf(request), "whole body")};
}

std::string once(const std::string &id)
{
    return requestText("POST", "/once/x", id, {}, "the body");
}

std::string safe(const std::string &id)
{
    return requestText("GET", "/safe/x", id);
}

/// @returns the recorded state of the roll-out of service "s", or empty.
std::string rolloutState(const gateway_process &gateway)
{
    const auto status = gateway.store.statusOf("rollouts", "s");
    return status.is_object() ? status.value("state", "") : std::string();
}

/// A started gateway with a configuration and one replica.
struct small_site : gateway_process {
    explicit small_site(const std::string &settings = {}, scripted_replica::script answer = echoAnswer)
        : gateway_process(settings)
        , replica(loop, "r1", std::move(answer))
    {
        publish(1);
        registerReplica(replica);
        REQUIRE(startReady());
    }

    scripted_replica replica;
};

} // namespace

TEST_CASE("gateway process: it takes requests once it knows configuration and replicas")
{
    gateway_process gateway;
    scripted_replica replica(gateway.loop, "r1", echoAnswer);
    gateway.store.setState(store_state::refusing);
    gateway.start();
    REQUIRE(gateway.waitForLog("store_lost", "config"));
    CHECK(gateway.readiness() == 503);
    CHECK(gateway.sendRequest(safe("early")).head.status == 503); // not 401 or 404: it knows no route and no key
    gateway.publish(1);
    gateway.registerReplica(replica);
    gateway.store.setState(store_state::serving);
    REQUIRE(gateway.runUntil([&] { return gateway.readiness() == 200; }));
    const auto answer = gateway.sendRequest(once("id-1"));
    CHECK(answer.head.status == 200);
    CHECK(answer.body == "whole body");
    CHECK(replica.requests.size() == 1);
    CHECK(gateway.waitForLog("\"request_id\":\"id-1\"", "\"event\":\"request_end\""));
    CHECK(gateway.metrics().find("account") == std::string::npos); // no label per caller
    CHECK(gateway.metrics().find("status=\"200\"") != std::string::npos);
}

TEST_CASE("gateway process: bad requests get the status that says what is wrong with them")
{
    small_site site;
    CHECK(site.sendRequest(requestText("GET", "/none/x", "id-1")).head.status == 404);
    CHECK(site.sendRequest("GET /safe/x HTTP/1.1\r\nHost: h.example\r\nFoxtaildyke-Request-Id: i\r\n\r\n").head.status
          == 401);
    CHECK(site.sendRequest("GET /safe/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key-1\r\n\r\n").head.status
          == 400);
    CHECK(site.sendRequest("not HTTP\r\n\r\n").head.status == 400);
    CHECK(site.sendRequest(requestText("GET", "/safe/x", "id-2", "X: " + std::string(5000, 'x') + "\r\n")).head.status
          == 431);
    CHECK(site.sendRequest(requestText("POST", "/once/x", "id-3", {}, std::string(100'001, 'x'))).head.status == 413);
    CHECK(site.sendRequest("GET /safe/x HTTP/1.1\r\nHost: h.exa").head.status == 408); // its head never ends
    CHECK(site.replica.requests.empty());
}

TEST_CASE("gateway process: bodies in chunks, ambiguous bodies, and the longest prefix of the host")
{
    small_site site;
    const std::string head = "POST /once/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key-1\r\n";
    CHECK(site.sendRequest(head
                           + "Foxtaildyke-Request-Id: id-1\r\nTransfer-Encoding: "
                             "chunked\r\n\r\n4\r\nfour\r\n3\r\nand\r\n0\r\n\r\n")
              .head.status
          == 200);
    REQUIRE(site.replica.requests.size() == 1);
    CHECK(site.replica.requests[0].body == "fourand");
    CHECK(site.sendRequest(
                  head
                  + "Foxtaildyke-Request-Id: id-2\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
              .head.status
          == 400);
    CHECK(site.sendRequest("POST /once/x HTTP/1.1\r\nHost: other.example\r\nAuthorization: Bearer key-1\r\n"
                           "Foxtaildyke-Request-Id: id-3\r\nContent-Length: 0\r\n\r\n")
              .head.status
          == 404);
    CHECK(site.sendRequest(requestText("POST", "/once", "id-4")).head.status == 404); // the prefix ends with a slash
    CHECK(site.replica.requests.size() == 1);
}

TEST_CASE("gateway process: events are passed on as they arrive, and a client's own words for the system are dropped")
{
    small_site site({}, [](const received_request &request) {
        return replica_script{.bytes = streamText(idOf(request), 1, 3, false)};
    });
    scripted_caller caller(site.loop, site.callerPort);
    caller.send(requestText("POST", "/stream/x", "id-1",
                            "Foxtaildyke-Tenant: forged\r\nKv-From: 10.0.0.1:1/7\r\nFoxtaildyke-Retention: 3\r\n"));
    CHECK(site.runUntil([&] { return !caller.responses.empty() && caller.responses[0].body == eventsText(1, 3); }));
    CHECK_FALSE(caller.responses[0].isComplete);
    const auto &seen = site.replica.requests.at(0).head;
    CHECK(seen.header("Foxtaildyke-Tenant") == "account-1");
    CHECK(seen.header("Kv-From").empty());
    CHECK(seen.header("Foxtaildyke-Retention").empty());
    CHECK(seen.header("Authorization").empty());
}

TEST_CASE("gateway process: an answer before the body was read is passed on, and its connection isn't mixed up")
{
    small_site site({}, echoAnswer);
    site.replica.respondsAfterHead = true;
    const std::string body(60'000, 'x');
    CHECK(site.sendRequest(requestText("POST", "/once/x", "id-1", {}, body)).body == "whole body");
    CHECK(site.sendRequest(requestText("POST", "/once/x", "id-2", {}, body)).body == "whole body");
    // Each request that arrived whole is one that was sent.
    for (const auto &request : site.replica.requests) {
        CHECK(request.head.target == "/once/x");
        CHECK(request.body == body);
    }
}

TEST_CASE("gateway process: a caller that reads slowly slows the replica down, and gets everything")
{
    constexpr int kEvents = 300'000; // 9 MB on the wire; the sockets between hold a few MB
    small_site site(
        {}, [](const received_request &request) { return replica_script{streamText(idOf(request), 1, kEvents)}; });
    scripted_caller caller(site.loop, site.callerPort);
    caller.setReading(false);
    caller.send(requestText("POST", "/stream/x", "id-1"));
    REQUIRE(site.runUntil([&] { return site.replica.requests.size() == 1; }));
    site.runFor(1s);
    CHECK(site.replica.pendingBytes() > 0);
    caller.setReading(true);
    REQUIRE(site.runUntil([&] { return !caller.responses.empty() && caller.responses[0].isComplete; }));
    CHECK(caller.responses[0].body == eventsText(1, kEvents));
}

TEST_CASE("gateway process: connections of replicas are kept as long as they say, and not longer")
{
    std::string headers;
    small_site site({}, [&](const received_request &request) {
        return replica_script{responseText(200, idOf(request), "whole body", headers)};
    });
    int asked = 0;
    // With a kept connection, and with one that the replica closes after the answer.
    for (const std::string next :
         {"", "Keep-Alive: timeout=5\r\n", "Connection: close\r\n", "Keep-Alive: timeout=1\r\n"}) {
        headers = next;
        for (int i = 0; i < 3; ++i)
            CHECK(site.sendRequest(once("id-" + std::to_string(++asked))).head.status == 200);
    }
    CHECK(site.replica.requests.size() == 12);
}

TEST_CASE("gateway process: pages, lost history and entries of other writers")
{
    gateway_process gateway;
    gateway.store.pageItems = 2;
    gateway.publish(1);
    std::vector<std::unique_ptr<scripted_replica>> replicas;
    for (int i = 1; i <= 5; ++i) {
        replicas.push_back(std::make_unique<scripted_replica>(gateway.loop, "r" + std::to_string(i), echoAnswer));
        gateway.registerReplica(*replicas.back());
    }
    gateway.store.put("servers", "r0", {{"service", 7}, {"address", "nowhere"}});
    gateway.store.put("servers", "r6", {{"service", "s"}, {"address", "127.0.0.1:1"}, {"state", "asleep"}});
    REQUIRE(gateway.startReady());
    CHECK(gateway.waitForLog("replicas_listed", "\"count\":5"));
    CHECK(gateway.waitForLog("replica_unusable", "r6"));
    for (int i = 0; i < 40; ++i)
        CHECK(gateway.sendRequest(once("id-" + std::to_string(i))).head.status == 200);
    CHECK(std::ranges::all_of(replicas, [](const auto &replica) { return !replica->requests.empty(); }));

    gateway.store.remove("servers", "r1");
    gateway.store.discardHistory();
    REQUIRE(gateway.waitForLog("store_history_gone", "servers"));
    REQUIRE(gateway.runUntil([&] { return gateway.metrics().find("replicas 4") != std::string::npos; }));
    const auto before = replicas[0]->requests.size();
    for (int i = 40; i < 60; ++i)
        CHECK(gateway.sendRequest(once("id-" + std::to_string(i))).head.status == 200);
    CHECK(replicas[0]->requests.size() == before);
}

TEST_CASE("gateway process: a configuration is in force without a restart, and never goes back")
{
    small_site site;
    CHECK(site.sendRequest(safe("id-1")).head.status == 200);
    site.publishWithoutSafe(5);
    REQUIRE(site.waitForLog("config_in_force", "\"generation\":5"));
    CHECK(site.sendRequest(safe("id-2")).head.status == 404);
    site.publish(3);
    site.runFor(600ms);
    CHECK(site.sendRequest(safe("id-3")).head.status == 404);
    CHECK(site.sendRequest(once("id-4")).head.status == 200);
}

TEST_CASE("gateway process: a key that was withdrawn while the process stood still opens nothing")
{
    small_site site("key_lease_ms = 1000\n");
    CHECK(site.sendRequest(once("id-1")).head.status == 200);
    site.signal(SIGSTOP);
    site.publish(2, {"key-2"});
    site.store.setState(store_state::silent);
    site.runFor(1200ms); // longer than the lease
    site.signal(SIGCONT);
    CHECK(site.sendRequest(once("id-2")).head.status == 503); // it can't know whether the key still holds
    CHECK(site.readiness() == 503);
    site.store.setState(store_state::serving);
    // The answer that had come before the process stood still brings the version, but no lease.
    REQUIRE(site.waitForLog("config_in_force", "\"generation\":2"));
    REQUIRE(site.runUntil([&] { return site.readiness() == 200; }));
    CHECK(site.sendRequest(once("id-3")).head.status == 401);
    CHECK(site.replica.requests.size() == 1);
}

TEST_CASE("gateway process: requests go on while the store is away, in each way in which it is")
{
    for (const auto mood : {store_state::refusing, store_state::limiting, store_state::dropping, store_state::silent}) {
        small_site site;
        site.store.setState(mood);
        REQUIRE(site.waitForLog("store_lost", "servers"));
        CHECK(site.sendRequest(once("id-1")).head.status == 200);
        site.store.setState(store_state::serving);
        CHECK(site.waitForLog("store_regained", "servers"));
    }
}

TEST_CASE("gateway process: an answer is whole or visibly broken")
{
    replica_script next;
    small_site site({}, [&](const received_request &) { return next; });
    next = {.bytes = "HTTP/1.1 200 OK\r\nFoxtaildyke-Server-Stamp: s\r\nContent-Length: 50\r\n\r\ncut", .closes = true};
    CHECK(site.sendRequest(once("id-1")).head.status == 502);
    next = {.bytes = "HTTP/1.1 200 OK\r\nFoxtaildyke-Server-Stamp: s\r\n\r\nno length", .resets = true};
    CHECK(site.sendRequest(once("id-2")).head.status == 502);
    next = {.bytes = "HTTP/1.1 200 OK\r\nFoxtaildyke-Server-Stamp: s\r\n\r\nno length", .closes = true};
    const auto unsized = site.sendRequest(once("id-3"));
    CHECK(unsized.head.status == 200);
    CHECK(unsized.body == "no length");
    next = {.bytes = responseText(200, "id-0", "of another request") + responseText(200, "id-4", "mine")};
    CHECK(site.sendRequest(once("id-4")).body == "mine");
    next = {.bytes = responseText(200, "id-5", "mine") + "bytes that belong to nothing"};
    CHECK(site.sendRequest(once("id-5")).body == "mine");
    next = {.bytes = responseText(200, "id-6", "after them")};
    CHECK(site.sendRequest(once("id-6")).body == "after them");
    next = {.bytes = responseText(200, "id-7", "packed", "Content-Encoding: gzip\r\n")};
    CHECK(site.sendRequest(once("id-7")).head.status == 502);
}

TEST_CASE("gateway process: what may be sent again after a replica failed")
{
    replica_script next;
    small_site site({}, [&](const received_request &) { return next; });
    next = {.bytes = "", .resets = true};
    CHECK(site.sendRequest(once("id-1")).head.status == 502);
    CHECK(site.replica.requests.size() == 1); // it may have run
    CHECK(site.sendRequest(safe("id-2")).head.status == 502);
    CHECK(site.replica.requests.size() == 3);
    next = {.bytes = notRunText()};
    const auto refused = site.sendRequest(once("id-3"));
    CHECK(refused.head.status == 503);
    CHECK_FALSE(refused.head.header("Retry-After").empty());
    CHECK(site.replica.requests.size() == 5);
}

TEST_CASE("gateway process: a stream goes on at another replica, and a replica comes back under its id elsewhere")
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
    const auto answer = gateway.sendRequest(requestText("POST", "/stream/x", "id-1"));
    CHECK(answer.isComplete);
    CHECK(answer.body == eventsText(1, 9));

    one.reset();
    scripted_replica again(gateway.loop, "r1", echoAnswer);
    gateway.registerReplica(again, "v1", "ready", 1'700'000'009'000);
    gateway.store.remove("servers", "r2");
    REQUIRE(gateway.waitForLog("replica_removed", "r2"));
    CHECK(gateway.sendRequest(once("id-2")).head.status == 200);
    CHECK(again.requests.size() == 1);
}

TEST_CASE("gateway process: a replica that says it leaves gets nothing more")
{
    small_site site;
    scripted_replica other(site.loop, "r2", echoAnswer);
    site.registerReplica(other);
    site.registerReplica(site.replica, "v1", "draining");
    REQUIRE(site.waitForLog("replica_changed", "\"draining\":true"));
    for (int i = 0; i < 10; ++i)
        CHECK(site.sendRequest(once("id-" + std::to_string(i))).head.status == 200);
    CHECK(site.replica.requests.empty());
    CHECK(other.requests.size() == 10);
}

TEST_CASE("gateway process: the replica learns at once that the caller has left")
{
    small_site site({}, [](const received_request &) { return replica_script{.bytes = "", .delay = 30s}; });
    scripted_caller caller(site.loop, site.callerPort);
    caller.send(requestText("POST", "/stream/x", "id-1"));
    REQUIRE(site.runUntil([&] { return site.replica.requests.size() == 1; }));
    caller.close();
    CHECK(site.runUntil([&] { return site.replica.connectionsLost == 1; }));
    CHECK(site.waitForLog("\"request_id\":\"id-1\"", "caller_gone"));
}

TEST_CASE("gateway process: low confidence is answered by the largest model, before the caller sees anything")
{
    small_site site({}, [](const received_request &request) {
        const bool isSmall = request.head.header("Foxtaildyke-Model") == "small";
        const std::string confidence = isSmall ? "20" : "90";
        return replica_script{.bytes = streamText(idOf(request), 1, isSmall ? 1 : 2, !isSmall,
                                                  "Foxtaildyke-Confidence: " + confidence + "\r\n")};
    });
    for (int i = 0; i < 3; ++i) // requests that give the budget room for a repeat
        CHECK(site.sendRequest(requestText("POST", "/stream/x", "id-" + std::to_string(i))).isComplete);
    CHECK(site.sendRequest(requestText("POST", "/sized/x", "id-9", "Foxtaildyke-Model: *\r\n")).body
          == eventsText(1, 2));
    CHECK(site.replica.requests.back().head.header("Foxtaildyke-Model") == "large");
}

TEST_CASE("gateway process: repeats of failures stay within the budget")
{
    gateway_process gateway("retry_ratio = 0.2\n");
    scripted_replica replica(gateway.loop, "r1",
                             [](const received_request &) { return replica_script{.bytes = "", .resets = true}; });
    gateway.publish(1);
    gateway.registerReplica(replica);
    REQUIRE(gateway.startReady());
    constexpr int kRequests = 60;
    for (int i = 0; i < kRequests; ++i)
        gateway.sendRequest(safe("id-" + std::to_string(i)));
    // 0.2 of the requests and a sixteenth of the slack of 160.
    CHECK(replica.requests.size() > kRequests);
    CHECK(replica.requests.size() <= kRequests + 12 + 10);
}

TEST_CASE("gateway process: a roll-out is carried out and recorded, whatever becomes of the writes")
{
    for (const auto writeOutcome : {write_outcome::answered, write_outcome::response_lost, write_outcome::late}) {
        small_site site;
        scripted_replica newer(site.loop, "r2", echoAnswer);
        site.store.writeOutcome = writeOutcome;
        site.registerReplica(newer, "v2");
        site.store.put("rollouts", "s", {{"service", "s"}, {"target", "v2"}, {"duration_s", 6}});
        CHECK(site.runUntil([&] {
            site.sendRequest(once("id"));
            return rolloutState(site) != "ordered" && !newer.requests.empty();
        }));
    }
}

TEST_CASE("gateway process: a version that fails is rolled back, and gets nothing more")
{
    small_site site;
    scripted_replica newer(site.loop, "r2", [](const received_request &request) {
        return replica_script{responseText(500, idOf(request), "bad")};
    });
    site.registerReplica(newer, "v2");
    site.store.put("rollouts", "s", {{"service", "s"}, {"target", "v2"}, {"duration_s", 6}});
    int asked = 0;
    REQUIRE(site.runUntil([&] {
        site.sendRequest(once("id-" + std::to_string(++asked)));
        return rolloutState(site) == "rolled_back";
    }));
    REQUIRE(site.waitForLog("rollout_state", "rolled_back"));
    const auto before = newer.requests.size();
    CHECK(before <= 50); // answers of a bad version within which it must be found out
    for (int i = 0; i < 50; ++i)
        CHECK(site.sendRequest(once("after-" + std::to_string(i))).head.status == 200);
    CHECK(newer.requests.size() == before);
}

TEST_CASE("gateway process: a planned stop ends what has begun and takes nothing new")
{
    small_site site({}, [](const received_request &request) {
        return replica_script{.bytes = responseText(200, idOf(request), "late"), .delay = 1500ms};
    });
    scripted_caller caller(site.loop, site.callerPort);
    caller.send(once("id-1"));
    REQUIRE(site.runUntil([&] { return site.replica.requests.size() == 1; }));
    site.signal(SIGTERM);
    REQUIRE(site.runUntil([&] { return site.readiness() != 200; }));
    CHECK(site.waitExit() == 0);
    CHECK(site.runUntil([&] { return !caller.responses.empty() && caller.responses[0].isComplete; }));
    CHECK(caller.responses[0].head.status == 200);
    CHECK(site.hasLogged("\"event\":\"stop_begun\"", "connections"));
}

TEST_CASE("gateway process: after a kill it serves again, and a changed settings file doesn't disturb it")
{
    small_site site;
    CHECK(site.sendRequest(once("id-1")).head.status == 200);
    site.process().kill();
    CHECK_FALSE(site.sendRequest(once("id-2")).isComplete);
    REQUIRE(site.startReady());
    CHECK(site.sendRequest(once("id-3")).head.status == 200);
    site.signal(SIGHUP);
    REQUIRE(site.waitForLog("\"event\":\"reload\"", "settings"));
    CHECK(site.sendRequest(once("id-4")).head.status == 200);
}

TEST_CASE("gateway process: settings that can't be used are refused with the field's name")
{
    gateway_process gateway("retry_ratio = many\n");
    gateway.start();
    CHECK(gateway.waitExit().value_or(0) != 0);
    CHECK(gateway.hasLogged("gateway/retry_ratio", ""));
}
