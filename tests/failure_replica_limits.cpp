// Rate limits named by replicas, kept by several gateway processes together.
#include "gateway_process.h"

using namespace foxtaildyke;

TEST_CASE("rate limit: three hosts together keep the limit that a replica names")
{
    constexpr double kPerSecond = 3;
    constexpr std::size_t kAllowed = 23; // 1.5 x 3 a second x 4 s + 5
    gateway_process hosts;
    std::vector<instant> arrivals;
    const auto respond = [](const received_request &request, const std::string &header) {
        const std::string id(request.head.header("Foxtaildyke-Request-Id"));
        return replica_script{responseText(200, id, "whole body", header)};
    };
    scripted_replica limited(hosts.loop, "limited", [&](const received_request &request) {
        arrivals.push_back(suspendAwareNow());
        return respond(request, "Server-Limit: " + std::to_string(kPerSecond) + "\r\n");
    });
    scripted_replica sound(hosts.loop, "sound", [&](const received_request &request) { return respond(request, {}); });
    hosts.publish(1);
    hosts.registerReplica(limited);
    hosts.registerReplica(sound);
    REQUIRE(hosts.startReady());
    const std::array ports{hosts.callerPort, hosts.addHost("host-2"), hosts.addHost("host-3")};
    const auto end = suspendAwareNow() + std::chrono::seconds{11};
    std::size_t sent = 0;
    std::size_t served = 0;
    while (suspendAwareNow() < end) {
        const auto port = ports[++sent % ports.size()];
        const auto response = hosts.sendRequest(requestText("GET", "/safe/x", "id-" + std::to_string(sent)), port);
        served += response.head.status == 200 ? 1 : 0;
        hosts.runFor(std::chrono::milliseconds{10});
    }
    CHECK(served == sent);
    REQUIRE_FALSE(arrivals.empty());
    std::size_t most = 0;
    std::size_t lastWindow = 0;
    for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
        const auto isInWindow = [first](instant at) {
            return at - *first < std::chrono::seconds{4};
        };
        const auto count = static_cast<std::size_t>(std::count_if(first, arrivals.end(), isInWindow));
        if (*first - arrivals.front() >= std::chrono::seconds{3})
            most = std::max(most, count);
        if (end - *first >= std::chrono::seconds{4})
            lastWindow = count;
    }
    CHECK(most <= kAllowed);
    CHECK(lastWindow >= 6); // half of what the replica accepts in 4 s
}
