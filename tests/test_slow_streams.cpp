// Streams that are slow but go on, and streams that stall or never complete an event. The timeout of the route ends a
// stream, whatever its replica or its caller does until then; nothing ends it earlier.
#include "gateway_harness.h"

using namespace foxtaildyke;
using namespace std::chrono_literals;

namespace
{

constexpr auto kTimeout = 1500ms;
const std::string kLastChunk = "0\r\n\r\n";

/// One stream from a replica that sends its first event at once and the given pieces after it.
struct slow_stream : gateway_harness {
    slow_stream(const std::vector<std::string> &pieces, std::chrono::milliseconds interval)
        : replica(loop, "r1", [=](const received_request &request) {
            const auto id = std::string(request.head.header("Foxtaildyke-Request-Id"));
            return replica_script{.bytes = streamText(id, 1, 1, false), .later = pieces, .laterDelay = interval};
        })
    {
        auto config = makeConfig();
        for (auto &route : config->routes)
            route.timeout = kTimeout;
        publish(config);
        publishReplicas({replica.entry("s")});
    }

    /// @returns the response when it has ended.
    received_response run()
    {
        caller.send(requestText("POST", "/stream/x", "id-1"));
        REQUIRE(runUntil([this] { return hasEnded(); }));
        return caller.responses.empty() ? received_response{} : caller.responses[0];
    }

    [[nodiscard]] bool hasEnded() const
    {
        return caller.isClosed || (!caller.responses.empty() && caller.responses[0].isComplete);
    }

    scripted_replica replica;
    scripted_caller caller{loop, task.callerPort()};
};

/// @returns the bytes of a text, each as a chunk of its own.
std::vector<std::string> byteChunks(const std::string &text)
{
    std::vector<std::string> chunks;
    std::ranges::transform(text, std::back_inserter(chunks), [](char byte) { return chunkText(std::string(1, byte)); });
    return chunks;
}

} // namespace

TEST_CASE("slow stream: pauses up to the timeout of the route don't end it")
{
    slow_stream net({chunkText(eventsText(2, 2)), chunkText(eventsText(3, 3)) + kLastChunk}, 500ms);
    const auto response = net.run();
    CHECK(response.isComplete);
    CHECK(response.body == eventsText(1, 3));
    CHECK(net.replica.requests.size() == 1);
}

TEST_CASE("slow stream: events that arrive a byte at a time are forwarded whole")
{
    auto pieces = byteChunks(eventsText(2, 3));
    pieces.push_back(kLastChunk);
    slow_stream net(pieces, 10ms);
    const auto response = net.run();
    CHECK(response.isComplete);
    CHECK(response.body == eventsText(1, 3));
}

TEST_CASE("slow stream: keep-alive comments between events change nothing")
{
    std::vector<std::string> pieces(6, chunkText(": keep-alive\n\n"));
    pieces.push_back(chunkText(eventsText(2, 2)) + kLastChunk);
    slow_stream net(pieces, 100ms);
    const auto response = net.run();
    CHECK(response.isComplete);
    CHECK(response.body.starts_with(eventsText(1, 1)));
    CHECK(response.body.ends_with(eventsText(2, 2)));
}

TEST_CASE("slow stream: the timeout of the route ends a stream that sends a byte or a comment now and then")
{
    const std::vector<std::string> bytes(1000, chunkText("x"));
    const std::vector<std::string> comments(1000, chunkText(": keep-alive\n\n"));
    for (const auto &pieces : {bytes, comments}) {
        slow_stream net(pieces, 20ms);
        const auto response = net.run();
        CHECK_FALSE(response.isComplete);
        CHECK(response.body.starts_with(eventsText(1, 1)));
        CHECK(response.body.find('x') == std::string::npos);
        // The replica is told at once.
        CHECK(net.runUntil([&] { return net.replica.openConnections() == 0; }));
        CHECK(net.replica.requests.size() == 1);
    }
}

TEST_CASE("slow stream: the timeout of the route ends a stream of a stalled replica to a caller that doesn't read")
{
    slow_stream net(std::vector<std::string>(1000, chunkText("x")), 20ms);
    net.caller.setReading(false);
    net.caller.send(requestText("POST", "/stream/x", "id-1"));
    REQUIRE(net.runUntil([&] { return net.replica.openConnections() == 1; }));
    CHECK(net.runUntil([&] { return net.replica.openConnections() == 0; }));
    net.caller.setReading(true);
    CHECK(net.runUntil([&] { return net.caller.isClosed; }));
    REQUIRE(net.caller.responses.size() == 1);
    CHECK_FALSE(net.caller.responses[0].isComplete);
}
