// Controller: acceptance must not be reported while a host can still run under an older generation, and at most one
// process may act for the deployment even if holders are paused and responses are lost.
#include "control_fakes_p.h"
#include "rollout_p.h"

#include <doctest/doctest.h>

using namespace foxtaildyke;

namespace
{

using std::chrono::milliseconds;

config_document documentOf(const config_layers &layers, generation_number generation,
                           std::vector<config_change> history)
{
    return {generation, layers, std::move(history)};
}

/// History with one change per generation up to `last`. The first stands for the initial configuration; the others do
/// not affect hosts.
std::vector<config_change> plainHistory(generation_number last)
{
    std::vector<config_change> history;
    for (generation_number g = 1; g <= last; ++g)
        history.push_back({g, "c" + std::to_string(g), "ada", 0, {{"", "account a", "burst", std::to_string(g)}}});
    return history;
}

host_status statusOf(generation_number generation, std::vector<std::string> acknowledged)
{
    host_status status;
    status.generation = generation;
    status.acknowledged = std::move(acknowledged);
    return status;
}

/// A control process and its ports.
struct process {
    fake_status status;
    fake_orders orders;
    std::vector<controller_event> events;
    controller control;
    bool paused = false;

    process(fake_store &store, const std::string &host)
        : control(store, status, orders, host, "1",
                  [this](controller_event event) { events.push_back(std::move(event)); })
    {
    }

    [[nodiscard]] std::ptrdiff_t count(const std::string &type) const
    {
        return std::ranges::count(events, type, &controller_event::type);
    }
};

/// Two control processes on hosts h1 and h2 over one store, with virtual time.
struct deployment {
    fake_store store;
    process first{store, "h1"};
    process second{store, "h2"};
    instant now{1};

    explicit deployment(int hosts = 3)
    {
        config_publisher publisher(store);
        publisher.publish({"first", "ada", 0, 0, diffLayers({}, controlLayers(hosts))},
                          [](const result<published_change> &done) { REQUIRE(done.has_value()); });
    }

    void run(milliseconds duration)
    {
        for (const auto end = now + duration; now < end; now += milliseconds(50))
            for (auto *one : {&first, &second})
                if (!one->paused)
                    one->control.tick(now, 0);
    }

    /// Both routers report that these hosts have acknowledged the stored generation.
    void acknowledge(const std::vector<std::string> &hosts)
    {
        for (auto *one : {&first, &second})
            one->status.response = statusOf(store.config().generation, hosts);
    }
};

upstream_info upstreamOf(const std::string &name, std::vector<std::string> versions)
{
    return {name, "127.0.0.1", 9000, "d", "pool", std::move(versions)};
}

std::vector<listed_entry> entriesOf(const std::vector<std::string> &names)
{
    std::vector<listed_entry> entries;
    entries.reserve(names.size());
    for (const auto &name : names)
        entries.push_back({{name, "r", "d", "127.0.0.1", 7000}, host_state::live});
    return entries;
}

} // namespace

TEST_CASE("a generation is accepted at once when all registered hosts have acknowledged it")
{
    acceptance changes;
    changes.recordConfiguration(documentOf(controlLayers(3), 1, plainHistory(1)));
    changes.recordStatus(statusOf(1, hostNames(1, 2)), instant(0));
    CHECK(changes.accepted() == 0);
    CHECK(changes.unacknowledged(1) == hostNames(3, 3));
    changes.recordStatus(statusOf(1, hostNames(1, 3)), instant(0));
    CHECK(changes.accepted() == 1);
}

TEST_CASE("a generation acknowledged by a majority is accepted one lease and its margin later, not earlier")
{
    acceptance changes;
    changes.recordConfiguration(documentOf(controlLayers(3), 1, plainHistory(1)));
    changes.recordStatus(statusOf(1, hostNames(1, 1)), milliseconds(0));
    changes.tick(milliseconds(60000));
    CHECK(changes.accepted() == 0);
    changes.recordStatus(statusOf(1, hostNames(1, 2)), milliseconds(60000));
    changes.tick(milliseconds(64399));
    CHECK(changes.accepted() == 0);
    changes.tick(milliseconds(64400));
    CHECK(changes.accepted() == 1);
}

TEST_CASE("acknowledgements of an older generation don't count")
{
    acceptance changes;
    changes.recordConfiguration(documentOf(controlLayers(3), 2, plainHistory(2)));
    changes.recordStatus(statusOf(1, hostNames(1, 3)), instant(0));
    changes.tick(milliseconds(60000));
    CHECK(changes.accepted() == 0);
    changes.recordStatus(statusOf(3, hostNames(1, 3)), instant(0)); // Acknowledgements of a later generation do.
    CHECK(changes.accepted() == 2);
}

