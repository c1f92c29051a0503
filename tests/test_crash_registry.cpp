// Registry of requests that crash replicas: which requests are blocked, for how long, and what the hosts store for each
// other.
#include "shared_registries.h"

#include <doctest/doctest.h>
#include <random>

using namespace foxtaildyke;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t kRequest = 42;

/// Time within which the hosts must agree.
constexpr auto kAgreementTime = 3s;

/// @returns the time until a request with just this trait may be sent to a replica again; nothing if it isn't blocked.
std::optional<std::chrono::milliseconds> blockedFor(const crash_registry &registry, std::uint64_t trait, instant now)
{
    const auto block = registry.findBlock(std::span(&trait, 1), now);
    return block ? std::optional(block->remaining) : std::nullopt;
}

} // namespace

TEST_CASE("crash registry: a request is blocked at its third crash, until the reports expire")
{
    crash_registry registry("host-0");
    CHECK(registry.recordCrash(kRequest, 1, 1s));
    CHECK_FALSE(registry.recordCrash(kRequest, 1, 2s)); // several attempts may run when a replica ends
    CHECK(registry.recordCrash(kRequest, 2, 3s));
    CHECK_FALSE(blockedFor(registry, kRequest, 3s));
    CHECK(registry.recordCrash(kRequest, 3, 10s));
    CHECK(blockedFor(registry, kRequest, 10s) == crash_registry::kLifetime);
    CHECK(blockedFor(registry, kRequest, 609s) == 1s);
    CHECK_FALSE(blockedFor(registry, kRequest, 610s));
    CHECK_FALSE(blockedFor(registry, kRequest + 1, 10s));
}

TEST_CASE("crash registry: crashes that a cut of the host has feigned are withdrawn, others stay")
{
    crash_registry registry("host-0");
    const std::vector<std::uint64_t> parts{7};
    for (std::uint64_t crash = 1; crash <= 3; ++crash) {
        registry.recordCrash(kRequest, crash, 1s);
        registry.recordPartCrash(parts, crash, true, 1s);
    }
    CHECK(registry.crashes(kRequest) == 3);
    CHECK(blockedFor(registry, 7, 1s)); // the part explains the crashes of the request, too
    registry.withdrawCrashes({2, 3}, 2s);
    CHECK_FALSE(blockedFor(registry, kRequest, 2s));
    CHECK_FALSE(blockedFor(registry, 7, 2s));
    CHECK(registry.crashes(kRequest) == 1);
    registry.withdrawCrashes({1}, 3s);
    CHECK(registry.crashes(kRequest) == 0);
    CHECK(registry.ownReports().empty());
}

TEST_CASE("crash registry: a replica that restarts under its id can crash again, and hosts agree on the crash")
{
    replica_entry replica;
    replica.id = "r1";
    replica.startedAtMs = 1'700'000'000'000;
    const auto first = crash_registry::crashId(replica);
    replica.coldRemaining = 5s;
    CHECK(crash_registry::crashId(replica) == first);
    replica.startedAtMs += 1;
    CHECK(crash_registry::crashId(replica) != first);
}

TEST_CASE("crash registry: a request that replicas have answered isn't blamed for their end")
{
    crash_registry registry("host-0");
    registry.recordResponse(kRequest, 1s);
    for (std::uint64_t crash = 0; crash < 5; ++crash)
        CHECK_FALSE(registry.recordCrash(kRequest, crash, 2s));
    CHECK_FALSE(blockedFor(registry, kRequest, 2s));
    registry.recordCrash(kRequest + 1, 1, 3s);
    registry.recordResponse(kRequest + 1, 4s); // answered by another replica
    CHECK(registry.crashes(kRequest + 1) == 0);
}

TEST_CASE("crash registry: crashes on different hosts add up within the time in which the hosts must agree")
{
    shared_registries fleet(6);
    for (std::uint64_t crash = 0; crash < crash_registry::kCrashLimit; ++crash)
        fleet.hosts[crash].recordCrash(kRequest, crash, fleet.now);
    CHECK(fleet.blocking({kRequest}) == 0);
    fleet.advance(kAgreementTime);
    CHECK(fleet.blocking({kRequest}) == fleet.hosts.size());
}

