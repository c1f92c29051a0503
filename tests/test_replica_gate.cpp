// What replicas state about themselves: decoding, what is kept of it, and many hosts that follow it in virtual time.
#include "decode_response.h"
#include "replica_gate_p.h"
#include "replica_statement_rule.h"
#include "seeded_property.h"

#include <doctest/doctest.h>

using namespace foxtaildyke;
using foxtaildyke::testing::propertyHolds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr instant kStart = std::chrono::hours{1};

replica_entry entryOf(const std::string &id, std::int64_t startedAtMs = 1)
{
    replica_entry entry;
    entry.id = id;
    entry.service = "s";
    entry.startedAtMs = startedAtMs;
    return entry;
}

message_head headOf(int status, http_headers headers)
{
    message_head head;
    head.status = status;
    head.headers = std::move(headers);
    return head;
}

replica_statement leaving()
{
    replica_statement statement;
    statement.isLeaving = true;
    return statement;
}

replica_statement paused(double seconds)
{
    replica_statement statement;
    statement.retryAfterSeconds = seconds;
    return statement;
}

} // namespace

TEST_CASE("replica statement: each header is read where it counts, and unusable values are named")
{
    const auto full = platform::decodeStatement(headOf(503,
                                                       {{"Server-Leaving", " 1 "},
                                                        {"Retry-After", "2.5"},
                                                        {"Server-Limit", "12"},
                                                        {"Server-Brittle", "5"},
                                                        {"Foxtaildyke-Not-Executed", "1"},
                                                        {"Foxtaildyke-Server-Stamp", "s"},
                                                        {"Foxtaildyke-Confidence", "70"}}));
    CHECK(full.isLeaving);
    CHECK(full.hasNotRun);
    CHECK(full.isStamped);
    CHECK(full.retryAfterSeconds == 2.5);
    CHECK(full.rateLimit == 12);
    CHECK(full.bearableRejections == 5);
    CHECK(full.confidence == 70);
    CHECK(full.unusable.empty());
    // A time to come back only counts in a rejection.
    CHECK_FALSE(platform::decodeStatement(headOf(200, {{"Retry-After", "3"}})).retryAfterSeconds);
    CHECK_FALSE(platform::decodeStatement(headOf(500, {{"Retry-After", "3"}})).retryAfterSeconds);
    CHECK(platform::decodeStatement(headOf(429, {{"Retry-After", "3"}})).retryAfterSeconds == 3);
    const auto bad = platform::decodeStatement(headOf(
        503, {{"Server-Leaving", "maybe"}, {"Retry-After", "-1"}, {"Server-Limit", std::string(1000, '9') + "x"}}));
    CHECK_FALSE(bad.isLeaving);
    CHECK_FALSE(bad.retryAfterSeconds);
    CHECK_FALSE(bad.rateLimit);
    REQUIRE(bad.unusable.size() == 3);
    CHECK(std::ranges::all_of(bad.unusable, [](const auto &entry) { return entry.text.size() <= 32; }));
    CHECK(bad.isUnusable(statement_field::retry_after));
}

TEST_CASE("brittle replica: a rejection keeps every request of this host away, until the replica states it no longer")
{
    replica_gate gate("host", 1);
    gate.setReplicas({entryOf("r")}, kStart);
    const slot_usage usage{64, 0, std::nullopt};
    replica_statement rejection;
    rejection.hasNotRun = true;
    gate.recordStatement({"r", 1}, rejection, kStart, kStart);
    CHECK(gate.check("r", usage, kStart) == send_exclusion::none);
    rejection.bearableRejections = 2;
    CHECK(gate.recordStatement({"r", 1}, rejection, kStart, kStart).hasBrittlenessChanged);
    CHECK(gate.check("r", usage, kStart + seconds{1}) == send_exclusion::full);
    // A response without stamp may come from anybody.
    CHECK_FALSE(gate.recordStatement({"r", 1}, {}, kStart, kStart).hasBrittlenessChanged);
    CHECK(gate.check("r", usage, kStart + seconds{1}) == send_exclusion::full);
    replica_statement sound;
    sound.isStamped = true;
    CHECK(gate.recordStatement({"r", 1}, sound, kStart, kStart).hasBrittlenessChanged);
    CHECK(gate.check("r", usage, kStart + seconds{1}) == send_exclusion::none);
}

