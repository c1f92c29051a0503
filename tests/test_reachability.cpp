// What tells a host that has lost its path to the replicas from replicas that fail, in virtual time.
#include "reachability_p.h"

#include <doctest/doctest.h>

using namespace foxtaildyke;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr instant kStart{std::chrono::seconds{1000}};

const std::vector<std::string> kReplicas{"r1", "r2", "r3"};

/// A host with one service, of whose replicas it has heard at the start.
struct host_view {
    host_view() { reach.recordConnected("s", kStart - milliseconds{1}, kStart); }

    void failToConnect(const std::string &replica, instant at)
    {
        reach.recordConnectFailure("s", replica, at, at + milliseconds{350});
    }

    /// Attributes a failure at `at`, which counts in `blamed` once it has an effect.
    void fail(contact_kind needed, instant at)
    {
        reach.attribute("s", needed, at, at, [this] { ++blamed; });
    }

    reachability reach;
    int blamed = 0;
};

} // namespace

TEST_CASE("reachability: a host is cut off once it can connect to none of a service's replicas")
{
    host_view host;
    const auto at = kStart + seconds{1};
    host.failToConnect("r1", at);
    host.failToConnect("r2", at);
    CHECK_FALSE(host.reach.judge("s", kReplicas, kStart + seconds{2}));
    host.failToConnect("r3", at);
    CHECK(host.reach.judge("s", kReplicas, kStart + seconds{2}));
    CHECK_FALSE(host.reach.judge("s", kReplicas, kStart + seconds{2})); // not new
    CHECK(host.reach.isCutOff("s"));
    CHECK(host.reach.failingSince("s") == at);
    CHECK_FALSE(host.reach.isCutOff("another"));
}

TEST_CASE("reachability: of a large service, failures at five replicas are enough")
{
    host_view host;
    constexpr int kCount = 40;
    std::vector<std::string> many;
    many.reserve(kCount);
    for (int index = 0; index < kCount; ++index)
        many.push_back("r" + std::to_string(index));
    for (std::size_t index = 0; index < reachability::kReplicasToJudge; ++index) {
        CHECK_FALSE(host.reach.judge("s", many, kStart + seconds{2}));
        host.failToConnect(many[index], kStart + seconds{1});
    }
    CHECK(host.reach.judge("s", many, kStart + seconds{2}));
}

TEST_CASE("reachability: a connection that succeeds ends the cut, one that was begun before it doesn't")
{
    host_view host;
    const auto at = kStart + seconds{1};
    for (const auto &replica : kReplicas)
        host.failToConnect(replica, at);
    host.reach.judge("s", kReplicas, kStart + seconds{2});
    host.reach.recordConnected("s", at - milliseconds{1}, at + seconds{1});
    CHECK(host.reach.isCutOff("s"));
    host.reach.recordConnected("s", at + seconds{1}, at + seconds{1});
    CHECK_FALSE(host.reach.isCutOff("s"));
    CHECK_FALSE(host.reach.failingSince("s"));
}

TEST_CASE("reachability: a failure is attributed once another replica has been reached")
{
    host_view host;
    host.fail(contact_kind::any, kStart + seconds{1});
    CHECK(host.blamed == 0);
    host.reach.recordReceived("s", kStart + seconds{2});
    CHECK(host.blamed == 1);
    host.fail(contact_kind::any, kStart + seconds{1}); // the contact was later than this failure
    CHECK(host.blamed == 2);
}

TEST_CASE("reachability: responses on kept connections don't show that new ones work")
{
    host_view host;
    host.fail(contact_kind::connection, kStart + seconds{1});
    host.reach.recordReceived("s", kStart + seconds{2});
    CHECK(host.blamed == 0);
    host.reach.recordConnected("s", kStart + seconds{2}, kStart + seconds{2});
    CHECK(host.blamed == 1);
}

TEST_CASE("reachability: failures of a cut that another host has confirmed are discarded, until it ends")
{
    host_view host;
    const auto at = kStart + seconds{1};
    host.fail(contact_kind::any, at);
    CHECK(host.reach.confirmCutOff("s") == 0); // it isn't cut off yet
    for (const auto &replica : kReplicas)
        host.failToConnect(replica, at);
    host.reach.judge("s", kReplicas, kStart + seconds{2});
    CHECK(host.reach.confirmCutOff("s") == 1);
    host.fail(contact_kind::any, at + seconds{1});
    host.reach.recordConnected("s", at + seconds{2}, at + seconds{2});
    CHECK(host.blamed == 0);
    host.fail(contact_kind::any, at + seconds{3});
    host.reach.recordReceived("s", at + seconds{4});
    CHECK(host.blamed == 1);
}

