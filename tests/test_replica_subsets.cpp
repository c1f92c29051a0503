// Subsets of the replicas of a very large service, and replicas that are added, changed and removed one by one.
#include "load_aggregator_p.h"
#include "replica_subset_p.h"
#include "replica_table_p.h"

#include <doctest/doctest.h>

using namespace foxtaildyke;
using namespace std::chrono_literals;

namespace
{

replica_entry entryOf(std::size_t index, const std::string &service = "models")
{
    replica_entry entry;
    entry.id = "r" + std::to_string(index);
    entry.service = service;
    entry.version = "v1";
    entry.failureDomain = "d" + std::to_string(index % 3);
    entry.address = {"10.0.0.1", static_cast<std::uint16_t>(1000 + index)};
    entry.slots = 16;
    return entry;
}

std::vector<replica_entry> entriesOf(std::size_t count)
{
    std::vector<replica_entry> entries;
    for (std::size_t index = 0; index < count; ++index)
        entries.push_back(entryOf(index));
    return entries;
}

replica_query promptQuery(std::uint64_t prefix)
{
    replica_query query;
    query.service = "models";
    query.sharedPrefixHash = prefix;
    query.work = {.sharedMs = 20, .ownMs = 20};
    return query;
}

std::set<std::string> asSet(const std::vector<std::string> &ids)
{
    return {ids.begin(), ids.end()};
}

} // namespace

