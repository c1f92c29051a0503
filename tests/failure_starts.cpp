// Starts of the gateway process that meet what a replaced process or the platform has left: ports in use, settings that
// are being written, a stop before the start is complete.
#include "gateway_process.h"

#include <csignal>

using namespace foxtaildyke;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::seconds kGrace{8}; ///< default of grace_s: how long a predecessor may keep its ports

/// A listener at a port of the process.
struct held_port {
    held_port(gateway_process &gateway, std::uint16_t port)
        : server(gateway.loop, [](const http_exchange_ptr &) {})
    {
        REQUIRE(server.listen({"127.0.0.1", port}).has_value());
    }

    http_server server;
};

enum class taken_port : std::uint8_t { callers, readiness };

/// A process that finds a port free, after which that port is taken before the process binds it.
struct taken_again_fixture {
    explicit taken_again_fixture(taken_port which)
        : port(which == taken_port::callers ? gateway.callerPort : gateway.readinessPort())
        , taken(std::in_place, gateway, port)
        , later(std::in_place, gateway, detourPort)
    {
        gateway.publish(1);
        gateway.start();
        REQUIRE(gateway.waitForLog("in use", std::to_string(port)));
        taken.reset();
        REQUIRE(gateway.waitForLog("in use", std::to_string(detourPort)));
        taken.emplace(gateway, port);
        later.reset();
        gateway.runFor(500ms);
    }

    std::uint16_t detourPort = testing::reservePort();
    gateway_process gateway{"detour = 127.0.0.1:" + std::to_string(detourPort) + '\n'};
    std::uint16_t port;
    std::optional<held_port> taken;
    std::optional<held_port> later; ///< the port that the process looks at last
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
    const held_port held(gateway, gateway.callerPort);
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
        const held_port held(gateway, gateway.callerPort);
        gateway.start();
        gateway.runFor(kGrace + 1s);
        REQUIRE(gateway.process().isRunning());
    }
    CHECK(gateway.runUntil([&] { return gateway.readiness() == 200; }));
}

// Guards against an end by itself when a port was free as the process looked, but not as it bound it.
TEST_CASE("start: a port that is taken again before it is bound is waited for")
{
    for (const auto which : {taken_port::callers, taken_port::readiness}) {
        taken_again_fixture fixture(which);
        REQUIRE(fixture.gateway.process().isRunning());
        fixture.taken.reset();
        CHECK(fixture.gateway.runUntil([&] { return fixture.gateway.readiness() == 200; }));
    }
}

TEST_CASE("start: a SIGTERM while a port that was taken again is waited for is a planned stop")
{
    taken_again_fixture fixture(taken_port::callers);
    fixture.gateway.signal(SIGTERM);
    CHECK(fixture.gateway.waitExit() == 0);
}

TEST_CASE("start: an address that the machine doesn't have ends the process with an error")
{
    for (const auto *listener : {"relay = 192.0.2.1:7001\nrelays = 192.0.2.1:7001\n", "detour = 192.0.2.1:7002\n"}) {
        gateway_process gateway(listener);
        gateway.start();
        CHECK(gateway.waitExit() == 1);
        CHECK(gateway.hasLogged("io_failure", "192.0.2.1"));
    }
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