TEST_CASE("reachability: a cut that no other host confirms leaves the failures to the replicas")
{
    host_view host;
    const auto at = kStart + seconds{1};
    host.fail(contact_kind::any, at);
    for (const auto &replica : kReplicas)
        host.failToConnect(replica, at);
    host.reach.judge("s", kReplicas, kStart + seconds{2});
    host.reach.recordConnected("s", at + seconds{2}, at + seconds{2});
    CHECK(host.blamed == 1);
}

TEST_CASE("reachability: a host in doubt probes, one that hears replicas doesn't")
{
    host_view host;
    const auto at = kStart + seconds{1};
    CHECK_FALSE(host.reach.isProbeDue("s", at));
    host.reach.recordSilence("s", at);
    CHECK(host.reach.isProbeDue("s", at + reachability::kProbeDelay));
    host.reach.recordReceived("s", at + milliseconds{10});
    CHECK_FALSE(host.reach.isProbeDue("s", at + seconds{1}));
    host.reach.recordSilence("s", at); // there has been a contact since
    CHECK_FALSE(host.reach.isProbeDue("s", at + seconds{1}));
    host.failToConnect("r1", at + seconds{1});
    CHECK(host.reach.isProbeDue("s", at + seconds{2}));
}

TEST_CASE("reachability: a host is in doubt until the verdict, and the verdict is new for a moment")
{
    host_view host;
    const auto at = kStart + seconds{1};
    CHECK_FALSE(host.reach.isInDoubt("s"));
    host.failToConnect("r1", at);
    CHECK(host.reach.isInDoubt("s"));
    host.reach.recordReceived("s", at + milliseconds{1});
    CHECK_FALSE(host.reach.isInDoubt("s"));
    for (const auto &replica : kReplicas)
        host.failToConnect(replica, at);
    host.reach.judge("s", kReplicas, at + seconds{1});
    CHECK_FALSE(host.reach.isInDoubt("s"));
    CHECK(host.reach.isNewlyCutOff("s", at + seconds{1}));
    CHECK_FALSE(host.reach.isNewlyCutOff("s", at + seconds{1} + reachability::kVerdictTime));
}

TEST_CASE("reachability: a replica that restarts ends the verdict")
{
    host_view host;
    for (const auto &replica : kReplicas)
        host.failToConnect(replica, kStart + seconds{1});
    host.reach.judge("s", kReplicas, kStart + seconds{2});
    host.reach.recordReplicaStarted("s", "r2");
    CHECK_FALSE(host.reach.judge("s", kReplicas, kStart + seconds{2}));
    CHECK_FALSE(host.reach.isCutOff("s"));
}

TEST_CASE("reachability: kept connections count as live while bytes arrive on them after the cut")
{
    host_view host;
    const auto at = kStart + seconds{1};
    for (const auto &replica : kReplicas)
        host.failToConnect(replica, at);
    host.reach.judge("s", kReplicas, kStart + seconds{2});
    CHECK_FALSE(host.reach.hasLiveConnections("s", at + milliseconds{400}));
    host.reach.recordReceived("s", at + milliseconds{500});
    CHECK(host.reach.hasLiveConnections("s", at + milliseconds{600}));
    CHECK_FALSE(host.reach.hasLiveConnections("s", at + seconds{3}));
}

TEST_CASE("reachability: open failures are bounded in number and age")
{
    host_view host;
    for (std::size_t index = 0; index < 2 * reachability::kMaxDeferred; ++index)
        host.fail(contact_kind::any, kStart + seconds{1});
    CHECK(host.reach.expire(kStart + seconds{2}) == 0);
    CHECK(host.reach.expire(kStart + seconds{1} + reachability::kMaxDeferral) == reachability::kMaxDeferred);
    host.reach.recordReceived("s", kStart + seconds{60});
    CHECK(host.blamed == 0);
}
