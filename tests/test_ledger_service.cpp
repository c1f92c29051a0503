// The ledgers of several hosts with lost calls, store outages, pauses and a killed host. Guards against claims granted
// twice and acknowledged bills that never reach the log.
#include "ledger_fakes.h"
#include "ledger_service_p.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace foxtaildyke;
using namespace foxtaildyke::testing;
using namespace std::chrono_literals;

namespace
{

constexpr std::int64_t kUnixSeconds = 1'900'000'000;

router_config_ptr makeConfig(std::size_t hosts)
{
    auto config = std::make_shared<router_config>();
    config->generation = 1;
    config->tune.ledgerSegments = 2;
    for (std::size_t i = 0; i < hosts; ++i)
        config->hosts.push_back({"host" + std::to_string(i), "taipei", i % 2 == 0 ? "zhongshan-hall" : "datong-hall"});
    return config;
}

struct ledger_host;
using host_table = std::map<std::string, std::unique_ptr<ledger_host>>;

/// Calls between hosts; requests and responses are lost at random.
class fake_peers : public ledger_peers
{
public:
    fake_peers(simulation &sim, pausable_host &self, std::string name, host_table &hosts,
               const std::uint64_t &lossPermille)
        : m_sim(sim)
        , m_self(self)
        , m_name(std::move(name))
        , m_hosts(hosts)
        , m_lossPermille(lossPermille)
    {
    }

    void append(const std::string &host, std::uint32_t segment, std::string batch, append_batch_done done) override;
    void copyBills(const std::string &host, std::string batch, std::vector<std::string> release,
                   copy_done done) override;

private:
    static constexpr auto kCallTimeoutUs = 20000us;

    /// Calls `done` once, with the first response or with timed_out.
    template <typename response_type>
    std::function<void(response_type)> withTimeout(std::function<void(response_type)> done)
    {
        auto isDone = std::make_shared<bool>(false);
        auto once = [isDone, done](const response_type &response) {
            if (!std::exchange(*isDone, true))
                done(response);
        };
        m_self.deliver(kCallTimeoutUs, [once] {
            const response_type failure(error{error_code::timed_out, "peer"});
            once(failure);
        });
        return [this, once](const response_type &response) {
            if (!m_sim.chance(m_lossPermille))
                m_self.deliver(instant(200 + m_sim.below(800)), [once, response] { once(response); });
        };
    }

    void deliver(const std::string &host, std::function<void(ledger_host &)> call);

    simulation &m_sim;
    pausable_host &m_self;
    std::string m_name;
    host_table &m_hosts;
    const std::uint64_t &m_lossPermille;
};

struct ledger_host {
    ledger_host(simulation &sim, shared_store &objects, const fault_rates &faults, const std::string &name,
                host_table &hosts, const std::uint64_t &lossPermille)
        : process(sim)
        , store(sim, objects, process, faults)
        , peers(sim, process, name, hosts, lossPermille)
        , service(name, "run1", store, peers, timing())
        , m_sim(sim)
    {
        tick();
    }

    static ledger_service_timing timing()
    {
        ledger_service_timing timing;
        timing.copyAfter = 20ms;
        timing.suspect = 100ms;
        timing.retry = 50ms;
        timing.adoptCopyAfter = 300ms;
        timing.segment.appendTimeout = 40ms;
        timing.segment.retry = 10ms;
        timing.segment.writePeriod = 0us;
        timing.segment.snapshotBatches = 8;
        return timing;
    }

    void tick()
    {
        service.tick(m_sim.now(), kUnixSeconds);
        process.deliver(1ms, [this] { tick(); });
    }

    pausable_host process;
    faulty_store store;
    fake_peers peers;
    ledger_service service;

private:
    simulation &m_sim;
};

void fake_peers::deliver(const std::string &host, std::function<void(ledger_host &)> call)
{
    auto &target = *m_hosts.at(host);
    if (!m_sim.chance(m_lossPermille))
        target.process.deliver(instant(200 + m_sim.below(800)), [&target, call = std::move(call)] { call(target); });
}

void fake_peers::append(const std::string &host, std::uint32_t segment, std::string batch, append_batch_done done)
{
    auto respond = withTimeout<result<std::vector<append_outcome>>>(std::move(done));
    deliver(host, [segment, batch = std::move(batch), respond](ledger_host &target) {
        target.service.serveAppend(segment, batch, respond);
    });
}

void fake_peers::copyBills(const std::string &host, std::string batch, std::vector<std::string> release, copy_done done)
{
    auto respond = withTimeout<result<bool>>(std::move(done));
    deliver(host,
            [name = m_name, batch = std::move(batch), release = std::move(release), respond](ledger_host &target) {
                respond(target.service.serveCopies(name, batch, release));
            });
}

struct sent_call {
    record_type type = record_type::claim;
    std::string id;
    std::string host;
    std::optional<append_outcome> outcome;
};

/// Several hosts that share one store.
struct ledger_cluster {
    ledger_cluster(std::uint64_t seed, std::size_t count)
        : sim(seed)
    {
        for (std::size_t i = 0; i < count; ++i) {
            const auto name = "host" + std::to_string(i);
            hosts[name] = std::make_unique<ledger_host>(sim, store, faults, name, hosts, lossPermille);
        }
        for (auto &[name, host] : hosts)
            host->service.configure(makeConfig(count));
    }

