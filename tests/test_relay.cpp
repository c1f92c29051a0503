// Relay tree with several instances over a simulated network with virtual time; see relay_bus.h.
#include "relay_bus.h"

#include <doctest/doctest.h>

using namespace foxtaildyke;
using namespace foxtaildyke::sim;
using namespace std::chrono_literals;

namespace
{

constexpr auto kPeriod = 500ms;

/// Runs until all hosts have adopted the published generation.
/// @returns the time it took, or nothing after 20 s.
std::optional<instant> runUntilAdopted(relay_bus &bus)
{
    const auto start = bus.now();
    while (bus.now() - start < 20s) {
        bus.run(5ms);
        if (bus.adoptedCount(bus.published()) == bus.hostCount())
            return bus.now() - start;
    }
    return std::nullopt;
}

shared_count passedCount(std::uint64_t passed)
{
    return {{{}, "v1"}, {passed, 0, 0, 0}};
}

std::uint64_t passedTotal(relay_bus &bus, std::size_t host)
{
    const auto totals = bus.relayOf(host).shared().totals();
    const auto found = totals.find({{}, "v1"});
    return found == totals.end() ? 0 : found->second[0];
}

/// Adds 10 passed responses at each running host.
void addEverywhere(relay_bus &bus)
{
    for (std::size_t i = 0; i < bus.hostCount(); ++i)
        if (bus.isRunning(i))
            bus.relayOf(i).addEvidence({passedCount(10)});
}

} // namespace

TEST_CASE("relay: a host probes its ancestors first, then members lower by powers of two, then the nearest")
{
    CHECK(parentCandidates(0, 8).order.empty());
    CHECK(parentCandidates(5, 8).order == std::vector<std::size_t>{0, 1, 3, 4, 2});
    const auto list = parentCandidates(20, 8);
    CHECK(list.order.size() == 20);
    CHECK(list.firstRoundSize == 7);
    CHECK(std::vector(list.order.begin(), list.order.begin() + 8)
          == std::vector<std::size_t>{2, 0, 4, 12, 16, 18, 19, 17});
}

TEST_CASE("relay: nine hosts form one tree, all hold a lease, and a change reaches all of them")
{
    relay_bus bus(9, kPeriod, 8);
    bus.run(5s);
    CHECK(bus.roots() == std::vector<std::size_t>{0});
    CHECK(bus.dispatcherCount() == 9);
    bus.publish();
    const auto time = runUntilAdopted(bus);
    REQUIRE(time.has_value());
    MESSAGE("9 hosts: change to all in ", time->count() / 1000, " ms of virtual time");
    CHECK(*time < 1s);
    bus.run(2s);
    CHECK(bus.dispatcherCount() == 9);
    for (std::size_t i = 0; i < 9; ++i)
        CHECK(bus.relayOf(i).acknowledgedCount() == 9);
}

TEST_CASE("relay: no host loses its lease when a change spreads")
{
    relay_bus bus(30, kPeriod, 3);
    bus.run(8s);
    for (int change = 0; change < 5; ++change) {
        bus.publish();
        for (int i = 0; i < 200; ++i) {
            bus.run(5ms);
            CHECK(bus.dispatcherCount() == 30);
        }
        CHECK(bus.adoptedCount(bus.published()) == 30);
    }
}

TEST_CASE("relay: during a store outage a majority continues on acknowledgements and a partitioned minority stops")
{
    relay_bus bus(9, kPeriod, 8);
    bus.run(5s);
    bus.setStoreUp(false);
    bus.run(20s);
    CHECK(bus.dispatcherCount() == 9);
    bus.isolate({0, 1, 2});
    bus.run(20s);
    for (std::size_t i = 0; i < 9; ++i)
        CHECK(bus.mayDispatch(i) == (i > 2));
    bus.isolate({});
    bus.run(20s);
    CHECK(bus.dispatcherCount() == 9);
    CHECK(bus.roots() == std::vector<std::size_t>{0});
}

TEST_CASE("relay: the children of a killed host move to another parent before their leases end")
{
    relay_bus bus(30, kPeriod, 3);
    bus.run(8s);
    REQUIRE(bus.dispatcherCount() == 30);
    bus.kill(1);
    for (int i = 0; i < 100; ++i) {
        bus.run(100ms);
        CHECK(bus.dispatcherCount() == 29);
    }
    bus.kill(0);
    for (int i = 0; i < 100; ++i) {
        bus.run(100ms);
        CHECK(bus.dispatcherCount() == 28);
    }
}

TEST_CASE("relay: a restarted host spreads no older generation and regains its children")
{
    relay_bus bus(30, kPeriod, 3);
    bus.run(8s);
    bus.kill(0);
    bus.run(3s);
    bus.publish();
    bus.run(5s);
    bus.start(0);
    bus.run(30s);
    CHECK(bus.roots() == std::vector<std::size_t>{0});
    CHECK(bus.adoptedCount(2) == 30);
    CHECK(bus.dispatcherCount() == 30);
}

TEST_CASE("relay: after a partition a change reaches the other side through a child while the store is down")
{
    relay_bus bus(9, kPeriod, 8);
    bus.run(5s);
    // Hosts 0 to 2 miss the change, so the root has to adopt it from a child later.
    bus.isolate({0, 1, 2});
    bus.run(4s);
    bus.publish();
    bus.run(6s);
    REQUIRE(bus.adoptedCount(2) == 6);
    bus.setStoreUp(false);
    bus.isolate({});
    bus.run(20s);
    CHECK(bus.adoptedCount(2) == 9);
    CHECK(bus.dispatcherCount() == 9);
}