TEST_CASE("replica subset: each host uses all replicas of small services, and enough of large ones for all to be used")
{
    CHECK(replica_subset::size(10'000, 0) == 10'000); // a fleet of unknown size
    CHECK(replica_subset::size(74, 195) == 74);
    CHECK(replica_subset::size(3000, 300) == 128);
    CHECK(replica_subset::size(6000, 300) == 160);
    CHECK(replica_subset::size(12'000, 350) == 275);
    CHECK(replica_subset::size(500, 3) == 500);
    constexpr std::size_t kHosts = 300;
    replica_table table("d0", 1);
    table.setHosts(kHosts);
    table.setReplicas(entriesOf(6000));
    std::map<std::string, std::size_t> hostsByReplica;
    for (std::size_t host = 0; host < kHosts; ++host) {
        const auto subset = table.subsetOf("host-" + std::to_string(host));
        REQUIRE(subset.size() == 160);
        for (const auto &id : subset)
            ++hostsByReplica[id];
    }
    // A share of exp(-8) is used by no host on average, which is one in 3,000.
    CHECK(hostsByReplica.size() >= 5990);
}

TEST_CASE("replica subset: another replica changes one member at most")
{
    replica_table table("d0", 1);
    table.setHosts(300);
    table.setReplicas(entriesOf(2999));
    const auto before = asSet(table.subsetOf("host-7"));
    table.setReplica(entryOf(2999));
    const auto after = asSet(table.subsetOf("host-7"));
    std::vector<std::string> kept;
    std::ranges::set_intersection(before, after, std::back_inserter(kept));
    CHECK(kept.size() + 1 >= before.size());
    table.removeReplica("r2999");
    CHECK(asSet(table.subsetOf("host-7")) == before);
}

TEST_CASE("replica subset: a host uses its subset and, for a prefix, the replica that all hosts prefer")
{
    constexpr std::size_t kReplicas = 1000;
    replica_table one("d0", 1, "host-1");
    replica_table other("d1", 2, "host-2");
    for (auto *table : {&one, &other}) {
        table->setHosts(200);
        table->setReplicas(entriesOf(kReplicas));
    }
    const auto subset = asSet(one.subsetOf("host-1"));
    CHECK(subset.size() == 128);
    std::set<std::string> used;
    for (int request = 0; request < 2000; ++request)
        used.insert(one.pick(promptQuery(0), 1s)->id);
    CHECK(std::ranges::includes(subset, used));
    CHECK(used.size() == subset.size());
    for (std::uint64_t prefix = 1; prefix <= 20; ++prefix)
        CHECK(one.pick(promptQuery(prefix), 1s)->id == other.pick(promptQuery(prefix), 1s)->id);
}

TEST_CASE("replica subset: replicas that were tried, leave or drain are replaced by others")
{
    replica_table table("d0", 1, "host-1");
    replica_gate gate("host-1", 1);
    table.setHosts(200);
    auto entries = entriesOf(1000);
    const auto subset = asSet(table.subsetOf("host-1"));
    for (auto &entry : entries)
        entry.isDraining = subset.contains(entry.id);
    table.setReplicas(entries);
    const auto first = asSet(table.subsetOf("host-1"));
    std::set<std::string> tried = first;
    auto query = promptQuery(0);
    query.tried = &tried;
    query.gate = &gate;
    const auto *next = table.pick(query, 1s);
    REQUIRE(next);
    CHECK_FALSE(tried.contains(next->id));
    for (int request = 0; request < 990; ++request)
        if (const auto *found = table.pick(query, 1s))
            tried.insert(found->id);
    CHECK(tried.size() == 1000);
    CHECK(table.pick(query, 1s) == nullptr);
}

TEST_CASE("replica subset: the load of a preferred replica beyond the subset counts as far as it is known")
{
    replica_table table("d0", 1, "host-1");
    table.setHosts(200);
    table.setReplicas(entriesOf(1000));
    const auto ids = table.subsetOf("host-1");
    const auto subset = asSet(ids);
    std::uint64_t prefix = 1;
    while (subset.contains(table.pick(promptQuery(prefix), 1s)->id))
        ++prefix;
    const std::string preferred = table.pick(promptQuery(prefix), 1s)->id;
    load_aggregator relay;
    relay.recordReport("host-1", {}, 1s);
    std::vector<replica_load> loads;
    for (std::size_t index = 0; index < 1000; ++index)
        loads.push_back({entryOf(index).id, 3});
    relay.recordGroup("other", loads, 1s);
    auto report = relay.totalsFor("host-1", ids, 1s);
    CHECK_FALSE(report.isComplete);
    CHECK(report.loads.size() == ids.size());
    // Unknown: taken for an average one, where the prefix is worth going to.
    table.setOthersLoad(report, 1s);
    CHECK(table.pick(promptQuery(prefix), 1s)->id == preferred);
    // Far more than the others: known to all hosts.
    relay.recordReport("host-2", {{preferred, 40}}, 2s);
    relay.recordGroup("other", loads, 2s);
    report = relay.totalsFor("host-1", ids, 2s);
    CHECK(report.loads.size() == ids.size() + 1);
    table.setOthersLoad(report, 2s);
    CHECK(table.pick(promptQuery(prefix), 2s)->id != preferred);
    // A host that has requests there knows its load, too.
    relay.recordReport("host-2", {}, 3s);
    relay.recordReport("host-1", {{preferred, 2}}, 3s);
    relay.recordGroup("other", loads, 3s);
    report = relay.totalsFor("host-1", ids, 3s);
    CHECK(std::ranges::find(report.loads, preferred, &replica_load::replica)->running == 5);
}

TEST_CASE("replica subset: members without requests aren't named in a report, and count as idle")
{
    replica_table table("d0", 1, "host-1");
    table.setHosts(200);
    table.setReplicas(entriesOf(1000));
    const auto ids = table.subsetOf("host-1");
    load_aggregator relay;
    std::vector<replica_load> loads;
    for (const auto &id : ids)
        if (id != ids[5])
            loads.push_back({id, 3});
    relay.recordReport("host-2", loads, 1s);
    const auto report = relay.totalsFor("host-1", ids, 1s);
    CHECK(report.loads.size() == ids.size() - 1);
    table.setOthersLoad(report, 1s);
    std::map<std::string, int> picked;
    for (int request = 0; request < 5000; ++request)
        ++picked[table.pick(promptQuery(0), 1s)->id];
    CHECK(std::ranges::all_of(
        picked, [&](const auto &entry) { return 2 * entry.second < picked[ids[5]] || entry.first == ids[5]; }));
}

TEST_CASE("replica table: replicas that change one by one are the same as a list of them")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        replica_table listed("d0", 5, "host-1");
        replica_table stepwise("d0", 5, "host-1");
        listed.setHosts(100);
        stepwise.setHosts(100);
        std::map<std::string, replica_entry> entries;
        const auto below = [&random](std::size_t limit) {
            return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random);
        };
        for (int step = 0; step < 300; ++step) {
            auto entry = entryOf(below(120), below(20) == 0 ? "other" : "models");
            entry.startedAtMs = static_cast<std::int64_t>(below(3));
            entry.isDraining = below(10) == 0;
            if (below(4) == 0) {
                entries.erase(entry.id);
                stepwise.removeReplica(entry.id);
            } else {
                entries.insert_or_assign(entry.id, entry);
                stepwise.setReplica(entry);
            }
            std::vector<replica_entry> list;
            std::ranges::transform(entries, std::back_inserter(list), [](const auto &item) { return item.second; });
            listed.setReplicas(list);
            REQUIRE(listed.size() == stepwise.size());
            REQUIRE(listed.subsetOf("host-9") == stepwise.subsetOf("host-9"));
            const auto *one = listed.pick(promptQuery(below(5)), 1s);
            const auto *other = stepwise.pick(promptQuery(0), 1s);
            REQUIRE((one == nullptr) == (other == nullptr));
            if (!one)
                continue;
            // The load that this host causes is kept, unless the replica has restarted.
            listed.recordStart(one->id, 0, {.sharedMs = 0, .ownMs = 5}, 1s);
            stepwise.recordStart(one->id, 0, {.sharedMs = 0, .ownMs = 5}, 1s);
            REQUIRE(listed.running(one->id) == stepwise.running(one->id));
        }
    }
}

TEST_CASE("load aggregator: the sums follow reports that change and expire")
{
    std::mt19937_64 random(7);
    load_aggregator aggregator;
    std::map<std::string, std::vector<replica_load>> reports;
    const auto below = [&random](std::size_t limit) {
        return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random);
    };
    for (int step = 0; step < 500; ++step) {
        std::vector<replica_load> loads;
        for (std::size_t replica = 0; replica < 10; ++replica)
            if (below(2) == 0)
                loads.push_back({"r" + std::to_string(replica), static_cast<double>(below(4))});
        const auto host = "h" + std::to_string(below(5));
        reports[host] = loads;
        aggregator.recordReport(host, loads, 1s);
        std::map<std::string, double> expected;
        for (const auto &[name, known] : reports)
            for (const auto &load : known)
                expected[load.replica] += load.running;
        std::erase_if(expected, [](const auto &entry) { return entry.second == 0; });
        const auto totals = aggregator.totals(1s).loads;
        REQUIRE(totals.size() == expected.size());
        for (const auto &load : totals)
            REQUIRE(load.running == expected.at(load.replica));
    }
    CHECK(aggregator.totals(1s + load_aggregator::kReportLifetime + 1ms).loads.empty());
}
