// Tests admission: one account must not crowd out others, Retry-After must be accurate and differ between callers, and
// retries must stay within the budget.
#include "admission_p.h"

#include <doctest/doctest.h>
#include <set>

using namespace foxtaildyke;
using namespace std::chrono_literals;

namespace
{

constexpr account_handle kAccount{0};

router_config configWithAccount(std::size_t hosts, double rate, std::uint32_t burst, std::uint32_t concurrency = 1000)
{
    router_config config;
    config.accounts.push_back(
        {.name = "studio", .requestsPerSecond = rate, .burst = burst, .concurrency = concurrency});
    for (std::size_t i = 0; i < hosts; ++i)
        config.hosts.push_back({.name = "h" + std::to_string(i)});
    return config;
}

request_token token(std::uint64_t number)
{
    return request_token{number};
}

} // namespace

TEST_CASE("admission limits the rate over all hosts")
{
    // If each host allowed the whole limit, the account would get it once per host.
    const auto config = configWithAccount(4, 100, 8);
    int admitted = 0;
    for (int host = 0; host < 4; ++host) {
        admission gate;
        for (int i = 0; i < 2000; ++i) {
            if (gate.admit(config, kAccount, i * 1ms).reason == reason_code::none)
                ++admitted;
            gate.release("studio");
        }
    }
    CHECK(admitted <= 208);
    CHECK(admitted >= 196);
}

TEST_CASE("limit shares follow demand and add up to the limit")
{
    double sum = 0;
    for (const double own : {90.0, 10.0, 0.0})
        sum += limitShare(own, 100, 3);
    CHECK(sum == doctest::Approx(1));
    CHECK(limitShare(90, 100, 3) > 0.8);
    CHECK(limitShare(0, 100, 3) > 0);
    CHECK(limitShare(0, 0, 4) == doctest::Approx(0.25));
    admission gate;
    const auto config = configWithAccount(3, 100, 10);
    (void)gate.admit(config, kAccount, 0s);
    const auto arrivals = gate.takeArrivals();
    REQUIRE(arrivals.size() == 1);
    CHECK(arrivals[0].requests == 1);
    CHECK(gate.takeArrivals().empty());
}

TEST_CASE("admission limits concurrency and frees it on release")
{
    const auto config = configWithAccount(1, 1000, 1000, 2);
    admission gate;
    CHECK(gate.admit(config, kAccount, 0s).reason == reason_code::none);
    CHECK(gate.admit(config, kAccount, 0s).reason == reason_code::none);
    CHECK(gate.admit(config, kAccount, 0s).reason == reason_code::rate_limited);
    gate.release("studio");
    CHECK(gate.admit(config, kAccount, 0s).reason == reason_code::none);
}

TEST_CASE("refused callers get different retry times")
{
    // With equal Retry-After values all refused callers would retry at the same time.
    const auto config = configWithAccount(1, 10, 1);
    admission gate(3);
    (void)gate.admit(config, kAccount, 0s);
    std::set<std::chrono::milliseconds> waits;
    for (int i = 0; i < 20; ++i)
        waits.insert(gate.admit(config, kAccount, 0s).retryAfter);
    CHECK(waits.size() >= 15);
    CHECK(*waits.rbegin() >= 1500ms);
    std::set<std::chrono::milliseconds> jitteredDelays;
    for (int i = 0; i < 20; ++i)
        jitteredDelays.insert(gate.addJitter(1000ms));
    CHECK(jitteredDelays.size() >= 15);
    CHECK(*jitteredDelays.begin() >= 1000ms);
    CHECK(*jitteredDelays.rbegin() <= 1500ms);
}