TEST_CASE("after a host was removed, the acknowledgements of all others are not enough, as it may still hold a lease")
{
    acceptance changes;
    changes.recordConfiguration(documentOf(controlLayers(3), 1, plainHistory(1)));
    changes.recordStatus(statusOf(1, hostNames(1, 3)), instant(0));
    REQUIRE(changes.accepted() == 1);
    auto history = plainHistory(1);
    history.push_back({2, "remove", "controller", 0, {{"", "host h3", "", std::nullopt}}});
    history.push_back({3, "withdraw", "ada", 0, {withdrawalOf("v2")}});
    changes.recordConfiguration(documentOf(controlLayers(2), 3, history));
    changes.recordStatus(statusOf(3, hostNames(1, 2)), milliseconds(1000));
    CHECK(changes.accepted() == 1);
    changes.tick(milliseconds(5399));
    CHECK(changes.accepted() == 1);
    changes.tick(milliseconds(5400));
    CHECK(changes.accepted() == 3);
}

// Guards against a majority counted from acknowledgements of different times: in an outage a restarted host may have
// received an older generation from its peers, so that a majority at the older generation keeps dispatching.
TEST_CASE("an acknowledgement that is no longer reported does not count towards a majority")
{
    acceptance changes;
    changes.recordConfiguration(documentOf(controlLayers(3), 1, plainHistory(1)));
    changes.recordStatus(statusOf(1, hostNames(1, 1)), milliseconds(0));
    changes.recordStatus(statusOf(1, hostNames(2, 2)), milliseconds(1000));
    changes.tick(milliseconds(60000));
    CHECK(changes.accepted() == 0);
    CHECK_FALSE(changes.hasMajority(1));
    changes.recordStatus(statusOf(1, hostNames(2, 3)), milliseconds(60000));
    changes.tick(milliseconds(64400));
    CHECK(changes.accepted() == 1);
}

TEST_CASE("a shortened lease does not apply before the longer one has expired")
{
    acceptance changes;
    auto layers = controlLayers(3);
    layers.base["tuning"]["freshness_lease_ms"] = "20000";
    changes.recordConfiguration(documentOf(layers, 1, plainHistory(1)));
    changes.recordStatus(statusOf(1, hostNames(1, 3)), instant(0));
    layers.base["tuning"]["freshness_lease_ms"] = "1000";
    auto history = plainHistory(1);
    history.push_back({2, "lease", "ada", 0, {{"", "tuning", "freshness_lease_ms", "1000"}}});
    changes.recordConfiguration(documentOf(layers, 2, history));
    changes.recordStatus(statusOf(2, hostNames(1, 2)), milliseconds(1000));
    changes.tick(milliseconds(22999));
    CHECK(changes.accepted() == 1);
    changes.tick(milliseconds(23000));
    CHECK(changes.accepted() == 2);
}

TEST_CASE("a process that doesn't know the hosts before its first generation waits for the lease")
{
    acceptance changes;
    // The history holds only the last 64 changes; an earlier one may have removed a host that still holds a lease.
    auto history = plainHistory(80);
    history.erase(history.begin(), history.begin() + 16);
    changes.recordConfiguration(documentOf(controlLayers(3), 80, history));
    changes.recordStatus(statusOf(80, hostNames(1, 3)), instant(0));
    CHECK(changes.accepted() == 0);
    changes.tick(milliseconds(4400));
    CHECK(changes.accepted() == 80);
}

TEST_CASE("one of two control processes acquires the lease and keeps it")
{
    deployment test;
    test.run(milliseconds(60000));
    CHECK(test.first.control.isHolder() != test.second.control.isHolder());
    CHECK(test.first.count("lease_taken") + test.second.count("lease_taken") == 1);
    CHECK(test.first.count("lease_lost") + test.second.count("lease_lost") == 0);
}

TEST_CASE("a holder does not act when it resumes after a pause, and its successor has a higher token")
{
    deployment test;
    test.run(milliseconds(20000));
    auto &holder = test.first.control.isHolder() ? test.first : test.second;
    auto &other = test.first.control.isHolder() ? test.second : test.first;
    const auto pausedAt = test.now;
    holder.paused = true;
    while (!other.control.isHolder() && test.now < pausedAt + milliseconds(60000))
        test.run(milliseconds(50));
    REQUIRE(other.control.isHolder());
    // The last renewal was at most one renewal period before the pause; a whole lease period has passed since.
    CHECK(test.now - pausedAt >= controller_lease::kPeriod - controller_lease::kRenewPeriod);
    holder.paused = false;
    for (int i = 0; i < 600; ++i) {
        test.run(milliseconds(50));
        CHECK_FALSE((holder.control.isHolder() && other.control.isHolder()));
    }
    CHECK(other.control.isHolder());
    // The reasons of these events contain the tokens.
    CHECK(other.events.back().reason > holder.events.front().reason);
}