TEST_CASE("replica statement: any text in the headers is decoded to a bounded value or none (property)")
{
    CHECK(propertyHolds([](const std::string &text, const std::string &digits, int status) {
        std::string fraction = digits;
        fraction.append(".").append(digits);
        for (const auto &value : {text, digits, fraction, "-" + digits}) {
            const auto statement = platform::decodeStatement(headOf(std::abs(status % 600),
                                                                    {{"Server-Leaving", value},
                                                                     {"Retry-After", value},
                                                                     {"Server-Limit", value},
                                                                     {"Server-Brittle", value}}));
            RC_ASSERT(statement.retryAfterSeconds.value_or(0) >= 0);
            RC_ASSERT(statement.rateLimit.value_or(0) >= 0);
            RC_ASSERT(statement.bearableRejections.value_or(0) >= 0);
            RC_ASSERT(statement.unusable.size() <= 4);
            replica_gate gate("host", 1);
            gate.setReplicas({entryOf("r")}, kStart);
            const auto effect = gate.recordStatement({"r", 1}, statement, kStart, kStart);
            RC_ASSERT(effect.pause.value_or(milliseconds{0})
                      <= replica_gate::kMaxPause + replica_gate::kMaxPauseSpread);
            RC_ASSERT(gate.returnDelay("s", send_exclusion::paused, kStart) >= replica_gate::kMinReturnDelay);
        }
    }));
}

TEST_CASE("replica notices: they belong to one run of a replica")
{
    replica_notices notices;
    notices.setReplicas({entryOf("r", 5)}, kStart);
    CHECK(notices.recordLeaving({"r", 5}, kStart));
    CHECK_FALSE(notices.recordLeaving({"r", 5}, kStart));
    notices.recordPause({"r", 5}, kStart + seconds{60}, kStart);
    CHECK(notices.isLeaving("r"));
    // The entry disappears, and comes back, also as that of an earlier run from an older copy of the store.
    notices.setReplicas({}, kStart);
    CHECK(notices.isLeaving("r"));
    notices.setReplicas({entryOf("r", 4)}, kStart);
    CHECK(notices.isLeaving("r"));
    CHECK(notices.earliestEnd("s", kStart) == std::nullopt); // a replica that leaves has no time to come back
    notices.setReplicas({entryOf("r", 6)}, kStart);
    CHECK_FALSE(notices.isLeaving("r"));
    CHECK_FALSE(notices.pausedUntil("r", kStart));
    // A late response of the run before says nothing about the present one.
    CHECK_FALSE(notices.recordLeaving({"r", 5}, kStart));
    notices.recordPause({"r", 5}, kStart + seconds{60}, kStart);
    CHECK_FALSE(notices.isLeaving("r"));
    CHECK_FALSE(notices.pausedUntil("r", kStart));
}

TEST_CASE("replica notices: a pause ends, and a shorter one doesn't shorten it")
{
    replica_notices notices;
    notices.setReplicas({entryOf("a"), entryOf("b")}, kStart);
    notices.recordPause({"a", 1}, kStart + seconds{5}, kStart);
    notices.recordPause({"a", 1}, kStart + seconds{3}, kStart);
    notices.recordPause({"b", 1}, kStart + seconds{4}, kStart);
    CHECK(notices.pausedUntil("a", kStart) == kStart + seconds{5});
    CHECK(notices.earliestEnd("s", kStart) == kStart + seconds{4});
    CHECK(notices.earliestEnd("other", kStart) == std::nullopt);
    CHECK(notices.pausedCount(kStart) == 2);
    CHECK(notices.earliestEnd("s", kStart + seconds{4}) == kStart + seconds{5});
    CHECK_FALSE(notices.pausedUntil("a", kStart + seconds{5}));
    CHECK(notices.pausedCount(kStart + seconds{5}) == 0);
}

