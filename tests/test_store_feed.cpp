// Tests of the adapter to the platform's store: lists, watches, invalid entries and an unreachable store.
#include "feed_recorder.h"
#include "gateway_harness.h"
#include "loopback_p.h"
#include "standin_store.h"
#include "store_feed.h"

using namespace foxtaildyke;
using namespace std::chrono_literals;

namespace
{

std::string object(const std::string &name, const std::string &spec, const std::string &status = "null")
{
    return R"({"metadata":{"name":")" + name + R"(","revision":7,"created":3},"spec":)" + spec + R"(,"status":)"
        + status + "}";
}

std::string replicaSpec(const std::string &state = "ready")
{
    return R"({"service":"s","address":"10.0.0.1:80","zone":"d1","version":"v1","batch_slots":8,"state":")" + state
        + R"(","born":1700000000000})";
}

std::string listOf(const std::string &items, bool isTruncated = false)
{
    return R"({"items":[)" + items + R"(],"truncated":)" + (isTruncated ? "true" : "false") + R"(,"at":10})";
}

std::string eventsOf(const std::string &events, int revision)
{
    return R"({"events":[)" + events + R"(],"at":)" + std::to_string(revision) + "}";
}

/// Store whose list responses come from a table and whose watch responses come from a function.
struct scripted_store : loopback {
    std::map<std::string, std::string> lists{
        {"config", listOf("")}, {"servers", listOf("")}, {"rollouts", listOf("")}, {"crash-reports", listOf("")}};
    std::function<void(const std::string &kind, const http_exchange_ptr &)> onWatch;
    std::vector<http_exchange_ptr> waiting; ///< watches without a response
    std::vector<std::string> waits; ///< wait_ms of each watch of the configuration
    feed_recorder recorder;
    platform::store_feed feed{loop, endpoint, {200ms, 200ms}};

    scripted_store()
    {
        serve = [this](const http_exchange_ptr &exchange) {
            const auto kind = exchange->path.substr(exchange->path.rfind('/') + 1);
            if (!exchange->query.contains("watch"))
                return exchange->respond(200, lists[exchange->query.contains("after") ? kind + " after" : kind]);
            if (kind == "config")
                waits.push_back(exchange->query["wait_ms"]);
            if (onWatch)
                return onWatch(kind, exchange);
            waiting.push_back(exchange);
        };
    }

    /// Runs until the condition holds. @returns false if it doesn't hold within the time limit.
    bool runUntil(const std::function<bool()> &condition)
    {
        std::function<void()> poll = [&] {
            if (condition())
                return loop.stop();
            loop.after(5ms, poll);
        };
        poll();
        return run();
    }
};

} // namespace

TEST_CASE("store feed: configuration, replicas and roll-outs are decoded once")
{
    scripted_store store;
    store.lists["config"] =
        listOf(object("main", R"({"version":9,"routes":[{"name":"r","hostname":"h","path_prefix":"/a/",
        "route_type":"stream","resumable":true,"timeout_ms":25000,"target_latency_ms":1000,"priority":1,"max_attempts":3,
        "sizes":["m0","m1"],"traffic_split":[{"service":"s","weight":9},{"service":"t","weight":1}]}],
        "services":[{"name":"s","health_path":"/h","engine":{"batch_slots":8,"models":[{"name":"m0","cost":0.1}]}}],
        "limits":{"max_header_bytes":1000},"tenants":[{"name":"a","api_keys":["k1","k2"],"priority":2}]})"));
    store.lists["servers"] = listOf(object("i1", replicaSpec()));
    store.lists["rollouts"] = listOf(object("s", R"({"service":"s","target":"v2","duration_s":12})",
                                            R"({"state":"in_progress","target":"v2","stage":2})"));
    store.feed.start(store.recorder);
    REQUIRE(store.runUntil([&] {
        return !store.recorder.configs.empty() && !store.recorder.orders.empty() && !store.recorder.replicas.empty();
    }));
    const auto &config = *store.recorder.configs[0];
    CHECK(config.version == 9);
    REQUIRE(config.routes.size() == 1);
    CHECK(config.routes[0].retryRule == retry_rule::stream);
    CHECK(config.routes[0].mayRetry());
    CHECK(config.routes[0].targets.size() == 2);
    CHECK(config.routes[0].models == std::vector<std::string>{"m0", "m1"});
    CHECK(config.limits.headBytes == 1000);
    REQUIRE(config.findAccount("k2"));
    CHECK(config.findAccount("k2")->name == "a");
    CHECK(config.findService("s")->engine->modelCosts.at("m0") == doctest::Approx(0.1));
    CHECK(store.recorder.orders[0].state == rollout_state::in_progress);
    CHECK(store.recorder.orders[0].stage == 2);
    CHECK(store.recorder.orders[0].duration == 12s);
}