TEST_CASE("a lease read that completes after a pause is timestamped on resumption, not at the start of the read")
{
    class delayed_read_store : public fake_store
    {
    public:
        std::function<void()> delayedRead; ///< the first read, until the test runs it
        bool isFirst = true;

        void read(const std::string &key, read_done done) override
        {
            if (!std::exchange(isFirst, false))
                return fake_store::read(key, std::move(done));
            delayedRead = [this, key, done = std::move(done)] {
                fake_store::read(key, done);
            };
        }
    };
    delayed_read_store store;
    const auto renew = [&](std::uint64_t renewal, object_version expected) {
        store.write("lease/controller", encodeLease({"x/1", 5, renewal}), expected,
                    [](const result<object_version> &written) { REQUIRE(written.has_value()); });
    };
    renew(1, 0);
    controller_lease lease(store, "b/1");
    lease.tick(milliseconds(1), milliseconds(100));
    // The process is paused; the holder renews at 10 s, and the read completes only after that.
    renew(2, 1);
    store.delayedRead();
    for (int ms = 10000; ms < 15900; ms += 50)
        lease.tick(milliseconds(ms), milliseconds(100));
    CHECK(store.writes == 2);
    for (int ms = 15900; ms < 16100; ms += 50)
        lease.tick(milliseconds(ms), milliseconds(100));
    CHECK(store.writes == 3);
    CHECK(lease.token() == 6);
}

TEST_CASE("the holder keeps the lease when the response of a renewal is lost and stops in an outage")
{
    deployment test;
    test.second.paused = true;
    test.run(milliseconds(20000));
    REQUIRE(test.first.control.isHolder());
    test.store.faults = {write_fault::response_lost};
    test.run(milliseconds(10000));
    CHECK(test.first.control.isHolder());
    CHECK(test.first.count("lease_lost") == 0);
    test.store.outage = true;
    test.run(milliseconds(4000));
    CHECK_FALSE(test.first.control.isHolder());
    test.store.outage = false;
    test.run(milliseconds(5000));
    CHECK(test.first.control.isHolder());
}

TEST_CASE("a process that acquired the lease detects it although the response of the write was lost")
{
    deployment test;
    test.second.paused = true;
    test.store.faults = {write_fault::response_lost, write_fault::response_lost};
    test.run(milliseconds(10000));
    CHECK(test.first.control.isHolder());
}

TEST_CASE("a halt that the routers report is written once, by the holder")
{
    deployment test;
    test.acknowledge(hostNames(1, 3));
    for (auto *one : {&test.first, &test.second})
        one->status.response.value().halted = {"v2", "unknown"};
    test.run(milliseconds(20000));
    const auto config = test.store.config();
    CHECK(config.generation == 2);
    CHECK(config.layers.base.at("version v2").at("state") == "halted");
    CHECK(config.history.back().author.starts_with("controller@"));
}

TEST_CASE("hosts are registered one at a time, each after a majority has acknowledged the previous change")
{
    deployment test;
    for (auto *one : {&test.first, &test.second})
        one->control.setHosts(entriesOf(hostNames(1, 6)), {});
    test.run(milliseconds(20000));
    CHECK(test.store.config().generation == 1); // No host has acknowledged the first configuration.
    test.acknowledge(hostNames(1, 2));
    test.run(milliseconds(5000));
    CHECK(test.store.config().generation == 2);
    test.acknowledge(hostNames(1, 2)); // Two of four hosts are not a majority.
    test.run(milliseconds(20000));
    CHECK(test.store.config().generation == 2);
    test.acknowledge(hostNames(1, 3));
    test.run(milliseconds(5000));
    CHECK(test.store.config().generation == 3);
}

TEST_CASE("a host is removed only after it has been missing from the host list for a while, and never by an empty list")
{
    host_registration registration;
    const auto config = buildRouterConfig(controlLayers(3), 1, "").value();
    CHECK(registration.nextEdits(config, {}, milliseconds(0)).empty());
    CHECK(registration.nextEdits(config, {}, milliseconds(60000)).empty());
    const auto two = entriesOf(hostNames(1, 2));
    CHECK(registration.nextEdits(config, two, milliseconds(70000)).empty());
    CHECK(registration.nextEdits(config, entriesOf(hostNames(1, 3)), milliseconds(75000)).empty());
    CHECK(registration.nextEdits(config, two, milliseconds(80000)).empty());
    CHECK(registration.nextEdits(config, two, milliseconds(89999)).empty());
    const auto edits = registration.nextEdits(config, two, milliseconds(90000));
    REQUIRE(edits.size() == 1);
    CHECK(edits.front().section == "host h3");
    CHECK_FALSE(edits.front().value.has_value());
}

