// Threads of the gateway process. Static objects, of libraries as well, are destroyed at its end while other threads
// run on.
#include "gateway_process.h"

#include <csignal>

using namespace foxtaildyke;
using namespace std::chrono_literals;

// Guards against a process that ends by a segmentation fault at a planned stop, in a thread beside static destructors.
TEST_CASE("threads: a gateway has one, also while it logs, and while its output isn't read during a stop")
{
    gateway_process gateway;
    gateway.leaveOutputUnread();
    gateway.publish(1);
    REQUIRE(gateway.startReady());
    constexpr int kRequests = 300; // their lines exceed what a pipe holds
    for (int number = 0; number < kRequests; ++number)
        std::ignore = gateway.sendRequest("GET /none/" + std::to_string(number)
                                          + " HTTP/1.1\r\nHost: h.example\r\nFoxtaildyke-Request-Id: r\r\n\r\n");
    CHECK(gateway.process().threadCount() == 1);
    gateway.signal(SIGTERM);
    gateway.runFor(1s);
    CHECK(gateway.process().threadCount() == 1);
    CHECK(gateway.waitExit() == 0);
}