TEST_CASE("replica notices: those of replicas without entry are bounded in number and age")
{
    replica_notices notices;
    const auto count = replica_notices::kMaxUnregistered + 10;
    for (std::size_t index = 0; index < count; ++index)
        notices.recordLeaving({"r" + std::to_string(index), 1}, kStart + milliseconds{index});
    notices.setReplicas({entryOf("r0")}, kStart + seconds{10});
    CHECK(notices.leavingCount() == replica_notices::kMaxUnregistered + 1);
    CHECK(notices.isLeaving("r0")); // the oldest, but registered
    CHECK_FALSE(notices.isLeaving("r1"));
    notices.setReplicas({entryOf("r0")}, kStart + seconds{10} + replica_notices::kUnregisteredLifetime);
    CHECK(notices.leavingCount() == 1);
}

TEST_CASE("replica gate: callers rejected during a pause come back after its end, spread")
{
    replica_gate gate("host", 1);
    gate.setReplicas({entryOf("a"), entryOf("b")}, kStart);
    gate.recordStatement({"a", 1}, paused(8), kStart, kStart);
    gate.recordStatement({"b", 1}, paused(4), kStart, kStart);
    CHECK(gate.check("a", {}, kStart) == send_exclusion::paused);
    std::set<std::int64_t> delays;
    for (int index = 0; index < 100; ++index) {
        const auto delay = gate.returnDelay("s", send_exclusion::paused, kStart);
        CHECK(delay >= seconds{4});
        CHECK(delay <= seconds{4} + replica_gate::kMaxPauseSpread + replica_gate::kReturnSpread);
        delays.insert(delay.count());
    }
    CHECK(delays.size() > 50);
    gate.recordStatement({"b", 1}, leaving(), kStart, kStart);
    CHECK(gate.check("b", {}, kStart + seconds{60}) == send_exclusion::leaving);
    CHECK(gate.returnDelay("s", send_exclusion::paused, kStart) >= seconds{8});
}

namespace
{

/// Hosts that send to replicas which leave, pause and restart, in virtual time. Hosts restart, freeze and are cut off
/// from the store, whose entries may say anything.
class notice_simulation
{
public:
    static constexpr milliseconds kStep{10};

    notice_simulation(std::size_t hosts, std::size_t replicas, std::uint64_t seed)
        : m_random(seed)
        , m_replicas(replicas)
        , m_hosts(hosts)
    {
        for (std::size_t index = 0; index < hosts; ++index)
            restartHost(index);
    }

    void restartHost(std::size_t index)
    {
        auto &target = m_hosts[index];
        target = {};
        target.gate = std::make_unique<replica_gate>("host-" + std::to_string(index), m_random());
        target.gate->setReplicas(entries(), m_now);
        target.known.resize(m_replicas.size());
    }

    void run(milliseconds time)
    {
        for (const instant end = m_now + time; m_now < end; m_now += kStep) {
            if (draw(1.0 / 400))
                disturb();
            for (auto &each : m_hosts)
                if (m_now >= each.frozenUntil)
                    step(each);
        }
    }

    std::size_t lateRequests = 0; ///< to replicas that had told the host that they leave
    std::size_t mostAfterRejection = 0;
    std::size_t requests = 0;
    std::size_t rejections = 0;

private:
    struct replica {
        std::int64_t startedAtMs = 1;
        bool isLeaving = false;
        std::optional<double> retryAfter; ///< it rejects everything
    };
    struct response {
        instant due{};
        std::size_t replica = 0;
        std::int64_t startedAtMs = 0;
        instant sentAt{};
        replica_statement statement;
    };
    /// What a replica has told a host, by which the users judge the host.
    struct told {
        std::int64_t startedAtMs = 0;
        std::optional<instant> leavingAt;
        instant rejectedAt{};
        instant rejectedUntil{};
        std::size_t afterRejection = 0;
    };
    struct host {
        std::unique_ptr<replica_gate> gate;
        instant frozenUntil{};
        std::vector<response> responses;
        std::vector<told> known; ///< by replica
    };

    bool draw(double probability) { return std::bernoulli_distribution(probability)(m_random); }

    std::vector<replica_entry> entries()
    {
        std::vector<replica_entry> entries;
        for (std::size_t index = 0; index < m_replicas.size(); ++index)
            if (!draw(0.05)) // lapsed
                entries.push_back(entryOf(std::to_string(index), m_replicas[index].startedAtMs));
        return entries;
    }