TEST_CASE("a holder that lost the lease during a pause publishes no second change of hosts")
{
    deployment test;
    test.acknowledge(hostNames(1, 3));
    test.second.paused = true;
    test.run(milliseconds(10000));
    REQUIRE(test.first.control.isHolder());
    // The successor's change is written between the holder's read and its write.
    test.store.beforeConfigWrite = [&] {
        config_publisher successor(test.store);
        successor.publish({"other", "controller@h2", 0, 1, {{"", "host h3", "", std::nullopt}}, true},
                          [](const result<published_change> &done) { REQUIRE(done.has_value()); });
    };
    test.first.control.setHosts(entriesOf(hostNames(1, 4)), {});
    test.run(milliseconds(2000));
    REQUIRE_FALSE(test.store.beforeConfigWrite);
    CHECK(test.store.config().generation == 2);
    CHECK(test.first.count("host_registered") == 1);
    CHECK_FALSE(test.store.config().layers.base.contains("host h4"));
}

TEST_CASE("each engine of a version under roll-out gets one load order with the fencing token")
{
    deployment test;
    test.acknowledge(hostNames(1, 3));
    config_publisher publisher(test.store);
    publisher.publish({"fence", "ada", 0, 1, {{"", "model m", "checks_fencing", "true"}}}, [](const auto &) {});
    const auto edits = rolloutEdits(test.store.config().layers, rollout_action::halt, "v2", 0).value();
    publisher.publish({"halt", "ada", 0, 2, edits}, [](const auto &) {});
    const auto start = rolloutEdits(test.store.config().layers, rollout_action::start, "v2", 0).value();
    publisher.publish({"start", "ada", 0, 3, start}, [](const auto &) {});
    test.second.paused = true;
    test.first.control.setHosts({}, {upstreamOf("u1", {"v1"}), upstreamOf("u2", {"v1", "v2"})});
    test.run(milliseconds(5000));
    REQUIRE(test.first.orders.sent.size() == 1);
    CHECK(test.first.orders.sent[0].target.name == "u1");
    CHECK(test.first.orders.sent[0].version == "v2");
    CHECK(test.first.orders.sent[0].token > 0);
    CHECK(test.first.count("load_confirmed") == 1);
    // A conflict from an engine that has seen a higher token ends the term of this process.
    test.first.orders.refusesToken = true;
    test.run(milliseconds(8000));
    CHECK(test.first.count("order_fenced") >= 1);
    CHECK(test.first.count("lease_lost") >= 1);
}

TEST_CASE("engines that ignore the token get orders only a lease period after the lease was acquired")
{
    deployment test;
    test.acknowledge(hostNames(1, 3));
    config_publisher publisher(test.store);
    publisher.publish({"roll", "ada", 0, 1, {{"", "version v2", "state", "rolling_out"}}}, [](const auto &) {});
    test.second.paused = true;
    test.first.control.setHosts({}, {upstreamOf("u1", {"v1"})});
    test.run(milliseconds(6000));
    REQUIRE(test.first.control.isHolder());
    CHECK(test.first.orders.sent.empty());
    test.run(milliseconds(3000));
    CHECK(test.first.orders.sent.size() == 1);
}

TEST_CASE("roll-out actions are refused in states that don't allow them")
{
    auto layers = controlLayers(1);
    const auto codeOf = [&](rollout_action action, const std::string &version) {
        const auto edits = rolloutEdits(layers, action, version, 0);
        return edits.has_error() ? nameOf(edits.error().code) : "ok";
    };
    CHECK(codeOf(rollout_action::step, "v2") == "conflict");
    CHECK(codeOf(rollout_action::start, "v2") == "conflict"); // It is active: a start would move sessions away from it.
    CHECK(codeOf(rollout_action::start, "v9") == "not_found");
    layers.base["version v2"]["state"] = "withdrawn";
    CHECK(codeOf(rollout_action::start, "v2") == "version_reinstated");
    CHECK(codeOf(rollout_action::halt, "v2") == "version_reinstated");
    layers.base["version v2"]["state"] = "rolling_out";
    layers.base["version v2"]["share_permille"] = "50";
    const auto step = rolloutEdits(layers, rollout_action::step, "v2", 0).value();
    CHECK(applyEdits(layers, step).value().base["version v2"]["share_permille"] == "100");
    const auto finish = rolloutEdits(layers, rollout_action::finish, "v2", 0).value();
    CHECK(applyEdits(layers, finish).value().base["version v2"]["state"] == "active");
}
