// Gateway decisions that need neither network nor clock: next step after an attempt, retry budget, replica selection,
// model selection, roll-outs, and retained registry entries.
#include "attempt_rules_p.h"
#include "event_splitter_p.h"
#include "gateway_settings_p.h"
#include "load_aggregator_p.h"
#include "model_cascade_p.h"
#include "replica_registry_p.h"
#include "replica_table_p.h"
#include "retry_budget_p.h"

#include <doctest/doctest.h>
#include <random>

using namespace foxtaildyke;
using namespace std::chrono_literals;

namespace
{

replica_entry makeEntry(const std::string &id, const std::string &version = "v1")
{
    replica_entry entry;
    entry.id = id;
    entry.service = "s";
    entry.failureDomain = "d1";
    entry.version = version;
    entry.slots = 8;
    return entry;
}

std::vector<replica_entry> makeEntries(int count)
{
    std::vector<replica_entry> entries;
    entries.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        entries.push_back(makeEntry("r" + std::to_string(i)));
    return entries;
}

attempt_outcome makeOutcome(attempt_result result, bool mayRetry, bool mayHaveRun)
{
    attempt_outcome outcome;
    outcome.result = result;
    outcome.mayRetry = mayRetry;
    outcome.mayHaveRun = mayHaveRun;
    outcome.sends = 1;
    outcome.maxSends = 3;
    outcome.remaining = 1s;
    return outcome;
}

} // namespace

TEST_CASE("attempt rules: next step after each result of an attempt")
{
    using result = attempt_result;
    CHECK(nextStepAfter(makeOutcome(result::answered, false, true)) == next_step::pass_on);
    CHECK(nextStepAfter(makeOutcome(result::broken, false, true)) == next_step::fail);
    CHECK(nextStepAfter(makeOutcome(result::broken, true, true)) == next_step::retry);
    CHECK(nextStepAfter(makeOutcome(result::not_run, false, false)) == next_step::retry);
    CHECK(nextStepAfter(makeOutcome(result::server_error, false, true)) == next_step::pass_on);
    CHECK(nextStepAfter(makeOutcome(result::server_error, true, true)) == next_step::retry);

    auto last = makeOutcome(result::not_run, false, false);
    last.sends = last.maxSends;
    CHECK(nextStepAfter(last) == next_step::refuse);
    last.mayHaveRun = true; // an earlier attempt may have run
    CHECK(nextStepAfter(last) == next_step::fail);

    auto begun = makeOutcome(result::broken, true, true);
    begun.hasResponseStarted = true;
    CHECK(nextStepAfter(begun) == next_step::retry);
    begun.sends = begun.maxSends;
    CHECK(nextStepAfter(begun) == next_step::cut_off);

    auto late = makeOutcome(result::broken, true, true);
    late.remaining = 5ms;
    CHECK(nextStepAfter(late) == next_step::fail);
}

TEST_CASE("attempt rules: a request that may have run is never refused as not run")
{
    for (int result = 0; result < static_cast<int>(attempt_result::count); ++result)
        for (const bool mayRetry : {false, true})
            for (const std::uint32_t sends : {1U, 3U}) {
                auto outcome = makeOutcome(static_cast<attempt_result>(result), mayRetry, true);
                outcome.sends = sends;
                CHECK(nextStepAfter(outcome) != next_step::refuse);
            }
}

TEST_CASE("retry budget: the sum over hosts stays within the limit for any distribution of requests")
{
    const retry_budget_limits limits{0.9, 10s, 52};
    for (const auto &shares : {std::vector<int>{100, 0, 0, 0, 0, 0}, std::vector<int>{50, 30, 10, 5, 3, 2}}) {
        int requests = 0;
        int retries = 0;
        for (const int share : shares) {
            retry_budget budget(limits);
            for (int i = 0; i < share; ++i)
                budget.recordRequest("s", 1s);
            requests += share;
            for (int i = 0; i < 500; ++i)
                retries += budget.tryConsumeRetry("s", retry_reason::failure, 2s) ? 1 : 0;
        }
        CHECK(retries <= limits.ratio * requests + limits.slack);
        CHECK(retries >= limits.ratio * requests / 2);
    }
}