TEST_CASE("store feed: the status of an earlier order is ignored for a new one")
{
    platform::stored_item item;
    item.name = "s";
    item.spec = {{"service", "s"}, {"target", "v3"}, {"duration_s", 4.5}};
    item.status = {{"state", "completed"}, {"target", "v2"}};
    CHECK(platform::decodeRollout(item).value().state == rollout_state::ordered);
}

TEST_CASE("store feed: an invalid entry yields no replica and doesn't affect the others")
{
    scripted_store store;
    store.lists["servers"] =
        listOf(object("good", replicaSpec()) + "," + object("odd-state", replicaSpec("resting")) + ","
               + object("no-address", R"({"service":"s","state":"ready","zone":"d","version":"v","batch_slots":1})")
               + "," + object("wrong-type", R"({"service":5,"address":[],"state":"ready"})") + ","
               + object("bytes", "\"\\u0001\"") + "," + object("null", "null") + ",17");
    store.feed.start(store.recorder);
    REQUIRE(store.runUntil([&] { return !store.recorder.replicas.empty(); }));
    CHECK(store.recorder.replicas == std::vector<std::string>{"good"});
    CHECK(store.recorder.hasEvent("replica_unusable odd-state"));
    CHECK(store.recorder.hasEvent("replica_unusable bytes"));
}

