// Replicas that send a second copy of a response, late, on a connection that may be in use again.
#include "gateway_harness.h"

using namespace foxtaildyke;
using namespace std::chrono_literals;

namespace
{

enum class copy_framing : std::uint8_t { length, chunks, interim, count };

std::string idOf(const received_request &request)
{
    return std::string(request.head.header("Foxtaildyke-Request-Id"));
}

/// @param id empty: the copy carries none.
std::string copyText(copy_framing framing, const std::string &id, const std::string &body)
{
    const std::string idLine = id.empty() ? std::string() : "Foxtaildyke-Request-Id: " + id + "\r\n";
    const std::string head = "HTTP/1.1 200 OK\r\n" + idLine + "Foxtaildyke-Server-Stamp: stamp\r\n";
    std::string sized = head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    if (framing == copy_framing::interim)
        return "HTTP/1.1 103 Early Hints\r\n" + idLine + "\r\n" + sized;
    if (framing == copy_framing::length)
        return sized;
    return head + "Transfer-Encoding: chunked\r\n\r\n" + std::to_string(body.size()) + "\r\n" + body + "\r\n0\r\n\r\n";
}

struct copying_replica : gateway_harness {
    /// Responds to the first request, and sends a copy of that response after `copyDelay`; responds to each later one
    /// after `responseDelay`.
    copying_replica(copy_framing framing, bool hasId, std::chrono::milliseconds copyDelay,
                    std::chrono::milliseconds responseDelay)
        : replica(loop, "r1", [=, count = 0](const received_request &request) mutable {
            const auto id = idOf(request);
            if (++count > 1)
                return replica_script{.bytes = responseText(200, id, "own"), .delay = responseDelay};
            return replica_script{.bytes = responseText(200, id, "first"),
                                  .later = {copyText(framing, hasId ? id : std::string(), "first")},
                                  .laterDelay = copyDelay};
        })
    {
        publish(makeConfig());
        publishReplicas({replica.entry("s")});
    }

    scripted_replica replica;
    scripted_caller caller{loop, task.callerPort()};
};

} // namespace

TEST_CASE("second copy: the next caller never gets a copy of an earlier response")
{
    for (std::size_t framing = 0; framing < static_cast<std::size_t>(copy_framing::count); ++framing)
        for (const bool hasId : {true, false})
            // The copy arrives while the connection is idle, or after the next request has been sent on it.
            for (const auto copyDelay : {0ms, 60ms})
                for (const std::string target : {"/once/x", "/safe/x"}) {
                    CAPTURE(framing);
                    CAPTURE(hasId);
                    CAPTURE(copyDelay.count());
                    CAPTURE(target);
                    copying_replica net(static_cast<copy_framing>(framing), hasId, copyDelay, 120ms);
                    net.caller.send(requestText("POST", target, "id-1"));
                    REQUIRE(net.runUntil([&] { return net.caller.responses.size() == 1; }));
                    net.runFor(20ms);
                    net.caller.send(requestText("POST", target, "id-2"));
                    REQUIRE(net.runUntil(
                        [&] { return net.caller.responses.size() == 2 && net.caller.responses[1].isComplete; }));
                    net.runFor(150ms);
                    CHECK(net.caller.responses.size() == 2);
                    const auto &response = net.caller.responses[1];
                    // A response without id can't be told from the request's own, so nothing may be claimed of it.
                    if (hasId || response.head.status == 200)
                        CHECK(response.body == "own");
                    else
                        CHECK(response.head.status == 502);
                    CHECK_FALSE(net.caller.hasMalformed());
                }
}

TEST_CASE("second copy: a rejection that is repeated late isn't taken for the response to the retry")
{
    gateway_harness net;
    // The only replica rejects the request, is asked again, and runs it. The copy of the rejection arrives meanwhile.
    scripted_replica replica(net.loop, "r1", [count = 0](const received_request &request) mutable {
        if (++count > 1)
            return replica_script{.bytes = responseText(200, idOf(request), "ran"), .delay = 80ms};
        const std::string rejection = responseText(503, idOf(request), "", "Foxtaildyke-Not-Executed: 1\r\n");
        return replica_script{.bytes = rejection, .later = {rejection}, .laterDelay = 40ms};
    });
    net.publish(gateway_harness::makeConfig());
    net.publishReplicas({replica.entry("s")});
    scripted_caller caller(net.loop, net.task.callerPort());
    caller.send(requestText("POST", "/once/x", "id-1"));
    REQUIRE(net.runUntil([&] { return caller.responses.size() == 1 && caller.responses[0].isComplete; }));
    REQUIRE(replica.requests.size() == 2);
    CHECK(caller.responses[0].head.status == 200);
    CHECK(caller.responses[0].body == "ran");
}

TEST_CASE("second copy: events of a stream's copy don't reach the next stream on the connection")
{
    for (const bool hasId : {true, false}) {
        CAPTURE(hasId);
        gateway_harness net;
        scripted_replica replica(net.loop, "r1", [hasId, count = 0](const received_request &request) mutable {
            const auto id = idOf(request);
            if (++count > 1)
                return replica_script{.bytes = streamText(id, 11, 13), .delay = 80ms};
            return replica_script{.bytes = streamText(id, 1, 3),
                                  .later = {streamText(hasId ? id : std::string(), 1, 3)},
                                  .laterDelay = 40ms};
        });
        net.publish(gateway_harness::makeConfig());
        net.publishReplicas({replica.entry("s")});
        scripted_caller caller(net.loop, net.task.callerPort());
        caller.send(requestText("POST", "/stream/x", "id-1"));
        REQUIRE(net.runUntil([&] { return caller.responses.size() == 1 && caller.responses[0].isComplete; }));
        net.runFor(10ms);
        caller.send(requestText("POST", "/stream/x", "id-2", "Last-Event-Id: 10\r\n"));
        REQUIRE(net.runUntil(
            [&] { return caller.responses.size() == 2 && (caller.responses[1].isComplete || caller.isClosed); }));
        CHECK(caller.responses[1].body.find("id: 1\n") == std::string::npos);
    }
}
