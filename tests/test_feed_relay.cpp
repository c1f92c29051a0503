// Tests of relays, the hosts that read the store for others: which hosts follow them, what they forward, and what
// happens when one fails.
#include "failure_support.h"
#include "feed_recorder.h"
#include "gateway_harness.h"
#include "standin_store.h"
#include "store_feed.h"

using namespace foxtaildyke;
using namespace std::chrono_literals;

namespace
{

const http_endpoint kFirstRelay{"10.0.0.1", 7};
const http_endpoint kSecondRelay{"10.0.0.2", 7};

platform::item_event makeEvent(const std::string &name, std::uint64_t revision, bool isRemoved = false)
{
    return {isRemoved, {name, revision, 1, {{"service", "s"}}, {}}};
}

std::string encodedUpdates(const platform::kind_mirror &mirror, std::uint64_t revision)
{
    return platform::encodeState({.queriers = 1}, platform::encodeLoadReport({})) + '\n'
        + platform::encodePages({{"servers", mirror.updatesFor(revision)}});
}

nlohmann::json replicaSpec()
{
    return {{"service", "s"},  {"address", "10.0.0.1:80"}, {"zone", "d1"},
            {"version", "v1"}, {"batch_slots", 8},         {"state", "ready"}};
}

/// A relay and hosts that may follow it, connected to an emulated store.
struct relayed_hosts : test_loop {
    struct host {
        host(event_loop &loop, const http_endpoint &store, platform::relay_addresses addresses)
            : feed(loop, store, {300ms, 300ms}, std::move(addresses))
        {
        }
        feed_recorder recorder;
        platform::store_feed feed;
    };

    explicit relayed_hosts(int followers)
    {
        store.put("config", "main", {{"version", 1}});
        store.put("servers", "r1", replicaSpec());
        relay = std::make_unique<host>(loop, store.endpoint, addressesOf("relay", address));
        REQUIRE(relay->feed.listen().has_value());
        relay->feed.start(relay->recorder);
        for (int i = 0; i < followers; ++i) {
            const auto name = "host-" + std::to_string(i);
            hosts.push_back(std::make_unique<host>(loop, store.endpoint, addressesOf(name, {"127.0.0.1", 1})));
            hosts.back()->feed.start(hosts.back()->recorder);
        }
    }

    [[nodiscard]] platform::relay_addresses addressesOf(const std::string &name, const http_endpoint &own) const
    {
        return {name, {address}, own};
    }

    [[nodiscard]] bool allRecorded(const std::string &event) const
    {
        return std::ranges::all_of(hosts, [&](const auto &host) { return host->recorder.hasEvent(event); });
    }

    [[nodiscard]] bool allHaveReplica(const std::string &replica) const
    {
        return std::ranges::all_of(hosts, [&](const auto &host) {
            return std::ranges::find(host->recorder.replicas, replica) != host->recorder.replicas.end();
        });
    }

    http_endpoint address{"127.0.0.1", testing::reservePort()};
    standin_store store{loop};
    std::unique_ptr<host> relay;
    std::vector<std::unique_ptr<host>> hosts;
};

/// A relay that is slow to send its content, as its link is shared by many hosts that start.
struct slow_relay : test_loop {
    slow_relay()
    {
        const http_endpoint address = server.entry("").address;
        feed.emplace(loop, store.endpoint, platform::feed_timing{300ms, 300ms},
                     platform::relay_addresses{"host-1", {address}, {"127.0.0.1", 1}});
    }

    replica_script respond(const received_request &request)
    {
        const bool asksForContent = request.head.target.find("&config=") != std::string::npos;
        contentQueries += asksForContent ? 1 : 0;
        const std::string body = asksForContent ? state + content : state + "{}";
        const auto head = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        if (!asksForContent || contentQueries > 1)
            return {.bytes = head + body, .delay = 50ms};
        replica_script script{.bytes = head + body.substr(0, 1), .later = {}, .laterDelay = pause};
        for (std::size_t begin = 1; begin < body.size(); begin += 1 + body.size() / parts)
            script.later.push_back(body.substr(begin, 1 + body.size() / parts));
        return script;
    }

    [[nodiscard]] static std::string makeContent()
    {
        std::vector<std::pair<std::string, std::string>> pages;
        for (const char *kind : {"config", "servers", "rollouts", "crash-reports"}) {
            platform::kind_mirror mirror;
            platform::kind_page page;
            page.revision = 5;
            if (kind == std::string_view("servers"))
                page.items.push_back({false, {"r1", 5, 1, replicaSpec(), {}}});
            if (kind == std::string_view("config"))
                page.items.push_back({false, {"main", 5, 1, {{"version", 1}}, {}}});
            mirror.applyList(page);
            pages.emplace_back(kind, mirror.updatesFor(0));
        }
        return platform::encodePages(pages);
    }