namespace
{

std::string nestedList(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/// Contents of entries that no JSON reader, or none with bounds, accepts.
std::vector<std::string> unreadableSpecs()
{
    return {"{\"service\":\"\xff\xfe\x80\xc3\"}",      R"({"service":"\udcff\udcfe"})", R"({"batch_slots":1e999})",
            R"({"note":)" + nestedList(250'000) + "}", "{\"service\":\"a\nb\"}",        "bytes"};
}

} // namespace

// Guards against a gateway that ends, or learns nothing more of any replica, because of one entry.
TEST_CASE("store feed: an entry that can't be read affects no other, in a list, on a later page and in a watch")
{
    for (const auto &spec : unreadableSpecs()) {
        scripted_store store;
        store.lists["servers"] = listOf(object("i1", replicaSpec()) + ',' + object("bad1", spec), true);
        store.lists["servers after"] = listOf(object("bad2", spec) + ',' + object("i2", replicaSpec()));
        int watches = 0;
        store.onWatch = [&](const std::string &kind, const http_exchange_ptr &exchange) {
            if (kind != "servers" || ++watches > 1)
                return store.waiting.push_back(exchange);
            exchange->respond(200,
                              eventsOf(R"({"removed":false,"object":)" + object("i1", spec) + "},"
                                           + R"({"removed":true,"object":)" + object("bad1", spec) + "},"
                                           + R"({"removed":false,"object":)" + object("i3", replicaSpec()) + "}",
                                       11));
        };
        store.feed.start(store.recorder);
        CHECK(store.runUntil([&] { return store.recorder.replicas == std::vector<std::string>{"i2", "i3"}; }));
        for (const auto *name : {"bad1", "bad2", "i1"})
            CHECK(std::ranges::count(store.recorder.events, "entry_unreadable servers/" + std::string(name)) == 1);
        CHECK(!store.recorder.hasEvent("store_lost servers"));
    }
}

// Guards against a configuration that can't be read and stops the one before from being confirmed.
TEST_CASE("store feed: after a configuration that can't be read, the one before holds")
{
    for (const auto &spec : unreadableSpecs()) {
        scripted_store store;
        store.lists["config"] = listOf(object("main", R"({"version":9})"));
        int watches = 0;
        store.onWatch = [&](const std::string &kind, const http_exchange_ptr &exchange) {
            if (kind != "config" || ++watches > 2)
                return store.waiting.push_back(exchange);
            const auto next = watches == 1 ? spec : R"({"version":10})";
            exchange->respond(200,
                              eventsOf(R"({"removed":false,"object":)" + object("main", next) + "}", 10 + watches));
        };
        store.feed.start(store.recorder);
        REQUIRE(store.runUntil([&] { return store.recorder.configs.size() >= 2; }));
        CHECK(store.recorder.configs[0]->version == 9);
        CHECK(store.recorder.configs[1]->version == 10);
        CHECK(store.recorder.hasEvent("entry_unreadable config/main"));
        CHECK(!store.recorder.hasEvent("store_lost config"));
    }
}

// Guards against a follower that loses its relay, or ends, because of one entry in what the relay sends.
TEST_CASE("store feed: a relayed entry that can't be read affects no other")
{
    const auto head = platform::encodeState({.queriers = 1}, platform::encodeLoadReport({})) + '\n';
    for (const auto &spec : unreadableSpecs()) {
        const auto item = [](const std::string &name, const std::string &content) {
            return std::string(R"({"name":")")
                .append(name)
                .append(R"(","revision":7,"created":3,"status":null,"spec":)")
                .append(content)
                .append("}");
        };
        const auto feed = platform::decodeFeed(head + R"({"servers":{"revision":10,"list":true,"items":[)"
                                               + item("bad", spec) + ',' + item("i1", replicaSpec()) + "]}}");
        REQUIRE(feed.has_value());
        const auto &items = feed.value().kinds.at("servers").page.items;
        REQUIRE(items.size() == 2);
        CHECK(items[0].item.name == "bad");
        CHECK(platform::decodeReplica(items[0].item).has_error());
        CHECK(platform::decodeReplica(items[1].item).has_value());
    }
}

TEST_CASE("store feed: a long list is read in pages, and changes arrive through the watch")
{
    scripted_store store;
    store.lists["servers"] = listOf(object("i1", replicaSpec()), true);
    store.lists["servers after"] = listOf(object("i2", replicaSpec()));
    int watches = 0;
    store.onWatch = [&](const std::string &kind, const http_exchange_ptr &exchange) {
        if (kind != "servers" || ++watches > 1)
            return store.waiting.push_back(exchange);
        exchange->respond(200,
                          eventsOf(R"({"removed":true,"object":)" + object("i1", replicaSpec()) + "},"
                                       + R"({"removed":false,"object":)" + object("i3", replicaSpec()) + "}",
                                   11));
    };
    store.feed.start(store.recorder);
    REQUIRE(store.runUntil([&] { return store.recorder.replicas == std::vector<std::string>{"i2", "i3"}; }));
}

namespace
{

std::string configObject(int version)
{
    return object("main", R"({"version":)" + std::to_string(version) + "}");
}

std::string configChange(int version)
{
    return R"({"removed":false,"object":)" + configObject(version) + "}";
}

/// Responds to a watch without changes when its wait has ended.
void endLater(event_loop &loop, const http_exchange_ptr &exchange)
{
    const std::chrono::milliseconds wait{std::stoi(exchange->query["wait_ms"])};
    loop.after(wait + 5ms, [exchange] { exchange->respond(200, eventsOf("", 20)); });
}

} // namespace

// Guards against a withdrawn key that is accepted while a host catches up with the store after an outage.
TEST_CASE("store feed: a page of changes confirms nothing, whether or not it says that more follow")
{
    for (const auto *const more : {"", R"(,"truncated":true)"}) {
        CAPTURE(more);
        scripted_store store;
        store.lists["config"] = listOf(configObject(9));
        instant lastPageAt{};
        store.onWatch = [&](const std::string &kind, const http_exchange_ptr &exchange) {
            if (kind != "config")
                return store.waiting.push_back(exchange);
            if (exchange->query["watch"] == "10") { // the first page of what was missed
                store.lists["config"] = R"({"items":[)" + configObject(12) + R"(],"truncated":false,"at":20})";
                return exchange->respond(200, R"({"events":[)" + configChange(10) + R"(],"at":11)" + more + "}");
            }
            if (exchange->query["watch"] == "11") {
                lastPageAt = suspendAwareNow();
                return exchange->respond(200, eventsOf(configChange(12), 20));
            }
            endLater(store.loop, exchange);
        };
        store.feed.start(store.recorder);
        REQUIRE(store.runUntil([&] {
            const auto isCatchingUp = !store.recorder.configs.empty() && store.recorder.configs.back()->version == 10;
            CHECK((!isCatchingUp || store.recorder.confirmations == 1));
            return store.recorder.confirmations >= 3;
        }));
        CHECK(store.recorder.configs.back()->version == 12);
        CHECK(store.recorder.confirmedAt[1] >= lastPageAt);
    }
}

// Guards against a host in touch with the store that refuses keys because changes arrive all the time.
TEST_CASE("store feed: while each watch returns a change, the list confirms the configuration")
{
    scripted_store store;
    store.lists["config"] = listOf(configObject(9));
    int version = 9;
    store.onWatch = [&](const std::string &kind, const http_exchange_ptr &exchange) {
        if (kind != "config")
            return store.waiting.push_back(exchange);
        store.lists["config"] = listOf(configObject(++version));
        exchange->respond(200, eventsOf(configChange(version), version + 10));
    };
    store.feed.start(store.recorder);
    CHECK(store.runUntil([&] { return store.recorder.confirmations >= 4; }));
    CHECK(version < 9 + 4 * 6); // changes are still read in batches
}

// Guards against a key that was withdrawn while the later pages of a list were read.
TEST_CASE("store feed: a list of several pages confirms the configuration as of its first page")
{
    scripted_store store;
    store.lists["config"] = listOf(object("another", "{}"), true);
    store.lists["config after"] = listOf(configObject(9));
    std::optional<instant> firstPageAt;
    store.serve = [&store, &firstPageAt, respond = store.serve](const http_exchange_ptr &exchange) {
        if (!firstPageAt && exchange->path.ends_with("/config"))
            firstPageAt = suspendAwareNow();
        respond(exchange);
    };
    store.feed.start(store.recorder);
    REQUIRE(store.runUntil([&] { return store.recorder.confirmations >= 1; }));
    CHECK(store.recorder.configs.size() == 1);
    CHECK(store.recorder.confirmedAt.front() <= *firstPageAt);
}

// Guards against a lease that counts from an instant in the future.
TEST_CASE("store feed: a watch that ends early without changes confirms no more than it can know")
{
    scripted_store store;
    store.lists["config"] = listOf(configObject(9));
    store.onWatch = [&](const std::string &kind, const http_exchange_ptr &exchange) {
        if (kind != "config")
            return store.waiting.push_back(exchange);
        store.loop.after(20ms, [exchange] { exchange->respond(200, eventsOf("", 10)); });
    };
    store.feed.start(store.recorder);
    REQUIRE(store.runUntil([&] {
        const auto now = suspendAwareNow();
        CHECK(std::ranges::all_of(store.recorder.confirmedAt, [now](auto at) { return at <= now; }));
        return store.recorder.confirmations >= 3;
    }));
}

// Guards against a withdrawn key that is accepted again, and for as long as the store shows an older copy.
TEST_CASE(
    "store feed: a store that came back from an older copy confirms nothing until it shows the newest configuration")
{
    test_loop loop;
    standin_store store{loop.loop};
    store.put("config", "main", {{"version", 1}});
    store.takeCopy();
    store.put("config", "main", {{"version", 2}});
    feed_recorder recorder;
    platform::store_feed feed{loop.loop, store.endpoint, {100ms, 100ms}, {"host-1", {}, {}}};
    feed.start(recorder);
    REQUIRE(loop.runUntil([&] { return recorder.confirmations >= 3; }));
    store.rewind();
    REQUIRE(loop.runUntil([&] { return recorder.hasEvent("config_outdated main"); }));
    const auto before = recorder.confirmations;
    const auto calls = recorder.storeCallsByKind;
    loop.runFor(500ms);
    CHECK(recorder.confirmations == before);
    CHECK(recorder.hasEvent("config_behind config"));
    std::size_t configCalls = 0;
    for (const auto &[call, count] : recorder.storeCallsByKind)
        if (call.first == "config")
            configCalls += count - (calls.contains(call) ? calls.at(call) : 0);
    CHECK(configCalls <= 6); // the waits of the watches are as long as before
    store.put("config", "main", {{"version", 2}});
    CHECK(loop.runUntil([&] { return recorder.confirmations > before; }));
    CHECK(recorder.configs.back()->version == 2);
}

TEST_CASE("store feed: when the history is gone, the list is read again")
{
    scripted_store store;
    store.lists["servers"] = listOf(object("i1", replicaSpec()));
    bool isGone = true;
    store.onWatch = [&](const std::string &kind, const http_exchange_ptr &exchange) {
        if (kind != "servers" || !std::exchange(isGone, false))
            return store.waiting.push_back(exchange);
        store.lists["servers"] = listOf(object("i2", replicaSpec()));
        exchange->respond(410, {});
    };
    store.feed.start(store.recorder);
    CHECK(store.runUntil([&] { return store.recorder.replicas == std::vector<std::string>{"i2"}; }));
}

TEST_CASE("store feed: watches are short after a timeout, so that the store's recovery is detected soon")
{
    scripted_store store;
    store.feed.start(store.recorder); // watches get no response
    REQUIRE(store.runUntil([&] { return store.waits.size() >= 2; }));
    CHECK(store.waits[0] == "200");
    CHECK(store.waits[1] == "100");
    CHECK(store.recorder.hasEvent("store_lost config"));
    store.onWatch = [](const std::string &, const http_exchange_ptr &exchange) {
        exchange->respond(200, eventsOf("", 10));
    };
    CHECK(
        store.runUntil([&] { return store.recorder.hasEvent("store_regained config") && store.recorder.isReachable; }));
}

TEST_CASE("store feed: the state of a roll-out is written conditionally on its revision")
{
    scripted_store store;
    std::string path;
    std::string body;
    store.serve = [&](const http_exchange_ptr &exchange) {
        path = exchange->path;
        body = exchange->body;
        exchange->respond(409, {});
    };
    store.feed.start(store.recorder);
    store.feed.writeRollout({"s", "v2", 12s, rollout_state::rolled_back, 1, 41, 3, {"v0"}});
    REQUIRE(store.runUntil([&] { return store.recorder.hasEvent("rollout_not_written s"); }));
    const auto written = nlohmann::json::parse(body, nullptr, false);
    CHECK(written["status"]["rolled_back"] == nlohmann::json{"v0"});
    CHECK(written["metadata"]["revision"] == 41);
    CHECK(written["status"]["state"] == "rolled_back");
    CHECK(written["status"]["target"] == "v2");
}

TEST_CASE("store feed: crash reports are stored for each host, and entries of other writers are skipped")
{
    scripted_store store;
    store.lists["crash-reports"] = listOf(
        object("host-2", R"({"reports":[{"fingerprint":"2a","crashes":["1","ff"],"answered":false},{"fingerprint":7},
        {"fingerprint":"2b","crashes":"none","answered":true},null]})")
        + "," + object("host-3", "17"));
    store.feed.start(store.recorder);
    REQUIRE(store.runUntil([&] { return !store.recorder.hostReports.empty(); }));
    const std::vector<crash_report> expected{{0x2a, {1, 0xff}, false}, {0x2b, {}, true}};
    CHECK(store.recorder.hostReports.at("host-2").crashes == expected);
    CHECK(store.recorder.hostReports.at("host-3").isEmpty());
}

TEST_CASE("store feed: invalid claims to rate limits are skipped")
{
    scripted_store store;
    store.lists["crash-reports"] = listOf(object("host-2", R"({"limits":[{"replica":"n1","per_second":3,"age_ms":5},
        {"replica":"n2","per_second":-3,"age_ms":5},{"replica":"n3","per_second":"3","age_ms":5},
        {"replica":"n4","per_second":3,"age_ms":-5},{"per_second":3,"age_ms":5},7]})"));
    store.feed.start(store.recorder);
    REQUIRE(store.runUntil([&] { return !store.recorder.hostReports.empty(); }));
    const std::vector<limit_claim> expected{{"n1", 0, 3, 5ms, 0}};
    CHECK(store.recorder.hostReports.at("host-2").limits == expected);
}

