// Names of the store's entries that other writers may choose. A name may hold any characters; the calls that carry it
// must mean that entry and no other.
#include "feed_recorder.h"
#include "gateway_harness.h"
#include "standin_store.h"
#include "store_feed.h"

using namespace foxtaildyke;
using namespace std::chrono_literals;

namespace
{

using nlohmann::json;

/// Characters that end, separate or escape something in a request line, and bytes that may not occur there at all.
const std::vector<std::string> kOddCharacters{
    "&",        "&after=zz",       "&watch=1", "+",    "#",  "%",  "%41",     "%00",  "%zz",
    " ",        "  HTTP/1.1",      "?",        "=",    ";",  "/",  "/status", "\\",   "\"",
    "<>",       "[]{}|^`",         "\t",       "\r\n", "\r", "\n", "\x01",    "\x7f", "..",
    "\xc3\xa9", "\xf0\x9f\x98\x80"};

json replicaSpec(int number)
{
    return {{"service", "s"},     {"address", "10.0.0." + std::to_string(number) + ":80"},
            {"zone", "d1"},       {"version", "v1"},
            {"batch_slots", 8},   {"state", "ready"},
            {"born", 1700000000}, {"sequence", 1}};
}

struct feed_with_store : test_loop {
    explicit feed_with_store(const std::string &host = "host-1")
        : feed(loop, store.endpoint, {200ms, 200ms}, {.host = host})
    {
    }

    /// Fills the list of replicas with "i1" to "i7", so that each odd entry ends a page.
    std::vector<std::string> putReplicas()
    {
        store.pageItems = 2;
        std::vector<std::string> ids;
        for (int number = 1; number <= 7; ++number) {
            ids.push_back("i" + std::to_string(number));
            store.put("servers", ids.back(), replicaSpec(number));
        }
        return ids;
    }

    standin_store store{loop};
    feed_recorder recorder;
    platform::store_feed feed;
};

} // namespace

// Guards against a list that isn't read to its end because of the name with which the next page continues.
TEST_CASE("store names: an entry whose name holds any characters ends a page, and the replicas after it are read")
{
    for (const auto &odd : kOddCharacters) {
        CAPTURE(odd);
        feed_with_store net;
        const auto ids = net.putReplicas();
        net.store.put("servers", "i1" + odd, {{"note", "of another writer"}});
        net.feed.start(net.recorder);
        CHECK(net.runUntil(
            [&] { return !net.recorder.replicas.empty() || net.recorder.hasEvent("store_lost servers"); }));
        CHECK(net.recorder.replicas == ids);
        CHECK(net.store.continuations.contains("i1" + odd));
        CHECK_FALSE(net.recorder.hasEvent("store_lost servers"));
    }
}

// Guards against requests to an entry that another writer made of a replica's, and against its name in their heads.
TEST_CASE("store names: an entry whose name can't be a replica's id is no replica, whatever it states")
{
    for (const auto &odd : kOddCharacters) {
        if (odd == "..")
            continue; // may be part of an id
        CAPTURE(odd);
        feed_with_store net;
        auto ids = net.putReplicas();
        net.store.put("servers", "i1" + odd, replicaSpec(1));
        net.store.put("servers", odd, replicaSpec(2));
        net.feed.start(net.recorder);
        REQUIRE(net.runUntil([&] { return !net.recorder.replicas.empty(); }));
        CHECK(net.recorder.replicas == ids);
        CHECK(net.recorder.hasEvent("replica_unusable i1" + odd));
        net.store.put("servers", "i2" + odd, replicaSpec(2));
        ids.emplace_back("i8");
        net.store.put("servers", ids.back(), replicaSpec(8));
        REQUIRE(net.runUntil(
            [&] { return std::ranges::find(net.recorder.replicas, "i8") != net.recorder.replicas.end(); }));
        CHECK(net.recorder.replicas == ids);
    }
}

// Guards against a watch that loses the replicas while such an entry comes and goes.
TEST_CASE("store names: an entry whose name holds any characters comes and goes, and the replicas hold")
{
    feed_with_store net;
    const auto ids = net.putReplicas();
    net.feed.start(net.recorder);
    REQUIRE(net.runUntil([&] { return net.recorder.replicas == ids; }));
    for (const auto &odd : kOddCharacters)
        net.store.put("servers", "i1" + odd, {{"note", "of another writer"}});
    for (const auto &odd : kOddCharacters)
        net.store.remove("servers", "i1" + odd);
    net.store.put("servers", "i8", replicaSpec(8));
    REQUIRE(net.runUntil([&] { return net.recorder.replicas.size() > ids.size(); }));
    CHECK(net.recorder.replicas.size() == ids.size() + 1);
}

// Guards against an entry of another writer that replaces the configuration of all hosts.
TEST_CASE("store names: only the entry of the operator's name is the configuration")
{
    feed_with_store net;
    net.store.put("config", "main", {{"version", 7}});
    net.store.put("config", "a copy", {{"version", 9000}});
    net.store.put("config", "zz", {{"version", 9001}});
    net.feed.start(net.recorder);
    REQUIRE(net.runUntil([&] { return !net.recorder.configs.empty(); }));
    net.store.put("config", "main&", {{"version", 9002}});
    net.store.put("config", "main", {{"version", 8}});
    REQUIRE(net.runUntil([&] { return net.recorder.configs.size() >= 2; }));
    CHECK(net.recorder.configs[0]->version == 7);
    CHECK(net.recorder.configs[1]->version == 8);
    CHECK(net.recorder.hasEvent("config_unusable zz"));
}