TEST_CASE("crash registry: a report that couldn't be stored is stored later")
{
    shared_registries fleet(2);
    for (std::uint64_t crash = 0; crash < crash_registry::kCrashLimit; ++crash)
        fleet.hosts[0].recordCrash(kRequest, crash, fleet.now);
    fleet.now += 1s;
    REQUIRE(fleet.hosts[0].takeUnpublished(fleet.now));
    fleet.hosts[0].recordPublishFailure();
    CHECK_FALSE(fleet.hosts[0].takeUnpublished(fleet.now));
    fleet.advance(kAgreementTime);
    CHECK(fleet.blocking({kRequest}) == 2);
}

TEST_CASE("crash registry: a request that is retried after a crash is reported only if it fails")
{
    shared_registries fleet(3);
    auto &host = fleet.hosts[0];
    for (std::uint64_t request = 0; request < 100; ++request) {
        host.holdReport(request);
        host.recordCrash(request, 1, fleet.now);
    }
    fleet.advance(5s);
    for (std::uint64_t request = 0; request < 99; ++request) {
        host.recordResponse(request, fleet.now);
        host.releaseReport(request, fleet.now);
    }
    fleet.advance(15s);
    CHECK(fleet.writes == 0);
    host.releaseReport(99, fleet.now);
    fleet.advance(kAgreementTime);
    CHECK(fleet.hosts[2].crashes(99) == 1);
}

TEST_CASE("crash registry: reports on requests that complete late are withdrawn together")
{
    shared_registries fleet(2);
    for (std::uint64_t request = 0; request < 20; ++request)
        fleet.hosts[0].recordCrash(request, 1, fleet.now);
    for (std::uint64_t request = 0; request < 20; ++request) {
        fleet.advance(250ms);
        fleet.hosts[0].recordResponse(request, fleet.now);
    }
    fleet.advance(20s);
    CHECK(fleet.stored.empty());
    CHECK(fleet.writes == 2);
}

TEST_CASE("crash registry: a response on one host lifts the block on all, and on hosts that start later")
{
    shared_registries fleet(4);
    // The last host has answered the request before; it is the only one to know better.
    fleet.hosts[3].recordResponse(kRequest, fleet.now);
    for (std::uint64_t crash = 0; crash < crash_registry::kCrashLimit; ++crash)
        fleet.hosts[crash].recordCrash(kRequest, crash, fleet.now);
    fleet.advance(2 * kAgreementTime);
    CHECK(fleet.blocking({kRequest}) == 0);
    crash_registry later("host-9");
    later.setStoredReports(fleet.stored, fleet.now);
    CHECK_FALSE(blockedFor(later, kRequest, fleet.now));
}

TEST_CASE("crash registry: a restarted host adopts its stored reports before it stores new ones")
{
    shared_registries fleet(2);
    for (std::uint64_t crash = 0; crash < crash_registry::kCrashLimit; ++crash)
        fleet.hosts[0].recordCrash(kRequest, crash, fleet.now);
    fleet.advance(kAgreementTime);
    fleet.hosts[0] = crash_registry("host-0");
    fleet.hosts[0].recordCrash(kRequest + 1, 1, fleet.now);
    fleet.now += 2s;
    CHECK_FALSE(fleet.hosts[0].takeUnpublished(fleet.now)); // the stored reports aren't known yet
    fleet.deliver();
    CHECK(fleet.blocking({kRequest}) == 2);
    fleet.publish(0);
    CHECK(fleet.stored["host-0"].size() == 2);
}