TEST_CASE("retry budget: escalations leave part of the budget to failures, and the window slides")
{
    retry_budget budget({0.9, 10s, 0});
    for (int i = 0; i < 100; ++i)
        budget.recordRequest("s", 1s);
    int escalations = 0;
    while (budget.tryConsumeRetry("s", retry_reason::escalation, 2s))
        ++escalations;
    CHECK(escalations < 70);
    CHECK(budget.tryConsumeRetry("s", retry_reason::failure, 2s));
    CHECK_FALSE(budget.tryConsumeRetry("s", retry_reason::failure, 12s)); // the requests have left the window
}

TEST_CASE("replica table: requests with the same shared prefix go to the same replica until it is busy")
{
    replica_table table("d1", 1);
    table.setReplicas(makeEntries(9));
    replica_query query;
    query.service = "s";
    query.sharedPrefixHash = 77;
    query.work = {100, 20};
    const auto *preferred = table.pick(query, 1s);
    REQUIRE(preferred);
    const std::string preferredId = preferred->id;
    CHECK(table.pick(query, 1s)->id == preferredId);
    const double first = table.recordStart(preferredId, 77, query.work, 1s);
    CHECK(first == doctest::Approx(120));
    CHECK(table.pick(query, 1s)->id != preferredId); // waiting there takes longer than prefilling the prompt elsewhere
    table.recordFirstByte(preferredId, first);
    CHECK(table.pick(query, 1s)->id == preferredId);
    CHECK(table.recordStart(preferredId, 77, query.work, 2s) == doctest::Approx(20)); // the shared prefix is cached
}

TEST_CASE("replica table: a burst of long prompts is distributed over all replicas")
{
    replica_table table("d1", 1);
    table.setReplicas(makeEntries(9));
    std::map<std::string, int> sent;
    for (std::uint64_t i = 1; i <= 90; ++i) {
        replica_query query;
        query.service = "s";
        query.sharedPrefixHash = i % 3 + 1; // three frequent prefixes
        query.work = {100, 50};
        const auto *replica = table.pick(query, 1s);
        REQUIRE(replica);
        ++sent[replica->id];
        table.recordStart(replica->id, query.sharedPrefixHash, query.work, 1s);
    }
    CHECK(sent.size() == 9);
    for (const auto &[id, count] : sent)
        CHECK(count <= 20);
}

TEST_CASE("replica table: a failing replica is ejected for a while, but never more than half of a service")
{
    replica_table table("d1", 1);
    table.setReplicas(makeEntries(3));
    replica_query query;
    query.service = "s";
    for (int i = 0; i < 3; ++i) {
        table.recordStart("r0", 0, {}, 1s);
        table.recordEnd("r0", 0, false, 1s, 1s);
    }
    for (int i = 0; i < 50; ++i)
        CHECK(table.pick(query, 1500ms)->id != "r0");
    table.recordUnreachable("r1", 1500ms);
    table.recordUnreachable("r2", 1500ms);
    CHECK(table.pick(query, 1600ms) != nullptr);
}

TEST_CASE("replica table: a replica restarted under the same id keeps no state from before")
{
    replica_table table("d1", 1);
    auto entries = makeEntries(2);
    entries[0].startedAtMs = 1000;
    table.setReplicas(entries);
    for (int i = 0; i < 5; ++i)
        table.recordStart("r0", 0, {}, 1s);
    table.recordUnreachable("r0", 1s);
    entries[0].startedAtMs = 2000;
    table.setReplicas(entries);
    CHECK(table.running("r0") == 0);
    table.recordEnd("r0", 0, true, 1s, 1s); // of an attempt before the restart
    CHECK(table.running("r0") == 0);
}

TEST_CASE("replica table: requests are gathered on the same few replicas by all hosts")
{
    std::set<std::string> used;
    for (std::uint64_t host = 0; host < 6; ++host) {
        replica_table table("d1", host);
        table.setReplicas(makeEntries(9));
        replica_query query;
        query.service = "s";
        query.replicaShare = 0.12;
        for (int i = 0; i < 50; ++i)
            used.insert(table.pick(query, 1s)->id);
    }
    CHECK(used.size() == 2);
}