    std::chrono::milliseconds pause{250};
    std::size_t parts = 6;
    std::size_t contentQueries = 0;
    std::string content = makeContent();
    std::string state = platform::encodeState({.queriers = 20, .groupSize = 21}, platform::encodeLoadReport({})) + '\n';
    standin_store store{loop};
    scripted_replica server{loop, "relay", [this](const received_request &request) {
                                return respond(request);
                            }};
    feed_recorder recorder;
    std::optional<platform::store_feed> feed;
};

} // namespace

TEST_CASE("relay choice: a relay reads the store itself, others query the relays in a per-host order")
{
    relay_choice own("a", {kFirstRelay, kSecondRelay}, kFirstRelay);
    CHECK(own.isRelay());
    CHECK(own.next(1s) == nullptr);
    relay_choice other("b", {kFirstRelay, kSecondRelay}, {"10.0.0.3", 7});
    REQUIRE(other.next(1s));
    const auto first = *other.next(1s);
    other.recordFailure(first, false, 1s);
    REQUIRE(other.next(2s));
    const auto second = *other.next(2s);
    CHECK(second != first);
    other.recordFailure(second, false, 2s);
    CHECK(other.next(3s) == nullptr); // falls back to the store
    CHECK(*other.next(1s + relay_choice::kFailureBackoff) == first);
    other.recordFailure(first, true, 4s);
    CHECK(*other.next(4s) == first); // not skipped while the store is unreachable: a relay detects its recovery first
    CHECK(relay_choice("c", {}, kFirstRelay).next(1s) == nullptr);
    int onFirst = 0;
    for (int i = 0; i < 100; ++i)
        onFirst +=
            *relay_choice("host-" + std::to_string(i), {kFirstRelay, kSecondRelay}, {}).next(1s) == kFirstRelay ? 1 : 0;
    CHECK(onFirst > 30);
    CHECK(onFirst < 70);
}

