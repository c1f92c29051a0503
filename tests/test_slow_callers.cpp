// Callers that read slowly, and callers that stop reading, send a byte now and then, or keep a connection without using
// it: which ones get their whole response, and which bound ends the others.
#include "gateway_harness.h"

using namespace foxtaildyke;
using namespace std::chrono_literals;

namespace
{

/// More than the socket buffers between gateway and caller hold, so that a part waits in the gateway.
constexpr std::size_t kLargeBody = 12U << 20U;

struct large_response : gateway_harness {
    large_response()
    {
        auto config = makeConfig();
        config->limits.idleTimeout = 600ms;
        publish(config);
        publishReplicas({replica.entry("s")});
    }

    void requestAndPause(const std::string &target, const std::string &moreHeaders, std::chrono::milliseconds pause)
    {
        caller.setReading(false);
        caller.send(requestText("GET", target, "id-1", moreHeaders));
        REQUIRE(runUntil([&] { return !replica.requests.empty() && !replica.hasOpenRequest(); }));
        runFor(pause);
        caller.setReading(true);
    }

    scripted_replica replica{loop, "r1", [](const received_request &request) {
                                 return replica_script{
                                     responseText(200, std::string(request.head.header("Foxtaildyke-Request-Id")),
                                                  std::string(kLargeBody, 'x'))};
                             }};
    scripted_caller caller{loop, task.callerPort()};
};

} // namespace

TEST_CASE("slow caller: a finished response is sent whole, also if the connection is closed after it")
{
    // The caller pauses for longer than it may linger after the response, and than a connection may be idle.
    for (const std::string header : {"", "Connection: close\r\n"}) {
        CAPTURE(header);
        large_response net;
        net.requestAndPause("/safe/x", header, 2s);
        REQUIRE(net.runUntil([&] {
            return net.caller.isClosed || (!net.caller.responses.empty() && net.caller.responses[0].isComplete);
        }));
        REQUIRE(net.caller.responses.size() == 1);
        CHECK(net.caller.responses[0].isComplete);
        CHECK(net.caller.responses[0].body.size() == kLargeBody);
    }
}

TEST_CASE("slow caller: a planned stop sends the rest of a finished response")
{
    large_response net;
    net.requestAndPause("/safe/x", "", 100ms);
    net.caller.setReading(false);
    net.task.stop();
    net.runFor(4s); // beyond the moment at which idle connections are closed
    net.caller.setReading(true);
    net.loop.run();
    net.runFor(100ms);
    REQUIRE(net.caller.responses.size() == 1);
    CHECK(net.caller.responses[0].isComplete);
    CHECK(net.caller.responses[0].body.size() == kLargeBody);
}

TEST_CASE("slow caller: a head or body that arrives a byte at a time ends at its bound")
{
    large_response net;
    const auto text = requestText("POST", "/once/x", "id-1", "", std::string(2000, 'b'));
    for (const std::size_t begin : {std::size_t{0}, text.size() - 2000}) {
        scripted_caller slow(net.loop, net.task.callerPort());
        slow.send(text.substr(0, begin));
        std::size_t sent = begin;
        CHECK(net.runUntil([&] {
            slow.send(text.substr(sent++, 1));
            net.runFor(10ms);
            return sent == text.size() || !slow.responses.empty();
        }));
        REQUIRE(slow.responses.size() == 1);
        CHECK(slow.responses[0].head.status == 408);
        CHECK(sent < text.size());
    }
    CHECK(net.replica.requests.empty());
}
