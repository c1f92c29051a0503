// Fixture for tests with real sockets: an event loop on the test's thread, and a server on the loopback address whose
// handler the test supplies.
#pragma once

#include "http_server_p.h"

#include <doctest/doctest.h>

namespace foxtaildyke
{

struct loopback {
    event_loop loop;
    http_client client{loop};
    std::function<void(const http_exchange_ptr &)> serve;
    http_server server{loop, [this](const http_exchange_ptr &exchange) {
                           serve(exchange);
                       }};
    http_endpoint endpoint{"127.0.0.1", 0};

    loopback()
    {
        const auto port = server.listen(endpoint);
        REQUIRE(port.has_value());
        endpoint.port = port.value();
    }

    /// Runs the loop until stop(), or until a time limit that only ends a test that hangs.
    /// @returns whether stop() ended the loop.
    bool run()
    {
        constexpr std::chrono::seconds kLimit{20};
        bool isLate = false;
        loop_timer limit(loop, [&] {
            isLate = true;
            loop.stop();
        });
        limit.start(kLimit);
        loop.run();
        return !isLate;
    }

    /// Stops the loop after a short delay, so that callbacks that are already due still run.
    void stopSoon()
    {
        loop.after(std::chrono::milliseconds(30), [this] { loop.stop(); });
    }
};

} // namespace foxtaildyke
