// Prompt parts that crash replicas: which requests the registries of several hosts block, in single situations and in a
// simulation of replicas, requests and crashes of other causes in virtual time.
#include "shared_registries.h"

#include <doctest/doctest.h>
#include <random>

using namespace foxtaildyke;
using namespace std::chrono_literals;

namespace
{

using part_list = std::vector<std::uint64_t>;

/// First part of a kind of request, part of its subject, and a part that crashes replicas.
constexpr std::uint64_t kFirst = 1;
constexpr std::uint64_t kSubject = 2;
constexpr std::uint64_t kDeadly = 3;
constexpr std::uint64_t kOther = 4;

/// Time within which the hosts must agree, counted from the fifth crash.
constexpr auto kAgreementTime = 3s;
constexpr std::size_t kCrashesUntilAgreement = 5;
constexpr std::size_t kMaxLaterRequests = 3;

bool isBlocked(const crash_registry &host, const part_list &parts, instant now)
{
    return host.findBlock(parts, now).has_value();
}

} // namespace

TEST_CASE("crash parts: crashes on different hosts add up, and only requests with all suspected parts are blocked")
{
    shared_registries fleet(6);
    for (std::uint64_t crash = 0; crash < crash_registry::kCrashLimit; ++crash)
        fleet.hosts[crash].recordPartCrash(part_list{kFirst, kSubject, kDeadly}, crash, false, fleet.now);
    fleet.advance(kAgreementTime);
    CHECK(fleet.blocking({kFirst, kSubject, kDeadly}) == fleet.hosts.size());
    CHECK(fleet.blocking({kFirst, kSubject}) == 0);
    CHECK(fleet.blocking({kFirst}) == 0);
    CHECK(fleet.blocking({kSubject, kOther}) == 0);
}

TEST_CASE(
    "crash parts: a response rules its parts out on all hosts, and the remaining part is blocked wherever it stands")
{
    shared_registries fleet(4);
    for (std::uint64_t crash = 0; crash < crash_registry::kCrashLimit; ++crash)
        fleet.hosts[crash].recordPartCrash(part_list{kFirst, kSubject, kDeadly}, crash, false, fleet.now);
    fleet.advance(kAgreementTime);
    CHECK(fleet.blocking({kOther, kDeadly}) == 0); // it may be another part than the deadly one
    fleet.hosts[3].recordBegun(part_list{kFirst, kSubject}, fleet.now);
    fleet.advance(kAgreementTime);
    CHECK(fleet.blocking({kOther, kDeadly}) == fleet.hosts.size());
    CHECK(fleet.blocking({kFirst, kSubject}) == 0);
}

TEST_CASE("crash parts: a response rules out a crash that several hosts have reported")
{
    shared_registries fleet(3);
    for (auto &host : fleet.hosts)
        for (std::uint64_t crash = 0; crash < crash_registry::kCrashLimit; ++crash)
            host.recordPartCrash(part_list{kFirst}, crash, false, fleet.now);
    fleet.advance(kAgreementTime);
    REQUIRE(fleet.blocking({kFirst}) == fleet.hosts.size());
    fleet.hosts[0].recordBegun(part_list{kFirst}, fleet.now);
    CHECK_FALSE(isBlocked(fleet.hosts[0], {kFirst}, fleet.now));
    fleet.advance(kAgreementTime);
    CHECK(fleet.blocking({kFirst}) == 0);
}

TEST_CASE("crash parts: a part that was ruled out is blocked when it crashes replicas later")
{
    crash_registry host("host-0");
    host.setStoredReports({}, 0s);
    host.recordBegun(part_list{kDeadly}, 1s);
    for (std::uint64_t crash = 0; crash < crash_registry::kProvenCrashLimit; ++crash)
        host.recordPartCrash(part_list{kDeadly}, crash, true, 10s + crash * 400ms);
    CHECK(isBlocked(host, {kDeadly}, 12s));
}

