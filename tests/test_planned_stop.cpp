// Connections that wait in the kernel at the very moment at which a stopping gateway closes its listener.
#include "gateway_harness.h"

#include <thread>

using namespace foxtaildyke;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t kCallers = 20;
/// Shortly before the listener closes.
constexpr auto kBeforeClose = gateway_task::kListenAfterStop - 50ms;
/// Longer than the rest and the interval between two steps of the stop.
constexpr auto kPause = 400ms;

} // namespace

TEST_CASE("planned stop: connections that arrive between the last accept and the close of the listener are served")
{
    gateway_harness net;
    scripted_replica replica(net.loop, "r1", [](const received_request &request) {
        return replica_script{
            .bytes = responseText(200, std::string(request.head.header("Foxtaildyke-Request-Id")), "body")};
    });
    net.publish(gateway_harness::makeConfig());
    net.publishReplicas({replica.entry("s")});
    const auto port = net.task.callerPort();
    std::vector<std::unique_ptr<scripted_caller>> callers;
    // Both timers and the step of the stop that closes the listener are due in the same iteration of the loop, in this
    // order, and without a look at the listener between them.
    loop_timer connecting(net.loop, [&] {
        for (std::size_t index = 0; index < kCallers; ++index) {
            callers.push_back(std::make_unique<scripted_caller>(net.loop, port));
            callers.back()->send(requestText("GET", "/safe/x", "id-" + std::to_string(index)));
        }
    });
    loop_timer pausing(net.loop, [&] {
        connecting.start(0ms);
        std::this_thread::sleep_for(kPause);
    });
    net.task.stop();
    pausing.start(kBeforeClose);
    REQUIRE(net.runUntil([&] {
        return callers.size() == kCallers
            && std::ranges::all_of(callers, [](const auto &caller) { return caller->isClosed; });
    }));
    const auto served = std::ranges::count_if(callers, [](const auto &caller) {
        return caller->responses.size() == 1 && caller->responses[0].isComplete
            && caller->responses[0].head.status == 200;
    });
    CHECK(static_cast<std::size_t>(served) == kCallers);
}
