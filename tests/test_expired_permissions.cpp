// Requests that are under way when the permission under which they were accepted ends: the key lease runs out, or a
// newer configuration withdraws the key. Nothing more is sent for them; what has been received is delivered.
#include "gateway_harness.h"

using namespace foxtaildyke;
using namespace std::chrono_literals;

namespace
{

constexpr auto kLease = 600ms; // of which 0.8 are used
constexpr auto kResponseDelay = 700ms;

std::string idOf(const received_request &request)
{
    return std::string(request.head.header("Foxtaildyke-Request-Id"));
}

gateway_settings settingsWithLease()
{
    auto settings = gateway_harness::makeSettings();
    settings.keyLease = kLease;
    return settings;
}

/// A request whose first attempt ends after the lease.
struct expiring_lease : gateway_harness {
    explicit expiring_lease(replica_script first)
        : gateway_harness(settingsWithLease())
        , replica(loop, "r1", [first = std::move(first)](const received_request &) { return first; })
    {
        publish(makeConfig());
        publishReplicas({replica.entry("s")});
    }

    /// @returns the response when it has ended.
    received_response request(const std::string &method, const std::string &target)
    {
        caller.send(requestText(method, target, "id-1"));
        REQUIRE(runUntil(
            [this] { return caller.isClosed || (!caller.responses.empty() && caller.responses[0].isComplete); }));
        return caller.responses.empty() ? received_response{} : caller.responses[0];
    }

    scripted_replica replica;
    scripted_caller caller{loop, task.callerPort()};
};

} // namespace

TEST_CASE("expired permission: a failed request isn't sent again once the key lease has run out")
{
    for (const auto &request : {std::pair{"GET", "/safe/x"}, {"POST", "/stream/x"}}) {
        CAPTURE(request.second);
        expiring_lease net({.bytes = "", .resets = true, .delay = kResponseDelay});
        const auto response = net.request(request.first, request.second);
        CHECK(response.head.status == 502); // it may have run
        CHECK(net.replica.requests.size() == 1);
    }
}

TEST_CASE("expired permission: a rejected request is rejected as not run, without another attempt")
{
    expiring_lease net({.bytes = notRunText(), .delay = kResponseDelay});
    const auto response = net.request("POST", "/once/x");
    CHECK(response.head.status == 503);
    CHECK_FALSE(response.head.header("Retry-After").empty());
    CHECK(net.replica.requests.size() == 1);
}

TEST_CASE("expired permission: a stream that breaks off isn't resumed, what was received is delivered")
{
    expiring_lease net({.bytes = streamText("id-1", 1, 3, false), .resets = true, .delay = kResponseDelay});
    const auto response = net.request("POST", "/stream/x");
    CHECK_FALSE(response.isComplete);
    CHECK(response.body == eventsText(1, 3));
    CHECK(net.replica.requests.size() == 1);
}

TEST_CASE("expired permission: a response of low confidence is kept")
{
    expiring_lease net(
        {.bytes = streamText("id-1", 1, 2, true, "Foxtaildyke-Confidence: 10\r\n"), .delay = kResponseDelay});
    const auto response = net.request("POST", "/sized/x");
    CHECK(response.head.status == 200);
    CHECK(response.isComplete);
    CHECK(net.replica.requests.size() == 1);
}

TEST_CASE("expired permission: a request isn't sent again when a newer configuration has withdrawn its key")
{
    gateway_harness net;
    scripted_replica replica(net.loop, "r1", [](const received_request &request) {
        return replica_script{.bytes = notRunText(), .delay = idOf(request) == "id-1" ? 300ms : 0ms};
    });
    net.publish(gateway_harness::makeConfig());
    net.publishReplicas({replica.entry("s")});
    scripted_caller caller(net.loop, net.task.callerPort());
    caller.send(requestText("GET", "/safe/x", "id-1"));
    REQUIRE(net.runUntil([&] { return replica.requests.size() == 1; }));
    auto newer = gateway_harness::makeConfig(2);
    newer->accountsByKey.clear();
    net.publish(newer);
    REQUIRE(net.runUntil([&] { return caller.responses.size() == 1 && caller.responses[0].isComplete; }));
    CHECK(caller.responses[0].head.status == 503);
    CHECK(replica.requests.size() == 1);
}
