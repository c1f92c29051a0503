// Starts of the gateway process that meet what a replaced process or the platform has left: ports in use, settings that
// are being written, a stop before the start is complete.
#include "gateway_process.h"

#include <csignal>

using namespace foxtaildyke;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::seconds kGrace{8}; ///< default of grace_s: how long a predecessor may keep its ports

/// A listener at the port for callers.
struct held_port {
    explicit held_port(gateway_process &gateway)
        : server(gateway.loop, [](const http_exchange_ptr &) {})
    {
        REQUIRE(server.listen({"127.0.0.1", gateway.callerPort}).has_value());
    }

    http_server server;
};

} // namespace

TEST_CASE("start: a SIGTERM or SIGINT before the settings are read is a planned stop")
{
    for (const int number : {SIGTERM, SIGINT}) {
        gateway_process gateway;
        gateway.startWithoutSettings();
        gateway.signal(number);
        gateway.runFor(50ms);
        if (gateway.process().isRunning())
            gateway.giveSettings();
        CHECK(gateway.waitExit() == 0);
    }
}

TEST_CASE("start: a SIGTERM or SIGINT while the settings are invalid is a planned stop")
{
    for (const int number : {SIGTERM, SIGINT}) {
        gateway_process gateway;
        gateway.startWithoutSettings();
        gateway.leaveSettingsEmpty();
        gateway.runFor(100ms);
        REQUIRE(gateway.process().isRunning());
        gateway.signal(number);
        CHECK(gateway.waitExit() == 0);
    }
}

TEST_CASE("start: settings that stay invalid end the process with an error")
{
    gateway_process gateway;
    gateway.startWithoutSettings();
    gateway.leaveSettingsEmpty();
    CHECK(gateway.waitExit() == 3);
}

TEST_CASE("start: a SIGTERM while a port is waited for is a planned stop")
{
    gateway_process gateway;
    const held_port held(gateway);
    gateway.start();
    REQUIRE(gateway.waitForLog("in use", std::to_string(gateway.callerPort)));
    gateway.signal(SIGTERM);
    CHECK(gateway.waitExit() == 0);
}

// Guards against an end by itself while a predecessor uses its grace period, or another connection keeps the port.
TEST_CASE("start: a port that is in use for longer than the grace period doesn't end the process")
{
    gateway_process gateway;
    gateway.publish(1);
    {
        const held_port held(gateway);
        gateway.start();
        gateway.runFor(kGrace + 1s);
        REQUIRE(gateway.process().isRunning());
    }
    CHECK(gateway.runUntil([&] { return gateway.readiness() == 200; }));
}

TEST_CASE("start: settings that are empty while they are being replaced are read again")
{
    gateway_process gateway;
    gateway.publish(1);
    gateway.startWithoutSettings();
    gateway.giveEmptySettings();
    gateway.runFor(200ms);
    REQUIRE(gateway.process().isRunning());
    gateway.giveSettings();
    CHECK(gateway.runUntil([&] { return gateway.readiness() == 200; }));
}