TEST_CASE("relay choice: small fleets have no relay, and stale or partial data isn't forwarded")
{
    relay_query_tracker queriers;
    for (int i = 0; i < 5; ++i)
        queriers.recordQuery("host-" + std::to_string(i), std::nullopt, false, 1s);
    CHECK_FALSE(relay_choice::shouldFollow(queriers.size(2s)));
    queriers.recordQuery("host-0", std::nullopt, false, 2s);
    CHECK_FALSE(relay_choice::shouldFollow(queriers.size(2s)));
    queriers.recordQuery("host-5", std::nullopt, false, 2s);
    CHECK(relay_choice::shouldFollow(queriers.size(2s)));
    CHECK_FALSE(relay_choice::shouldFollow(queriers.size(11'500ms))); // queries of absent hosts expire

    CHECK(relay_query_tracker::mayRespond(10s, true, 10s + relay_query_tracker::kMaxConfirmationAge));
    CHECK_FALSE(relay_query_tracker::mayRespond(10s, true, 10'001ms + relay_query_tracker::kMaxConfirmationAge));
    CHECK_FALSE(relay_query_tracker::mayRespond(10s, false, 10s));
    CHECK_FALSE(relay_query_tracker::mayRespond(std::nullopt, true, 10s));
}

TEST_CASE("kind mirror: changes since a revision, or the complete list once they are evicted")
{
    platform::kind_mirror mirror;
    CHECK_FALSE(mirror.isComplete());
    mirror.applyList({{makeEvent("a", 3), makeEvent("b", 4)}, false, 10});
    const auto all = platform::decodeFeed(encodedUpdates(mirror, 0)).value().kinds.at("servers");
    CHECK(all.isList);
    CHECK(all.page.items.size() == 2);
    CHECK(all.page.revision == 10);

    CHECK_FALSE(mirror.hasUpdatesFor(10));
    mirror.applyEvents({{makeEvent("c", 11), makeEvent("a", 3, true)}, false, 12});
    CHECK(mirror.hasUpdatesFor(10));
    CHECK_FALSE(mirror.hasUpdatesFor(12));
    const auto updates = platform::decodeFeed(encodedUpdates(mirror, 10)).value().kinds.at("servers");
    CHECK_FALSE(updates.isList);
    REQUIRE(updates.page.items.size() == 2);
    CHECK(updates.page.items[1].isRemoved);
    CHECK(updates.page.items[0].item.spec["service"] == "s");
    // A host that has read the store itself may be ahead; its revision must not go back.
    const auto ahead = platform::decodeFeed(encodedUpdates(mirror, 20)).value().kinds.at("servers");
    CHECK(ahead.page.items.empty());
    CHECK(ahead.page.revision == 20);

    for (std::uint64_t i = 13; i < 13 + 600; ++i)
        mirror.applyEvents({{makeEvent("d", i)}, false, i});
    CHECK(platform::decodeFeed(encodedUpdates(mirror, 12)).value().kinds.at("servers").isList);
    CHECK_FALSE(platform::decodeFeed(encodedUpdates(mirror, 600)).value().kinds.at("servers").isList);
}

TEST_CASE("kind mirror: a malformed response is rejected with the name of the field")
{
    for (const std::string body :
         {"", "[]", "{}", "{}\n{}", "{\"config_age_ms\":-1}\n{}", "{\"config_age_ms\":1}", "{\"config_age_ms\":1}\n[]",
          "{\"config_age_ms\":1}\nx\x9c garbage", "{\"config_age_ms\":1}\n{\"servers\":{\"items\":[]}}",
          "{\"config_age_ms\":1}\n{\"servers\":7}"})
        CHECK(platform::decodeFeed(body).has_error());
}

TEST_CASE("feed relay: many hosts follow it and receive changes at once without calling the store")
{
    relayed_hosts net(8);
    REQUIRE(net.runUntil([&] { return net.allRecorded("relay_followed 127.0.0.1"); }));
    net.runFor(400ms); // lets the relay's own watches settle
    const auto callsBefore = net.store.calls;
    for (int i = 0; i < 5; ++i) {
        net.store.put("servers", "more-" + std::to_string(i), replicaSpec());
        REQUIRE(net.runUntil([&] { return net.allHaveReplica("more-" + std::to_string(i)); }));
    }
    // At most one watch per kind and change, by the relay alone.
    CHECK(net.store.calls - callsBefore < 30);
    CHECK(net.runUntil([&] { return net.relay->recorder.storeCalls[store_call_cause::change] >= 5; }));
    CHECK(net.relay->recorder.storeCalls[store_call_cause::start] == 4); // one for each kind
    // The relay and the 8 hosts that query it, times one relay.
    CHECK(net.runUntil([&] { return net.hosts[0]->recorder.fleetSize == 9 && net.relay->recorder.fleetSize == 9; }));
    net.relay->recorder.ownLoads = {{"r1", 1}};
    net.hosts[1]->recorder.ownLoads = {{"r1", 2}};
    net.hosts[2]->recorder.ownLoads = {{"r1", 4}};
    CHECK(net.runUntil([&] {
        const auto &others = net.hosts[1]->recorder.othersLoads;
        return others.size() == 1 && others[0].running == 5;
    }));
    CHECK(net.runUntil([&] {
        const auto &others = net.relay->recorder.othersLoads;
        return others.size() == 1 && others[0].running == 6;
    }));
    net.store.remove("servers", "more-0");
    CHECK(net.runUntil([&] { return !net.allHaveReplica("more-0"); }));
    net.store.put("config", "main", {{"version", 2}});
    CHECK(net.runUntil([&] {
        return std::ranges::all_of(net.hosts,
                                   [](const auto &host) { return host->recorder.configs.back()->version == 2; });
    }));
}

TEST_CASE("feed relay: the hosts of a small fleet learn their number from it, also without the store")
{
    relayed_hosts net(3);
    REQUIRE(net.runUntil([&] { return net.hosts[0]->recorder.fleetSize == 4; }));
    CHECK_FALSE(net.hosts[0]->recorder.hasEvent("relay_followed 127.0.0.1"));
    net.store.setState(store_state::silent);
    net.hosts.pop_back();
    CHECK(net.runUntil([&] { return net.hosts[0]->recorder.fleetSize == 3; })); // once that host's query is old
}

TEST_CASE("kind mirror: a relay that refuses states the size of its group, or nothing that can be read")
{
    const std::vector<http_endpoint> deputies{{"10.0.0.1", 80}, {"10.0.0.2", 81}};
    const auto state = platform::decodeRefusal(platform::encodeRefusal({.groupSize = 7, .deputies = deputies}));
    CHECK(state.groupSize == 7);
    CHECK(state.deputies == deputies);
    for (const auto *body : {"", "[]", "{}", R"({"group":-1})", R"({"group":"7","deputies":{}})",
                             R"({"deputies":["x",7,"10.0.0.1","10.0.0.1:99999"]})"}) {
        CHECK(platform::decodeRefusal(body).groupSize == 0);
        CHECK(platform::decodeRefusal(body).deputies.empty());
    }
}

TEST_CASE("feed relay: after it stops or loses the store, the hosts read the store themselves")
{
    for (const bool isRelayStopped : {true, false}) {
        relayed_hosts net(8);
        REQUIRE(net.runUntil([&] { return net.allRecorded("relay_followed 127.0.0.1"); }));
        if (isRelayStopped)
            net.relay.reset();
        else
            net.store.setState(store_state::silent);
        REQUIRE(net.runUntil([&] { return net.allRecorded("relay_lost 127.0.0.1"); }));
        net.store.setState(store_state::serving);
        net.store.put("servers", "later", replicaSpec());
        CHECK(net.runUntil([&] { return net.allHaveReplica("later"); }));
    }
}

TEST_CASE("feed relay: while the store refuses calls, hosts probe it rarely, and all of them detect its recovery")
{
    relayed_hosts net(8);
    REQUIRE(net.runUntil([&] { return net.allRecorded("relay_followed 127.0.0.1"); }));
    net.store.setState(store_state::refusing);
    REQUIRE(net.runUntil([&] { return net.allRecorded("relay_lost 127.0.0.1"); }));
    const auto callsBefore = net.store.calls;
    net.runFor(3s);
    // The relay retries every 0.4 s; the others only query the relay as long as it responds.
    CHECK(net.store.calls - callsBefore < 12);
    for (const auto &host : net.hosts)
        CHECK(host->recorder.storeCalls[store_call_cause::relay_lost] == 0);
    net.store.setState(store_state::serving);
    net.store.put("servers", "later", replicaSpec());
    CHECK(net.runUntil([&] { return net.allHaveReplica("later"); }));
}

TEST_CASE("feed relay: a host that starts reads the content once, and waits for it as long as it arrives")
{
    slow_relay net; // 1.5 s in all, while a response without progress ends after 0.6 s
    net.feed->start(net.recorder);
    REQUIRE(net.runUntil([&] { return !net.recorder.replicas.empty(); }));
    CHECK(net.contentQueries == 1);
    CHECK(net.recorder.storeCalls.empty());
    CHECK_FALSE(net.recorder.hasEvent("relay_lost 127.0.0.1"));
}

TEST_CASE("feed relay: a host leaves a relay whose response makes no progress")
{
    slow_relay net;
    net.pause = 30s;
    net.store.put("config", "main", {{"version", 1}});
    net.feed->start(net.recorder);
    CHECK(net.runUntil([&] { return net.recorder.hasEvent("relay_lost 127.0.0.1"); }));
    CHECK(net.contentQueries == 1);
    CHECK(net.runUntil([&] { return !net.recorder.replicas.empty(); })); // it responds again
}

TEST_CASE("feed relay: a host whose build doesn't know a kind waits for updates of the others")
{
    relayed_hosts net(1);
    net.store.put("crash-reports", "host-9", {{"reports", nlohmann::json::array()}});
    REQUIRE(net.runUntil([&] { return net.relay->recorder.hostReports.contains("host-9"); }));
    http_client client{net.loop};
    std::optional<http_response> response;
    // The revisions of the kinds that the older build follows, as in store_feed::queryRelay().
    const auto query = [&](std::uint64_t revision, int waitMs) {
        const auto text = std::to_string(revision);
        http_request call;
        call.endpoint = net.address;
        call.method = http_method::post;
        call.target = platform::kFeedPath;
        call.target.addParameter("host", "old").addParameter("wait_ms", std::to_string(waitMs));
        for (const auto *kind : {"config", "servers", "rollouts"})
            call.target.addParameter(kind, text);
        http_handlers handlers;
        handlers.onDone = [&response](const http_response &received) {
            response = received;
        };
        response.reset();
        client.start(std::move(call), std::move(handlers));
    };
    query(0, 0);
    REQUIRE(net.runUntil([&] { return response.has_value(); }));
    REQUIRE(response->status == 200);
    const auto feed = platform::decodeFeed(response->body);
    REQUIRE(feed.has_value());
    CHECK_FALSE(feed.value().kinds.contains("crash-reports"));
    constexpr std::uint64_t kNewerThanAll = 1'000'000;
    query(kNewerThanAll, 5000);
    net.runFor(300ms);
    CHECK_FALSE(response.has_value());
}

TEST_CASE("feed relay: in a small fleet, hosts read the store themselves")
{
    relayed_hosts net(3);
    net.runFor(2 * relay_choice::kPollInterval + 500ms);
    for (const auto &host : net.hosts)
        CHECK_FALSE(host->recorder.hasEvent("relay_followed 127.0.0.1"));
    net.store.put("servers", "later", replicaSpec());
    CHECK(net.runUntil([&] { return net.allHaveReplica("later"); }));
}

TEST_CASE("relay: a host that starts while the store shows an older copy takes up no configuration that was replaced")
{
    for (const int followers : {2, 7}) { // they read the store themselves, or follow the relay
        CAPTURE(followers);
        relayed_hosts net(followers);
        net.store.takeCopy();
        net.store.put("config", "main", {{"version", 2}});
        const auto hasVersion = [](const relayed_hosts::host &host, generation_number version) {
            return !host.recorder.configs.empty() && host.recorder.configs.back()->version == version;
        };
        REQUIRE(net.runUntil([&] {
            return hasVersion(*net.relay, 2)
                && std::ranges::all_of(net.hosts, [&](const auto &host) { return hasVersion(*host, 2); });
        }));
        net.store.rewind(); // version 1 again, until the operator has written once more
        REQUIRE(net.runUntil([&] { return net.relay->recorder.rewinds == 1; }));
        net.runFor(300ms);
        relayed_hosts::host started(net.loop, net.store.endpoint, net.addressesOf("started", {"127.0.0.1", 1}));
        started.feed.start(started.recorder);
        REQUIRE(net.runUntil([&] { return started.recorder.hasEvent("config_outdated main"); }));
        CHECK(started.recorder.configs.empty());
        net.store.put("config", "main", {{"version", 2}});
        CHECK(net.runUntil([&] { return hasVersion(started, 2); }));
    }
}

TEST_CASE("relay: hosts that follow it get the content of the new era when the store came back from an older copy")
{
    relayed_hosts net(7);
    net.store.takeCopy();
    const auto followsRelay = [](const auto &host) {
        return host->recorder.hasEvent("relay_followed 127.0.0.1");
    };
    REQUIRE(net.runUntil([&] { return std::ranges::all_of(net.hosts, followsRelay); }));
    net.store.put("servers", "r2", replicaSpec());
    const auto haveAll = [&net](const std::vector<std::string> &names) {
        return std::ranges::all_of(net.hosts, [&names](const auto &host) {
            auto known = host->recorder.replicas;
            std::ranges::sort(known);
            return known == names;
        });
    };
    REQUIRE(net.runUntil([&] { return haveAll({"r1", "r2"}); }));
    net.store.rewind();
    net.store.put("servers", "r3", replicaSpec());
    CHECK(net.runUntil([&] { return haveAll({"r1", "r3"}); }));
    CHECK(std::ranges::all_of(net.hosts, [](const auto &host) { return host->recorder.rewinds == 1; }));
}

// Guards against calls for one kind that go on side by side: a host that follows a relay again kept reading the store.
TEST_CASE(
    "relay: hosts that search the store as it comes back from an older copy read each kind once, and stop for a relay")
{
    relayed_hosts net(8);
    REQUIRE(net.runUntil([&] { return net.allRecorded("relay_followed 127.0.0.1"); }));
    net.store.takeCopy();
    net.store.setState(store_state::refusing);
    net.relay.reset();
    REQUIRE(net.runUntil([&] { return net.allRecorded("store_lost config"); }));
    net.store.rewind();
    net.store.setState(store_state::serving);
    net.store.put("servers", "later", replicaSpec());
    REQUIRE(net.runUntil([&] { return net.allHaveReplica("later"); }));
    net.runFor(1500ms); // beyond the time for which they wait for a relay
    for (auto &host : net.hosts)
        host->recorder.events.clear();
    net.relay =
        std::make_unique<relayed_hosts::host>(net.loop, net.store.endpoint, net.addressesOf("relay", net.address));
    REQUIRE(net.relay->feed.listen().has_value());
    net.relay->feed.start(net.relay->recorder);
    REQUIRE(net.runUntil([&] { return net.allRecorded("relay_followed 127.0.0.1"); }));
    for (auto &host : net.hosts)
        host->recorder.storeCalls.clear();
    net.runFor(1s);
    for (const auto &host : net.hosts)
        CHECK(host->recorder.storeCalls.empty());
}