TEST_CASE("replica table: draining replicas and those of other services or versions receive no requests")
{
    replica_table table("d1", 1);
    auto entries = makeEntries(3);
    entries[0].isDraining = true;
    entries[1].service = "other";
    entries[2].version = "v2";
    table.setReplicas(entries);
    replica_query query;
    query.service = "s";
    const version_set excluded{"v2"};
    query.excludedVersions = &excluded;
    CHECK(table.pick(query, 1s) == nullptr);
    query.excludedVersions = nullptr;
    CHECK(table.pick(query, 1s)->id == "r2");
}

TEST_CASE("registry: entries that lapsed during a store outage are retained only for the grace period")
{
    replica_registry registry(1800ms);
    auto entries = makeEntries(3);
    entries[2].isDraining = true;
    registry.replaceAll(entries, 1s);
    registry.setStoreReachable(false, 5s);
    registry.setStoreReachable(true, 10s);
    registry.replaceAll({}, 10s);
    CHECK(registry.entries().size() == 2); // the draining one isn't retained
    registry.upsert(makeEntry("r0"), 10s);
    CHECK_FALSE(registry.expire(11s));
    CHECK(registry.expire(11900ms));
    REQUIRE(registry.entries().size() == 1);
    CHECK(registry.entries()[0].id == "r0");
}

TEST_CASE("registry: a removal without a preceding store outage applies immediately")
{
    replica_registry registry(1800ms);
    registry.replaceAll(makeEntries(2), 1s);
    registry.remove("r0", 20s);
    CHECK(registry.entries().size() == 1);
}

TEST_CASE("registry: a replica that left while this host was cut off from the store isn't retained")
{
    for (const bool isListed : {true, false}) {
        replica_registry registry(1800ms);
        registry.replaceAll(makeEntries(9), 1s);
        registry.setStoreReachable(false, 5s);
        registry.setStoreReachable(true, 10s);
        if (isListed) {
            registry.replaceAll(makeEntries(8), 10s);
        } else {
            registry.remove("r8", 10s);
            CHECK(registry.expire(10250ms));
        }
        CHECK(registry.entries().size() == 8);
    }
}

TEST_CASE("registry: entries that lapse in a store outage are retained when they are removed one after the other")
{
    replica_registry registry(1800ms);
    registry.replaceAll(makeEntries(9), 1s);
    registry.setStoreReachable(false, 5s);
    registry.setStoreReachable(true, 10s);
    for (const auto &entry : makeEntries(7))
        registry.remove(entry.id, 10s);
    CHECK_FALSE(registry.expire(10250ms));
    for (const auto &entry : makeEntries(6)) // all but r6 register again
        registry.upsert(entry, 10s);
    CHECK_FALSE(registry.expire(11s));
    CHECK(registry.entries().size() == 9);
    CHECK(registry.expire(11800ms));
    CHECK(registry.entries().size() == 8);
}

TEST_CASE(
    "registry: after the store came back from an older copy, replicas that left or drain stay out until they write")
{
    replica_registry registry(1800ms);
    auto entries = makeEntries(4);
    for (auto &entry : entries)
        entry.startedAtMs = 1000;
    registry.replaceAll(entries, 1s);
    auto draining = entries[0];
    draining.isDraining = true;
    registry.upsert(draining, 2s);
    registry.remove("r1", 2s);
    registry.upsert(makeEntry("newer"), 2s); // not in the copy
    registry.recordRewind(3s);
    registry.replaceAll(entries, 3s);
    const auto isUsable = [&registry](const std::string &id) {
        const auto all = registry.entries();
        return std::ranges::any_of(all, [&id](const auto &entry) { return entry.id == id && !entry.isDraining; });
    };
    CHECK_FALSE(isUsable("r0"));
    CHECK_FALSE(isUsable("r1"));
    CHECK(isUsable("r2"));
    CHECK_FALSE(registry.expire(3250ms));
    CHECK(isUsable("newer"));
    registry.upsert(entries[1], 4s); // it had lapsed, and writes again
    CHECK(isUsable("r1"));
    CHECK(registry.expire(4900ms));
    CHECK_FALSE(isUsable("newer"));
}

