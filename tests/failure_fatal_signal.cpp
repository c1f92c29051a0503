// What a gateway process that ends by a fatal signal leaves on its output.
#include "gateway_process.h"

#include <csignal>
#include <unistd.h>

using namespace foxtaildyke;
using namespace std::chrono_literals;

namespace
{

constexpr int kSignalExit = 128; ///< exit code of a process that a signal has ended, without the signal's number

} // namespace

TEST_CASE("fatal signal: the process reports where it was and what it decided last, and ends by the signal")
{
    for (const int number : {SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT}) {
        gateway_process gateway;
        gateway.publish(1);
        REQUIRE(gateway.startReady());
        const auto response =
            gateway.sendRequest("GET /none/x HTTP/1.1\r\nHost: h.example\r\nFoxtaildyke-Request-Id: r-1\r\n\r\n");
        REQUIRE(response.head.status == 404);
        gateway.signal(number);
        CHECK(gateway.waitExit() == kSignalExit + number);
        CHECK(gateway.hasLogged("fatal signal " + std::to_string(number),
                                "sent by process " + std::to_string(::getpid())));
        CHECK(gateway.hasLogged("  at ", "+0x"));
        CHECK(gateway.hasLogged("  stack program+0x", ""));
        CHECK(gateway.hasLogged("us before: ", "request_end r-1"));
    }
}

TEST_CASE("fatal signal: the log tells which build a report belongs to")
{
    gateway_process gateway;
    gateway.publish(1);
    REQUIRE(gateway.startReady());
    CHECK(gateway.hasLogged("\"event\":\"start\"", "\"build_id\":\""));
    CHECK_FALSE(gateway.hasLogged("\"event\":\"start\"", "\"build_id\":\"\""));
}

// Guards against a process that waits in its signal handler, with its sockets open, for a reader of its output.
TEST_CASE("fatal signal: a process whose output nobody reads ends by the signal")
{
    gateway_process gateway;
    gateway.leaveOutputUnread();
    gateway.publish(1);
    REQUIRE(gateway.startReady());
    gateway.fillUnreadOutput();
    gateway.signal(SIGSEGV);
    CHECK(gateway.waitExit() == kSignalExit + SIGSEGV);
}
