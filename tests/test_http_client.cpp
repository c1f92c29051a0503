// HTTP client: idle connections to replaced hosts must not accumulate, and endpoints must be IP addresses.
#include "gateway_harness.h"
#include "loopback_p.h"
#include "severable_link.h"

using namespace foxtaildyke;

TEST_CASE("idle connections are closed after their limit")
{
    loopback net;
    net.serve = [](const http_exchange_ptr &exchange) {
        exchange->respond(200, {});
    };
    http_client client(net.loop, std::chrono::milliseconds(40));
    http_request request;
    request.endpoint = net.endpoint;
    request.target = "/";
    std::size_t idleAfterResponse = 0;
    client.start(request,
                 {[&](const http_response &) {
                      idleAfterResponse = client.idleConnections();
                      net.loop.after(std::chrono::milliseconds(200), [&] { net.loop.stop(); });
                  },
                  {}});
    REQUIRE(net.run());
    CHECK(idleAfterResponse == 1);
    CHECK(client.idleConnections() == 0);
}

TEST_CASE("a call that is cancelled by another call's handler runs no handler")
{
    loopback net;
    net.serve = [](const http_exchange_ptr &exchange) {
        exchange->respond(200, "x");
    };
    http_request request;
    request.endpoint = net.endpoint;
    request.target = "/";
    // The call whose data arrives first cancels the other one; the order does not matter.
    std::array<http_call_id, 2> calls{};
    int parts = 0;
    int ends = 0;
    const auto start = [&](std::size_t own) {
        http_handlers handlers;
        handlers.onData = [&, own](int, std::string_view) {
            ++parts;
            net.client.cancel(calls[1 - own]);
        };
        handlers.onDone = [&](const http_response &) {
            ++ends;
            net.stopSoon();
        };
        return net.client.start(request, handlers);
    };
    calls = {start(0), start(1)};
    REQUIRE(net.run());
    CHECK(parts == 1);
    CHECK(ends == 1);
    CHECK(net.client.openCalls() == 0);
}

TEST_CASE("a call ends when its response makes no progress, or when the whole call takes too long")
{
    using namespace std::chrono_literals;
    struct timed_call {
        std::size_t parts = 0;
        std::chrono::milliseconds interval;
        http_end end;
    };
    // A response that goes on, one that stalls, and one that would never end.
    for (const auto &played : {timed_call{6, 100ms, http_end::complete}, timed_call{6, 800ms, http_end::timed_out},
                               timed_call{1000, 20ms, http_end::timed_out}}) {
        CAPTURE(played.parts);
        test_loop net;
        scripted_replica server(net.loop, "server", [&played](const received_request &) {
            return replica_script{.bytes =
                                      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(played.parts) + "\r\n\r\n",
                                  .later = std::vector<std::string>(played.parts, "x"),
                                  .laterDelay = played.interval};
        });
        http_client client(net.loop);
        http_request request;
        request.endpoint = server.entry("").address;
        request.target = "/";
        request.timeout = 2s;
        request.stallTimeout = 400ms;
        std::optional<http_response> response;
        http_handlers handlers;
        handlers.onDone = [&](const http_response &received) {
            response = received;
        };
        client.start(request, handlers);
        REQUIRE(net.runUntil([&] { return response.has_value(); }));
        CHECK(response->end == played.end);
        if (played.end == http_end::complete)
            CHECK(response->body == std::string(played.parts, 'x'));
    }
}

// Guards against a host that tries one dead connection after another, each for the whole timeout of a call.
TEST_CASE("after a call without a response, the next one opens a connection, as idle ones may be dead as well")
{
    constexpr std::size_t kIdle = 4;
    loopback net;
    severable_link link(net.loop, net.endpoint);
    net.serve = [](const http_exchange_ptr &exchange) {
        exchange->respond(200, {});
    };
    http_request request;
    request.endpoint = link.address();
    request.target = "/";
    request.timeout = std::chrono::milliseconds(300);
    std::vector<http_end> ends;
    http_handlers handlers;
    handlers.onDone = [&](const http_response &response) {
        ends.push_back(response.end);
        if (ends.size() == kIdle)
            link.hangConnections();
        if (ends.size() == kIdle + 2)
            return net.stopSoon();
        if (ends.size() >= kIdle)
            net.client.start(request, handlers);
    };
    for (std::size_t call = 0; call < kIdle; ++call)
        net.client.start(request, handlers);
    REQUIRE(net.run());
    CHECK(ends[kIdle - 1] == http_end::complete);
    CHECK(ends[kIdle] == http_end::timed_out);
    CHECK(ends[kIdle + 1] == http_end::complete);
}

TEST_CASE("an endpoint is an IP address and a port")
{
    CHECK(parseEndpoint("127.0.0.1:80") == http_endpoint{"127.0.0.1", 80});
    CHECK(parseEndpoint("[::1]:7") == http_endpoint{"::1", 7});
    for (const char *text : {"", ":1", "127.0.0.1", "127.0.0.1:", "127.0.0.1:x", "127.0.0.1:65536", "localhost:1",
                             "127.0.0.1:1 ", "256.0.0.1:1"}) {
        CAPTURE(text);
        CHECK(!parseEndpoint(text));
    }
}
