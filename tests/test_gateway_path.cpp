// Whole path of the gateway over loopback sockets: what callers and replicas see.
#include "gateway_harness.h"

using namespace foxtaildyke;

namespace
{

replica_script echoAnswer(const received_request &request)
{
    return {responseText(200, std::string(request.head.header("Foxtaildyke-Request-Id")), "whole body")};
}

bool hasWholeAnswers(const scripted_caller &caller, std::size_t count)
{
    return caller.responses.size() >= count && caller.responses[count - 1].isComplete;
}

/// A gateway before one replica that never answers.
struct silent_site : gateway_harness {
    silent_site()
    {
        publish(makeConfig());
        publishReplicas({replica.entry("s")});
    }

    scripted_replica replica{loop, "r1", [](const received_request &) {
                                 return replica_script{.bytes = "", .delay = std::chrono::seconds(30)};
                             }};
    scripted_caller caller{loop, task.callerPort()};
};

} // namespace

TEST_CASE("gateway: a request goes on unchanged, and its answer comes back unchanged")
{
    gateway_harness net;
    scripted_replica replica(net.loop, "r1", echoAnswer);
    net.publish(gateway_harness::makeConfig());
    net.publishReplicas({replica.entry("s")});
    scripted_caller caller(net.loop, net.task.callerPort());
    caller.send(requestText("POST", "/once/a%20b?c=d&e", "id1",
                            "X-Own: kept\r\nFoxtaildyke-Pin-Ms: 99\r\nFoxtaildyke-Tenant: forged\r\n", "the body"));
    REQUIRE(net.runUntil([&] { return hasWholeAnswers(caller, 1); }));
    CHECK(caller.responses[0].head.status == 200);
    CHECK(caller.responses[0].body == "whole body");
    CHECK(caller.responses[0].head.header("Foxtaildyke-Server-Stamp") == "stamp");
    REQUIRE(replica.requests.size() == 1);
    const auto &seen = replica.requests[0];
    CHECK(seen.head.method == "POST");
    CHECK(seen.head.target == "/once/a%20b?c=d&e");
    CHECK(seen.body == "the body");
    CHECK(seen.head.header("X-Own") == "kept");
    CHECK(seen.head.header("Foxtaildyke-Tenant") == "account-1");
    CHECK(seen.head.header("Foxtaildyke-Expect-Replica") == "r1");
    CHECK(seen.head.header("Foxtaildyke-Pin-Ms").empty());
    CHECK(seen.head.header("Authorization").empty());
}

TEST_CASE("gateway: what is refused before a replica sees it")
{
    gateway_harness net;
    scripted_replica replica(net.loop, "r1", echoAnswer);
    scripted_caller early(net.loop, net.task.callerPort());
    early.send(requestText("GET", "/safe/x", "id0"));
    REQUIRE(net.runUntil([&] { return hasWholeAnswers(early, 1); }));
    CHECK(early.responses[0].head.status == 503); // no configuration is known yet
    CHECK_FALSE(early.responses[0].head.header("Retry-After").empty());

    net.publish(gateway_harness::makeConfig());
    net.publishReplicas({replica.entry("s")});
    struct refused {
        std::string request;
        int status;
    };
    const std::string wrongKey = "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nFoxtaildyke-Request-Id: id2\r\n"
                                 "Authorization: Bearer no\r\n\r\n";
    const std::string noId = "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key-1\r\n\r\n";
    const std::string twoLengths = "POST /once/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 3\r\n"
                                   "Content-Length: 4\r\n\r\nabcd";
    const std::string smuggled = "POST /once/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 3\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    const std::string longHead =
        "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nX: " + std::string(20000, 'x') + "\r\n\r\n";
    const std::string longBody = "POST /once/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 99999999\r\n\r\n";
    for (const auto &entry :
         {refused{requestText("GET", "/none/x", "id1"), 404}, refused{wrongKey, 401}, refused{noId, 400},
          refused{twoLengths, 400}, refused{smuggled, 400}, refused{longHead, 431}, refused{longBody, 413},
          refused{"no request at all\r\n\r\n", 400}}) {
        scripted_caller caller(net.loop, net.task.callerPort());
        INFO(entry.request.substr(0, 60));
        caller.send(entry.request);
        REQUIRE(net.runUntil([&] { return hasWholeAnswers(caller, 1); }));
        CHECK(caller.responses[0].head.status == entry.status);
    }
    CHECK(replica.requests.empty());
}

