// Replicas that send bytes without end: the gateway ends such an attempt at a limit, long before the deadline.
#include "gateway_harness.h"

using namespace foxtaildyke;

namespace
{

constexpr std::size_t kMiB = 1U << 20U;
const std::string kStampedHead = "HTTP/1.1 200 OK\r\nFoxtaildyke-Request-Id: id1\r\nFoxtaildyke-Server-Stamp: s\r\n";

/// A gateway with one replica that sends the given bytes and neither ends the response nor closes the connection.
struct endless_response : gateway_harness {
    explicit endless_response(std::string endlessBytes)
        : bytes(std::move(endlessBytes))
    {
        auto config = makeConfig();
        for (auto &route : config->routes)
            route.timeout = std::chrono::seconds{15};
        config->routes[2].isResumable = false;
        publish(config);
        publishReplicas({replica.entry("s")});
    }

    /// @returns the status of the response to a request.
    int statusOf(const std::string &target)
    {
        scripted_caller caller(loop, task.callerPort());
        caller.send(requestText("POST", target, "id1"));
        REQUIRE(runUntil([&] { return !caller.responses.empty() && caller.responses[0].isComplete; }));
        return caller.responses[0].head.status;
    }

    std::string bytes;
    scripted_replica replica{loop, "r1", [this](const received_request &) {
                                 return replica_script{bytes};
                             }};
};

} // namespace

TEST_CASE("endless response: a head without end")
{
    endless_response endless("HTTP/1.1 200 OK\r\nX-Filler: " + std::string(kMiB, 'x'));
    CHECK(endless.statusOf("/once/x") == 502);
}

TEST_CASE("endless response: heads of interim responses without end")
{
    std::string bytes;
    for (int i = 0; i < 1000; ++i)
        bytes += "HTTP/1.1 100 Continue\r\n\r\n";
    endless_response endless(bytes);
    CHECK(endless.statusOf("/once/x") == 502);
}

TEST_CASE("endless response: a body without end, with and without a length")
{
    for (const std::string framing : {"", "Content-Length: 1000000000000\r\n"}) {
        CAPTURE(framing);
        endless_response endless(kStampedHead + framing + "\r\n" + std::string(17 * kMiB, 'x'));
        CHECK(endless.statusOf("/once/x") == 502);
    }
}

TEST_CASE("endless response: an event without end")
{
    endless_response endless(kStampedHead + "\r\ndata: " + std::string(2 * kMiB, 'x'));
    CHECK(endless.statusOf("/stream/x") == 502);
}

TEST_CASE("endless response: a response to another request without end")
{
    endless_response endless("HTTP/1.1 200 OK\r\nFoxtaildyke-Request-Id: other\r\n\r\n" + std::string(17 * kMiB, 'x'));
    CHECK(endless.statusOf("/once/x") == 502);
}

TEST_CASE("endless response: calls of the HTTP client end at their limits")
{
    for (const bool isInHead : {true, false}) {
        CAPTURE(isInHead);
        endless_response endless(kStampedHead + (isInHead ? "X-Filler: " : "\r\n") + std::string(17 * kMiB, 'x'));
        http_client client(endless.loop);
        http_request call;
        call.endpoint = endless.replica.entry("s").address;
        call.target = "/load";
        call.timeout = std::chrono::seconds{15};
        std::optional<http_end> end;
        client.start(call, {[&end](const http_response &response) { end = response.end; }, {}});
        REQUIRE(endless.runUntil([&] { return end.has_value(); }));
        CHECK(*end == http_end::broken);
    }
}

TEST_CASE("endless response: unfinished bodies of many requests stay within the memory of the host")
{
    constexpr int kRequests = 8;
    endless_response endless(kStampedHead + "\r\n" + std::string(12 * kMiB, 'x'));
    std::vector<std::unique_ptr<scripted_caller>> callers;
    for (int i = 0; i < kRequests; ++i) {
        callers.push_back(std::make_unique<scripted_caller>(endless.loop, endless.task.callerPort()));
        callers.back()->send(requestText("POST", "/once/x", "id1"));
    }
    // At most 5 of 8 bodies of 12 MiB fit into 64 MiB.
    const auto failed = [&] {
        return std::ranges::count_if(callers, [](const auto &caller) { return !caller->responses.empty(); });
    };
    REQUIRE(endless.runUntil([&] { return failed() >= 3; }));
    for (const auto &caller : callers)
        CHECK((caller->responses.empty() || caller->responses[0].head.status == 502));
}
