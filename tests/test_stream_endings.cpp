// How the gateway ends a stream towards the caller for each way in which a replica's stream may end.
#include "gateway_harness.h"

using namespace foxtaildyke;

namespace
{

constexpr std::string_view kUnfinishedEvent = "id: 3\ndata: pie";

/// @returns a stamped response head of an event stream with the given framing header, if any.
std::string streamHead(const std::string &framing)
{
    return "HTTP/1.1 200 OK\r\nFoxtaildyke-Request-Id: id1\r\nFoxtaildyke-Server-Stamp: s\r\n"
           "Content-Type: text/event-stream\r\n"
        + framing + "\r\n";
}

/// @returns a stream whose framing is complete at the end of `body`; with connection_end, once the connection closes.
std::string framedStream(body_framing framing, const std::string &body)
{
    const auto size = body.size();
    if (framing == body_framing::length)
        return streamHead("Content-Length: " + std::to_string(size) + "\r\n") + body;
    if (framing == body_framing::connection_end)
        return streamHead({}) + body;
    std::array<char, 16> digits{};
    std::snprintf(digits.data(), digits.size(), "%zx", size);
    return streamHead("Transfer-Encoding: chunked\r\n") + digits.data() + "\r\n" + body + "\r\n0\r\n\r\n";
}

constexpr std::array kFramings{body_framing::length, body_framing::chunks, body_framing::connection_end};

/// A gateway with two replicas; the first attempt gets `first`, any further one the events after its Last-Event-Id.
struct interrupted_stream : gateway_harness {
    explicit interrupted_stream(replica_script first, bool isResumable = true)
        : script(std::move(first))
    {
        auto config = makeConfig();
        config->routes[2].isResumable = isResumable;
        publish(config);
        publishReplicas({one.entry("s"), two.entry("s")});
    }

    replica_script respond(const received_request &request)
    {
        if (++attempts == 1)
            return script;
        const auto after = request.head.header("Last-Event-Id");
        resumedAfter = std::string(after);
        const int next = after.empty() ? 1 : std::stoi(std::string(after)) + 1;
        return {streamText("id1", firstResumed.value_or(next), 4)};
    }

    /// Sends a request and runs until its response is complete or broken off.
    const received_response &request()
    {
        caller.send(requestText("POST", "/stream/x", "id1"));
        REQUIRE(runUntil(
            [this] { return caller.isClosed || (!caller.responses.empty() && caller.responses[0].isComplete); }));
        REQUIRE_FALSE(caller.responses.empty());
        return caller.responses[0];
    }

    replica_script script;
    int attempts = 0;
    std::optional<int> firstResumed; ///< first event of a resumed stream, if not the one after Last-Event-Id
    std::string resumedAfter;
    scripted_replica one{loop, "r1", [this](const received_request &request) {
                             return respond(request);
                         }};
    scripted_replica two{loop, "r2", [this](const received_request &request) {
                             return respond(request);
                         }};
    scripted_caller caller{loop, task.callerPort()};
};

} // namespace

TEST_CASE("stream ending: a stream that ends inside an event is resumed after its last whole event")
{
    for (const auto framing : kFramings) {
        CAPTURE(nameOf(framing));
        interrupted_stream stream(
            {.bytes = framedStream(framing, eventsText(1, 2) + std::string(kUnfinishedEvent)), .closes = true});
        const auto &response = stream.request();
        CHECK(response.isComplete);
        CHECK(response.body == eventsText(1, 4));
        CHECK(stream.resumedAfter == "2");
    }
}

TEST_CASE("stream ending: a stream that ends inside an event and can't be resumed isn't framed as complete")
{
    for (const auto framing : kFramings) {
        CAPTURE(nameOf(framing));
        interrupted_stream stream(
            {.bytes = framedStream(framing, eventsText(1, 2) + std::string(kUnfinishedEvent)), .closes = true}, false);
        const auto &response = stream.request();
        CHECK_FALSE(response.isComplete);
        CHECK(response.body == eventsText(1, 2));
        CHECK(stream.attempts == 1);
    }
}

TEST_CASE("stream ending: a stream that breaks off delivers all events received before")
{
    interrupted_stream stream({.bytes = streamText("id1", 1, 3, false) + "bad chunk size\r\n"}, false);
    const auto &response = stream.request();
    CHECK_FALSE(response.isComplete);
    CHECK(response.body == eventsText(1, 3));
}

TEST_CASE("stream ending: a stream that ends inside its first event is sent again or fails")
{
    for (const bool isResumable : {true, false}) {
        CAPTURE(isResumable);
        interrupted_stream stream(
            {.bytes = framedStream(body_framing::connection_end, std::string(kUnfinishedEvent)), .closes = true},
            isResumable);
        const auto &response = stream.request();
        CHECK(response.isComplete);
        CHECK(response.head.status == (isResumable ? 200 : 502));
        CHECK(response.body == (isResumable ? eventsText(1, 4) : std::string()));
    }
}

TEST_CASE("stream ending: a stream closed before its first event isn't an empty response")
{
    interrupted_stream stream({.bytes = framedStream(body_framing::connection_end, {}), .closes = true});
    const auto &response = stream.request();
    CHECK(response.isComplete);
    CHECK(response.body == eventsText(1, 4));
    CHECK(stream.attempts == 2);
}

TEST_CASE("stream ending: events that a resumed stream repeats reach the caller once")
{
    interrupted_stream stream({.bytes = streamText("id1", 1, 3, false), .closes = true});
    stream.firstResumed = 1;
    const auto &response = stream.request();
    CHECK(response.isComplete);
    CHECK(response.body == eventsText(1, 4));
    CHECK(stream.resumedAfter == "3");
}

TEST_CASE("stream ending: a whole stream is complete with each framing")
{
    for (const auto framing : kFramings) {
        CAPTURE(nameOf(framing));
        interrupted_stream stream({.bytes = framedStream(framing, eventsText(1, 4)), .closes = true});
        const auto &response = stream.request();
        CHECK(response.isComplete);
        CHECK(response.body == eventsText(1, 4));
        CHECK(stream.attempts == 1);
    }
}

TEST_CASE("stream ending: an unframed stream that is reset between two events is resumed")
{
    interrupted_stream stream(
        {.bytes = framedStream(body_framing::connection_end, eventsText(1, 2)), .closes = false, .resets = true});
    const auto &response = stream.request();
    CHECK(response.isComplete);
    CHECK(response.body == eventsText(1, 4));
    CHECK(stream.resumedAfter == "2");
}