TEST_CASE("gateway: an at-most-once request is sent again only where it has certainly not run")
{
    gateway_harness net;
    std::vector<replica_script> first;
    scripted_replica one(net.loop, "r1", [&](const received_request &) { return first.back(); });
    net.publish(gateway_harness::makeConfig());
    net.publishReplicas({one.entry("s")});

    first.push_back({.bytes = "", .resets = true});
    scripted_caller lost(net.loop, net.task.callerPort());
    lost.send(requestText("POST", "/once/x", "id1"));
    REQUIRE(net.runUntil([&] { return hasWholeAnswers(lost, 1); }));
    CHECK(lost.responses[0].head.status == 502); // it may have run
    CHECK(one.requests.size() == 1);

    first.push_back({.bytes = notRunText()});
    scripted_caller shed(net.loop, net.task.callerPort());
    shed.send(requestText("POST", "/once/x", "id2"));
    REQUIRE(net.runUntil([&] { return hasWholeAnswers(shed, 1); }));
    CHECK(shed.responses[0].head.status == 503);
    CHECK_FALSE(shed.responses[0].head.header("Retry-After").empty());
    CHECK(one.requests.size() == 3); // the second try is allowed: the first has not run
}

TEST_CASE("gateway: a 503 of a replica that doesn't state that the request has not run is no promise")
{
    gateway_harness net;
    scripted_replica replica(net.loop, "r1",
                             [](const received_request &) { return replica_script{responseText(503, "id1", "")}; });
    net.publish(gateway_harness::makeConfig());
    net.publishReplicas({replica.entry("s")});
    scripted_caller caller(net.loop, net.task.callerPort());
    caller.send(requestText("POST", "/once/x", "id1"));
    REQUIRE(net.runUntil([&] { return hasWholeAnswers(caller, 1); }));
    CHECK(caller.responses[0].head.status == 502);
    CHECK(replica.requests.size() == 1);
}

TEST_CASE("gateway: answers that can't be trusted never reach the caller as a success")
{
    gateway_harness net;
    std::string bytes;
    bool closes = false;
    bool resets = false;
    scripted_replica replica(net.loop, "r1", [&](const received_request &) {
        return replica_script{.bytes = bytes, .closes = closes, .resets = resets};
    });
    net.publish(gateway_harness::makeConfig());
    net.publishReplicas({replica.entry("s")});
    const auto statusOf = [&](const std::string &id) {
        scripted_caller caller(net.loop, net.task.callerPort());
        caller.send(requestText("POST", "/once/x", id));
        REQUIRE(net.runUntil([&] { return hasWholeAnswers(caller, 1); }));
        return caller.responses[0].head.status;
    };
    bytes = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"; // without a stamp
    CHECK(statusOf("id1") == 502);
    bytes = responseText(200, "id2", "zip", "Content-Encoding: gzip\r\n");
    CHECK(statusOf("id2") == 502);
    bytes = "bytes that are no answer\r\n\r\n";
    CHECK(statusOf("id3") == 502);
    bytes = "HTTP/1.1 200 OK\r\nFoxtaildyke-Server-Stamp: s\r\nContent-Length: 50\r\n\r\ncut";
    closes = true;
    CHECK(statusOf("id4") == 502);
    bytes = "HTTP/1.1 200 OK\r\nFoxtaildyke-Server-Stamp: s\r\n\r\nwithout a length, then reset";
    closes = false;
    resets = true;
    CHECK(statusOf("id5") == 502);
    resets = false;
    closes = true;
    bytes = "HTTP/1.1 200 OK\r\nFoxtaildyke-Server-Stamp: s\r\n\r\nwithout a length, then closed";
    CHECK(statusOf("id6") == 200);
}