    ledger_host &host(std::size_t number) { return *hosts.at("host" + std::to_string(number)); }

    std::shared_ptr<sent_call> send(std::size_t number, record_type type, const std::string &id)
    {
        auto call = std::make_shared<sent_call>();
        call->type = type;
        call->id = id;
        call->host = "host" + std::to_string(number);
        auto &target = host(number);
        target.process.deliver(0us, [&target, call] {
            const auto done = [call](append_outcome outcome) {
                REQUIRE_FALSE(call->outcome.has_value());
                call->outcome = std::move(outcome);
            };
            if (call->type == record_type::claim)
                target.service.claim({{}, "studio-legale", call->id}, done);
            else if (call->type == record_type::bill)
                target.service.bill({{}, "studio-legale", call->id, "grand", "grand-2", 1, 2, 3, {}}, done);
            else
                target.service.pin({{}, "studio-legale", call->id, {"grand-2"}}, done);
        });
        return call;
    }

    [[nodiscard]] effective_writers log()
    {
        auto writers = readFromScratch(store, 0);
        writers.merge(readFromScratch(store, 1));
        return writers;
    }

    void killHost(std::size_t number)
    {
        host(number).process.kill();
        for (auto &[name, other] : hosts)
            other->service.setNotLiveHosts({"host" + std::to_string(number)});
    }

    simulation sim;
    shared_store store;
    fault_rates faults;
    std::uint64_t lossPermille = 0;
    host_table hosts;
};

/// A store without objects that never responds to a write.
class silent_store : public object_store
{
public:
    void read(const std::string &key, read_done done) override { done(error{error_code::not_found, key}); }
    void write(const std::string & /*key*/, std::string /*body*/, object_version /*expected*/,
               write_done /*done*/) override
    {
    }
    void remove(const std::string & /*key*/, object_version /*expected*/, remove_done /*done*/) override { }
    void list(const std::string & /*prefix*/, const std::string & /*after*/, std::size_t /*limit*/,
              list_done /*done*/) override
    {
    }
};

/// Counts the copies that are sent; no call gets a response.
struct silent_peers : ledger_peers {
    void append(const std::string & /*host*/, std::uint32_t /*segment*/, std::string /*batch*/,
                append_batch_done /*done*/) override
    {
    }
    void copyBills(const std::string & /*host*/, std::string /*batch*/, std::vector<std::string> /*release*/,
                   copy_done /*done*/) override
    {
        ++copies;
    }
    int copies = 0;
};

/// If every claim of a host for a key failed with `unavailable`, the log must contain none of them.
void checkRefusals(const std::vector<std::shared_ptr<sent_call>> &calls, const effective_writers &log)
{
    std::map<std::pair<std::string, std::string>, bool> allRefused;
    for (const auto &call : calls) {
        if (call->type != record_type::claim)
            continue;
        const bool isRefused = call->outcome && call->outcome->status == ledger_status::unavailable;
        auto &entry = allRefused.try_emplace({call->host, call->id}, true).first->second;
        entry = entry && isRefused;
    }
    for (const auto &[key, isRefused] : allRefused) {
        const auto found = log.find("claim " + key.second);
        if (isRefused && found != log.end())
            RC_ASSERT_FALSE(found->second.starts_with(key.first + "-"));
    }
}

void runRandomCluster()
{
    const auto count = static_cast<std::size_t>(*rc::gen::inRange(2, 5));
    ledger_cluster cluster(*rc::gen::arbitrary<std::uint32_t>(), count);
    const auto permille = [](int bound) {
        return static_cast<std::uint64_t>(*rc::gen::inRange(0, bound));
    };
    cluster.faults = {permille(80), permille(80), permille(80), permille(80), 50000};
    cluster.lossPermille = permille(200);
    const auto pausePermille = permille(40);
    const auto outagePermille = permille(40);
    const bool kills = *rc::gen::inRange(0, 2) == 1;
    std::vector<std::shared_ptr<sent_call>> calls;
    constexpr std::size_t kSteps = 200;
    for (std::size_t step = 0; step < kSteps; ++step) {
        cluster.sim.runUntil(cluster.sim.now() + instant(cluster.sim.below(5000)));
        if (cluster.sim.chance(pausePermille))
            cluster.host(cluster.sim.below(count)).process.pause(instant(cluster.sim.below(200000)));
        if (cluster.sim.chance(outagePermille))
            cluster.store.isDown = !cluster.store.isDown;
        if (kills && step == kSteps / 2)
            cluster.killHost(0);
        const auto number = cluster.sim.below(count);
        if (!cluster.host(number).process.isAlive())
            continue;
        const auto type = static_cast<record_type>(cluster.sim.below(2));
        calls.push_back(
            cluster.send(number, type, std::to_string(step / 20) + "-" + std::to_string(cluster.sim.below(5))));
    }
    cluster.faults = {};
    cluster.lossPermille = 0;
    cluster.store.isDown = false;
    cluster.sim.runUntil(cluster.sim.now() + 5s);

    const auto log = cluster.log();
    std::map<std::string, int> granted;
    for (const auto &call : calls) {
        const bool isAlive = cluster.hosts.at(call->host)->process.isAlive();
        RC_ASSERT(call->outcome.has_value() || !isAlive);
        if (!call->outcome)
            continue;
        const auto status = call->outcome->status;
        const auto key = std::string(nameOf(call->type)) + " " + call->id;
        if (call->type == record_type::claim && status == ledger_status::written) {
            RC_ASSERT(++granted[call->id] == 1);
            RC_ASSERT(log.contains(key));
            RC_ASSERT(log.at(key).starts_with(call->host + "-"));
        }
        // At most one host is killed: if it held a copy, the bill's own host is alive and makes another copy.
        if (call->type == record_type::bill && (status != ledger_status::unknown || isAlive))
            RC_ASSERT(log.contains(key));
        if (call->type == record_type::claim && status == ledger_status::exists_billed)
            RC_ASSERT(log.contains("bill " + call->id));
    }
    checkRefusals(calls, log);
    for (const auto &[name, host] : cluster.hosts) {
        if (host->process.isAlive()) {
            RC_ASSERT(host->service.unwrittenBills() == 0U);
            RC_ASSERT(host->service.storedCopies() == 0U);
        }
    }
}

} // namespace