TEST_CASE("store feed: a host creates, replaces and removes its report, and a stale write fails")
{
    test_loop loop;
    standin_store store{loop.loop};
    feed_recorder recorder;
    platform::store_feed feed{loop.loop, store.endpoint, {200ms, 200ms}, {"host-1", {}, {}}};
    feed.start(recorder);
    const host_report first{{{0x2a, {1}, false}}, {}};
    const host_report second{{{0x2a, {1, 2}, false}, {0x2b, {}, true}, {0x2c, {3, 4}, false, true, {4}, {9}}},
                             {{"s", "v2", 7, -1.25, 0.75, 9, 1, 8, {"n1", "n2"}, {"n2"}, {"n1"}}},
                             {{"n1", 1'700'000'000'000, 2.9, 350ms, 12}, {"n2", 0, 0, 0ms, 12, true}}};
    REQUIRE(loop.runUntil([&] { return recorder.isReachable; }));
    for (const auto &report : {first, second}) {
        feed.writeHostReport(report);
        REQUIRE(loop.runUntil(
            [&] { return recorder.hostReports.contains("host-1") && recorder.hostReports.at("host-1") == report; }));
    }
    // Two writes based on the same revision: only the first is carried out.
    store.writeOutcome = write_outcome::late;
    feed.writeHostReport(first);
    loop.runFor(50ms);
    store.writeOutcome = write_outcome::answered;
    feed.writeHostReport({});
    REQUIRE(loop.runUntil([&] { return recorder.hostReports.empty(); }));
    loop.runFor(2 * store.writeDelay);
    CHECK(recorder.hostReports.empty());
    CHECK(store.statusOf("crash-reports", "host-1").is_null());
}