TEST_CASE("gateway: an answer of another request on a kept connection is skipped")
{
    gateway_harness net;
    scripted_replica replica(net.loop, "r1", [](const received_request &request) {
        const std::string id(request.head.header("Foxtaildyke-Request-Id"));
        return replica_script{responseText(200, "another", "not yours") + responseText(200, id, "yours")};
    });
    net.publish(gateway_harness::makeConfig());
    net.publishReplicas({replica.entry("s")});
    scripted_caller caller(net.loop, net.task.callerPort());
    caller.send(requestText("POST", "/once/x", "id1"));
    REQUIRE(net.runUntil([&] { return hasWholeAnswers(caller, 1); }));
    CHECK(caller.responses[0].body == "yours");
}

TEST_CASE("gateway: a stream that breaks goes on at another replica without a missing or doubled event")
{
    gateway_harness net;
    // Each replica sends three events and part of a fourth, and is reset, but for the last one.
    const auto script = [](const received_request &request) {
        const auto after = request.head.header("Last-Event-Id");
        const int first = after.empty() ? 1 : std::stoi(std::string(after)) + 1;
        if (first > 6)
            return replica_script{streamText("id1", first, 9)};
        return replica_script{.bytes = streamText("id1", first, first + 2, false) + "5\r\nid: 9\r\n", .resets = true};
    };
    scripted_replica one(net.loop, "r1", script);
    scripted_replica two(net.loop, "r2", script);
    scripted_replica three(net.loop, "r3", script);
    net.publish(gateway_harness::makeConfig());
    net.publishReplicas({one.entry("s"), two.entry("s"), three.entry("s")});
    scripted_caller caller(net.loop, net.task.callerPort());
    caller.send(requestText("POST", "/stream/x", "id1"));
    REQUIRE(net.runUntil([&] { return hasWholeAnswers(caller, 1); }));
    CHECK(caller.responses[0].body == eventsText(1, 9));
    CHECK(one.requests.size() + two.requests.size() + three.requests.size() == 3);
}

TEST_CASE("gateway: a stream that can't go on is visibly broken")
{
    gateway_harness net;
    scripted_replica replica(net.loop, "r1", [](const received_request &) {
        return replica_script{.bytes = streamText("id1", 1, 3, false), .resets = true};
    });
    auto config = gateway_harness::makeConfig();
    config->routes[2].isResumable = false;
    net.publish(config);
    net.publishReplicas({replica.entry("s")});
    scripted_caller caller(net.loop, net.task.callerPort());
    caller.send(requestText("POST", "/stream/x", "id1"));
    REQUIRE(net.runUntil([&] { return caller.isClosed; }));
    REQUIRE(caller.responses.size() == 1);
    CHECK_FALSE(caller.responses[0].isComplete);
    CHECK(replica.requests.size() == 1);
}

TEST_CASE("gateway: low confidence sends the request on to the largest model before the caller sees anything")
{
    gateway_harness net;
    scripted_replica replica(net.loop, "r1", [](const received_request &request) {
        const bool isSmall = request.head.header("Foxtaildyke-Model") == "small";
        const std::string confidence = isSmall ? "20" : "90";
        return replica_script{
            .bytes = streamText("id1", 1, isSmall ? 1 : 2, !isSmall, "Foxtaildyke-Confidence: " + confidence + "\r\n")};
    });
    net.publish(gateway_harness::makeConfig());
    net.publishReplicas({replica.entry("s")});
    scripted_caller caller(net.loop, net.task.callerPort());
    for (int i = 0; i < 3; ++i) // requests that give the budget room for an escalation
        caller.send(requestText("POST", "/stream/x", "id1"));
    REQUIRE(net.runUntil([&] { return hasWholeAnswers(caller, 3); }));
    caller.send(requestText("POST", "/sized/x", "id1"));
    REQUIRE(net.runUntil([&] { return hasWholeAnswers(caller, 4); }));
    CHECK(caller.responses[3].body == eventsText(1, 2));
    REQUIRE(replica.requests.size() == 5);
    CHECK(replica.requests[3].head.header("Foxtaildyke-Model") == "small");
    CHECK(replica.requests[4].head.header("Foxtaildyke-Model") == "large");
}