TEST_CASE("model cascade: smallest model first, the largest on low confidence, within attempts and objective")
{
    const cascade_settings settings;
    cascade_step step;
    step.models = 3;
    step.mayRetry = true;
    step.remaining = 1s;
    step.maxSends = 3;
    step.objective = 1000ms;
    CHECK(firstModel(settings, step) == 0);
    step.sends = 1;
    step.confidence = settings.confidenceToKeep - 1;
    CHECK(nextModel(settings, step) == 2);
    step.confidence = settings.confidenceToKeep;
    CHECK_FALSE(nextModel(settings, step));
    step.confidence.reset();
    CHECK_FALSE(nextModel(settings, step));
    step.confidence = 0;
    step.elapsed = 600ms; // the larger model would respond too late
    CHECK_FALSE(nextModel(settings, step));
    step.elapsed = 0ms;
    step.sends = 3;
    CHECK_FALSE(nextModel(settings, step));
    step.maxSends = 1;
    CHECK(firstModel(settings, step) == 2);
}

// Guards against a second run of a request that may run once, and of one that has no run left.
TEST_CASE("model cascade: asks the same question as a retry whether another run is allowed")
{
    const cascade_settings settings;
    cascade_step step;
    step.models = 3;
    step.maxSends = 3;
    step.objective = 1000ms;
    step.remaining = 1s;
    for (const bool mayRetry : {false, true}) {
        step.mayRetry = mayRetry;
        step.sends = 0;
        CHECK(firstModel(settings, step) == (mayRetry ? 0 : 2));
        step.sends = 1;
        step.confidence = 0;
        CHECK(nextModel(settings, step).has_value() == mayRetry);
        for (const bool mayHaveRun : {false, true}) {
            run_history history = step;
            history.mayHaveRun = mayHaveRun;
            CHECK(mayRunAgain(history) == (mayRetry || !mayHaveRun));
        }
    }
    step.hasResponseStarted = true; // events of the smaller model
    CHECK_FALSE(nextModel(settings, step));
    CHECK(mayRunAgain(step));
    step.hasResumePoint = false;
    CHECK_FALSE(mayRunAgain(step));
    step.hasResponseStarted = false;
    step.remaining = kMinRetryTime - 1ms;
    CHECK_FALSE(nextModel(settings, step));
    CHECK(firstModel(settings, step) == 2);
}

TEST_CASE("replica table: outstanding requests of other hosts count until their report is too old")
{
    replica_table table("d1", 1);
    table.setReplicas(makeEntries(4));
    replica_query query;
    query.service = "s";
    query.sharedPrefixHash = 77;
    query.work = {.sharedMs = 30, .ownMs = 5};
    const std::string preferred = table.pick(query, 1s)->id;
    // This host has no requests there; those of the other hosts fill its batch.
    table.setOthersLoad({{{preferred, 20}}}, 1s);
    CHECK(table.pick(query, 1s)->id != preferred);
    // A short wait doesn't justify prefilling the shared prefix elsewhere.
    table.setOthersLoad({{{preferred, 4}}}, 1s);
    CHECK(table.pick(query, 1s)->id == preferred);
    table.setOthersLoad({{{preferred, 20}}}, 2s);
    CHECK(table.pick(query, 2s + replica_table::kMaxLoadAge)->id == preferred);
    // Calls without a prompt end long before the report of them arrives.
    table.setOthersLoad({{{"r0", 20}, {"r1", 20}, {"r2", 20}}}, 3s);
    query.work = {};
    query.sharedPrefixHash = 0;
    std::set<std::string> used;
    for (int i = 0; i < 50; ++i)
        used.insert(table.pick(query, 3s)->id);
    CHECK(used.size() == 4);
}

TEST_CASE("replica table: equal replicas get equal shares")
{
    constexpr int kReplicas = 10;
    constexpr std::size_t kRequests = 2000;
    replica_query query;
    query.service = "s";
    for (const double promptMs : {0.0, 40.0}) {
        replica_table table("d1", 1);
        table.setReplicas(makeEntries(kReplicas));
        query.work = {.sharedMs = 0, .ownMs = promptMs};
        std::map<std::string, std::size_t> picks;
        for (std::size_t request = 0; request < kRequests; ++request)
            ++picks[table.pick(query, 1s)->id];
        for (const auto &[replica, count] : picks)
            CHECK(count < 2 * kRequests / kReplicas);
        CHECK(picks.size() == kReplicas);
    }
}