TEST_CASE("store feed: crash reports written during a silent outage are read when the store is back")
{
    test_loop loop;
    standin_store store{loop.loop};
    store.put("config", "main", {{"version", 1}});
    feed_recorder recorder;
    platform::store_feed feed{loop.loop, store.endpoint, {200ms, 200ms}, {"host-1", {}, {}}};
    feed.start(recorder);
    REQUIRE(loop.runUntil([&] { return recorder.isReachable; }));
    store.setState(store_state::silent);
    REQUIRE(loop.runUntil([&] { return recorder.hasEvent("store_lost config"); }));
    feed.writeHostReport({{{0x2a, {1}, false}}, {}});
    CHECK(recorder.reportWrites == std::vector<bool>{false}); // not even tried
    store.put("crash-reports", "host-2", {{"reports", {{{"fingerprint", "2a"}, {"crashes", {"1"}}}}}});
    store.setState(store_state::serving);
    CHECK(loop.runUntil([&] { return recorder.hostReports.contains("host-2"); }));
}

namespace
{

constexpr std::array kWatchedKinds{"servers", "rollouts", "crash-reports"};

/// Feed whose watches wait for up to 10 s, unless that is too long for the limit.
struct watching_feed : test_loop {
    static constexpr std::chrono::milliseconds kConfigWatch{100};
    /// Within which a change is to be seen. Watches of the configuration follow one another, so counting them excludes
    /// pauses of this process.
    static constexpr int kMaxConfirmations = 25;