// Guards against an entry of another writer that competes with the operator's order for a service.
TEST_CASE("store names: an entry that states another service than its name orders no roll-out")
{
    feed_with_store net;
    net.store.put("rollouts", "s", {{"service", "s"}, {"target", "v2"}, {"duration_s", 12}});
    for (const auto *name : {"a", "s&", "t"})
        net.store.put("rollouts", name, {{"service", "s"}, {"target", "v9"}, {"duration_s", 12}});
    net.feed.start(net.recorder);
    REQUIRE(net.runUntil([&] { return !net.recorder.orders.empty(); }));
    REQUIRE(net.recorder.orders.size() == 1);
    CHECK(net.recorder.orders.front().target == "v2");
    CHECK(net.recorder.hasEvent("rollout_unusable s&"));
}

// Guards against numbers that are converted to what the entry doesn't state, such as a replica with no slots.
TEST_CASE("store names: numbers that no field can hold are bounded, or make an entry unusable")
{
    for (const auto number : {4294967296.0, 1e19, 1e300, -1.0, 0.0, 0.5}) {
        CAPTURE(number);
        platform::stored_item item;
        item.name = "i1";
        item.spec = replicaSpec(1);
        item.spec["batch_slots"] = number;
        CHECK(platform::decodeReplica(item).has_error());
    }
    for (const auto number : {1e19, 1e300, -1e300, 9e18}) {
        CAPTURE(number);
        platform::stored_item item;
        item.name = "s";
        item.spec = replicaSpec(1);
        item.spec["cold_remaining_ms"] = number;
        item.spec["born"] = number;
        const auto replica = platform::decodeReplica(item);
        REQUIRE(replica.has_value());
        CHECK(replica.value().coldRemaining <= 24h);
        CHECK(replica.value().coldRemaining >= 0h);
        CHECK(replica.value().startedAtMs >= 0);
        item.spec = {{"service", "s"}, {"target", "v2"}, {"duration_s", std::abs(number)}};
        const auto order = platform::decodeRollout(item);
        REQUIRE(order.has_value());
        CHECK(order.value().duration > 0ms);
        CHECK(order.value().duration <= 24h);
    }
}

// Guards against a write or a removal that meets another entry than the one named.
TEST_CASE("store names: a call for one entry means that entry, whatever its name holds")
{
    for (const auto &odd : kOddCharacters) {
        CAPTURE(odd);
        feed_with_store net;
        net.store.put("crash-reports", "host-9", {{"reports", json::array()}});
        net.store.put("crash-reports", "host-9" + odd, {{"reports", json::array()}});
        net.store.put("rollouts", "s", {{"service", "s"}, {"target", "v2"}, {"duration_s", 12}});
        const std::string other = "s" + odd;
        net.store.put("rollouts", other, {{"service", other}, {"target", "v2"}, {"duration_s", 12}});
        net.feed.start(net.recorder);
        REQUIRE(net.runUntil([&] { return net.recorder.orders.size() == 2 && !net.recorder.hostReports.empty(); }));
        net.feed.removeHostReport("host-9" + odd);
        const auto order = std::ranges::find(net.recorder.orders, other, &rollout_order::service);
        REQUIRE(order != net.recorder.orders.end());
        auto changed = *order;
        changed.state = rollout_state::in_progress;
        net.feed.writeRollout(changed);
        REQUIRE(net.runUntil([&] {
            return net.recorder.hasEvent("host_report_removed host-9" + odd)
                && (net.recorder.hasEvent("rollout_written " + other)
                    || net.recorder.hasEvent("rollout_not_written " + other));
        }));
        CHECK(net.store.names("crash-reports") == std::vector<std::string>{"host-9"});
        CHECK(net.store.statusOf("rollouts", other)["state"] == "in_progress");
        CHECK(net.store.statusOf("rollouts", "s").is_null());
    }
}

// Guards against a host that can't write its own report because of its name in the settings.
TEST_CASE("store names: a host whose name holds any characters creates, replaces and removes its report")
{
    for (const auto &odd : kOddCharacters) {
        CAPTURE(odd);
        feed_with_store net("host-1" + odd);
        net.feed.start(net.recorder);
        for (const auto &report :
             {host_report{{{0x2a, {1}, false}}, {}}, host_report{{{0x2b, {2}, false}}, {}}, host_report{}}) {
            const auto before = net.store.specOf("crash-reports", "host-1" + odd);
            const auto writes = net.recorder.reportWrites.size();
            REQUIRE(net.runUntil([&] { return net.recorder.isReachable; }));
            net.feed.writeHostReport(report);
            REQUIRE(net.runUntil([&] { return net.recorder.reportWrites.size() > writes; }));
            CHECK(net.recorder.reportWrites.back());
            CHECK(net.store.specOf("crash-reports", "host-1" + odd) != before);
            net.runFor(150ms); // the watch delivers the report's revision
        }
    }
}