TEST_CASE("gateway: the replica is told at once when the caller leaves")
{
    silent_site site;
    site.caller.send(requestText("POST", "/stream/x", "id1"));
    REQUIRE(site.runUntil([&] { return site.replica.requests.size() == 1; }));
    site.caller.close();
    CHECK(site.runUntil([&] { return site.replica.connectionsLost == 1; }));
}

TEST_CASE("gateway: the route's timeout ends a request, with the truth about whether it ran")
{
    silent_site site;
    site.caller.send(requestText("POST", "/once/x", "id1"));
    REQUIRE(site.runUntil([&] { return hasWholeAnswers(site.caller, 1); }));
    CHECK(site.caller.responses[0].head.status == 504);
}

TEST_CASE("gateway: keys are refused once the configuration may be too old")
{
    auto settings = gateway_harness::makeSettings();
    settings.keyLease = std::chrono::milliseconds{500};
    gateway_harness net(settings);
    scripted_replica replica(net.loop, "r1", echoAnswer);
    auto config = gateway_harness::makeConfig();
    config->routes[0].isPublic = true;
    net.publish(config);
    net.publishReplicas({replica.entry("s")});
    net.runFor(std::chrono::milliseconds(600));
    scripted_caller caller(net.loop, net.task.callerPort());
    caller.send(requestText("POST", "/once/x", "id1"));
    REQUIRE(net.runUntil([&] { return hasWholeAnswers(caller, 1); }));
    CHECK(caller.responses[0].head.status == 503);
    caller.send(requestText("GET", "/safe/x", "id2")); // a public route needs no key
    REQUIRE(net.runUntil([&] { return hasWholeAnswers(caller, 2); }));
    CHECK(caller.responses[1].head.status == 200);
    net.feed.listener->onConfigConfirmed(suspendAwareNow());
    caller.send(requestText("POST", "/once/x", "id3"));
    REQUIRE(net.runUntil([&] { return hasWholeAnswers(caller, 3); }));
    CHECK(caller.responses[2].head.status == 200);
}

TEST_CASE("gateway: a configuration never goes back")
{
    gateway_harness net;
    scripted_replica replica(net.loop, "r1", echoAnswer);
    auto newer = gateway_harness::makeConfig(7);
    newer->routes.erase(newer->routes.begin());
    net.publish(newer);
    net.publish(gateway_harness::makeConfig(3));
    net.publishReplicas({replica.entry("s")});
    scripted_caller caller(net.loop, net.task.callerPort());
    caller.send(requestText("GET", "/safe/x", "id1"));
    REQUIRE(net.runUntil([&] { return hasWholeAnswers(caller, 1); }));
    CHECK(caller.responses[0].head.status == 404);
}

TEST_CASE("gateway: a kept connection is closed after a stream that began before the stop")
{
    gateway_harness net;
    scripted_replica replica(net.loop, "r1", [](const received_request &) {
        return replica_script{.bytes = streamText("id1", 1, 2), .delay = std::chrono::milliseconds(100)};
    });
    net.publish(gateway_harness::makeConfig());
    net.publishReplicas({replica.entry("s")});
    scripted_caller caller(net.loop, net.task.callerPort());
    caller.send(requestText("POST", "/stream/x", "id1"));
    REQUIRE(net.runUntil([&] { return replica.requests.size() == 1; }));
    net.task.stop();
    REQUIRE(net.runUntil([&] { return caller.isClosed; }));
    REQUIRE(caller.responses.size() == 1);
    CHECK(caller.responses[0].isComplete);
}

