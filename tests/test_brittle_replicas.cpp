// Replicas that fall over when they reject too many requests in a second: the load of many hosts is played in virtual
// time.
#include "brittle_replicas_p.h"

#include <doctest/doctest.h>
#include <random>

using namespace foxtaildyke;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr instant kStart{std::chrono::seconds{1000}};
const replica_run kReplica{"r", 1};

/// Hosts that send to one replica at more than it can take, each with its own view.
struct overload {
    std::size_t hosts = 6;
    std::uint32_t slots = 8; ///< that the hosts know of
    std::uint32_t room = 8; ///< requests that it accepts at a time
    double perSecond = 100; ///< of all hosts
    double rejections = 5; ///< that it bears in a second
    milliseconds duration{200}; ///< of a request

    std::size_t accepted = 0;
    std::size_t mostRejections = 0; ///< in a second

    void play(seconds time)
    {
        std::mt19937_64 random(7);
        std::vector<brittle_replicas> views;
        std::vector<std::uint32_t> running(hosts);
        std::multimap<instant, std::size_t> ends; ///< host by the end of its request
        std::vector<instant> rejectedAt;
        for (std::size_t host = 0; host < hosts; ++host) {
            auto &view = views.emplace_back(host);
            view.setHosts(hosts);
            view.recordStatement(kReplica, rejections, kStart);
        }
        const auto step = std::chrono::microseconds{static_cast<std::int64_t>(1e6 / perSecond)};
        for (instant now = kStart; now < kStart + time; now += step) {
            while (!ends.empty() && ends.begin()->first <= now) {
                --running[ends.begin()->second];
                ends.erase(ends.begin());
            }
            const auto host = random() % hosts;
            if (!views[host].hasRoom("r", {slots, running[host], std::nullopt, duration}, now))
                continue;
            views[host].recordSend("r", now);
            if (ends.size() >= room) {
                views[host].recordRejection("r", now);
                rejectedAt.push_back(now);
                continue;
            }
            ++accepted;
            ++running[host];
            ends.emplace(now + duration, host);
        }
        for (const auto at : rejectedAt)
            mostRejections =
                std::max<std::size_t>(mostRejections, std::ranges::count_if(rejectedAt, [at](instant other) {
                                          return other >= at && other < at + seconds{1};
                                      }));
    }
};

} // namespace

TEST_CASE("brittle replica: a host that knows nothing of the kind isn't held back")
{
    brittle_replicas view(1);
    CHECK(view.hasRoom("r", {1, 50, 50.0}, kStart));
    view.recordRejection("r", kStart);
    CHECK(view.hasRoom("r", {1, 50, std::nullopt}, kStart));
}

TEST_CASE("brittle replica: hosts that overload it together keep to its slots and aren't rejected")
{
    overload load;
    load.play(seconds{30});
    CHECK(load.mostRejections == 0);
    CHECK(load.accepted * load.duration.count() >= 0.6 * load.slots * 30'000); // of what its slots can serve
}

TEST_CASE("brittle replica: with more hosts than slots, the rejections of all hosts stay below what it bears")
{
    for (const std::size_t hosts : {9, 20, 40, 195}) {
        CAPTURE(hosts);
        overload load;
        load.hosts = hosts;
        load.play(seconds{60});
        CHECK(static_cast<double>(load.mostRejections) <= load.rejections);
        CHECK(load.accepted > 0);
    }
}

TEST_CASE("brittle replica: where other work takes a part of its slots, the rejections stay below what it bears")
{
    for (const std::size_t hosts : {2, 4}) {
        CAPTURE(hosts);
        overload load;
        load.hosts = hosts;
        load.room = 4;
        load.play(seconds{60});
        CHECK(static_cast<double>(load.mostRejections) <= load.rejections);
        CHECK(load.accepted > 0);
    }
}

TEST_CASE("brittle replica: with the load of the other hosts known, part of its slots is left free")
{
    brittle_replicas view(1);
    view.recordStatement(kReplica, 5, kStart);
    const auto later = kStart + seconds{1};
    CHECK(view.hasRoom("r", {10, 2, 5.0}, later));
    CHECK_FALSE(view.hasRoom("r", {10, 2, 6.0}, later));
}

TEST_CASE("brittle replica: the statement ends with a response without it, or with another run")
{
    brittle_replicas view(1);
    CHECK(view.recordStatement(kReplica, 5, kStart));
    CHECK_FALSE(view.recordStatement(kReplica, 4, kStart));
    view.recordRejection("r", kStart);
    CHECK_FALSE(view.hasRoom("r", {}, kStart));
    CHECK(view.recordStatement(kReplica, std::nullopt, kStart));
    CHECK(view.hasRoom("r", {}, kStart));
    view.recordStatement(kReplica, 5, kStart);
    view.recordRejection("r", kStart);
    replica_entry entry;
    entry.id = "r";
    entry.startedAtMs = kReplica.startedAtMs;
    view.setReplica(entry);
    CHECK_FALSE(view.hasRoom("r", {}, kStart));
    entry.startedAtMs = 2;
    view.setReplica(entry);
    CHECK(view.hasRoom("r", {}, kStart));
}

TEST_CASE("brittle replica: a pause after a rejection is bounded, whatever is stated")
{
    for (const double rejections : {0.0, 1e-9, 1.0, 1e18}) {
        CAPTURE(rejections);
        brittle_replicas view(1);
        view.recordStatement(kReplica, rejections, kStart);
        view.recordRejection("r", kStart);
        CHECK_FALSE(view.hasRoom("r", {}, kStart + brittle_replicas::kMinPause - milliseconds{1}));
        CHECK(view.hasRoom("r", {}, kStart + brittle_replicas::kMaxPause));
    }
}
