// Checks whether replicas have ended, with connections over loopback.
#include "crash_detector_p.h"
#include "gateway_harness.h"

#include <thread>

using namespace foxtaildyke;

namespace
{

struct detector_fixture : test_loop {
    scripted_replica replica{loop, "r", [](const received_request &) {
                                 return replica_script{};
                             }};
    connection_pool pool{loop, "Foxtaildyke-Request-Id"};
    std::size_t crashes = 0;
    crash_detector detector{pool, [this](const broken_attempt &) {
                                ++crashes;
                            }};

    void check()
    {
        broken_attempt attempt;
        attempt.replica = "r";
        attempt.address = replica.entry("s").address;
        detector.check(attempt);
    }

    /// The process stands still for longer than a connection may take to be established.
    static void standStill() { std::this_thread::sleep_for(connection_pool::kConnectTimeout * 2); }
};

} // namespace

TEST_CASE("crash detector: a replica that refuses a connection has ended, one that accepts it hasn't")
{
    detector_fixture fixture;
    fixture.check();
    fixture.runFor(std::chrono::milliseconds{100});
    CHECK(fixture.crashes == 0);
    fixture.replica.crash();
    fixture.check();
    CHECK(fixture.runUntil([&] { return fixture.crashes == 1; }));
}

TEST_CASE("crash detector: a connection whose time-out ends in a pause of the process is of no consequence")
{
    detector_fixture fixture;
    fixture.check();
    detector_fixture::standStill();
    fixture.runFor(std::chrono::milliseconds{100});
    CHECK(fixture.crashes == 0);
    fixture.replica.crash();
    fixture.check();
    detector_fixture::standStill();
    fixture.runFor(std::chrono::milliseconds{100});
    CHECK(fixture.crashes <= 1);
}
