// Admission control: rate and concurrency limits per client account, the queue ordered by class and weight, queue wait
// estimates for deadline-aware refusal, and the retry budget.
#pragma once

#include "router_config_p.h"

#include <array>
#include <map>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

namespace foxtaildyke
{

/// Result of the admission check.
struct admission_decision {
    reason_code reason = reason_code::none; ///< none: admitted
    std::chrono::milliseconds retryAfter{};
};

/// Requests of one account that arrived at this host.
struct account_arrivals {
    std::string account;
    std::uint64_t requests = 0;
};

/// @returns the share of an account's limits that one host gets: nine tenths in proportion to demand, one tenth evenly,
/// so that a host whose first requests arrive can admit some before the next demand exchange. The shares of all hosts
/// add up to 1.
/// @param own demand of this host.
/// @param total demand over all hosts; 0: even shares.
[[nodiscard]] double limitShare(double own, double total, std::size_t hosts);

class admission
{
public:
    /// @param seed of the jitter of Retry-After.
    explicit admission(std::uint64_t seed = 1);

    /// Checks the account's rate and concurrency limits and consumes one unit of each if both allow the request.
    [[nodiscard]] admission_decision admit(const router_config &config, account_handle account, instant now);

    /// Returns the concurrency unit of an admitted request.
    void release(std::string_view account);

    /// Sets the share of the account limits that this host may use, 0..1. Until the first call, the limits are divided
    /// evenly among the hosts.
    void setShare(std::string_view account, double share);

    /// @returns arrivals per account since the last call, including refused ones; limit shares follow this demand.
    [[nodiscard]] std::vector<account_arrivals> takeArrivals();

    /// Adds an admitted request to the queue of its class.
    /// @param pool service whose replicas the request waits for; wait estimates count only requests of the same pool.
    void enqueue(request_token request, std::string_view account, std::uint32_t weight, request_class priority,
                 std::string_view pool = {});

    /// Removes a request from the queue. @returns whether it was there.
    bool remove(request_token request);

    /// @returns queued requests in dispatch order: by class, then weighted fair between accounts.
    /// @param limit maximum number of requests returned.
    [[nodiscard]] std::vector<request_token> order(std::size_t limit = SIZE_MAX) const;

    /// Records the start of an attempt, which occupies a slot of the pool.
    void recordStart(std::string_view pool, request_class priority);

    /// Records the end of an attempt, which frees its slot.
    /// @param serviceTime from start to end.
    void recordEnd(std::string_view pool, request_class priority, std::chrono::milliseconds serviceTime);

    /// @returns how long a request that arrived now would wait in the queue: the requests ahead of it divided by the
    /// rate at which this host starts requests of their class. 0 if nothing is known about the pool or no request is
    /// ahead.
    [[nodiscard]] std::chrono::milliseconds estimateQueueWait(std::string_view account, request_class priority,
                                                              std::string_view pool) const;

    /// @returns the estimate plus a random part of up to half of it (at least 10 ms), so that refused callers do not
    /// retry all at once.
    [[nodiscard]] std::chrono::milliseconds addJitter(std::chrono::milliseconds estimate);

    /// Records the first attempt of a request, which adds to the retry budget.
    void recordFirstAttempt();

    /// @returns whether the retry budget allows a retry now; if so, the retry is charged to it.
    [[nodiscard]] bool tryConsumeRetry(const tuning &tune);

private:
    static constexpr std::size_t kClasses = static_cast<std::size_t>(request_class::count);
    struct account_state {
        double tokens = -1; ///< of the token bucket; -1: not used yet, the bucket is full
        instant refilledAt{};
        instant lastRetryAt{}; ///< latest retry time given to a refused caller
        std::uint32_t inFlight = 0;
        std::uint64_t arrivals = 0; ///< since takeArrivals()
        double share = -1; ///< -1: not set
        std::array<double, kClasses> finishTag{}; ///< virtual finish time of the last request queued, by class
    };
    struct queue_key {
        request_class priority = request_class::standard;
        double startTag = 0; ///< virtual start time; ties are served in order of arrival
        std::uint64_t sequence = 0;
        request_token request{};
        auto operator<=>(const queue_key &) const = default; // NOLINT(modernize-use-nullptr): false positive
    };
    struct queued {
        queue_key key;
        std::string pool;
    };
    struct class_state {
        std::uint32_t inFlight = 0;
        double serviceMs = 0; ///< moving mean; 0: no attempt has ended yet
    };
    using pool_state = std::array<class_state, kClasses>; ///< by class
    [[nodiscard]] double startTag(std::string_view account, request_class priority) const;
    std::chrono::milliseconds reserveRetryTime(account_state &state, double waitSeconds, double rate, instant now);

    std::map<std::string, account_state, std::less<>> m_accounts; ///< by name
    std::map<std::string, pool_state, std::less<>> m_pools; ///< by name
    std::set<queue_key> m_order;
    std::unordered_map<std::uint64_t, queued> m_queued; ///< by request; same entries as m_order
    std::array<double, kClasses> m_virtualTime{}; ///< start tag of the last request that left the queue, by class
    std::uint64_t m_sequence = 0;
    double m_unspentAttempts; ///< retry budget in first attempts; a retry costs 100 / retryBudgetPercent of them
    std::mt19937_64 m_random;
};

} // namespace foxtaildyke
