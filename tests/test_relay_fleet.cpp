// Calls to the platform's store from a large fleet: hosts that start, lose relays, or lose the store.
#include "failure_support.h"
#include "feed_recorder.h"
#include "gateway_harness.h"
#include "standin_store.h"
#include "store_feed.h"

using namespace foxtaildyke;
using namespace std::chrono_literals;

namespace
{

nlohmann::json replicaSpec()
{
    return {{"service", "s"},  {"address", "10.0.0.1:80"}, {"zone", "d1"},
            {"version", "v1"}, {"batch_slots", 8},         {"state", "ready"}};
}

constexpr std::size_t kKinds = 4;
constexpr std::size_t kRelays = 3;

/// Hosts of which the first three are the relays, connected to an emulated store. Each host serves at an address of its
/// own, as any may become a deputy.
struct fleet : test_loop {
    struct host {
        host(event_loop &loop, const http_endpoint &store, platform::feed_timing timing,
             platform::relay_addresses addresses)
            : feed(loop, store, timing, std::move(addresses))
        {
        }
        feed_recorder recorder;
        platform::store_feed feed;
    };

    explicit fleet(std::size_t count, platform::feed_timing watchTiming = {300ms, 300ms})
        : timing(watchTiming)
    {
        store.put("config", "main", {{"version", 1}});
        store.put("servers", "r1", replicaSpec());
        for (std::size_t index = 0; index < count; ++index)
            addresses.push_back({"127.0.0.1", testing::reservePort()});
        hosts.resize(count);
        for (std::size_t index = 0; index < count; ++index)
            start(index);
    }

    void start(std::size_t index)
    {
        const std::vector<http_endpoint> relays(addresses.begin(), addresses.begin() + kRelays);
        auto &target = hosts[index];
        target = std::make_unique<host>(
            loop, store.endpoint, timing,
            platform::relay_addresses{"host-" + std::to_string(index), relays, addresses[index]});
        REQUIRE(target->feed.listen().has_value());
        target->feed.start(target->recorder);
    }

    /// @returns whether a property holds for all running hosts.
    bool all(const std::function<bool(const host &)> &holds) const
    {
        return std::ranges::all_of(hosts, [&](const auto &each) { return !each || holds(*each); });
    }

    bool allHaveReplica(const std::string &replica) const
    {
        return all([&](const host &each) {
            return std::ranges::find(each.recorder.replicas, replica) != each.recorder.replicas.end();
        });
    }

    /// @returns the number of running hosts that read the store themselves.
    std::size_t readers() const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(hosts, [](const auto &each) { return each && each->feed.readsStore(); }));
    }

    bool waitUntilFollowing()
    {
        return runUntil([&] { return readers() == kRelays && allHaveReplica("r1"); });
    }

    platform::feed_timing timing;
    standin_store store{loop};
    std::vector<http_endpoint> addresses;
    std::vector<std::unique_ptr<host>> hosts;
};

constexpr std::size_t kHosts = 60;

} // namespace

TEST_CASE("relay fleet: hosts that start get everything from the relays")
{
    fleet net(kHosts);
    REQUIRE(net.waitUntilFollowing());
    // Each relay lists each kind, and goes on with a watch of each; the configuration's watch is restarted once.
    CHECK(net.store.calls <= kRelays * (2 * kKinds + 4));
    for (const auto &host : net.hosts)
        CHECK_FALSE(host->recorder.hasEvent("relay_lost 127.0.0.1"));
    // One host that starts later calls nobody but the relays.
    net.runFor(200ms);
    const auto fromHosts = [&net] {
        std::size_t sum = 0;
        for (std::size_t index = kRelays; index < kHosts; ++index)
            for (const auto &[cause, count] : net.hosts[index]->recorder.storeCalls)
                sum += count;
        return sum;
    };
    net.start(kHosts - 1);
    REQUIRE(net.waitUntilFollowing());
    CHECK(fromHosts() == 0);
}