    standin_store store{loop};
    feed_recorder recorder;
    platform::store_feed feed;

    explicit watching_feed(std::chrono::milliseconds changeLimit)
        : feed(loop, store.endpoint, {kConfigWatch, 10s, changeLimit}, {"host-1", {}, {}})
    {
        store.put("config", "main", {{"version", 1}});
        feed.start(recorder);
        REQUIRE(runUntil([this] { return recorder.isReachable; }));
        runFor(2 * kConfigWatch); // all kinds are watched
    }

    void change(const std::string &kind)
    {
        if (kind == "servers")
            store.put(kind, "r1", nlohmann::json::parse(replicaSpec()));
        else if (kind == "rollouts")
            store.put(kind, "s", {{"service", "s"}, {"target", "v2"}, {"duration_s", 12}});
        else
            store.put(kind, "host-2", {{"reports", {{{"fingerprint", "2a"}, {"crashes", {"1"}}}}}});
    }

    [[nodiscard]] bool hasSeen(std::string_view kind) const
    {
        if (kind == "servers")
            return !recorder.replicas.empty();
        return kind == "rollouts" ? !recorder.orders.empty() : recorder.hostReports.contains("host-2");
    }

    /// @returns whether the changes of the kinds are seen in time.
    bool waitUntilSeen(const std::vector<std::string> &kinds)
    {
        const auto last = recorder.confirmations + kMaxConfirmations;
        const auto areSeen = [&] {
            return std::ranges::all_of(kinds, [this](const auto &kind) { return hasSeen(kind); });
        };
        return runUntil([&] { return areSeen() || recorder.confirmations > last; }) && areSeen();
    }
};

} // namespace

