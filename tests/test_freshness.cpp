// Tests each rule of section 5 of docs/design.md: a host must never dispatch under an outdated configuration.
#include "freshness_p.h"

#include <doctest/doctest.h>

using namespace foxtaildyke;
using namespace std::chrono_literals;

namespace
{

constexpr auto kLease = 4000ms;
const std::vector<std::string> kHosts{"a", "b", "c", "d", "e"};

/// A host that has read generation 5 from the store at 10 s.
freshness readyHost()
{
    freshness state("a", 0s);
    state.adopt(5, kHosts, kLease);
    state.recordStoreRead(5, 10s);
    return state;
}

} // namespace

TEST_CASE("freshness: the generation never decreases")
{
    auto state = readyHost();
    CHECK_FALSE(state.adopt(4, kHosts, kLease));
    CHECK_FALSE(state.adopt(5, kHosts, kLease));
    CHECK(state.generation() == 5);
    state.applyStamp({4, 20s});
    CHECK(state.leaseEnd() == 14s);
}

TEST_CASE("freshness: a lease from a store read starts when the read began and ends after the lease time")
{
    const auto state = readyHost();
    CHECK(state.mayDispatch(14s - 1us));
    CHECK_FALSE(state.mayDispatch(14s));
}

TEST_CASE("freshness: a new generation has no lease before it has a stamp of its own")
{
    auto state = readyHost();
    REQUIRE(state.adopt(6, kHosts, kLease));
    CHECK_FALSE(state.mayDispatch(10s));
    CHECK(state.leaseEnd() == instant{});
    state.applyStamp({6, 11s});
    CHECK(state.mayDispatch(14s));
}

TEST_CASE("freshness: a host that knows a higher generation neither acknowledges nor dispatches under a lower one")
{
    auto state = readyHost();
    state.recordGeneration(6);
    CHECK_FALSE(state.mayAcknowledge());
    CHECK_FALSE(state.mayDispatch(11s));
    CHECK_FALSE(state.quorumStamp({11s, 11s, 11s, 11s, 11s}).has_value());
}

TEST_CASE("freshness: a quorum stamp needs more than half of the hosts and has the time of the oldest acknowledgement "
          "in the newest majority")
{
    const auto state = readyHost();
    CHECK_FALSE(state.quorumStamp({12s, 11s, kNotAcknowledged, kNotAcknowledged, kNotAcknowledged}).has_value());
    const auto stamp = state.quorumStamp({12s, 11s, kNotAcknowledged, 13s, 2s});
    REQUIRE(stamp.has_value());
    CHECK(stamp->currentAt == 11s);
    CHECK(stamp->generation == 5);
    CHECK_FALSE(state.quorumStamp({12s, 11s, 13s}).has_value());
}

TEST_CASE("freshness: half of an even number of hosts is no quorum")
{
    freshness state("a", 0s);
    state.adopt(1, {"a", "b", "c", "d"}, kLease);
    state.recordStoreRead(1, 1s);
    CHECK_FALSE(state.quorumStamp({1s, 1s, kNotAcknowledged, kNotAcknowledged}).has_value());
    CHECK(state.quorumStamp({1s, 1s, 1s, kNotAcknowledged}).has_value());
}

TEST_CASE("freshness: a recovering host neither acknowledges nor dispatches, even with a fresh stamp")
{
    freshness state("a", 0s);
    state.adopt(5, kHosts, kLease);
    state.applyStamp({5, 10s});
    CHECK_FALSE(state.mayAcknowledge());
    CHECK_FALSE(state.mayDispatch(10s));
    state.recordStoreRead(5, 10s);
    CHECK(state.mayDispatch(10s));
}

TEST_CASE("freshness: recovery by quorum needs more than half of the hosts, not counting itself and recovering hosts")
{
    freshness state("a", 0s);
    state.adopt(5, kHosts, kLease);
    CHECK_FALSE(state.recordRecoverResponse("a", false, 5, 5s));
    CHECK_FALSE(state.recordRecoverResponse("b", true, 5, 5s));
    CHECK_FALSE(state.recordRecoverResponse("x", false, 5, 5s)); // not registered
    CHECK_FALSE(state.recordRecoverResponse("c", false, 5, 5s));
    CHECK_FALSE(state.recordRecoverResponse("c", false, 5, 5s));
    CHECK_FALSE(state.recordRecoverResponse("d", false, 5, 5s));
    CHECK(state.recordRecoverResponse("e", false, 4, 5s));
    CHECK(state.mayAcknowledge());
}

TEST_CASE("freshness: recovery by quorum waits for the highest generation among the responses")
{
    freshness state("a", 0s);
    state.adopt(5, kHosts, kLease);
    state.recordRecoverResponse("b", false, 5, 5s);
    state.recordRecoverResponse("c", false, 6, 5s);
    CHECK_FALSE(state.recordRecoverResponse("d", false, 5, 5s));
    REQUIRE(state.adopt(6, kHosts, kLease));
    CHECK_FALSE(state.isRecovering());
}

TEST_CASE("freshness: responses to calls made earlier than 1.1 leases after the start are not counted")
{
    freshness state("a", 100s);
    state.adopt(5, kHosts, kLease);
    CHECK(state.earliestRecoverCall() == 104400ms);
    for (const auto *name : {"b", "c", "d", "e"})
        CHECK_FALSE(state.recordRecoverResponse(name, false, 5, 104399ms));
    CHECK(state.isRecovering());
}

TEST_CASE("freshness: an acknowledgement expires with the lease, as the host may have lost it in a restart")
{
    const auto state = readyHost();
    CHECK(state.isAcknowledgementValid(10s, 13999ms));
    CHECK_FALSE(state.isAcknowledgementValid(10s, 14s));
    CHECK_FALSE(state.isAcknowledgementValid(kNotAcknowledged, 14s));
}

TEST_CASE("freshness: a host that is not registered never dispatches and never acknowledges")
{
    freshness state("z", 0s);
    state.adopt(5, kHosts, kLease);
    state.recordStoreRead(5, 10s);
    CHECK_FALSE(state.isRecovering());
    CHECK_FALSE(state.mayAcknowledge());
    CHECK_FALSE(state.mayDispatch(10s));
}