TEST_CASE("relay fleet: when a relay is lost, its hosts follow another one without calling the store")
{
    fleet net(kHosts);
    REQUIRE(net.waitUntilFollowing());
    net.hosts[0].reset();
    net.store.put("servers", "later", replicaSpec());
    REQUIRE(net.runUntil([&] { return net.allHaveReplica("later"); }));
    for (std::size_t index = kRelays; index < kHosts; ++index)
        CHECK(net.hosts[index]->recorder.storeCalls.empty());
    CHECK(net.readers() == kRelays - 1);
}

TEST_CASE("relay fleet: when all relays are lost, a few hosts read the store for all until the relays are back")
{
    fleet net(kHosts);
    REQUIRE(net.waitUntilFollowing());
    net.runFor(600ms); // all hosts have learned of the deputies
    for (std::size_t index = 0; index < kRelays; ++index)
        net.hosts[index].reset();
    net.store.put("servers", "later", replicaSpec());
    REQUIRE(net.runUntil([&] { return net.allHaveReplica("later"); }));
    // Each relay has named up to four deputies.
    CHECK(net.readers() <= kRelays * relay_query_tracker::kDeputies);
    CHECK(net.readers() >= 1);
    for (std::size_t index = 0; index < kRelays; ++index)
        net.start(index);
    CHECK(net.runUntil([&] { return net.readers() == kRelays; }));
    net.store.put("servers", "last", replicaSpec());
    CHECK(net.runUntil([&] { return net.allHaveReplica("last"); }));
}

TEST_CASE("relay fleet: in a store outage the hosts' calls are bounded, and all detect its end")
{
    for (const auto state : {store_state::refusing, store_state::silent, store_state::dropping}) {
        fleet net(kHosts);
        REQUIRE(net.waitUntilFollowing());
        net.runFor(600ms);
        net.store.setState(state);
        const auto callsBefore = net.store.calls;
        net.runFor(4s);
        // Each relay retries the configuration every 0.4 s at least, deputies and hosts that have found no source
        // begin with each kind once, retry the configuration after 0.1, 0.2, 0.4, 0.8, 1.6 s.
        CHECK(net.store.calls - callsBefore
              <= kRelays * (kKinds + 12) + kRelays * relay_query_tracker::kDeputies * 10 + kHosts * (kKinds + 4));
        net.store.setState(store_state::serving);
        net.store.put("servers", "later", replicaSpec());
        CHECK(net.runUntil([&] { return net.allHaveReplica("later"); }));
        CHECK(net.runUntil([&] { return net.readers() == kRelays; }));
    }
}

TEST_CASE("relay fleet: hosts that look for the store themselves leave the other kinds to the relays when it is back")
{
    fleet net(kHosts);
    REQUIRE(net.waitUntilFollowing());
    net.runFor(600ms);
    net.store.setState(store_state::refusing);
    const auto probesOf = [](const fleet::host &host, const char *kind) {
        const auto &calls = host.recorder.storeCallsByKind;
        const auto found = calls.find({kind, store_call_cause::relay_lost});
        return found == calls.end() ? 0 : found->second;
    };
    // Relays that respond are taken for the first to notice the end of the outage; after some seconds, a host looks
    // itself.
    REQUIRE(net.runUntil([&] {
        return std::ranges::count_if(net.hosts, [&](const auto &host) { return probesOf(*host, "config") > 0; })
            > static_cast<std::ptrdiff_t>(kHosts / 4);
    }));
    net.store.setState(store_state::serving);
    net.store.put("servers", "later", replicaSpec());
    REQUIRE(net.runUntil([&] { return net.allHaveReplica("later") && net.readers() == kRelays; }));
    for (const auto &host : net.hosts)
        CHECK(probesOf(*host, "servers") == 0);
}

