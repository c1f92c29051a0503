// Benchmarks what one host of a large fleet does for each change of a replica, each request and each report of loads,
// by the number of replicas. Prints Markdown rows for docs/CAPACITY.md.
#include "decode.h"
#include "kind_mirror.h"
#include "load_aggregator_p.h"
#include "replica_registry_p.h"
#include "replica_table_p.h"

#include <cstdio>
#include <ctime>

using namespace foxtaildyke;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t kFollowers = 100; ///< of one relay
constexpr std::size_t kMaxHosts = 350; ///< with ten replicas for each host up to this number

/// @returns the processor time of one call in µs, measured over as many calls as take 50 ms or more.
double costUs(const std::function<void()> &call)
{
    const auto processorTime = [] {
        timespec used{};
        clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
        return static_cast<double>(used.tv_sec) * 1e6 + static_cast<double>(used.tv_nsec) / 1e3;
    };
    call(); // fills caches
    for (std::size_t calls = 1;; calls *= 2) {
        const double start = processorTime();
        for (std::size_t index = 0; index < calls; ++index)
            call();
        const double used = processorTime() - start;
        if (used >= 50'000)
            return used / static_cast<double>(calls);
    }
}

replica_entry entryOf(std::size_t index)
{
    replica_entry entry;
    entry.id = "i-" + std::to_string(1'000'000 + index);
    entry.service = "models";
    entry.version = "v1";
    entry.address = {"10.2.0.1", static_cast<std::uint16_t>(8000 + index % 1000)};
    entry.failureDomain = "d" + std::to_string(index % 5);
    entry.slots = 16;
    return entry;
}

std::vector<replica_load> loadsOf(std::size_t replicas, double running)
{
    std::vector<replica_load> loads;
    for (std::size_t index = 0; index < replicas; ++index)
        loads.push_back({entryOf(index).id, running});
    return loads;
}

struct measured_host {
    explicit measured_host(std::size_t replicas)
    {
        std::vector<replica_entry> entries;
        for (std::size_t index = 0; index < replicas; ++index)
            entries.push_back(entryOf(index));
        registry.replaceAll(std::move(entries), now);
        apply();
    }

    void apply()
    {
        table.setReplicas(registry.entries());
        gate.setReplicas(registry.entries(), now);
    }

    const replica_entry *pick(std::uint64_t prefix)
    {
        replica_query query;
        query.service = "models";
        query.sharedPrefixHash = prefix;
        query.work = {100, 30};
        query.gate = &gate;
        return table.pick(query, now);
    }

    instant now{1'000'000};
    replica_registry registry{1800ms};
    replica_table table{"d1", 1};
    replica_gate gate{"host-1", 1};
};

void measure(std::size_t replicas)
{
    measured_host host(replicas);
    host.table.setHosts(std::min<std::size_t>(std::max<std::size_t>(replicas / 10, 20), kMaxHosts));
    const double change = costUs([&] {
        const auto entry = entryOf(replicas / 2);
        host.registry.upsert(entry, host.now);
        host.table.setReplica(entry);
        host.gate.setReplica(entry, host.now);
    });
    const double tick = costUs([&] { (void)host.registry.expire(host.now); });
    std::uint64_t prefix = 1;
    const double own = costUs([&] { (void)host.pick(prefix++ % 50 + 1); });
    const auto totals = loadsOf(replicas, 3);
    load_aggregator loads;
    for (std::size_t follower = 0; follower < kFollowers; ++follower)
        loads.recordReport(std::to_string(follower), loadsOf(std::min<std::size_t>(replicas, 12), 1), host.now);
    loads.recordGroup("other", totals, host.now);
    const auto ids = host.table.subsetOf("host-1");
    const auto reportOf = [&] {
        return ids.empty() ? loads.totals(host.now) : loads.totalsFor("0", ids, host.now);
    };
    const double subset = costUs([&] { (void)host.table.subsetOf("host-1"); });
    const auto known = reportOf();
    const double encode = costUs([&] { (void)platform::encodeLoads(reportOf().loads); });
    const double report = costUs([&] { host.table.setOthersLoad(known, host.now); });
    const double forecast = costUs([&] { (void)host.pick(prefix++ % 50 + 1); });
    const auto body = platform::encodeLoads(known.loads);
    const double decode = costUs([&] { (void)platform::decodeLoads(body); });
    const auto group = platform::encodeLoads(totals);
    const double groupDecode = costUs([&] { loads.recordGroup("other", platform::decodeLoads(group), host.now); });
    std::printf("| %zu | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %zu | %.0f | %.0f | %zu |\n", replicas,
                change, tick, own, forecast, report, decode, encode, body.size(), subset, groupDecode, group.size());
}

} // namespace

int main()
{
    std::puts(
        "| replicas | change of a replica, µs | tick | placing by own load | placing by forecast | report applied | "
        "report decoded | report encoded | its bytes | "
        "subset | report of a relay's group | its bytes |");
    std::puts("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (const std::size_t replicas : {80U, 300U, 1000U, 3000U, 12'000U})
        measure(replicas);
    return 0;
}