TEST_CASE("hosts grant a claim once and lose no acknowledged bill with lost calls, outages, pauses and a killed host")
{
    setenv("RC_PARAMS", "seed=20261203 max_success=200", 0);
    CHECK(rc::check(runRandomCluster));
}

TEST_CASE("a bill in an outage is copied to another failure domain and written after its host was killed")
{
    ledger_cluster cluster(1, 4);
    cluster.sim.runUntil(100ms);
    cluster.store.isDown = true;
    const auto bill = cluster.send(0, record_type::bill, "b");
    const auto claim = cluster.send(0, record_type::claim, "c");
    cluster.sim.runUntil(200ms);
    REQUIRE(bill->outcome.has_value());
    CHECK(bill->outcome->status == ledger_status::copied);
    REQUIRE(claim->outcome.has_value());
    CHECK(claim->outcome->status == ledger_status::unavailable);
    CHECK(cluster.host(0).service.uncopiedBills() == 0);
    CHECK(cluster.host(2).service.storedCopies() == 0); // host2 is in the failure domain of host0
    CHECK(cluster.host(1).service.storedCopies() + cluster.host(3).service.storedCopies() == 1);
    cluster.killHost(0);
    cluster.store.isDown = false;
    cluster.sim.runUntil(1s);
    CHECK(cluster.log().contains("bill b"));
    CHECK(cluster.host(1).service.storedCopies() + cluster.host(3).service.storedCopies() == 0);
}

TEST_CASE(
    "a bill is copied again when the holder of its copy is gone, and the copy is released once the bill is written")
{
    ledger_cluster cluster(2, 4);
    cluster.sim.runUntil(100ms);
    cluster.store.isDown = true;
    const auto bill = cluster.send(0, record_type::bill, "b");
    cluster.sim.runUntil(200ms);
    const std::size_t holder = cluster.host(1).service.storedCopies() == 1 ? 1 : 3;
    cluster.killHost(holder);
    cluster.sim.runUntil(400ms);
    CHECK(cluster.host(4 - holder).service.storedCopies() == 1);
    cluster.store.isDown = false;
    cluster.sim.runUntil(600ms);
    CHECK(cluster.host(0).service.unwrittenBills() == 0);
    CHECK(cluster.host(4 - holder).service.storedCopies() == 0);
}

