// Admission; see admission_p.h.
#include "admission_p.h"

#include <utility>

namespace foxtaildyke
{

namespace
{

constexpr double kEvenShare = 0.1; ///< part of a limit that is divided evenly, regardless of demand
constexpr double kMaxRetryAfterSeconds = 60; ///< upper limit of Retry-After
constexpr std::chrono::milliseconds kConcurrencyRetryAfter{500}; ///< Retry-After at the concurrency limit
constexpr double kServiceTimeWeight = 0.1; ///< weight of the newest service time in the moving mean
constexpr double kMaxUnspentAttempts = 100; ///< allows a burst of ten retries at a budget of 10%
constexpr double kInitialUnspentAttempts = 10; ///< allows a host that has just started one retry at a budget of 10%

} // namespace

double limitShare(double own, double total, std::size_t hosts)
{
    const auto even = 1.0 / static_cast<double>(std::max<std::size_t>(1, hosts));
    if (total <= 0)
        return even;
    return kEvenShare * even + (1 - kEvenShare) * std::clamp(own / total, 0.0, 1.0);
}

admission::admission(std::uint64_t seed)
    : m_unspentAttempts(kInitialUnspentAttempts)
    , m_random(seed)
{
}

std::chrono::milliseconds admission::addJitter(std::chrono::milliseconds estimate)
{
    const auto maximum = std::max<std::int64_t>(estimate.count() / 2, 10);
    return estimate + std::chrono::milliseconds{std::uniform_int_distribution<std::int64_t>(0, maximum)(m_random)};
}

std::chrono::milliseconds admission::reserveRetryTime(account_state &state, double waitSeconds, double rate,
                                                      instant now)
{
    // Each refused caller is assigned the time of the next token that is not yet assigned to an earlier caller.
    const auto nextTokenAt = now + std::chrono::microseconds{static_cast<std::int64_t>(waitSeconds * 1e6)};
    const auto nextUnassignedAt = state.lastRetryAt + std::chrono::microseconds{static_cast<std::int64_t>(1e6 / rate)};
    const auto latestAt = now + std::chrono::microseconds{static_cast<std::int64_t>(kMaxRetryAfterSeconds * 1e6)};
    state.lastRetryAt = std::min(std::max(nextTokenAt, nextUnassignedAt), latestAt);
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(state.lastRetryAt - now);
    return wait + std::chrono::milliseconds{std::uniform_int_distribution<std::int64_t>(1, 100)(m_random)};
}

admission_decision admission::admit(const router_config &config, account_handle account, instant now)
{
    const auto &limits = config[account];
    auto &state = m_accounts[limits.name];
    ++state.arrivals;
    const auto share = state.share < 0 ? limitShare(0, 0, config.hosts.size()) : state.share;
    const auto rate = std::max(limits.requestsPerSecond * share, 1 / kMaxRetryAfterSeconds);
    const auto burst = std::max(1.0, limits.burst * share);
    const auto elapsed = std::chrono::duration<double>(now - state.refilledAt).count();
    state.tokens = state.tokens < 0 ? burst : std::min(burst, state.tokens + elapsed * rate);
    state.refilledAt = now;
    if (state.inFlight >= std::max(1.0, limits.concurrency * share))
        return {reason_code::rate_limited, addJitter(kConcurrencyRetryAfter)};
    if (state.tokens < 1)
        return {reason_code::rate_limited, reserveRetryTime(state, (1 - state.tokens) / rate, rate, now)};
    state.tokens -= 1;
    ++state.inFlight;
    return {};
}

void admission::release(std::string_view account)
{
    const auto found = m_accounts.find(account);
    if (found != m_accounts.end() && found->second.inFlight > 0)
        --found->second.inFlight;
}

void admission::setShare(std::string_view account, double share)
{
    m_accounts[std::string(account)].share = std::clamp(share, 0.0, 1.0);
}

std::vector<account_arrivals> admission::takeArrivals()
{
    std::vector<account_arrivals> arrivals;
    for (auto &[name, state] : m_accounts) {
        if (state.arrivals > 0)
            arrivals.push_back({name, std::exchange(state.arrivals, 0)});
    }
    return arrivals;
}

double admission::startTag(std::string_view account, request_class priority) const
{
    const auto index = static_cast<std::size_t>(priority);
    const auto found = m_accounts.find(account);
    const auto last = found == m_accounts.end() ? 0.0 : found->second.finishTag[index];
    // The maximum moves an idle account to the current virtual time, so that it gains no credit while it is idle.
    return std::max(last, m_virtualTime[index]);
}

void admission::enqueue(request_token request, std::string_view account, std::uint32_t weight, request_class priority,
                        std::string_view pool)
{
    const auto tag = startTag(account, priority);
    auto &finish = m_accounts[std::string(account)].finishTag[static_cast<std::size_t>(priority)];
    finish = tag + 1.0 / std::max(1U, weight);
    const queue_key key{priority, tag, m_sequence++, request};
    m_order.insert(key);
    m_queued.insert_or_assign(static_cast<std::uint64_t>(request), queued{key, std::string(pool)});
}

bool admission::remove(request_token request)
{
    const auto found = m_queued.find(static_cast<std::uint64_t>(request));
    if (found == m_queued.end())
        return false;
    const auto key = found->second.key;
    m_queued.erase(found);
    m_order.erase(key);
    // Cancelling a request at the back of the queue must not move the virtual time past requests that still wait.
    const auto head = m_order.lower_bound(queue_key{key.priority, 0, 0, {}});
    const bool hasQueued = head != m_order.end() && head->priority == key.priority;
    auto &virtualTime = m_virtualTime[static_cast<std::size_t>(key.priority)];
    virtualTime = std::max(virtualTime, hasQueued ? std::min(key.startTag, head->startTag) : key.startTag);
    return true;
}

std::vector<request_token> admission::order(std::size_t limit) const
{
    std::vector<request_token> requests;
    requests.reserve(std::min(limit, m_order.size()));
    for (const auto &key : m_order) {
        if (requests.size() >= limit)
            break;
        requests.push_back(key.request);
    }
    return requests;
}

void admission::recordStart(std::string_view pool, request_class priority)
{
    ++m_pools[std::string(pool)][static_cast<std::size_t>(priority)].inFlight;
}

void admission::recordEnd(std::string_view pool, request_class priority, std::chrono::milliseconds serviceTime)
{
    auto &state = m_pools[std::string(pool)][static_cast<std::size_t>(priority)];
    if (state.inFlight > 0)
        --state.inFlight;
    const auto newest = static_cast<double>(std::max<std::int64_t>(1, serviceTime.count()));
    state.serviceMs = state.serviceMs > 0 ? state.serviceMs + kServiceTimeWeight * (newest - state.serviceMs) : newest;
}

std::chrono::milliseconds admission::estimateQueueWait(std::string_view account, request_class priority,
                                                       std::string_view pool) const
{
    const auto found = m_pools.find(pool);
    if (found == m_pools.end())
        return {};
    const queue_key self{priority, startTag(account, priority), m_sequence, request_token{}};
    std::array<double, kClasses> ahead{};
    std::for_each(m_order.begin(), m_order.lower_bound(self), [&](const queue_key &key) {
        if (m_queued.at(static_cast<std::uint64_t>(key.request)).pool == pool)
            ahead[static_cast<std::size_t>(key.priority)] += 1;
    });
    // While requests of a class wait, the number in flight is this host's share of the pool for that class, however
    // many hosts and classes use the pool. Service times differ too much between classes for a common mean: a
    // drafting request takes as long as 20 lookup requests.
    double wait = 0;
    for (std::size_t index = 0; index < kClasses; ++index) {
        const auto &state = found->second[index];
        wait += ahead[index] * state.serviceMs / std::max(1U, state.inFlight);
    }
    return std::chrono::milliseconds{static_cast<std::int64_t>(wait)};
}

void admission::recordFirstAttempt()
{
    m_unspentAttempts = std::min(kMaxUnspentAttempts, m_unspentAttempts + 1);
}

bool admission::tryConsumeRetry(const tuning &tune)
{
    if (tune.retryBudgetPercent == 0)
        return false;
    const auto cost = 100.0 / tune.retryBudgetPercent;
    if (m_unspentAttempts < cost)
        return false;
    m_unspentAttempts -= cost;
    return true;
}

} // namespace foxtaildyke
