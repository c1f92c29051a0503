// Memory of request bodies: what is rejected so that a host stays within its memory, and what goes on beside it.
#include "gateway_harness.h"

using namespace foxtaildyke;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t kLimit = 16U << 20U;
constexpr std::size_t kLarge = 4U << 20U;

gateway_settings smallHost()
{
    auto settings = gateway_harness::makeSettings();
    settings.memoryMb = 48;
    return settings;
}

/// A host with little memory whose replica takes its time.
struct small_host : gateway_harness {
    small_host()
        : gateway_harness(smallHost())
    {
        publish(makeConfig());
        publishReplicas({replica.entry("s")});
    }

    scripted_caller &sendLarge(const std::string &id)
    {
        callers.push_back(std::make_unique<scripted_caller>(loop, task.callerPort()));
        callers.back()->send(requestText("POST", "/once/x", id, {}, std::string(kLarge, 'x')));
        return *callers.back();
    }

    static bool isAnswered(const scripted_caller &caller)
    {
        return !caller.responses.empty() && caller.responses[0].isComplete;
    }

    scripted_replica replica{
        loop, "r1", [](const received_request &request) {
            return replica_script{
                .bytes = responseText(200, std::string(request.head.header("Foxtaildyke-Request-Id")), "ok"),
                .delay = 300ms};
        }};
    std::vector<std::unique_ptr<scripted_caller>> callers;
};

} // namespace

TEST_CASE("body memory: large bodies never exceed their part of the limit, and small ones have one of their own")
{
    body_memory memory(kLimit);
    std::vector<body_reservation> held;
    while (auto reservation = memory.reserve(kLarge))
        held.push_back(std::move(*reservation));
    CHECK(held.size() == 3);
    CHECK(memory.reservedBytes() <= kLimit);
    CHECK(memory.reserve(body_memory::kSmallBodyBytes));
    held.pop_back();
    CHECK(memory.reserve(kLarge));
}

TEST_CASE("body memory: a reservation grows within its part, moves to that of large bodies, and is given back once")
{
    body_memory memory(kLimit);
    {
        auto reservation = std::move(*memory.reserve(1000));
        CHECK(memory.grow(reservation, 2000));
        CHECK(memory.reservedBytes() == 2000);
        CHECK(memory.grow(reservation, kLarge));
        CHECK(memory.grow(reservation, 3 * kLarge));
        CHECK_FALSE(memory.grow(reservation, 4 * kLarge));
        CHECK(memory.reservedBytes() == 3 * kLarge);
        body_reservation moved = std::move(reservation);
        CHECK(moved.bytes() == 3 * kLarge);
    }
    CHECK(memory.reservedBytes() == 0);
    body_reservation none;
    CHECK(memory.grow(none, 100));
    CHECK(memory.reservedBytes() == 100);
}

TEST_CASE("body memory: large bodies beyond a host's memory are rejected as not run, beside small requests")
{
    constexpr std::size_t kCallers = 12;
    small_host net;
    for (std::size_t i = 0; i < kCallers; ++i)
        net.sendLarge("large-" + std::to_string(i));
    scripted_caller small(net.loop, net.task.callerPort());
    small.send(requestText("GET", "/safe/x", "small"));
    REQUIRE(net.runUntil([&] { return small_host::isAnswered(small); }));
    CHECK(small.responses[0].head.status == 200);
    REQUIRE(net.runUntil([&] {
        return std::ranges::all_of(net.callers, [](const auto &each) { return small_host::isAnswered(*each); });
    }));
    std::size_t rejected = 0;
    for (const auto &caller : net.callers) {
        const auto &response = caller->responses[0];
        if (response.head.status == 200)
            continue;
        ++rejected;
        CHECK(response.head.status == 503);
        CHECK(!response.head.header("Retry-After").empty());
    }
    CHECK(rejected > 0);
    CHECK(rejected < kCallers);
    // A rejected request has not run.
    CHECK(net.replica.requests.size() == kCallers - rejected + 1);
    // The memory of bodies that have been answered is free again.
    const auto &later = net.sendLarge("later");
    REQUIRE(net.runUntil([&] { return small_host::isAnswered(later); }));
    CHECK(later.responses[0].head.status == 200);
}

TEST_CASE("body memory: a chunked body that outgrows a host's memory is rejected")
{
    small_host net;
    scripted_caller caller(net.loop, net.task.callerPort());
    for (std::size_t i = 0; i < 3; ++i)
        net.sendLarge("large-" + std::to_string(i));
    REQUIRE(net.runUntil([&] { return net.replica.requests.size() == 3; }));
    caller.send("POST /once/x HTTP/1.1\r\nHost: h.example\r\nFoxtaildyke-Request-Id: chunked\r\n"
                "Authorization: Bearer key-1\r\nTransfer-Encoding: chunked\r\n\r\n"
                + chunkText(std::string(kLarge - 1, 'x')) + "0\r\n\r\n");
    REQUIRE(net.runUntil([&] { return small_host::isAnswered(caller); }));
    CHECK(caller.responses[0].head.status == 503);
}
