// Hosts that are cut off from the replicas and still reach callers, store and other hosts (RECOVER).
#include "cut_hosts.h"

#include <csignal>

using namespace foxtaildyke;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

/// Time after the beginning of a cut from which callers must be served.
constexpr seconds kSettleTime{3};

/// @returns whether the users' rule holds: callers' first tries are served at least two thirds as often as elsewhere,
/// where all are served.
bool isServedEnough(std::size_t served, std::size_t sent)
{
    return 3 * served >= 2 * sent;
}

/// Serves callers at a host that is cut off from all replicas, and checks them from the settle time on.
void checkServedWhileCutOff(cut_form form)
{
    cut_hosts hosts({"r1", "r2", "r3", "r4"});
    hosts.startHosts();
    REQUIRE(hosts.load(hosts.callerPort, 30, seconds{2}) == hosts.lastCount);
    hosts.cut(form);
    hosts.load(hosts.callerPort, 30, kSettleTime);
    const auto served = hosts.load(hosts.callerPort, 30, seconds{3});
    CHECK(isServedEnough(served, hosts.lastCount));
    CHECK(hosts.mostRunsOfOnce() <= 1);
    hosts.heal();
    hosts.load(hosts.callerPort, 30, kSettleTime);
    CHECK(hosts.load(hosts.callerPort, 30, seconds{1}) == hosts.lastCount);
}

} // namespace

TEST_CASE("cut off: a host whose connections to all replicas hang serves its callers")
{
    checkServedWhileCutOff(cut_form::silent);
}

TEST_CASE("cut off: a host whose connections to all replicas are reset serves its callers")
{
    checkServedWhileCutOff(cut_form::resetting);
}

TEST_CASE("cut off: a host whose connections live on while new ones are refused serves its callers")
{
    checkServedWhileCutOff(cut_form::refusing);
}

TEST_CASE(
    "cut off: a host without another one that reaches the replicas gives up readiness until it reaches them again")
{
    cut_hosts hosts({"r1", "r2", "r3", "r4"});
    hosts.startHosts();
    const auto readiness = hosts.lastReadinessPort(); // of the first host, which is started last
    REQUIRE(hosts.load(hosts.callerPort, 30, seconds{1}) == hosts.lastCount);
    hosts.hostProcess(0).kill();
    hosts.cut(cut_form::silent);
    hosts.load(hosts.callerPort, 30, kSettleTime);
    CHECK(hosts.readiness(readiness) == 503);
    const auto before = suspendAwareNow();
    const auto response = hosts.sendRequest(requestText("GET", "/safe/x", "refused"));
    CHECK(response.head.status == 503);
    CHECK_FALSE(response.head.header("Retry-After").empty());
    CHECK(suspendAwareNow() - before < seconds{1});
    hosts.heal();
    CHECK(hosts.runUntil([&] { return hosts.readiness(readiness) == 200; }));
    CHECK(hosts.load(hosts.callerPort, 30, seconds{1}) == hosts.lastCount);
}

TEST_CASE("cut off: requests on their way through a host that is killed aren't sent twice, nor told as not run")
{
    cut_hosts hosts({"r1", "r2", "r3", "r4"});
    hosts.startHosts();
    hosts.cut(cut_form::resetting);
    REQUIRE(hosts.runUntil([&] { return hosts.load(hosts.callerPort, 30, milliseconds{200}) == hosts.lastCount; }));
    hosts.respond = [](const received_request &) {
        return replica_script{.bytes = "", .delay = seconds{30}};
    };
    hosts.runOrder.clear();
    scripted_caller caller(hosts.loop, hosts.callerPort);
    caller.send(requestText("POST", "/once/x", "lost"));
    REQUIRE(hosts.runUntil([&] { return hosts.runOrder.size() == 1; }));
    hosts.hostProcess(0).kill();
    REQUIRE(hosts.runUntil([&] { return !caller.responses.empty() && caller.responses[0].isComplete; }));
    CHECK(caller.responses[0].head.status == 502);
    CHECK(hosts.runOrder.size() == 1);
}

TEST_CASE("cut off: a host that stops as planned finishes the requests of the host that is cut off")
{
    cut_hosts hosts({"r1", "r2", "r3", "r4"});
    hosts.startHosts();
    hosts.cut(cut_form::resetting);
    REQUIRE(hosts.runUntil([&] { return hosts.load(hosts.callerPort, 30, milliseconds{200}) == hosts.lastCount; }));
    const auto quick = hosts.respond;
    hosts.respond = [quick](const received_request &request) {
        auto script = quick(request);
        script.delay = seconds{1};
        return script;
    };
    std::vector<std::unique_ptr<scripted_caller>> callers;
    hosts.runOrder.clear();
    for (int index = 0; index < 20; ++index) {
        callers.push_back(std::make_unique<scripted_caller>(hosts.loop, hosts.callerPort));
        callers.back()->send(requestText("POST", "/once/x", "stopped-" + std::to_string(index)));
    }
    REQUIRE(hosts.runUntil([&] { return hosts.runOrder.size() == callers.size(); }));
    hosts.hostProcess(0).signal(SIGTERM);
    for (const auto &caller : callers) {
        REQUIRE(hosts.runUntil([&] { return !caller->responses.empty() && caller->responses[0].isComplete; }));
        CHECK(caller->responses[0].head.status == 200);
    }
    CHECK(hosts.mostRunsOfOnce() == 1);
}