TEST_CASE("gateway: a stop lets the request in flight end, then ends the loop")
{
    gateway_harness net;
    scripted_replica replica(net.loop, "r1", [](const received_request &) {
        return replica_script{.bytes = responseText(200, "id1", "late"), .delay = std::chrono::milliseconds(700)};
    });
    net.publish(gateway_harness::makeConfig());
    net.publishReplicas({replica.entry("s")});
    scripted_caller caller(net.loop, net.task.callerPort());
    scripted_caller idle(net.loop, net.task.callerPort());
    caller.send(requestText("GET", "/safe/x", "id1"));
    REQUIRE(net.runUntil([&] { return replica.requests.size() == 1; }));
    net.task.stop();
    net.loop.run();
    REQUIRE(hasWholeAnswers(caller, 1));
    CHECK(caller.responses[0].head.status == 200);
    CHECK(caller.responses[0].head.header("Connection") == "close");
}

TEST_CASE("gateway: the deadline handed on is what is left of the caller's and the route's")
{
    gateway_harness net;
    std::vector<int> deadlines;
    scripted_replica replica(net.loop, "r1", [&](const received_request &request) {
        deadlines.push_back(std::stoi(std::string(request.head.header("Foxtaildyke-Deadline-Ms"))));
        return deadlines.size() == 1 ? replica_script{.bytes = notRunText(), .delay = std::chrono::milliseconds(300)}
                                     : replica_script{responseText(200, "id1", "")};
    });
    net.publish(gateway_harness::makeConfig());
    net.publishReplicas({replica.entry("s")});
    scripted_caller caller(net.loop, net.task.callerPort());
    caller.send(requestText("POST", "/once/x", "id1")); // waits for 5,000 ms; the route for 1,000 ms
    REQUIRE(net.runUntil([&] { return hasWholeAnswers(caller, 1); }));
    REQUIRE(deadlines.size() == 2);
    CHECK(deadlines[0] <= 1000);
    CHECK(deadlines[1] <= 700);
}

TEST_CASE("gateway: a replica that answers for another one at its address gets nothing more, and the request goes on")
{
    gateway_harness net;
    scripted_replica wrong(net.loop, "r1", [](const received_request &) { return replica_script{notRunText(421)}; });
    scripted_replica right(net.loop, "r2", echoAnswer);
    net.publish(gateway_harness::makeConfig());
    net.publishReplicas({wrong.entry("s"), right.entry("s")});
    scripted_caller caller(net.loop, net.task.callerPort());
    for (std::size_t i = 1; i <= 8; ++i) {
        caller.send(requestText("POST", "/once/x", "id" + std::to_string(i)));
        REQUIRE(net.runUntil([&] { return hasWholeAnswers(caller, i); }));
        CHECK(caller.responses[i - 1].head.status == 200);
    }
    CHECK(wrong.requests.size() <= 1);
    CHECK(right.requests.size() == 8);
}

TEST_CASE("gateway: a resumed stream that is answered with something else than a stream is cut off, not mixed")
{
    gateway_harness net;
    const auto script = [](const received_request &request) {
        if (request.head.header("Last-Event-Id").empty())
            return replica_script{.bytes = streamText("id1", 1, 3, false), .resets = true};
        return replica_script{responseText(404, "id1", "not a stream")};
    };
    scripted_replica one(net.loop, "r1", script);
    scripted_replica two(net.loop, "r2", script);
    net.publish(gateway_harness::makeConfig());
    net.publishReplicas({one.entry("s"), two.entry("s")});
    scripted_caller caller(net.loop, net.task.callerPort());
    caller.send(requestText("POST", "/stream/x", "id1"));
    REQUIRE(net.runUntil([&] { return caller.isClosed || caller.hasMalformed(); }));
    CHECK_FALSE(caller.hasMalformed());
    REQUIRE(caller.responses.size() == 1);
    CHECK_FALSE(caller.responses[0].isComplete);
    CHECK(caller.responses[0].body == eventsText(1, 3));
}