TEST_CASE("crash parts: replicas that end together don't block a part that was served before")
{
    crash_registry host("host-0");
    host.setStoredReports({}, 0s);
    host.recordBegun(part_list{kFirst}, 1s);
    for (std::uint64_t crash = 0; crash < 9; ++crash)
        host.recordPartCrash(part_list{kFirst}, crash, false, 10s);
    CHECK_FALSE(isBlocked(host, {kFirst}, 10s));
}

TEST_CASE("crash parts: parts of requests that wait on the replicas aren't blocked beside the part that crashes them")
{
    crash_registry host("host-0");
    host.setStoredReports({}, 0s);
    for (std::uint64_t crash = 0; crash < 4; ++crash) {
        host.recordPartCrash(part_list{kFirst, kDeadly}, crash, true, 10s + crash * 100ms);
        host.recordPartCrash(part_list{kFirst, kOther}, crash, false, 10s + crash * 100ms);
    }
    CHECK(isBlocked(host, {kFirst, kDeadly}, 11s));
    CHECK_FALSE(isBlocked(host, {kFirst, kOther}, 11s));
    CHECK_FALSE(isBlocked(host, {kFirst}, 11s));
}

TEST_CASE("crash parts: two deadly parts whose requests ran on the same replicas are both blocked")
{
    crash_registry host("host-0");
    host.setStoredReports({}, 0s);
    for (std::uint64_t crash = 0; crash < 8; ++crash) {
        const bool isShared = crash == 2 || crash == 5;
        if (isShared || crash % 2 == 0)
            host.recordPartCrash(part_list{kFirst, kDeadly}, crash, true, 10s + crash * 100ms);
        if (isShared || crash % 2 == 1)
            host.recordPartCrash(part_list{kSubject, kOther}, crash, true, 10s + crash * 100ms);
    }
    CHECK(isBlocked(host, {kFirst, kDeadly}, 11s));
    CHECK(isBlocked(host, {kSubject, kOther}, 11s));
    CHECK_FALSE(isBlocked(host, {kFirst, kSubject + 100}, 11s));
}

TEST_CASE("crash parts: a request whose crashes a prompt part explains isn't blocked for itself")
{
    constexpr std::uint64_t kFingerprint = 1000;
    crash_registry host("host-0");
    host.setStoredReports({}, 0s);
    for (std::uint64_t crash = 0; crash < 4; ++crash) {
        host.recordPartCrash(part_list{kDeadly}, crash, true, 10s);
        host.recordCrash(kFingerprint, crash, 10s);
    }
    CHECK_FALSE(isBlocked(host, {kFirst, kFingerprint}, 10s));
    CHECK(isBlocked(host, {kDeadly, kFingerprint}, 10s));
}