TEST_CASE("the queue serves classes strictly and accounts by weight")
{
    // An account with many requests may delay another one only in proportion to their weights.
    admission queue;
    for (std::uint64_t i = 0; i < 10; ++i)
        queue.enqueue(token(i), "large", 1, request_class::standard);
    queue.enqueue(token(100), "small", 1, request_class::standard);
    queue.enqueue(token(101), "small", 1, request_class::standard);
    queue.enqueue(token(200), "large", 1, request_class::interactive);
    queue.enqueue(token(300), "small", 9, request_class::batch);
    const auto order = queue.order();
    CHECK(order.front() == token(200));
    CHECK(order.back() == token(300));
    const auto place = [&](std::uint64_t number) {
        return std::ranges::find(order, token(number)) - order.begin();
    };
    CHECK(place(100) <= 2);
    CHECK(place(101) <= 4);
    CHECK(queue.order(3).size() == 3);
}

TEST_CASE("an idle account gains no credit, and cancelled requests do not delay other accounts")
{
    admission queue;
    for (std::uint64_t i = 0; i < 50; ++i) {
        queue.enqueue(token(i), "busy", 1, request_class::standard);
        CHECK(queue.remove(token(i)));
    }
    for (std::uint64_t i = 100; i < 104; ++i)
        queue.enqueue(token(i), "busy", 1, request_class::standard);
    for (std::uint64_t i = 200; i < 204; ++i)
        queue.enqueue(token(i), "idle", 1, request_class::standard);
    const auto order = queue.order();
    const auto place = [&](std::uint64_t number) {
        return std::ranges::find(order, token(number)) - order.begin();
    };
    CHECK(place(103) < 8);
    CHECK(place(101) < place(203));
    // Cancelling a request at the back of a long queue must not place new accounts behind that queue.
    CHECK(queue.remove(token(103)));
    queue.enqueue(token(300), "new", 1, request_class::standard);
    const auto next = queue.order();
    CHECK(std::ranges::find(next, token(300)) - next.begin() <= 2);
    CHECK_FALSE(queue.remove(token(103)));
}

TEST_CASE("the queue wait estimate follows queue length and service time")
{
    // A request that can't start in time would otherwise wait in the queue until its deadline expires.
    admission queue;
    CHECK(queue.estimateQueueWait("a", request_class::batch, "pool") == 0ms);
    for (int i = 0; i < 8; ++i)
        queue.recordStart("pool", request_class::batch);
    queue.recordEnd("pool", request_class::batch, 1000ms);
    queue.recordStart("pool", request_class::batch);
    CHECK(queue.estimateQueueWait("a", request_class::batch, "pool") == 0ms);
    for (std::uint64_t i = 0; i < 16; ++i)
        queue.enqueue(token(i), "a", 1, request_class::batch, "pool");
    queue.enqueue(token(99), "a", 1, request_class::batch, "other");
    CHECK(queue.estimateQueueWait("a", request_class::batch, "pool") == 2000ms);
    CHECK(queue.estimateQueueWait("a", request_class::interactive, "pool") == 0ms);
    CHECK(queue.estimateQueueWait("b", request_class::batch, "pool") < 500ms);
    // Short lookups in the same pool must not shorten the estimate for the drafts ahead.
    for (int i = 0; i < 50; ++i) {
        queue.recordStart("pool", request_class::interactive);
        queue.recordEnd("pool", request_class::interactive, 10ms);
    }
    CHECK(queue.estimateQueueWait("a", request_class::batch, "pool") == 2000ms);
}

TEST_CASE("the retry budget limits amplification to 1.1")
{
    // Unlimited retries would double the load of a pool that fails because it is overloaded.
    admission budget;
    const tuning tune;
    int retries = 0;
    constexpr int kAttempts = 5000;
    for (int i = 0; i < kAttempts; ++i) {
        budget.recordFirstAttempt();
        retries += budget.tryConsumeRetry(tune) ? 1 : 0;
    }
    CHECK(retries <= kAttempts / 10 + 1);
    CHECK(retries >= kAttempts / 10 - 1);
    admission quiet;
    CHECK(quiet.tryConsumeRetry(tune));
    CHECK_FALSE(quiet.tryConsumeRetry(tune));
    tuning none;
    none.retryBudgetPercent = 0;
    CHECK_FALSE(admission{}.tryConsumeRetry(none));
}