TEST_CASE("relay: a partition without any of its ancestors has one root and continues if it is a majority")
{
    relay_bus bus(60, kPeriod, 8);
    bus.run(8s);
    bus.setStoreUp(false);
    std::set<std::size_t> lower;
    for (std::size_t i = 0; i < 25; ++i)
        lower.insert(i);
    bus.isolate(lower);
    bus.run(20s);
    CHECK(bus.roots() == std::vector<std::size_t>{0, 25});
    CHECK(bus.dispatcherCount() == 35);
}

TEST_CASE("relay: evidence reaches all hosts once")
{
    relay_bus bus(30, kPeriod, 3);
    bus.run(5s);
    addEverywhere(bus);
    bus.run(80s);
    for (std::size_t i = 0; i < bus.hostCount(); ++i) {
        CHECK(passedTotal(bus, i) == 300);
        CHECK(bus.relayOf(i).countsOfOthers().at({{}, "v1"})[0] == 290);
    }
}

TEST_CASE("relay: evidence is counted once when a second call contains the delta of the waiting call")
{
    relay_bus bus(9, kPeriod, 8);
    bus.run(5s);
    addEverywhere(bus);
    // By then every host has sent a call with its counts; the halt makes each one send a second call.
    bus.run(kPeriod + 20ms);
    for (std::size_t i = 1; i < bus.hostCount(); ++i)
        bus.relayOf(i).halt("v" + std::to_string(i), bus.clockOf(i));
    bus.run(20s);
    for (std::size_t i = 0; i < bus.hostCount(); ++i)
        CHECK(passedTotal(bus, i) == 90);
}

TEST_CASE("relay: evidence is not counted twice when parents and roots fail and restart")
{
    for (std::uint32_t seed = 1; seed <= 10; ++seed) {
        relay_bus bus(30, kPeriod, 3, seed);
        std::mt19937 random(seed);
        bus.run(5s);
        std::uint64_t added = 0;
        for (int round = 0; round < 30; ++round) {
            const std::size_t victim = random() % 12;
            if (!bus.isRunning(victim))
                bus.start(victim);
            else if (random() % 2 == 0)
                bus.kill(victim);
            else
                bus.isolate(random() % 2 == 0 ? std::set<std::size_t>{victim, victim + 1, victim + 5}
                                              : std::set<std::size_t>{});
            addEverywhere(bus);
            for (std::size_t i = 0; i < bus.hostCount(); ++i)
                added += bus.isRunning(i) ? 10 : 0;
            bus.run(instant(std::chrono::milliseconds(random() % 1500)));
        }
        bus.isolate({});
        bus.run(200s);
        for (std::size_t i = 0; i < bus.hostCount(); ++i) {
            if (!bus.isRunning(i))
                continue;
            CHECK(passedTotal(bus, i) <= added);
            // Only counts that a killed host had not forwarded are lost.
            CHECK(passedTotal(bus, i) > added / 2);
            CHECK(passedTotal(bus, i) == passedTotal(bus, 29));
        }
    }
}

TEST_CASE("relay: a halted version and a quarantined fingerprint reach all hosts within one exchange period")
{
    relay_bus bus(30, kPeriod, 3);
    bus.run(5s);
    bus.relayOf(25).halt("v9", bus.clockOf(25));
    bus.relayOf(26).addQuarantined(77, bus.clockOf(26));
    bus.run(kPeriod);
    for (std::size_t i = 0; i < bus.hostCount(); ++i) {
        CHECK(bus.relayOf(i).shared().haltedVersions() == std::vector<std::string>{"v9"});
        CHECK(bus.relayOf(i).shared().quarantined() == std::vector<std::uint64_t>{77});
    }
}

TEST_CASE("relay: limit shares follow demand, add up to one, and reserve a part for hosts without demand")
{
    relay_bus bus(9, kPeriod, 8);
    bus.run(5s);
    bus.relayOf(3).setDemand({{"studio", 9000}});
    bus.relayOf(4).setDemand({{"studio", 1000}});
    bus.run(80s); // small differences are sent every 64 periods only
    double sum = 0;
    for (std::size_t i = 0; i < 9; ++i)
        sum += bus.relayOf(i).limitShares().at("studio");
    CHECK(sum == doctest::Approx(1.0));
    CHECK(bus.relayOf(3).limitShares().at("studio") == doctest::Approx((9.0 + 2.5 / 9) / 12.5));
    CHECK(bus.relayOf(0).limitShares().at("studio") > 0.02);
}

TEST_CASE("relay: 350 hosts form one tree, hold leases with and without the store, and a change reaches all")
{
    relay_bus bus(350, 500ms, 8);
    bus.run(10s);
    CHECK(bus.roots() == std::vector<std::size_t>{0});
    CHECK(bus.dispatcherCount() == 350);
    bus.publish();
    const auto time = runUntilAdopted(bus);
    REQUIRE(time.has_value());
    MESSAGE("350 hosts: change to all in ", time->count() / 1000, " ms of virtual time");
    CHECK(*time < 8s);
    bus.run(5s);
    CHECK(bus.relayOf(349).acknowledgedCount() == 350);
    bus.resetCounts();
    bus.run(20s);
    std::uint64_t bytes = 0;
    std::uint64_t largest = 0;
    std::uint64_t messages = 0;
    for (std::size_t i = 0; i < 350; ++i) {
        bytes += bus.countsOf(i).bytes;
        messages += bus.countsOf(i).messages;
        largest = std::max(largest, bus.countsOf(i).bytes);
    }
    MESSAGE("350 hosts idle: ", messages / 20, " messages/s, ", bytes / 350 / 20, " bytes/s per node, largest ",
            largest / 20, ", store reads/s ", bus.storeReads() / 20);
    bus.setStoreUp(false);
    bus.run(20s);
    CHECK(bus.dispatcherCount() == 350);
}