TEST_CASE("relay fleet: a watch that is cut off, and a history that is gone, concern the relays only")
{
    fleet net(kHosts);
    REQUIRE(net.waitUntilFollowing());
    for (int round = 0; round < 3; ++round) {
        net.store.setState(store_state::dropping);
        net.runFor(100ms);
        net.store.setState(store_state::serving);
        net.runFor(500ms);
        net.store.discardHistory();
        net.store.put("servers", "later-" + std::to_string(round), replicaSpec());
        REQUIRE(net.runUntil([&] { return net.allHaveReplica("later-" + std::to_string(round)); }));
    }
    for (std::size_t index = kRelays; index < kHosts; ++index) {
        CHECK(net.hosts[index]->recorder.storeCalls.empty());
        CHECK_FALSE(net.hosts[index]->recorder.hasEvent("relay_lost 127.0.0.1"));
    }
}

TEST_CASE("relay fleet: watches that hang on all relays don't concern the hosts that follow them")
{
    fleet net(kHosts, platform::feed_timing{});
    REQUIRE(net.waitUntilFollowing());
    for (int round = 0; round < 3; ++round) {
        net.store.silenceWatches();
        net.runFor(2s);
    }
    for (std::size_t index = kRelays; index < kHosts; ++index) {
        CHECK(net.hosts[index]->recorder.storeCalls.empty());
        CHECK_FALSE(net.hosts[index]->recorder.hasEvent("relay_lost 127.0.0.1"));
    }
}

// Guards against relays that miss a change for as long as a watch may wait, and with them all hosts that follow them.
TEST_CASE("relay fleet: a change that a lost watch of the relays would have delivered reaches all hosts in time")
{
    constexpr auto kLimit = 2500ms;
    constexpr auto kQueryWait = 200ms; // of a host at its relay; queries follow one another
    fleet net(kHosts, {300ms, 10s, kLimit});
    REQUIRE(net.waitUntilFollowing());
    net.runFor(1s); // the relays watch all kinds
    net.store.silenceWatches("servers");
    net.store.put("servers", "later", replicaSpec());
    const auto &confirmations = net.hosts.back()->recorder.confirmations;
    const auto last = confirmations + kLimit / kQueryWait;
    REQUIRE(net.runUntil([&] { return net.allHaveReplica("later") || confirmations > last; }));
    CHECK(net.allHaveReplica("later"));
}

namespace
{

/// @returns evidence with one response.
std::vector<rollout_report> oneResponse()
{
    rollout_report report;
    report.service = "s";
    report.target = "v2";
    report.createdRevision = 7;
    report.ratio = -0.3;
    report.responses = 1;
    report.replicas = {"r1"};
    return {report};
}

/// @returns the number of responses that hosts have taken to share.
std::size_t takenResponses(const fleet &net)
{
    std::size_t sum = 0;
    for (const auto &host : net.hosts)
        if (host)
            for (const auto &report : host->recorder.absorbed)
                sum += report.responses;
    return sum;
}

} // namespace

TEST_CASE("relay fleet: evidence of each host is taken by its relay once, also if that is lost later")
{
    fleet net(kHosts);
    REQUIRE(net.waitUntilFollowing());
    for (std::size_t index = kRelays; index < kHosts; ++index)
        net.hosts[index]->recorder.evidence = oneResponse();
    REQUIRE(net.runUntil([&] { return takenResponses(net) == kHosts - kRelays; }));
    for (std::size_t index = kRelays; index < kHosts; ++index)
        CHECK(net.hosts[index]->recorder.absorbed.empty());
    CHECK(net.hosts[0]->recorder.absorbed.front() == oneResponse().front());
    // Nothing is repeated to another relay, to deputies, or by a host that reads the store itself.
    net.runFor(600ms);
    net.hosts[0].reset();
    REQUIRE(net.runUntil([&] { return net.readers() == kRelays - 1; }));
    const auto taken = takenResponses(net);
    net.hosts[1].reset();
    net.hosts[2].reset();
    net.store.put("servers", "later", replicaSpec());
    REQUIRE(net.runUntil([&] { return net.allHaveReplica("later"); }));
    net.runFor(600ms);
    CHECK(takenResponses(net) <= taken);
    // Evidence that comes now is taken by the deputies, or shared by the host itself.
    const auto before = takenResponses(net);
    std::size_t added = 0;
    for (const auto &host : net.hosts)
        if (host && !host->feed.readsStore()) {
            host->recorder.evidence = oneResponse();
            ++added;
        }
    CHECK(net.runUntil([&] { return takenResponses(net) == before + added; }));
}

