// Hosts that are cut off from the replicas and still reach callers, store and other hosts (RECOVER).
#include "cut_hosts.h"

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
