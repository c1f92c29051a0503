// Relay tasks of three hosts over gRPC on the loopback address, with an in-memory store. The tests assert no
// durations; their time limits only end a test that hangs.
#include "relay_task_p.h"

#include <doctest/doctest.h>

using namespace foxtaildyke;
using namespace std::chrono_literals;

namespace
{

class memory_store : public object_store
{
public:
    explicit memory_store(event_loop &loop)
        : m_loop(loop)
    {
    }
    void read(const std::string &, read_done done) override
    {
        ++reads;
        m_loop.post([this, done = std::move(done)] {
            if (!isUp || object.version == 0)
                done(error{error_code::unavailable, "store"});
            else
                done(object);
        });
    }
    void write(const std::string &, std::string, object_version, write_done) override { }
    void remove(const std::string &, object_version, remove_done) override { }
    void list(const std::string &, const std::string &, std::size_t, list_done) override { }

    stored_object object;
    bool isUp = true;
    std::uint64_t reads = 0;

private:
    event_loop &m_loop;
};

/// State of one host's core after the inputs it has received.
struct core_state {
    generation_number generation = 0;
    lease_changed lease;
    std::vector<std::string> halted;
    std::vector<std::uint64_t> quarantined;
    std::vector<std::uint64_t> crashed;
    std::vector<version_evidence> totals;
    std::vector<estimate_counts> estimates;
    std::map<std::string, double> shares;

    void apply(const core_input &input)
    {
        if (const auto *config = std::get_if<config_changed>(&input))
            generation = config->config->generation;
        else if (const auto *change = std::get_if<lease_changed>(&input))
            lease = *change;
        else if (const auto *evidence = std::get_if<evidence_update>(&input))
            halted = evidence->haltedVersions, totals = evidence->totals;
        else if (const auto *update = std::get_if<estimates_update>(&input))
            std::ranges::copy(update->counts, std::back_inserter(estimates));
        else if (const auto *entries = std::get_if<quarantine_update>(&input))
            std::ranges::copy(entries->fingerprints, std::back_inserter(quarantined)),
                std::ranges::copy(entries->crashed, std::back_inserter(crashed));
        else if (const auto *limits = std::get_if<limit_shares>(&input))
            shares = limits->shareByAccount;
    }
    [[nodiscard]] bool mayDispatch() const { return event_loop::now() < lease.expiresAt; }
};

class three_hosts
{
public:
    three_hosts()
        : store(loop)
        , m_pollTimer(loop, [this] { poll(); })
    {
        for (std::size_t i = 0; i < 3; ++i)
            start(i, {"127.0.0.1", 0});
        publish();
    }

    void start(std::size_t host, const http_endpoint &listen)
    {
        process_settings settings;
        settings.host = nameOf(host);
        settings.failureDomain = "d";
        settings.peerListen = listen;
        for (std::size_t i = 0; i < tasks.size(); ++i)
            if (i != host && tasks[i])
                settings.seeds.push_back({nameOf(i), {"127.0.0.1", ports[i]}});
        state[host] = {};
        tasks[host] = std::make_unique<relay_task>(
            loop, store, settings, [this, host](const core_input &input) { state[host].apply(input); },
            [](const std::string &, const std::string &, generation_number) {});
        tasks[host]->start();
        ports[host] = tasks[host]->peerPort();
    }

    void publish()
    {
        std::string text = "[account studio]\napi_key = studio-example-api-key-1\nrequests_per_second = "
                           "10\n[tuning]\nfreshness_lease_ms = "
                           "1000\nexchange_period_ms = 100\n"
                           "session_key = 0123456789abcdef0123456789abcdef\n";
        for (std::size_t i = 0; i < 3; ++i)
            text += "[host " + nameOf(i) + "]\nregion = r\nfailure_domain = d\naddress = 127.0.0.1\npeer_port = "
                + std::to_string(ports[i]) + "\n";
        const auto parsed = parseIni(text);
        REQUIRE(checkLayers({parsed.value(), {}}).has_value());
        REQUIRE(parsed.has_value());
        config_document document;
        document.generation = store.object.version + 1;
        document.layers.base = parsed.value();
        store.object = {encodeConfig(document), document.generation};
    }