TEST_CASE("relay fleet: evidence that a relay may have taken isn't passed on again by a host that leaves the relay")
{
    fleet net(kHosts);
    REQUIRE(net.waitUntilFollowing());
    net.runFor(600ms); // the relays have no changes left to hand out, so that their responses take some time
    constexpr std::size_t kLeaving = 10;
    net.hosts[kLeaving]->recorder.evidence = oneResponse();
    REQUIRE(net.runUntil([&] { return takenResponses(net) == 1; }));
    // Queried by another host, it reads the store and shares its evidence itself from now on.
    http_client client(net.loop);
    http_request query;
    query.endpoint = net.addresses[kLeaving];
    query.method = http_method::post;
    query.target = request_target(platform::kFeedPath).addParameter("host", "other");
    query.timeout = 400ms;
    http_handlers handlers;
    handlers.onDone = [](const http_response &) {
    };
    client.start(std::move(query), std::move(handlers));
    REQUIRE(net.runUntil([&] { return net.hosts[kLeaving]->feed.readsStore(); }));
    net.runFor(300ms);
    CHECK(takenResponses(net) == 1);
}

TEST_CASE("relay fleet: all hosts know the load of all others, and return to the relay that they prefer")
{
    fleet net(kHosts);
    REQUIRE(net.waitUntilFollowing());
    for (const auto &host : net.hosts)
        host->recorder.ownLoads = {{"r1", 1}};
    const auto knowsAll = [](const fleet::host &each) {
        const auto &others = each.recorder.othersLoads;
        return others.size() == 1 && others[0].running == kHosts - 1;
    };
    CHECK(net.runUntil([&] { return net.all(knowsAll); }));
    // All hosts follow the third relay while the others are gone.
    net.hosts[0].reset();
    net.hosts[1].reset();
    net.store.put("servers", "later", replicaSpec());
    REQUIRE(net.runUntil([&] { return net.allHaveReplica("later"); }));
    net.start(0);
    net.start(1);
    for (auto index : {0, 1})
        net.hosts[static_cast<std::size_t>(index)]->recorder.ownLoads = {{"r1", 1}};
    const auto followers = [&net](std::size_t relay) {
        return net.hosts[relay]->recorder.fleetSize / kRelays; // size of the relay's group
    };
    CHECK(net.runUntil([&] { return followers(0) > kHosts / 6 && followers(1) > kHosts / 6; }));
    CHECK(net.runUntil([&] { return net.all(knowsAll); }));
    for (std::size_t index = kRelays; index < kHosts; ++index)
        CHECK(net.hosts[index]->recorder.storeCalls.empty());
}

TEST_CASE("relay fleet: a relay that is restarted while the store shows an older copy asks the other relays first")
{
    fleet net(3);
    net.store.takeCopy();
    net.store.put("config", "main", {{"version", 2}});
    const auto version = [](const fleet::host &host) {
        return host.recorder.configs.empty() ? 0 : host.recorder.configs.back()->version;
    };
    REQUIRE(net.runUntil([&] { return net.all([&](const auto &host) { return version(host) == 2; }); }));
    net.store.rewind();
    REQUIRE(net.runUntil([&] { return net.all([](const auto &host) { return host.recorder.rewinds == 1; }); }));
    net.hosts[0].reset();
    net.start(0);
    REQUIRE(net.runUntil([&] { return net.hosts[0]->recorder.hasEvent("config_outdated main"); }));
    CHECK(net.hosts[0]->recorder.configs.empty());
    net.store.put("config", "main", {{"version", 2}});
    CHECK(net.runUntil([&] { return version(*net.hosts[0]) == 2; }));
    // Without any other relay the store is all that there is.
    net.hosts.clear();
    net.hosts.resize(3);
    net.start(0);
    CHECK(net.runUntil([&] { return version(*net.hosts[0]) == 2; }));
}