TEST_CASE("replica table: many hosts with few requests each don't overload one replica while others are free")
{
    constexpr std::size_t kHosts = 40;
    constexpr int kReplicas = 10;
    std::vector<replica_table> hosts;
    for (std::size_t i = 0; i < kHosts; ++i) {
        hosts.emplace_back("d1", i);
        hosts.back().setReplicas(makeEntries(kReplicas));
    }
    // One frequent prefix; each host sends one request per round, after which all hosts receive the load.
    std::map<std::string, double> running;
    replica_query query;
    query.service = "s";
    query.sharedPrefixHash = 77;
    query.work = {.sharedMs = 1, .ownMs = 40};
    for (int round = 0; round < 2; ++round) {
        for (auto &host : hosts) {
            const auto id = host.pick(query, 1s)->id;
            host.recordStart(id, query.sharedPrefixHash, query.work, 1s);
            ++running[id];
            std::vector<replica_load> others;
            std::ranges::transform(running, std::back_inserter(others), [](const auto &entry) {
                return replica_load{entry.first, entry.second};
            });
            for (auto &other : hosts)
                other.setOthersLoad({others}, 1s);
        }
    }
    for (const auto &[replica, count] : running)
        CHECK(count <= 12); // 80 requests for 80 slots; without the load reports all would go to one replica
}

TEST_CASE("load aggregator: sums of the reporting hosts, and of those that report to other relays")
{
    load_aggregator aggregator;
    aggregator.recordReport("a", {{"r1", 2}}, 1s);
    aggregator.recordReport("b", {{"r1", 1}, {"r2", 4}}, 1s);
    const auto totals = aggregator.totals(1s);
    REQUIRE(totals.loads.size() == 2);
    CHECK(totals.loads[0].running == 3);
    aggregator.recordGroup("relay-2", {{"r1", 4}, {"r3", 1}}, 1s);
    aggregator.recordGroup("relay-3", {{"r2", 8}}, 1s);
    CHECK(aggregator.groupTotals(1s).size() == 2); // only of the hosts that report here
    const auto others = othersOf(aggregator.totals(1s), {{"r1", 2}, {"r3", 9}});
    REQUIRE(others.loads.size() == 3);
    CHECK(others.loads[0].running == 5);
    CHECK(others.loads[1].running == 12);
    CHECK(others.loads[2].running == 0); // what this host has sent since isn't in the sums yet
    aggregator.recordGroup("relay-2", {{"r1", 3}}, 2s);
    aggregator.recordReport("b", {}, 2s);
    const auto later = aggregator.totals(2s + load_aggregator::kReportLifetime - 1ms);
    REQUIRE(later.loads.size() == 1); // the reports of "a" and "relay-3" have expired
    CHECK(later.loads[0].running == 3);
}

TEST_CASE("retry budget: the slack is divided among all hosts of a large fleet")
{
    constexpr std::size_t kHosts = 88;
    retry_budget budget({.ratio = 0.9, .window = 10s, .slack = 216});
    budget.setHosts(kHosts);
    std::size_t retries = 0;
    while (budget.tryConsumeRetry("s", retry_reason::failure, 1s))
        ++retries;
    CHECK(retries > 0);
    CHECK(retries * kHosts <= 216);
    budget.setHosts(3); // hosts that went down may return before the number is updated
    CHECK(budget.tryConsumeRetry("t", retry_reason::failure, 1s));
}

TEST_CASE("event splitter: emits only complete events, for input split at any size")
{
    const std::string text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\nid: 4\ndata: cut";
    for (std::size_t piece = 1; piece < 30; ++piece) {
        event_splitter splitter;
        std::string emitted;
        std::vector<std::optional<std::uint64_t>> ids;
        for (std::size_t at = 0; at < text.size(); at += piece)
            splitter.feed(std::string_view(text).substr(at, piece), [&](std::string_view event, auto id) {
                emitted.append(event);
                ids.push_back(id);
            });
        CHECK(emitted + std::string(splitter.rest()) == text);
        CHECK(splitter.rest() == "id: 4\ndata: cut");
        CHECK(ids == std::vector<std::optional<std::uint64_t>>{1, 2, std::nullopt});
    }
}