    /// Runs the loop until a condition holds, for at most 20 s.
    /// @returns whether it holds.
    bool runUntil(std::function<bool()> condition)
    {
        m_condition = std::move(condition);
        m_deadline = event_loop::now() + 20s;
        m_holds = false;
        m_pollTimer.start(0us);
        loop.run();
        return m_holds;
    }

    bool all(const std::function<bool(const core_state &)> &holds) const { return std::ranges::all_of(state, holds); }
    static std::string nameOf(std::size_t host) { return "entry-" + std::to_string(host); }

    event_loop loop;
    memory_store store;
    std::array<core_state, 3> state;
    std::array<std::uint16_t, 3> ports{};
    std::array<std::unique_ptr<relay_task>, 3> tasks;

private:
    void poll()
    {
        m_holds = m_condition();
        if (m_holds || event_loop::now() >= m_deadline)
            return loop.stop();
        m_pollTimer.start(5ms);
    }

    std::function<bool()> m_condition;
    instant m_deadline{};
    bool m_holds = false;
    loop_timer m_pollTimer;
};

} // namespace

TEST_CASE("relay task: three hosts over gRPC share configuration, halts, quarantine, evidence and estimates")
{
    three_hosts hosts;
    REQUIRE(hosts.runUntil(
        [&] { return hosts.all([](const core_state &t) { return t.generation == 1 && t.mayDispatch(); }); }));
    hosts.tasks[2]->share(share_halt{"v7"});
    hosts.tasks[1]->share(share_quarantine{42});
    hosts.tasks[1]->share(share_quarantine{43, false});
    hosts.tasks[1]->share(share_evidence{{"v7", 3, 4, 7, 7}});
    hosts.tasks[2]->share(share_estimates{{{"tone-check", "v7", 5, 6}}});
    CHECK(hosts.runUntil(
        [&] { return hosts.all([](const core_state &t) { return t.halted == std::vector<std::string>{"v7"}; }); }));
    const auto hasCounts = [&] {
        return !hosts.state[0].totals.empty() && hosts.state[0].totals[0].failed == 4
            && !hosts.state[0].estimates.empty() && !hosts.state[0].quarantined.empty()
            && !hosts.state[2].quarantined.empty() && !hosts.state[0].crashed.empty()
            && !hosts.state[2].crashed.empty();
    };
    CHECK(hosts.runUntil(hasCounts));
    CHECK(hosts.state[0].estimates[0].missed == 6);
    // A host doesn't receive its own estimates and quarantine entries.
    CHECK(hosts.state[2].estimates.empty());
    CHECK(hosts.state[1].quarantined.empty());
    CHECK(hosts.state[0].crashed == std::vector<std::uint64_t>{43});
    CHECK(hosts.state[1].crashed.empty());
}

TEST_CASE("relay task: a Status call waits until all hosts acknowledge the generation")
{
    three_hosts hosts;
    REQUIRE(hosts.runUntil([&] { return hosts.all([](const core_state &t) { return t.mayDispatch(); }); }));
    std::optional<status_reply> status;
    status_request request;
    request.set_generation(2);
    request.set_wait_ms(15000);
    peer_client client(hosts.loop);
    client.status({"127.0.0.1", hosts.ports[2]}, request, 18s, [&](const result<status_reply> &response) {
        REQUIRE(response.has_value());
        status = response.value();
    });
    hosts.publish();
    REQUIRE(hosts.runUntil([&] { return status.has_value(); }));
    CHECK(status->generation() == 2);
    CHECK(status->acknowledged_hosts_size() == 3);
    CHECK(status->parent() == "entry-0");
    CHECK(hosts.all([](const core_state &t) { return t.generation == 2; }));
}

TEST_CASE("relay task: leases are renewed during a store outage, and a restarted host recovers through responses of "
          "its peers")
{
    three_hosts hosts;
    REQUIRE(hosts.runUntil([&] { return hosts.all([](const core_state &t) { return t.mayDispatch(); }); }));
    hosts.store.isUp = false;
    const auto outage = event_loop::now();
    REQUIRE(hosts.runUntil([&] { return event_loop::now() - outage > 3s; }));
    CHECK(hosts.all([](const core_state &t) { return t.mayDispatch(); }));
    hosts.tasks[2].reset();
    hosts.start(2, {"127.0.0.1", hosts.ports[2]});
    CHECK_FALSE(hosts.state[2].mayDispatch());
    CHECK(hosts.runUntil([&] { return hosts.all([](const core_state &t) { return t.mayDispatch(); }); }));
}
