// End-to-end tests of the gateway in one process over loopback sockets, as observed by callers and replicas.
#include "gateway_harness.h"

using namespace foxtaildyke;

namespace
{

replica_script echoResponse(const received_request &request)
{
    return {responseText(200, std::string(request.head.header("Foxtaildyke-Request-Id")), "whole body")};
}

bool hasCompleteResponses(const scripted_caller &caller, std::size_t count)
{
    return caller.responses.size() >= count && caller.responses[count - 1].isComplete;
}

/// A gateway with one replica that never responds.
struct silent_replica_fixture : gateway_harness {
    silent_replica_fixture()
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

TEST_CASE("gateway: request and response are forwarded unchanged")
{
    gateway_harness harness;
    scripted_replica replica(harness.loop, "r1", echoResponse);
    harness.publish(gateway_harness::makeConfig());
    harness.publishReplicas({replica.entry("s")});
    scripted_caller caller(harness.loop, harness.task.callerPort());
    caller.send(requestText("POST", "/once/a%20b?c=d&e", "id1",
                            "X-Own: kept\r\nFoxtaildyke-Pin-Ms: 99\r\nFoxtaildyke-Tenant: forged\r\n"
                            "Kv-From: 10.0.0.1:1/other\r\nFoxtaildyke-Kv-Backup: 10.0.0.1:1\r\n"
                            "Foxtaildyke-Retention: 1\r\n",
                            "the body"));
    REQUIRE(harness.runUntil([&] { return hasCompleteResponses(caller, 1); }));
    CHECK(caller.responses[0].head.status == 200);
    CHECK(caller.responses[0].body == "whole body");
    CHECK(caller.responses[0].head.header("Foxtaildyke-Server-Stamp") == "stamp");
    REQUIRE(replica.requests.size() == 1);
    const auto &forwarded = replica.requests[0];
    CHECK(forwarded.head.method == "POST");
    CHECK(forwarded.head.target == "/once/a%20b?c=d&e");
    CHECK(forwarded.body == "the body");
    CHECK(forwarded.head.header("X-Own") == "kept");
    CHECK(forwarded.head.header("Foxtaildyke-Tenant") == "account-1");
    CHECK(forwarded.head.header("Foxtaildyke-Expect-Replica") == "r1");
    for (const std::string_view reserved :
         {"Foxtaildyke-Pin-Ms", "Kv-From", "Foxtaildyke-Kv-Backup", "Foxtaildyke-Retention"})
        CHECK(forwarded.head.header(reserved).empty());
    CHECK(forwarded.head.header("Authorization").empty());
}

TEST_CASE("gateway: invalid requests are refused without reaching a replica")
{
    gateway_harness harness;
    scripted_replica replica(harness.loop, "r1", echoResponse);
    scripted_caller early(harness.loop, harness.task.callerPort());
    early.send(requestText("GET", "/safe/x", "id0"));
    REQUIRE(harness.runUntil([&] { return hasCompleteResponses(early, 1); }));
    CHECK(early.responses[0].head.status == 503); // no configuration has been received yet
    CHECK_FALSE(early.responses[0].head.header("Retry-After").empty());

    harness.publish(gateway_harness::makeConfig());
    harness.publishReplicas({replica.entry("s")});
    struct refusal_case {
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
         {refusal_case{requestText("GET", "/none/x", "id1"), 404}, refusal_case{wrongKey, 401}, refusal_case{noId, 400},
          refusal_case{twoLengths, 400}, refusal_case{smuggled, 400}, refusal_case{longHead, 431},
          refusal_case{longBody, 413}, refusal_case{"no request at all\r\n\r\n", 400}}) {
        scripted_caller caller(harness.loop, harness.task.callerPort());
        INFO(entry.request.substr(0, 60));
        caller.send(entry.request);
        REQUIRE(harness.runUntil([&] { return hasCompleteResponses(caller, 1); }));
        CHECK(caller.responses[0].head.status == entry.status);
    }
    CHECK(replica.requests.empty());
}

TEST_CASE("gateway: an at-most-once request is retried only if it has certainly not run")
{
    gateway_harness harness;
    std::vector<replica_script> scripts;
    scripted_replica one(harness.loop, "r1", [&](const received_request &) { return scripts.back(); });
    harness.publish(gateway_harness::makeConfig());
    harness.publishReplicas({one.entry("s")});

    scripts.push_back({.bytes = "", .resets = true});
    scripted_caller lost(harness.loop, harness.task.callerPort());
    lost.send(requestText("POST", "/once/x", "id1"));
    REQUIRE(harness.runUntil([&] { return hasCompleteResponses(lost, 1); }));
    CHECK(lost.responses[0].head.status == 502); // the request may have run
    CHECK(one.requests.size() == 1);

    scripts.push_back({.bytes = notRunText()});
    scripted_caller shed(harness.loop, harness.task.callerPort());
    shed.send(requestText("POST", "/once/x", "id2"));
    REQUIRE(harness.runUntil([&] { return hasCompleteResponses(shed, 1); }));
    CHECK(shed.responses[0].head.status == 503);
    CHECK_FALSE(shed.responses[0].head.header("Retry-After").empty());
    CHECK(one.requests.size() == 3); // the second attempt is allowed because the first has not run
}

TEST_CASE("gateway: a 503 without the replica's statement that the request has not run is not forwarded as such")
{
    gateway_harness harness;
    scripted_replica replica(harness.loop, "r1",
                             [](const received_request &) { return replica_script{responseText(503, "id1", "")}; });
    harness.publish(gateway_harness::makeConfig());
    harness.publishReplicas({replica.entry("s")});
    scripted_caller caller(harness.loop, harness.task.callerPort());
    caller.send(requestText("POST", "/once/x", "id1"));
    REQUIRE(harness.runUntil([&] { return hasCompleteResponses(caller, 1); }));
    CHECK(caller.responses[0].head.status == 502);
    CHECK(replica.requests.size() == 1);
}

TEST_CASE("gateway: an invalid response never reaches the caller as a success")
{
    gateway_harness harness;
    std::string bytes;
    bool closes = false;
    bool resets = false;
    scripted_replica replica(harness.loop, "r1", [&](const received_request &) {
        return replica_script{.bytes = bytes, .closes = closes, .resets = resets};
    });
    harness.publish(gateway_harness::makeConfig());
    harness.publishReplicas({replica.entry("s")});
    const auto statusOf = [&](const std::string &id) {
        scripted_caller caller(harness.loop, harness.task.callerPort());
        caller.send(requestText("POST", "/once/x", id));
        REQUIRE(harness.runUntil([&] { return hasCompleteResponses(caller, 1); }));
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

TEST_CASE("gateway: a replica's failure is passed on with its status, body and stamp")
{
    gateway_harness harness;
    scripted_replica replica(harness.loop, "r1", [](const received_request &request) {
        const std::string id(request.head.header("Foxtaildyke-Request-Id"));
        return replica_script{responseText(id == "id1" ? 500 : 404, id, "what went wrong")};
    });
    harness.publish(gateway_harness::makeConfig());
    harness.publishReplicas({replica.entry("s")});
    scripted_caller caller(harness.loop, harness.task.callerPort());
    std::size_t sent = 0;
    for (const auto &[id, status] : {std::pair{"id1", 500}, std::pair{"id2", 404}}) {
        caller.send(requestText("POST", "/once/x", id));
        ++sent;
        REQUIRE(harness.runUntil([&] { return hasCompleteResponses(caller, sent); }));
        const auto &response = caller.responses.back();
        CHECK(response.head.status == status);
        CHECK(response.body == "what went wrong");
        CHECK(response.head.header("Foxtaildyke-Server-Stamp") == "stamp");
    }
}

TEST_CASE("gateway: a failure of the gateway's own never carries a replica's stamp")
{
    gateway_harness harness;
    std::string bytes;
    scripted_replica replica(harness.loop, "r1",
                             [&](const received_request &) { return replica_script{.bytes = bytes, .closes = true}; });
    harness.publish(gateway_harness::makeConfig());
    harness.publishReplicas({replica.entry("s")});
    for (const auto &[target, response, status] :
         {std::tuple{"/once/x", responseText(503, "id1", "busy"), 502},
          std::tuple{"/once/x", responseText(200, "id1", "zip", "Content-Encoding: gzip\r\n"), 502},
          std::tuple{"/once/x", responseText(200, "id1", "whole").substr(0, 100), 502},
          std::tuple{"/stream/x", streamText("id1", 1, 0, false), 502}}) {
        bytes = response;
        scripted_caller caller(harness.loop, harness.task.callerPort());
        caller.send(requestText("POST", target, "id1"));
        REQUIRE(harness.runUntil([&] { return hasCompleteResponses(caller, 1); }));
        CHECK(caller.responses[0].head.status == status);
        CHECK(caller.responses[0].head.header("Foxtaildyke-Server-Stamp").empty());
    }
}

TEST_CASE("gateway: bytes after a response are never taken for the response to the next request")
{
    gateway_harness harness;
    int requests = 0;
    scripted_replica replica(harness.loop, "r1", [&](const received_request &) {
        // The extra response carries no id, so only its position shows that it belongs to no request.
        const std::string extra = "HTTP/1.1 200 OK\r\nFoxtaildyke-Server-Stamp: s\r\nContent-Length: 5\r\n\r\nextra";
        return replica_script{responseText(200, "id" + std::to_string(++requests), "own") + extra};
    });
    harness.publish(gateway_harness::makeConfig());
    harness.publishReplicas({replica.entry("s")});
    scripted_caller caller(harness.loop, harness.task.callerPort());
    for (std::size_t i = 1; i <= 3; ++i) {
        caller.send(requestText("POST", "/once/x", "id" + std::to_string(i)));
        REQUIRE(harness.runUntil([&] { return hasCompleteResponses(caller, i); }));
        harness.runFor(std::chrono::milliseconds(20));
        CHECK(caller.responses.size() == i);
        CHECK(caller.responses[i - 1].body == "own");
    }
}

TEST_CASE("gateway: a response to another request on a persistent connection is skipped")
{
    gateway_harness harness;
    scripted_replica replica(harness.loop, "r1", [](const received_request &request) {
        const std::string id(request.head.header("Foxtaildyke-Request-Id"));
        return replica_script{responseText(200, "another", "not yours") + responseText(200, id, "yours")};
    });
    harness.publish(gateway_harness::makeConfig());
    harness.publishReplicas({replica.entry("s")});
    scripted_caller caller(harness.loop, harness.task.callerPort());
    caller.send(requestText("POST", "/once/x", "id1"));
    REQUIRE(harness.runUntil([&] { return hasCompleteResponses(caller, 1); }));
    CHECK(caller.responses[0].body == "yours");
}

TEST_CASE("gateway: an interim response before the final one is skipped")
{
    gateway_harness harness;
    scripted_replica replica(harness.loop, "r1", [](const received_request &) {
        return replica_script{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                              + responseText(200, "id1", "final")};
    });
    harness.publish(gateway_harness::makeConfig());
    harness.publishReplicas({replica.entry("s")});
    scripted_caller caller(harness.loop, harness.task.callerPort());
    caller.send(requestText("POST", "/once/x", "id1"));
    REQUIRE(harness.runUntil([&] { return hasCompleteResponses(caller, 1); }));
    CHECK(caller.responses[0].head.status == 200);
    CHECK(caller.responses[0].body == "final");
}

TEST_CASE("gateway: an interrupted stream resumes at another replica without missing or duplicate events")
{
    gateway_harness harness;
    // Each replica but the last sends three events and part of a fourth, then resets the connection.
    const auto script = [](const received_request &request) {
        const auto after = request.head.header("Last-Event-Id");
        const int first = after.empty() ? 1 : std::stoi(std::string(after)) + 1;
        if (first > 6)
            return replica_script{streamText("id1", first, 9)};
        return replica_script{.bytes = streamText("id1", first, first + 2, false) + "5\r\nid: 9\r\n", .resets = true};
    };
    scripted_replica one(harness.loop, "r1", script);
    scripted_replica two(harness.loop, "r2", script);
    scripted_replica three(harness.loop, "r3", script);
    harness.publish(gateway_harness::makeConfig());
    harness.publishReplicas({one.entry("s"), two.entry("s"), three.entry("s")});
    scripted_caller caller(harness.loop, harness.task.callerPort());
    caller.send(requestText("POST", "/stream/x", "id1"));
    REQUIRE(harness.runUntil([&] { return hasCompleteResponses(caller, 1); }));
    CHECK(caller.responses[0].body == eventsText(1, 9));
    CHECK(one.requests.size() + two.requests.size() + three.requests.size() == 3);
}

TEST_CASE("gateway: an interrupted stream isn't resumed by another version while its own one has a replica")
{
    gateway_harness harness;
    scripted_replica newer(harness.loop, "r-new", [](const received_request &request) {
        const bool isResumed = !request.head.header("Last-Event-Id").empty();
        if (isResumed)
            return replica_script{streamText("id1", 4, 6)};
        return replica_script{.bytes = streamText("id1", 1, 3, false), .resets = true};
    });
    scripted_replica older(harness.loop, "r-old",
                           [](const received_request &) { return replica_script{streamText("id1", 4, 6)}; });
    harness.publish(gateway_harness::makeConfig());
    harness.publishesRollouts = false;
    harness.feed.listener->onRollouts({{"s", "v2", std::chrono::seconds{20}, rollout_state::completed, 0, 8, 8, {}}});
    harness.publishReplicas({newer.entry("s", "v2"), older.entry("s", "v1")});
    scripted_caller caller(harness.loop, harness.task.callerPort());
    caller.send(requestText("POST", "/stream/x", "id1"));
    REQUIRE(harness.runUntil([&] { return hasCompleteResponses(caller, 1); }));
    CHECK(caller.responses[0].body == eventsText(1, 6));
    CHECK(newer.requests.size() == 2);
    CHECK(older.requests.empty());
}

TEST_CASE("gateway: a stream that can't be resumed ends as incomplete")
{
    gateway_harness harness;
    scripted_replica replica(harness.loop, "r1", [](const received_request &) {
        return replica_script{.bytes = streamText("id1", 1, 3, false), .resets = true};
    });
    auto config = gateway_harness::makeConfig();
    config->routes[2].isResumable = false;
    harness.publish(config);
    harness.publishReplicas({replica.entry("s")});
    scripted_caller caller(harness.loop, harness.task.callerPort());
    caller.send(requestText("POST", "/stream/x", "id1"));
    REQUIRE(harness.runUntil([&] { return caller.isClosed; }));
    REQUIRE(caller.responses.size() == 1);
    CHECK_FALSE(caller.responses[0].isComplete);
    CHECK(replica.requests.size() == 1);
}

TEST_CASE("gateway: low confidence escalates the request to the largest model before the caller receives any event")
{
    gateway_harness harness;
    scripted_replica replica(harness.loop, "r1", [](const received_request &request) {
        const bool isSmall = request.head.header("Foxtaildyke-Model") == "small";
        const std::string confidence = isSmall ? "20" : "90";
        return replica_script{
            .bytes = streamText("id1", 1, isSmall ? 1 : 2, !isSmall, "Foxtaildyke-Confidence: " + confidence + "\r\n")};
    });
    harness.publish(gateway_harness::makeConfig());
    harness.publishReplicas({replica.entry("s")});
    scripted_caller caller(harness.loop, harness.task.callerPort());
    for (int i = 0; i < 3; ++i) // requests that raise the retry budget to allow an escalation
        caller.send(requestText("POST", "/stream/x", "id1"));
    REQUIRE(harness.runUntil([&] { return hasCompleteResponses(caller, 3); }));
    caller.send(requestText("POST", "/sized/x", "id1"));
    REQUIRE(harness.runUntil([&] { return hasCompleteResponses(caller, 4); }));
    CHECK(caller.responses[3].body == eventsText(1, 2));
    REQUIRE(replica.requests.size() == 5);
    CHECK(replica.requests[3].head.header("Foxtaildyke-Model") == "small");
    CHECK(replica.requests[4].head.header("Foxtaildyke-Model") == "large");
}

// Guards against requests that run twice because the first response is dropped for its low confidence.
TEST_CASE("gateway: a request that may run once starts with the largest model and keeps its response")
{
    for (const auto &[rule, isResumable] : {std::pair{retry_rule::at_most_once, false}, {retry_rule::stream, false}}) {
        for (const bool isWhole : {true, false}) {
            gateway_harness harness;
            scripted_replica replica(harness.loop, "r1", [isWhole](const received_request &) {
                auto bytes = streamText("id1", 1, 2, isWhole, "Foxtaildyke-Confidence: 0\r\n");
                return replica_script{.bytes = std::move(bytes), .resets = !isWhole};
            });
            auto config = gateway_harness::makeConfig();
            auto &route = config->routes.back(); // with three models
            route.retryRule = rule;
            route.isResumable = isResumable;
            route.models = {"small", "large"};
            harness.publish(config);
            harness.publishReplicas({replica.entry("s")});
            scripted_caller caller(harness.loop, harness.task.callerPort());
            caller.send(requestText("POST", "/sized/x", "id1"));
            REQUIRE(harness.runUntil([&] { return hasCompleteResponses(caller, 1) || caller.isClosed; }));
            REQUIRE(replica.requests.size() == 1);
            CHECK(replica.requests[0].head.header("Foxtaildyke-Model") == "large");
            REQUIRE(caller.responses.size() == 1);
            const bool isAnswered = caller.responses[0].isComplete && caller.responses[0].head.status == 200;
            CHECK(isAnswered == isWhole);
            if (isWhole)
                CHECK(caller.responses[0].body == eventsText(1, 2));
        }
    }
}

// Guards against a change of the configuration or a retry that lets such a request start with a smaller model.
TEST_CASE("gateway: a request that may run once is retried with the largest model where its first attempt hasn't run")
{
    gateway_harness harness;
    scripted_replica full(harness.loop, "r1", [](const received_request &) {
        return replica_script{.bytes = responseText(503, "id1", "", "Foxtaildyke-Not-Executed: 1\r\n")};
    });
    scripted_replica replica(harness.loop, "r2", [](const received_request &) {
        return replica_script{.bytes = streamText("id1", 1, 2, true, "Foxtaildyke-Confidence: 0\r\n")};
    });
    auto config = gateway_harness::makeConfig();
    config->routes.back().isResumable = false;
    harness.publish(config);
    harness.publishReplicas({full.entry("s"), replica.entry("s")});
    scripted_caller caller(harness.loop, harness.task.callerPort());
    for (std::size_t i = 1; i <= 6; ++i) {
        caller.send(requestText("POST", "/sized/x", "id1"));
        REQUIRE(harness.runUntil([&] { return hasCompleteResponses(caller, i); }));
        CHECK(caller.responses.back().body == eventsText(1, 2));
    }
    CHECK(replica.requests.size() == 6);
    const auto isLargest = [](const received_request &request) {
        return request.head.header("Foxtaildyke-Model") == "large";
    };
    CHECK(std::ranges::all_of(replica.requests, isLargest));
    CHECK(std::ranges::all_of(full.requests, isLargest));
}

// Guards against a caller that gets the beginning of a stream twice.
TEST_CASE("gateway: a stream whose events have no ids isn't continued by another replica")
{
    gateway_harness harness;
    scripted_replica replica(harness.loop, "r1", [](const received_request &) {
        return replica_script{.bytes = "HTTP/1.1 200 OK\r\nFoxtaildyke-Request-Id: id1\r\n"
                                       "Foxtaildyke-Server-Stamp: stamp\r\nContent-Type: text/event-stream\r\n"
                                       "Transfer-Encoding: chunked\r\n\r\n"
                                  + chunkText("data: piece\n\n"),
                              .resets = true};
    });
    harness.publish(gateway_harness::makeConfig());
    harness.publishReplicas({replica.entry("s")});
    scripted_caller caller(harness.loop, harness.task.callerPort());
    caller.send(requestText("POST", "/stream/x", "id1"));
    REQUIRE(harness.runUntil([&] { return caller.isClosed; }));
    CHECK(replica.requests.size() == 1);
    REQUIRE(caller.responses.size() == 1);
    CHECK(caller.responses[0].body == "data: piece\n\n");
    CHECK_FALSE(caller.responses[0].isComplete);
}

TEST_CASE("gateway: a request starts with the largest model if the retry budget leaves no escalation")
{
    auto settings = gateway_harness::makeSettings();
    settings.retrySlack = 0;
    gateway_harness harness(settings);
    scripted_replica replica(harness.loop, "r1", [](const received_request &request) {
        const bool isLarge = request.head.header("Foxtaildyke-Model") == "large";
        return replica_script{
            .bytes = streamText("id1", 1, 2, true,
                                std::string("Foxtaildyke-Confidence: ") + (isLarge ? "90" : "20") + "\r\n")};
    });
    harness.publish(gateway_harness::makeConfig());
    harness.publishReplicas({replica.entry("s")});
    scripted_caller caller(harness.loop, harness.task.callerPort());
    caller.send(requestText("POST", "/sized/x", "id1")); // 0.67 of a retry
    REQUIRE(harness.runUntil([&] { return hasCompleteResponses(caller, 1); }));
    caller.send(requestText("POST", "/sized/x", "id1"));
    REQUIRE(harness.runUntil([&] { return hasCompleteResponses(caller, 2); }));
    REQUIRE(replica.requests.size() == 3);
    CHECK(replica.requests[0].head.header("Foxtaildyke-Model") == "large");
    CHECK(replica.requests[1].head.header("Foxtaildyke-Model") == "small"); // escalated
    CHECK(replica.requests[2].head.header("Foxtaildyke-Model") == "large");
}

TEST_CASE("gateway: after failures that use up the retry budget, a request goes on with the largest model")
{
    auto settings = gateway_harness::makeSettings();
    settings.retrySlack = 32; // two retries after failures, or one escalation
    settings.retryRatio = 0;
    gateway_harness harness(settings);
    scripted_replica replica(harness.loop, "r1", [count = 0](const received_request &) mutable {
        if (++count == 1)
            return replica_script{.resets = true};
        return replica_script{.bytes = streamText("id1", 1, 2, true, "Foxtaildyke-Confidence: 20\r\n")};
    });
    harness.publish(gateway_harness::makeConfig());
    harness.publishReplicas({replica.entry("s")});
    scripted_caller caller(harness.loop, harness.task.callerPort());
    caller.send(requestText("POST", "/sized/x", "id1"));
    REQUIRE(harness.runUntil([&] { return hasCompleteResponses(caller, 1); }));
    REQUIRE(replica.requests.size() == 2);
    CHECK(replica.requests[0].head.header("Foxtaildyke-Model") == "small");
    CHECK(replica.requests[1].head.header("Foxtaildyke-Model") == "large");
}

TEST_CASE("gateway: the upstream request is cancelled at once when the caller disconnects")
{
    silent_replica_fixture fixture;
    fixture.caller.send(requestText("POST", "/stream/x", "id1"));
    REQUIRE(fixture.runUntil([&] { return fixture.replica.requests.size() == 1; }));
    fixture.caller.close();
    CHECK(fixture.runUntil([&] { return fixture.replica.connectionsLost == 1; }));
}

TEST_CASE("gateway: the route's timeout ends a request with 504 because it may have run")
{
    silent_replica_fixture fixture;
    fixture.caller.send(requestText("POST", "/once/x", "id1"));
    REQUIRE(fixture.runUntil([&] { return hasCompleteResponses(fixture.caller, 1); }));
    CHECK(fixture.caller.responses[0].head.status == 504);
}

TEST_CASE("gateway: keys are refused once the key lease on the configuration has expired")
{
    auto settings = gateway_harness::makeSettings();
    settings.keyLease = std::chrono::milliseconds{500};
    gateway_harness harness(settings);
    scripted_replica replica(harness.loop, "r1", echoResponse);
    auto config = gateway_harness::makeConfig();
    config->routes[0].isPublic = true;
    harness.publish(config);
    harness.publishReplicas({replica.entry("s")});
    harness.runFor(std::chrono::milliseconds(600));
    scripted_caller caller(harness.loop, harness.task.callerPort());
    caller.send(requestText("POST", "/once/x", "id1"));
    REQUIRE(harness.runUntil([&] { return hasCompleteResponses(caller, 1); }));
    CHECK(caller.responses[0].head.status == 503);
    caller.send(requestText("GET", "/safe/x", "id2")); // a public route needs no key
    REQUIRE(harness.runUntil([&] { return hasCompleteResponses(caller, 2); }));
    CHECK(caller.responses[1].head.status == 200);
    harness.feed.listener->onConfigConfirmed(suspendAwareNow());
    caller.send(requestText("POST", "/once/x", "id3"));
    REQUIRE(harness.runUntil([&] { return hasCompleteResponses(caller, 3); }));
    CHECK(caller.responses[2].head.status == 200);
}

TEST_CASE("gateway: a configuration is never replaced by an older one")
{
    gateway_harness harness;
    scripted_replica replica(harness.loop, "r1", echoResponse);
    auto newer = gateway_harness::makeConfig(7);
    newer->routes.erase(newer->routes.begin());
    harness.publish(newer);
    harness.publish(gateway_harness::makeConfig(3));
    harness.publishReplicas({replica.entry("s")});
    scripted_caller caller(harness.loop, harness.task.callerPort());
    caller.send(requestText("GET", "/safe/x", "id1"));
    REQUIRE(harness.runUntil([&] { return hasCompleteResponses(caller, 1); }));
    CHECK(caller.responses[0].head.status == 404);
}

TEST_CASE("gateway: a persistent connection is closed after a stream that began before the stop")
{
    gateway_harness harness;
    scripted_replica replica(harness.loop, "r1", [](const received_request &) {
        return replica_script{.bytes = streamText("id1", 1, 2), .delay = std::chrono::milliseconds(100)};
    });
    harness.publish(gateway_harness::makeConfig());
    harness.publishReplicas({replica.entry("s")});
    scripted_caller caller(harness.loop, harness.task.callerPort());
    caller.send(requestText("POST", "/stream/x", "id1"));
    REQUIRE(harness.runUntil([&] { return replica.requests.size() == 1; }));
    harness.task.stop();
    REQUIRE(harness.runUntil([&] { return caller.isClosed; }));
    REQUIRE(caller.responses.size() == 1);
    CHECK(caller.responses[0].isComplete);
}

TEST_CASE("gateway: a stop completes the request in flight, then ends the loop")
{
    gateway_harness harness;
    scripted_replica replica(harness.loop, "r1", [](const received_request &) {
        return replica_script{.bytes = responseText(200, "id1", "late"), .delay = std::chrono::milliseconds(700)};
    });
    harness.publish(gateway_harness::makeConfig());
    harness.publishReplicas({replica.entry("s")});
    scripted_caller caller(harness.loop, harness.task.callerPort());
    scripted_caller idle(harness.loop, harness.task.callerPort());
    caller.send(requestText("GET", "/safe/x", "id1"));
    REQUIRE(harness.runUntil([&] { return replica.requests.size() == 1; }));
    harness.task.stop();
    harness.loop.run();
    REQUIRE(hasCompleteResponses(caller, 1));
    CHECK(caller.responses[0].head.status == 200);
    CHECK(caller.responses[0].head.header("Connection") == "close");
}

TEST_CASE("gateway: the forwarded deadline is the remaining time of the caller's deadline and the route's timeout")
{
    gateway_harness harness;
    std::vector<int> deadlines;
    scripted_replica replica(harness.loop, "r1", [&](const received_request &request) {
        deadlines.push_back(std::stoi(std::string(request.head.header("Foxtaildyke-Deadline-Ms"))));
        return deadlines.size() == 1 ? replica_script{.bytes = notRunText(), .delay = std::chrono::milliseconds(300)}
                                     : replica_script{responseText(200, "id1", "")};
    });
    harness.publish(gateway_harness::makeConfig());
    harness.publishReplicas({replica.entry("s")});
    scripted_caller caller(harness.loop, harness.task.callerPort());
    caller.send(requestText("POST", "/once/x", "id1")); // deadline 5,000 ms; the route's timeout is 1,000 ms
    REQUIRE(harness.runUntil([&] { return hasCompleteResponses(caller, 1); }));
    REQUIRE(deadlines.size() == 2);
    CHECK(deadlines[0] <= 1000);
    CHECK(deadlines[1] <= 700);
}

TEST_CASE("gateway: a replica that responds as misdirected gets no further requests; the request is retried")
{
    gateway_harness harness;
    scripted_replica wrong(harness.loop, "r1",
                           [](const received_request &) { return replica_script{notRunText(421)}; });
    scripted_replica right(harness.loop, "r2", echoResponse);
    harness.publish(gateway_harness::makeConfig());
    harness.publishReplicas({wrong.entry("s"), right.entry("s")});
    scripted_caller caller(harness.loop, harness.task.callerPort());
    for (std::size_t i = 1; i <= 8; ++i) {
        caller.send(requestText("POST", "/once/x", "id" + std::to_string(i)));
        REQUIRE(harness.runUntil([&] { return hasCompleteResponses(caller, i); }));
        CHECK(caller.responses[i - 1].head.status == 200);
    }
    CHECK(wrong.requests.size() <= 1);
    CHECK(right.requests.size() == 8);
}

TEST_CASE("gateway: a resumed stream is aborted if the response is not a stream")
{
    gateway_harness harness;
    const auto script = [](const received_request &request) {
        if (request.head.header("Last-Event-Id").empty())
            return replica_script{.bytes = streamText("id1", 1, 3, false), .resets = true};
        return replica_script{responseText(404, "id1", "not a stream")};
    };
    scripted_replica one(harness.loop, "r1", script);
    scripted_replica two(harness.loop, "r2", script);
    harness.publish(gateway_harness::makeConfig());
    harness.publishReplicas({one.entry("s"), two.entry("s")});
    scripted_caller caller(harness.loop, harness.task.callerPort());
    caller.send(requestText("POST", "/stream/x", "id1"));
    REQUIRE(harness.runUntil([&] { return caller.isClosed || caller.hasMalformed(); }));
    CHECK_FALSE(caller.hasMalformed());
    REQUIRE(caller.responses.size() == 1);
    CHECK_FALSE(caller.responses[0].isComplete);
    CHECK(caller.responses[0].body == eventsText(1, 3));
}