TEST_CASE("crash registry: crashes that a restarted host sees before it has read its reports are added to them")
{
    shared_registries fleet(2);
    fleet.hosts[0].recordCrash(kRequest, 1, fleet.now);
    fleet.hosts[0].recordCrash(kRequest, 2, fleet.now);
    fleet.advance(kAgreementTime);
    fleet.hosts[0] = crash_registry("host-0");
    fleet.hosts[0].recordCrash(kRequest, 3, fleet.now);
    fleet.advance(kAgreementTime);
    CHECK(fleet.blocking({kRequest}) == 2);
}

TEST_CASE("crash registry: the reports of a host that is gone expire and are then removed from the store")
{
    shared_registries fleet(2);
    for (std::uint64_t crash = 0; crash < crash_registry::kCrashLimit; ++crash)
        fleet.hosts[0].recordCrash(kRequest, crash, fleet.now);
    fleet.advance(kAgreementTime);
    auto &remaining = fleet.hosts[1];
    const auto storedAt = fleet.now;
    const auto atEnd = storedAt + crash_registry::kLifetime;
    remaining.expire(atEnd);
    remaining.setStoredReports(fleet.stored, atEnd); // delivering them again must not renew them
    CHECK_FALSE(blockedFor(remaining, kRequest, atEnd));
    CHECK(remaining.abandonedHosts(atEnd).empty());
    CHECK(remaining.abandonedHosts(storedAt + 2 * crash_registry::kLifetime) == std::vector<std::string>{"host-0"});
}

TEST_CASE("crash registry: the number of reports of a host is bounded; blocked requests and the newest remain")
{
    crash_registry registry("host-0");
    registry.setStoredReports({}, 0s);
    constexpr std::uint64_t kBlocked = 1'000'000;
    for (std::uint64_t crash = 0; crash < crash_registry::kCrashLimit; ++crash)
        registry.recordCrash(kBlocked, crash, 0s);
    for (std::uint64_t request = 0; request < 2 * crash_registry::kMaxReports; ++request)
        registry.recordCrash(request, 1, std::chrono::milliseconds(request));
    const auto reports = registry.takeUnpublished(10s);
    REQUIRE(reports);
    CHECK(reports->size() == crash_registry::kMaxReports);
    CHECK(blockedFor(registry, kBlocked, 10s));
    CHECK(registry.crashes(0) == 0);
    CHECK(registry.crashes(2 * crash_registry::kMaxReports - 1) == 1);
}

TEST_CASE("crash registry: with random crashes, responses, losses and restarts, all hosts agree when all is delivered")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        INFO("seed " << seed);
        std::mt19937_64 random(seed);
        shared_registries fleet(5);
        const auto draw = [&random](std::uint64_t limit) {
            return random() % limit;
        };
        for (int step = 0; step < 300; ++step) {
            auto &host = fleet.hosts[draw(fleet.hosts.size())];
            const auto index = static_cast<std::size_t>(&host - fleet.hosts.data());
            const auto request = draw(8);
            const auto action = draw(20);
            if (action < 8) // even requests crash replicas, the others complete
                host.recordCrash(request, draw(1000), fleet.now);
            else if (action < 12 && request % 2 == 1)
                host.recordResponse(request, fleet.now);
            else if (action < 14 && host.takeUnpublished(fleet.now))
                host.recordPublishFailure();
            else if (action == 14)
                host = crash_registry("host-" + std::to_string(index));
            else if (action < 18)
                host.setStoredReports(fleet.stored, fleet.now);
            fleet.now += 50ms;
            fleet.publish(index);
        }
        for (std::uint64_t request = 0; request < 8; request += 2)
            for (std::uint64_t crash = 0; crash < crash_registry::kCrashLimit; ++crash)
                fleet.hosts[0].recordCrash(request, 2000 + crash, fleet.now);
        for (auto &host : fleet.hosts)
            for (std::uint64_t request = 1; request < 8; request += 2)
                host.recordResponse(request, fleet.now);
        fleet.advance(30s);
        for (const auto &host : fleet.hosts)
            for (std::uint64_t request = 0; request < 8; ++request)
                CHECK(blockedFor(host, request, fleet.now).has_value() == (request % 2 == 0));
    }
}