    void disturb()
    {
        auto &target = m_replicas[m_random() % m_replicas.size()];
        auto &affected = m_hosts[m_random() % m_hosts.size()];
        switch (m_random() % 6) {
        case 0:
            target.isLeaving = true;
            break;
        case 1:
            target = {target.startedAtMs + 1, false, std::nullopt};
            break;
        case 2:
            target.retryAfter = std::array{0.3, 1.0, 3.0, 8.0}.at(m_random() % 4);
            break;
        case 3:
            target.retryAfter.reset();
            break;
        case 4:
            restartHost(static_cast<std::size_t>(&affected - m_hosts.data()));
            break;
        default:
            affected.frozenUntil = m_now + seconds{3};
            affected.known.assign(m_replicas.size(), {}); // a freeze excuses the host
            break;
        }
        for (auto &each : m_hosts)
            if (draw(0.8)) // the others are cut off from the store
                each.gate->setReplicas(entries(), m_now);
    }

    void step(host &each)
    {
        for (const auto &received : each.responses)
            if (received.due <= m_now)
                receive(each, received);
        std::erase_if(each.responses, [this](const auto &entry) { return entry.due <= m_now; });
        if (!draw(0.2))
            return;
        const auto index = m_random() % m_replicas.size();
        if (each.gate->check(std::to_string(index), {}, m_now) == send_exclusion::none)
            send(each, index);
    }

    void send(host &each, std::size_t index)
    {
        ++requests;
        const auto &target = m_replicas[index];
        auto &known = each.known[index];
        if (known.startedAtMs == target.startedAtMs) {
            const bool isLate = known.leavingAt && m_now > *known.leavingAt + replica_statement_rule::kDrainTime;
            lateRequests += isLate ? 1 : 0;
            const bool isUnwanted =
                m_now > known.rejectedAt + replica_statement_rule::kRejectionDelay && m_now < known.rejectedUntil;
            known.afterRejection += isUnwanted ? 1 : 0;
            mostAfterRejection = std::max(mostAfterRejection, known.afterRejection);
        }
        response sent{
            m_now + milliseconds{10 + static_cast<int>(m_random() % 300)}, index, target.startedAtMs, m_now, {}};
        sent.statement.isLeaving = target.isLeaving;
        sent.statement.retryAfterSeconds = target.retryAfter;
        rejections += target.retryAfter ? 1 : 0;
        each.gate->recordSend(std::to_string(index), m_now);
        each.responses.push_back(sent);
    }

    void receive(host &each, const response &received)
    {
        auto &known = each.known[received.replica];
        if (known.startedAtMs < received.startedAtMs)
            known = {.startedAtMs = received.startedAtMs};
        if (received.statement.isLeaving && !known.leavingAt)
            known.leavingAt = m_now;
        if (received.statement.retryAfterSeconds) {
            const auto pause = std::chrono::duration<double>(*received.statement.retryAfterSeconds);
            known.rejectedAt = m_now;
            known.rejectedUntil = m_now + std::chrono::duration_cast<instant>(pause);
            known.afterRejection = 0;
        }
        // The entry that the host has may be that of the replica's run before.
        each.gate->recordStatement({std::to_string(received.replica), received.startedAtMs}, received.statement,
                                   received.sentAt, m_now);
    }

    std::mt19937_64 m_random;
    instant m_now = kStart;
    std::vector<replica> m_replicas;
    std::vector<host> m_hosts;
};

} // namespace

TEST_CASE("replica gate: hosts keep to what replicas have told them, with restarts, freezes and any entries")
{
    std::size_t rejections = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        CAPTURE(seed);
        notice_simulation simulation(1 + seed % 9, 2 + seed % 5, seed);
        simulation.run(seconds{60});
        CHECK(simulation.lateRequests == 0);
        CHECK(simulation.mostAfterRejection <= replica_statement_rule::kMaxAfterRejection);
        CHECK(simulation.requests > 500);
        rejections += simulation.rejections;
    }
    CHECK(rejections > 200);
}