// Guards against a host that misses all changes of a kind for as long as a watch may wait, because one response is
// lost.
TEST_CASE("store feed: a watch that never gets a response is replaced in time, whatever its kind")
{
    for (const std::string kind : kWatchedKinds) {
        CAPTURE(kind);
        watching_feed net(watching_feed::kMaxConfirmations * watching_feed::kConfigWatch);
        net.store.silenceWatches(kind);
        net.change(kind);
        CHECK(net.waitUntilSeen({kind}));
    }
}

// Guards against watches that an outage has swallowed and that nobody repeats when the store is back.
TEST_CASE("store feed: after a silent outage the watches of all kinds are repeated")
{
    watching_feed net(20s); // the watches themselves wait for 10 s
    REQUIRE(net.runUntil([&] {
        net.store.silenceWatches();
        return net.recorder.hasEvent("store_lost config");
    }));
    for (const auto *kind : kWatchedKinds)
        net.change(kind);
    CHECK(net.waitUntilSeen({kWatchedKinds.begin(), kWatchedKinds.end()}));
}

TEST_CASE("store feed: after the store came back from an older copy, revisions that are given out again hide no change")
{
    test_loop loop;
    standin_store store{loop.loop};
    store.put("config", "main", {{"version", 1}});
    store.takeCopy();
    feed_recorder recorder;
    platform::store_feed feed{loop.loop, store.endpoint, {200ms, 200ms}, {"host-1", {}, {}}};
    feed.start(recorder);
    for (const auto *name : {"a", "b", "c"})
        store.put("servers", name, nlohmann::json::parse(replicaSpec()));
    REQUIRE(loop.runUntil([&] { return recorder.replicas.size() == 3; }));
    feed.writeHostReport({{{0x2a, {1}, false}}, {}});
    REQUIRE(loop.runUntil([&] { return recorder.hostReports.contains("host-1"); }));
    store.setState(store_state::silent);
    store.rewind();
    // All of these have revisions that the feed has already read with other content.
    for (const auto *name : {"d", "e", "f", "g", "h"})
        store.put("servers", name, nlohmann::json::parse(replicaSpec()));
    store.setState(store_state::serving);
    const std::vector<std::string> expected{"d", "e", "f", "g", "h"};
    CHECK(loop.runUntil([&] { return recorder.replicas == expected; }));
    CHECK(recorder.rewinds == 1);
    CHECK(loop.runUntil([&] { return !recorder.hostReports.contains("host-1"); }));
    feed.writeHostReport({{{0x2a, {1}, false}}, {}}); // created again, not replaced under a revision of the past
    CHECK(loop.runUntil([&] { return recorder.hostReports.contains("host-1"); }));
}

TEST_CASE("store feed: several rewinds in series, during an outage too, end with the content of the last one")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        test_loop loop;
        standin_store store{loop.loop};
        store.put("config", "main", {{"version", 1}});
        store.takeCopy();
        feed_recorder recorder;
        platform::store_feed feed{loop.loop, store.endpoint, {50ms, 50ms}, {"host-1", {}, {}}};
        feed.start(recorder);
        REQUIRE(loop.runUntil([&] { return recorder.isReachable; }));
        for (int step = 0; step < 30; ++step) {
            const auto name = std::string(1, static_cast<char>('a' + random() % 8));
            const auto kind = random() % 6;
            if (kind == 0)
                store.takeCopy();
            else if (kind == 1)
                store.rewind();
            else if (kind == 2)
                store.setState(random() % 2 == 0 ? store_state::refusing : store_state::serving);
            else
                store.put("servers", name, nlohmann::json::parse(replicaSpec()));
            if (random() % 2 == 0)
                loop.runFor(std::chrono::milliseconds{random() % 40});
        }
        store.setState(store_state::serving);
        store.put("servers", "last", nlohmann::json::parse(replicaSpec()));
        const auto isCurrent = [&] {
            auto known = recorder.replicas;
            std::ranges::sort(known);
            return known == store.names("servers");
        };
        CHECK(loop.runUntil(isCurrent));
        loop.runFor(150ms); // nothing older follows
        CHECK(isCurrent());
    }
}
