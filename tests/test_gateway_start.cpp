// Requests that reach a host which has just started and doesn't know the fleet yet.
#include "gateway_harness.h"

using namespace foxtaildyke;
using namespace std::chrono_literals;

namespace
{

replica_script respondOk(const received_request &request)
{
    return {.bytes = responseText(200, std::string(request.head.header("Foxtaildyke-Request-Id")), "ok")};
}

struct starting_host : gateway_harness {
    starting_host() { publishesRollouts = false; }

    scripted_replica replica{loop, "r1", respondOk};
    scripted_caller caller{loop, task.callerPort()};

    void publishAll()
    {
        publish(makeConfig());
        publishReplicas({replica.entry("s")});
        feed.listener->onRollouts({});
    }

    bool waitForResponses(std::size_t count)
    {
        return runUntil([&] { return caller.responses.size() == count && caller.responses.back().isComplete; });
    }
};

} // namespace

TEST_CASE("start: requests wait until the host knows configuration, replicas and roll-outs")
{
    starting_host net;
    net.caller.send(requestText("GET", "/safe/a", "id-1"));
    net.runFor(100ms);
    CHECK(net.caller.responses.empty());
    net.publish(gateway_harness::makeConfig());
    net.publishReplicas({net.replica.entry("s")});
    net.runFor(100ms);
    // The replica may have a version that a roll-out has rolled back.
    CHECK(net.caller.responses.empty());
    CHECK(net.replica.requests.empty());
    net.feed.listener->onRollouts({});
    REQUIRE(net.waitForResponses(1));
    CHECK(net.caller.responses[0].head.status == 200);
    CHECK(net.replica.requests.size() == 1);
}

TEST_CASE("start: requests are rejected as not run if the host learns nothing in time, then at once")
{
    starting_host net;
    const auto sentAt = suspendAwareNow();
    net.caller.send(requestText("POST", "/once/a", "id-1"));
    REQUIRE(net.waitForResponses(1));
    CHECK(net.caller.responses[0].head.status == 503);
    CHECK_FALSE(net.caller.responses[0].head.header("Retry-After").empty());
    CHECK(suspendAwareNow() - sentAt >= 1s); // a quarter of its time is more than the host waits
    net.caller.send(requestText("POST", "/once/b", "id-2"));
    REQUIRE(net.waitForResponses(2));
    CHECK(net.caller.responses[1].head.status == 503);
    net.publishAll();
    net.runFor(100ms);
    CHECK(net.caller.responses.size() == 2);
    CHECK(net.replica.requests.empty());
}

TEST_CASE("start: a request waits for a quarter of its time at most, and only shortly after the start")
{
    const start_queue queue(10s);
    CHECK(queue.waitTime(10s, 20s) == start_queue::kMaxWait);
    CHECK(queue.waitTime(10s, 2s) == 500ms);
    CHECK(queue.waitTime(10s + start_queue::kMaxWait - 200ms, 20s) == 200ms);
    CHECK(queue.waitTime(10s + start_queue::kMaxWait, 20s) == 0ms);
    CHECK(queue.waitTime(90s, 20s) == 0ms);
    CHECK(queue.waitTime(10s, 0s) == 0ms);
}

TEST_CASE("start: a request whose caller has left isn't sent")
{
    starting_host net;
    net.caller.send(requestText("GET", "/safe/a", "id-1"));
    scripted_caller other(net.loop, net.task.callerPort());
    other.send(requestText("GET", "/safe/b", "id-2"));
    net.runFor(50ms);
    other.close();
    net.runFor(50ms);
    net.publishAll();
    REQUIRE(net.waitForResponses(1));
    net.runFor(50ms);
    REQUIRE(net.replica.requests.size() == 1);
    CHECK(net.replica.requests[0].head.target == "/safe/a");
}

TEST_CASE("start: a request that was rejected isn't sent afterwards, while its connection is being closed")
{
    starting_host net;
    net.caller.send(requestText("GET", "/safe/a", "id-1", "Connection: close\r\n"));
    REQUIRE(net.waitForResponses(1));
    CHECK(net.caller.responses[0].head.status == 503);
    net.publishAll();
    net.runFor(100ms);
    CHECK(net.replica.requests.empty());
}

TEST_CASE("start: a planned stop answers the requests that wait")
{
    starting_host net;
    net.caller.send(requestText("GET", "/safe/a", "id-1"));
    net.runFor(50ms);
    net.task.stop();
    net.publishAll();
    REQUIRE(net.waitForResponses(1));
    CHECK(net.caller.responses[0].head.status == 200);
}