TEST_CASE("event splitter: lines may end with CRLF, LF or CR, for input split at any size")
{
    for (const std::string end : {"\r\n", "\n", "\r"}) {
        CAPTURE(end);
        std::string text;
        for (const std::string_view line : {"id: 1", "data: a", "", "id: 2", "data: b", ""})
            text.append(line).append(end);
        for (std::size_t piece = 1; piece <= text.size(); ++piece) {
            event_splitter splitter;
            std::vector<std::optional<std::uint64_t>> ids;
            std::string emitted;
            const auto collect = [&](std::string_view event, auto id) {
                emitted.append(event);
                ids.push_back(id);
            };
            for (std::size_t at = 0; at < text.size(); at += piece)
                splitter.feed(std::string_view(text).substr(at, piece), collect);
            CHECK(splitter.finish(collect));
            CHECK(emitted + std::string(splitter.rest()) == text);
            CHECK(ids == std::vector<std::optional<std::uint64_t>>{1, 2});
        }
    }
}

TEST_CASE("event splitter: a stream ends between two events only after a blank line or complete comments")
{
    const auto endsBetweenEvents = [](const std::string &text) {
        event_splitter splitter;
        const auto ignore = [](std::string_view, std::optional<std::uint64_t>) {
        };
        splitter.feed(text, ignore);
        return splitter.finish(ignore);
    };
    for (const std::string whole : {"", "id: 1\ndata: a\n\n", "data: a\r\r", "data: a\n\n: ping\n", "data: a\n\n\n"}) {
        CAPTURE(whole);
        CHECK(endsBetweenEvents(whole));
    }
    for (const std::string cut : {"id", "id: 1\n", "id: 1\ndata: a\n", "data: a\n\nd", "data: a\r\n", "data: a\n\n: pi",
                                  "data: a\n\n: ping\nid: 2\n"}) {
        CAPTURE(cut);
        CHECK_FALSE(endsBetweenEvents(cut));
    }
}

TEST_CASE("gateway settings: required keys, ranges, and unknown keys")
{
    const std::map<std::string, std::string> valid{{"host", "h1"},
                                                   {"failure_domain", "d1"},
                                                   {"listen", "10.0.0.1:1"},
                                                   {"readiness", "10.0.0.1:2"},
                                                   {"platform", "10.0.0.9:3"},
                                                   {"grace_s", "7.5"},
                                                   {"settle_ms", "4000"},
                                                   {"drain_ms", "3000"},
                                                   {"config_ms", "2500"},
                                                   {"key_of_a_later_version", "x"}};
    const auto settings = checkGatewaySettings({{"gateway", valid}});
    REQUIRE(settings.has_value());
    CHECK(settings.value().grace == 7500ms);
    CHECK(changeLimitOf(settings.value()) == 6500ms);
    auto missing = valid;
    missing.erase("platform");
    CHECK(checkGatewaySettings({{"gateway", missing}}).error().field == "gateway/platform");
    for (const auto &[key, value] :
         {std::pair{"listen", "nowhere"}, std::pair{"grace_s", "-1"}, std::pair{"retry_ratio", "0.9x"},
          std::pair{"starts_small", "yes"}, std::pair{"drain_ms", "0"}}) {
        auto wrong = valid;
        wrong[key] = value;
        const auto result = checkGatewaySettings({{"gateway", wrong}});
        REQUIRE(result.has_error());
        CHECK(result.error().field == std::string("gateway/") + key);
    }
    auto repeated = valid;
    repeated["relay"] = "10.0.0.1:2"; // not listened on without relays
    CHECK(checkGatewaySettings({{"gateway", repeated}}).has_value());
    repeated["relays"] = "10.0.0.1:2";
    CHECK(checkGatewaySettings({{"gateway", repeated}}).error().field == "gateway/relay");
    repeated["detour"] = "0.0.0.0:1";
    const auto conflict = checkGatewaySettings({{"gateway", repeated}});
    REQUIRE(conflict.has_error());
    CHECK(conflict.error().code == error_code::conflict);
    CHECK(conflict.error().field == "gateway/detour");
}