// Guards against a refused retry of a request that was answered while the store was down: the hosts that keep its bill
// have the response that the caller lost.
TEST_CASE("a retry on a host that keeps the bill of its key gets the stored response before the bill is in the log")
{
    ledger_cluster cluster(6, 4);
    cluster.sim.runUntil(100ms);
    const auto claimed = cluster.send(0, record_type::claim, "r");
    cluster.sim.runUntil(200ms);
    REQUIRE(claimed->outcome->status == ledger_status::written);
    cluster.store.isDown = true;
    const std::string response = R"({"text":"once"})";
    std::optional<append_outcome> billed;
    cluster.host(0).service.bill({{}, "studio-legale", "r", "grand", "grand-2", 1, 2, 3, response},
                                 [&](append_outcome outcome) { billed = std::move(outcome); });
    cluster.sim.runUntil(300ms);
    REQUIRE(billed.has_value());
    REQUIRE(billed->status == ledger_status::copied);
    const std::size_t holder = cluster.host(1).service.storedCopies() == 1 ? 1 : 3;
    for (const auto number : {std::size_t{0}, holder}) {
        const auto retry = cluster.send(number, record_type::claim, "r");
        cluster.sim.runUntil(cluster.sim.now() + 100ms);
        REQUIRE(retry->outcome.has_value());
        CHECK(retry->outcome->status == ledger_status::exists_billed);
        CHECK(retry->outcome->response == response);
    }
    cluster.store.isDown = false;
    cluster.sim.runUntil(2s);
    CHECK(cluster.log().at("bill r").starts_with("host0-"));
    CHECK(cluster.host(holder).service.storedCopies() == 0);
}

// Guards against time limits that count from the last tick: an idle host copied a bill at once, and responded before
// the bill was in the log.
TEST_CASE("a bill of a host that was idle isn't copied before its time")
{
    silent_store store;
    silent_peers peers;
    const auto timing = ledger_host::timing();
    ledger_service service("host0", "run1", store, peers, timing);
    service.configure(makeConfig(2));
    service.tick(0us, kUnixSeconds);
    constexpr instant kBilledAt = 100ms;
    REQUIRE(kBilledAt > timing.copyAfter);
    service.advance(kBilledAt, kUnixSeconds);
    service.bill({{}, "studio-legale", "b", "grand", "grand-2", 1, 2, 3, {}}, [](const append_outcome &) {});
    service.tick(kBilledAt + timing.copyAfter - 1us, kUnixSeconds);
    CHECK(peers.copies == 0);
    service.tick(kBilledAt + timing.copyAfter, kUnixSeconds);
    CHECK(peers.copies == 1);
}

TEST_CASE("an owner that has loaded the log creates pins during an outage and writes them afterwards")
{
    ledger_cluster cluster(3, 3);
    cluster.sim.runUntil(100ms);
    const auto before = cluster.send(0, record_type::pin, "early");
    cluster.sim.runUntil(200ms);
    CHECK(before->outcome->status == ledger_status::written);
    cluster.store.isDown = true;
    const auto first = cluster.send(1, record_type::pin, "s");
    cluster.sim.runUntil(300ms);
    const auto second = cluster.send(2, record_type::pin, "s");
    cluster.sim.runUntil(400ms);
    REQUIRE(first->outcome.has_value());
    REQUIRE(second->outcome.has_value());
    CHECK(first->outcome->status == ledger_status::exists_pinned);
    CHECK(second->outcome->pins == first->outcome->pins);
    cluster.store.isDown = false;
    cluster.sim.runUntil(1s);
    CHECK(cluster.log().contains("pin s"));
}

TEST_CASE("a host whose log is not loaded refuses pins in an outage")
{
    ledger_cluster cluster(4, 1);
    cluster.store.isDown = true;
    const auto pin = cluster.send(0, record_type::pin, "s");
    cluster.sim.runUntil(200ms);
    REQUIRE(pin->outcome.has_value());
    CHECK(pin->outcome->status == ledger_status::unavailable);
}

TEST_CASE("records for an unresponsive owner are written by their senders")
{
    ledger_cluster cluster(5, 3);
    cluster.sim.runUntil(100ms);
    for (std::size_t i = 0; i < 3; ++i)
        cluster.host(i).process.pause(i == 1 ? 10s : 0s);
    std::vector<std::shared_ptr<sent_call>> calls;
    calls.reserve(20);
    for (int i = 0; i < 20; ++i)
        calls.push_back(cluster.send(i % 2 == 0 ? 0 : 2, record_type::claim, std::to_string(i)));
    cluster.sim.runUntil(1s);
    CHECK(std::ranges::all_of(
        calls, [](const auto &call) { return call->outcome && call->outcome->status == ledger_status::written; }));
}
