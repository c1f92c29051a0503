// Benchmarks the ledger: store calls with and without owner routing in virtual time, and memory and CPU time at three
// sizes, whose differences give the cost per record. Prints Markdown rows for docs/MEASUREMENTS.md.
#include "ledger_fakes.h"
#include "ledger_service_p.h"

#include <cstdio>
#include <ctime>
#include <malloc.h>

using namespace foxtaildyke;
using namespace foxtaildyke::testing;
using namespace std::chrono_literals;

namespace
{

constexpr std::int64_t kUnixSeconds = 1'900'000'000;
constexpr std::size_t kHosts = 9;

struct measured_host;
using measured_hosts = std::map<std::string, std::unique_ptr<measured_host>>;

class direct_peers : public ledger_peers
{
public:
    direct_peers(simulation &sim, measured_hosts &hosts)
        : m_sim(sim)
        , m_hosts(hosts)
    {
    }
    void append(const std::string &host, std::uint32_t segment, std::string batch, append_batch_done done) override;
    void copyBills(const std::string &, std::string, std::vector<std::string>, copy_done done) override { done(true); }

private:
    instant oneWay() { return instant(200 + m_sim.below(300)); }
    simulation &m_sim;
    measured_hosts &m_hosts;
};

struct measured_host {
    measured_host(simulation &sim, shared_store &objects, const fault_rates &faults, const std::string &name,
                  measured_hosts &hosts)
        : process(sim)
        , store(sim, objects, process, faults)
        , peers(sim, hosts)
        , service(name, "run1", store, peers)
        , m_sim(sim)
    {
        tick();
    }
    void tick()
    {
        service.tick(m_sim.now(), kUnixSeconds);
        process.deliver(500us, [this] { tick(); });
    }
    pausable_host process;
    faulty_store store;
    direct_peers peers;
    ledger_service service;

private:
    simulation &m_sim;
};

void direct_peers::append(const std::string &host, std::uint32_t segment, std::string batch, append_batch_done done)
{
    auto &target = *m_hosts.at(host);
    target.process.deliver(oneWay(), [this, &target, segment, batch = std::move(batch), done = std::move(done)] {
        target.service.serveAppend(segment, batch, [this, &target, done](const auto &outcomes) {
            target.process.deliver(oneWay(), [done, outcomes] { done(outcomes); });
        });
    });
}

router_config_ptr makeConfig(const std::vector<std::string> &names)
{
    auto config = std::make_shared<router_config>();
    for (std::size_t i = 0; i < names.size(); ++i)
        config->hosts.push_back({names[i], "taipei", "domain" + std::to_string(i % 3)});
    return config;
}

/// Sends one claim and, once it completes, one bill for each request, at a fixed rate over all hosts.
void measureRouting(bool routed, std::uint64_t requestsPerSecond)
{
    simulation sim(11);
    shared_store store;
    const fault_rates faults;
    measured_hosts hosts;
    std::vector<std::string> names;
    for (std::size_t i = 0; i < kHosts; ++i) {
        names.push_back("host" + std::to_string(i));
        hosts[names.back()] = std::make_unique<measured_host>(sim, store, faults, names.back(), hosts);
    }
    for (auto &[name, host] : hosts)
        host->service.configure(makeConfig(routed ? names : std::vector{name}));
    sim.runUntil(1s);
    store.reads = 0;

    constexpr std::uint64_t kSeconds = 10;
    const auto requests = requestsPerSecond * kSeconds;
    std::vector<instant> waits;
    std::uint64_t refused = 0;
    std::function<void(std::uint64_t)> send = [&](std::uint64_t number) {
        auto &service = hosts.at(names[sim.below(kHosts)])->service;
        const auto id = std::to_string(kUnixSeconds) + "-" + std::to_string(number);
        const auto startTime = sim.now();
        service.claim({{}, "studio-legale", id}, [&, id, startTime](const append_outcome &outcome) {
            refused += outcome.status != ledger_status::written;
            waits.push_back(sim.now() - startTime);
            service.bill({{}, "studio-legale", id, "grand", "grand-2", 100, 200, 300, {}},
                         [](const append_outcome &) {});
        });
    };
    for (std::uint64_t number = 0; number < requests; ++number)
        sim.after(instant(number * 1'000'000 / requestsPerSecond), [&send, number] { send(number); });
    sim.runUntil(1s + std::chrono::seconds(kSeconds));
    const auto batches = store.writes;
    sim.runUntil(sim.now() + 5s);
    std::ranges::sort(waits);
    std::printf(
        "| %s | %llu | %.1f | %.1f | %.1f | %.1f | %.1f ms | %.1f ms | %llu |\n", routed ? "owner" : "each host",
        static_cast<unsigned long long>(requestsPerSecond), static_cast<double>(batches) / kSeconds,
        static_cast<double>(store.conflicts) / kSeconds, static_cast<double>(store.reads) / kSeconds,
        static_cast<double>(store.removes) / kSeconds, static_cast<double>(waits[waits.size() / 2].count()) / 1e3,
        static_cast<double>(waits[waits.size() * 99 / 100].count()) / 1e3, static_cast<unsigned long long>(refused));
}

/// Store that responds synchronously and retains only the current objects.
class synchronous_store : public object_store
{
public:
    void read(const std::string &key, read_done done) override { done(store.read(key)); }
    void write(const std::string &key, std::string body, object_version expected, write_done done) override
    {
        done(store.write(key, body, expected));
        store.firstBodies.clear();
    }
    void remove(const std::string &key, object_version expected, remove_done done) override
    {
        done(store.remove(key, expected));
    }
    void list(const std::string &prefix, const std::string &after, std::size_t limit, list_done done) override
    {
        done(store.list(prefix, after, limit));
    }
    shared_store store;
};

ledger_record makeBill(std::size_t number, std::size_t responseBytes)
{
    ledger_record record;
    record.type = record_type::bill;
    record.account = "studio-legale";
    record.id = std::to_string(kUnixSeconds) + "-" + std::to_string(1'000'000 + number);
    record.writer = "host3-run1-" + std::to_string(number);
    record.unixSeconds = kUnixSeconds;
    record.model = "grand";
    record.version = "grand-2";
    record.promptTokens = 700;
    record.completionTokens = 250;
    record.costMicroUnits = 1234;
    record.response = std::string(responseBytes, 'a');
    return record;
}

std::size_t heapBytes()
{
    return mallinfo2().uordblks;
}

std::size_t indexBytes(std::size_t entries, std::size_t responseBytes)
{
    const auto before = heapBytes();
    ledger_index index(1h);
    for (std::size_t i = 0; i < entries; ++i)
        index.apply(makeBill(i, responseBytes));
    return heapBytes() - before;
}

double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/// @returns CPU seconds that one segment needs for `records` bills in batches of 20, including the fake store's time.
double segmentSeconds(std::size_t records)
{
    synchronous_store store;
    ledger_segment segment(store, 0, "host3-run1", 1h);
    const auto startTime = processorSeconds();
    constexpr std::size_t kBatch = 20;
    for (std::size_t i = 0; i < records; i += kBatch) {
        for (std::size_t j = 0; j < kBatch; ++j)
            segment.append(makeBill(i + j, 0), [](const append_outcome &) {});
        segment.tick(instant(i * 1000), kUnixSeconds);
    }
    return processorSeconds() - startTime;
}

} // namespace

int main()
{
    std::puts(
        "| Writer | Requests/s | Store writes/s | Conflicts/s | Reads/s | Deletes/s | Claim, median | Claim, 99th | "
        "Claims not granted |");
    std::puts("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (const std::uint64_t rate : {10, 50, 200, 800}) {
        measureRouting(true, rate);
        measureRouting(false, rate);
    }
    constexpr std::array<std::size_t, 3> kSizes{20000, 40000, 80000};
    for (const std::size_t responseBytes : {0, 512}) {
        for (const auto size : kSizes)
            std::printf("index with responses of %zu bytes: %zu entries, %zu bytes\n", responseBytes, size,
                        indexBytes(size, responseBytes));
    }
    for (const auto size : kSizes)
        std::printf("segment: %zu records, %.3f s of processor time\n", size, segmentSeconds(size));
    return 0;
}