TEST_CASE("crash parts: the reports of a host are bounded, and a suspected part remains")
{
    crash_registry host("host-0");
    host.setStoredReports({}, 0s);
    for (std::uint64_t crash = 0; crash < 2; ++crash)
        host.recordPartCrash(part_list{kDeadly}, crash, true, 1s);
    for (std::uint64_t part = 100; part < 10'000; ++part)
        host.recordPartCrash(part_list{part, part + 1}, 50, false, 2s);
    CHECK(host.ownReports().size() <= crash_registry::kMaxReports);
    CHECK(isBlocked(host, {kDeadly}, 3s));
}

TEST_CASE("crash parts: a blocked part is tried by one host after a pause, and served by all if a replica responds")
{
    shared_registries fleet(6);
    for (std::uint64_t crash = 0; crash < 4; ++crash) // of another cause
        fleet.hosts[crash].recordPartCrash(part_list{kOther}, crash, crash == 0, fleet.now);
    fleet.advance(kAgreementTime);
    REQUIRE(fleet.blocking({kOther}) == fleet.hosts.size());
    std::size_t trials = 0;
    for (auto waited = 0ms; waited < 30s && trials == 0; waited += 250ms) {
        fleet.advance(250ms);
        for (auto &host : fleet.hosts)
            if (host.tryConsumeTrial(kOther, fleet.now)) {
                ++trials;
                CHECK(waited >= 6s);
                host.recordBegun(part_list{kOther}, fleet.now);
            }
    }
    CHECK(trials == 1);
    fleet.advance(kAgreementTime);
    CHECK(fleet.blocking({kOther}) == 0);
}

TEST_CASE("crash parts: trials of a deadly part end once replicas have ended while they responded to it")
{
    shared_registries fleet(6);
    std::uint64_t crashes = 0;
    for (; crashes < 3; ++crashes)
        fleet.hosts[crashes].recordPartCrash(part_list{kDeadly}, crashes, crashes == 0, fleet.now);
    std::size_t trials = 0;
    for (auto waited = 0ms; waited < 300s; waited += 250ms) {
        fleet.advance(250ms);
        for (auto &host : fleet.hosts)
            if (fleet.blocking({kDeadly}) == fleet.hosts.size() && host.tryConsumeTrial(kDeadly, fleet.now)) {
                ++trials;
                host.recordPartCrash(part_list{kDeadly}, ++crashes, true, fleet.now);
            }
    }
    CHECK(trials >= 1);
    CHECK(trials <= kMaxLaterRequests);
}

TEST_CASE("crash parts: without crashes nothing is stored")
{
    shared_registries fleet(3);
    for (std::uint64_t step = 0; step < 1000; ++step) {
        fleet.hosts[step % 3].recordBegun(part_list{kFirst, step}, fleet.now);
        fleet.advance(250ms);
    }
    CHECK(fleet.writes == 0);
}

namespace
{

/// Hosts, replicas and requests in steps of virtual time. Replicas end at the requests with kDeadly, and now and then
/// for another reason.
struct crash_simulation {
    struct request {
        std::uint64_t fingerprint = 0;
        part_list parts;
        std::size_t host = 0;
        std::uint32_t sends = 0;
        instant headAt{}; ///< the replica begins to respond
        instant begunAt{}; ///< its second event
        instant endAt{};
        bool hasBegun = false;
        [[nodiscard]] bool isDeadly() const { return std::ranges::find(parts, kDeadly) != parts.end(); }
    };
    struct replica {
        std::vector<request> requests;
        std::uint64_t boot = 0;
        std::optional<instant> backAt; ///< set while the replica is down
    };

    crash_simulation(std::uint64_t seed, std::size_t hostCount, double deadly, double outside)
        : random(seed)
        , fleet(hostCount)
        , deadlyShare(deadly)
        , outsideCrashes(outside)
    {
    }

    std::uint64_t draw(std::uint64_t limit) { return random() % limit; }
    bool chance(double probability) { return std::uniform_real_distribution<>(0, 1)(random) < probability; }

    void send(request item)
    {
        auto traits = item.parts;
        traits.push_back(item.fingerprint);
        const bool isAllowed = !fleet.hosts[item.host].findBlock(traits, fleet.now);
        if (item.sends == 0 && !item.isDeadly() && item.parts.front() == kFirst && isAfter(2 * kAgreementTime))
            ++(isAllowed ? soundServed : soundRefused);
        std::vector<replica *> running;
        for (auto &candidate : replicas)
            if (!candidate.backAt)
                running.push_back(&candidate);
        if (!isAllowed || running.empty() || ++item.sends > 3)
            return;
        if (item.isDeadly() && isAfter(kAgreementTime))
            ++laterDeadly;
        item.headAt = fleet.now + std::chrono::milliseconds(100 + draw(500));
        item.begunAt = item.headAt + 100ms;
        item.endAt = item.begunAt + std::chrono::milliseconds(100 + draw(3000));
        item.hasBegun = false;
        running[draw(running.size())]->requests.push_back(std::move(item));
    }

    void crash(std::size_t index, bool isByDeadly)
    {
        auto &ended = replicas[index];
        const auto id = 1000 * (index + 1) + ended.boot++;
        ended.backAt = fleet.now + 3s;
        if (isByDeadly && ++deadlyCrashes == kCrashesUntilAgreement)
            fifthCrashAt = fleet.now;
        auto lost = std::exchange(ended.requests, {});
        for (const auto &item : lost) {
            auto &host = fleet.hosts[item.host];
            host.recordCrash(item.fingerprint, id, fleet.now);
            if (!item.hasBegun)
                host.recordPartCrash(item.parts, id, fleet.now >= item.headAt, fleet.now);
        }
        for (auto &item : lost)
            send(std::move(item));
    }

    void serve(std::size_t index)
    {
        bool isEnding = chance(outsideCrashes);
        bool isByDeadly = false;
        for (auto &item : replicas[index].requests) {
            if (item.isDeadly()) {
                isByDeadly = isByDeadly || fleet.now >= item.headAt + 50ms;
            } else if (!item.hasBegun && fleet.now >= item.begunAt) {
                item.hasBegun = true;
                fleet.hosts[item.host].recordBegun(item.parts, fleet.now);
            } else if (fleet.now >= item.endAt) {
                fleet.hosts[item.host].recordResponse(item.fingerprint, fleet.now);
            }
        }
        isEnding = isEnding || isByDeadly;
        std::erase_if(replicas[index].requests,
                      [this](const request &item) { return !item.isDeadly() && fleet.now >= item.endAt; });
        if (isEnding)
            crash(index, isByDeadly);
    }

    void step(bool isPoisoned)
    {
        for (int arrival = 0; arrival < 3; ++arrival) {
            request item;
            item.fingerprint = 1'000'000 + ++lastRequest;
            item.host = draw(fleet.hosts.size());
            // Two kinds of request: one with a single first part, one with forty of them.
            item.parts =
                chance(0.5) ? part_list{kFirst, 1000 + draw(200)} : part_list{100 + draw(40), 2000 + draw(200)};
            if (isPoisoned && item.parts.front() == kFirst && chance(deadlyShare))
                item.parts = {kFirst, 1000, kDeadly};
            send(std::move(item));
        }
        for (std::size_t index = 0; index < replicas.size(); ++index) {
            auto &current = replicas[index];
            if (current.backAt && fleet.now >= *current.backAt)
                current.backAt.reset();
            if (!current.backAt)
                serve(index);
        }
        fleet.now += 50ms;
        // The store delivers reports that were written half a second ago.
        if (++steps % 5 == 0) {
            for (auto &host : fleet.hosts)
                host.setStoredReports(inTransit, fleet.now);
            inTransit = fleet.stored;
            for (std::size_t index = 0; index < fleet.hosts.size(); ++index)
                fleet.publish(index);
        }
    }

    [[nodiscard]] bool isAfter(std::chrono::milliseconds time) const
    {
        return fifthCrashAt && fleet.now > *fifthCrashAt + time;
    }

    std::mt19937_64 random;
    shared_registries fleet;
    crash_reports_by_host inTransit;
    std::vector<replica> replicas{9};
    double deadlyShare;
    double outsideCrashes; ///< probability of a crash of another cause, per replica and step
    std::uint64_t lastRequest = 0;
    std::uint64_t steps = 0;
    std::size_t deadlyCrashes = 0;
    std::optional<instant> fifthCrashAt;
    std::size_t laterDeadly = 0;
    std::size_t soundServed = 0;
    std::size_t soundRefused = 0;
};

} // namespace

TEST_CASE("crash parts: in simulated storms of crashes a deadly part is blocked in time and sound requests are served")
{
    struct storm_kind {
        std::size_t hosts;
        double deadlyShare;
        double outsideCrashes; ///< see crash_simulation
    };
    for (const auto &storm : {storm_kind{6, 0.05, 0}, storm_kind{6, 0.02, 0.001}, storm_kind{9, 0.12, 0},
                              storm_kind{9, 0.05, 0.003}, storm_kind{2, 0.3, 0.001}, storm_kind{40, 0.1, 0.001}})
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            crash_simulation simulation(seed, storm.hosts, storm.deadlyShare, storm.outsideCrashes);
            for (int step = 0; step < 80; ++step)
                simulation.step(false);
            for (int step = 0; step < 400; ++step)
                simulation.step(true);
            INFO("seed " << seed << ", hosts " << storm.hosts << ", share " << storm.deadlyShare << ", other crashes "
                         << storm.outsideCrashes << ", crashes " << simulation.deadlyCrashes);
            CHECK(simulation.laterDeadly <= kMaxLaterRequests);
            CHECK(2 * simulation.soundServed >= simulation.soundServed + simulation.soundRefused);
        }
}
