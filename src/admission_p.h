// Admission: rate and concurrency limits per client account, the queue by class and weight, start estimates for
// deadline-aware refusal, and the retry budget.
#pragma once

#include "fleet_p.h"

#include <array>
#include <map>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

namespace foxtaildyke
{

/// Answer of the admission check.
struct admission_decision {
    reason_code reason = reason_code::none; ///< none: admitted
    std::chrono::milliseconds retryAfter{};
};

/// Requests of one account that arrived at this host.
struct account_arrivals {
    std::string account;
    std::uint64_t requests = 0;
};

/// @returns the part of an account's limits for one host: nine tenths by demand, one tenth evenly, so that a host whose
/// demand begins is not locked out until the next exchange. The parts of all hosts add up to 1.
/// @param total demand over all hosts; 0: even parts.
[[nodiscard]] double limitShare(double own, double total, std::size_t hosts);

class admission
{
public:
    /// @param seed of the spread of Retry-After.
    explicit admission(std::uint64_t seed = 1);

    /// Checks the account's rate and concurrency limits and takes one unit of each where both allow it.
    [[nodiscard]] admission_decision admit(const fleet &config, account_handle account, instant now);

    /// Gives the concurrency unit of an admitted request back.
    void release(std::string_view account);

    /// Sets the share of the account limits that this host may use, 0..1. Until then it is one part per host.
    void setShare(std::string_view account, double share);

    /// @returns arrivals per account since the last call, refused ones included; the demand that shares follow.
    [[nodiscard]] std::vector<account_arrivals> takeArrivals();

    /// Puts an admitted request into the queue of its class.
    /// @param pool service whose replicas the request waits for; start estimates count only requests of one pool.
    void enqueue(request_token request, std::string_view account, std::uint32_t weight, request_class priority,
                 std::string_view pool = {});

    /// Removes a request from the queue. @returns whether it was there.
    bool remove(request_token request);

    /// @returns queued requests in the order in which they should be tried: classes first, then fair between accounts.
    /// @param limit most requests returned.
    [[nodiscard]] std::vector<request_token> order(std::size_t limit = SIZE_MAX) const;

    /// Counts an attempt that takes a slot of a pool.
    void recordStart(std::string_view pool, request_class priority);

    /// Counts an attempt that gives its slot back.
    /// @param serviceTime from start to end.
    void recordEnd(std::string_view pool, request_class priority, std::chrono::milliseconds serviceTime);

    /// @returns how long a request that arrived now would wait in the queue: the requests ahead of it over the rate at
    /// which this host starts requests of its class. 0 where nothing is known of the pool or nothing waits.
    [[nodiscard]] std::chrono::milliseconds estimateQueueWait(std::string_view account, request_class priority,
                                                              std::string_view pool) const;

    /// @returns an estimate with up to half of it added at random, so that refused callers do not return together.
    [[nodiscard]] std::chrono::milliseconds addJitter(std::chrono::milliseconds estimate);

    /// Counts a first attempt.
    void recordFirstAttempt();

    /// @returns whether the retry budget allows a retry now; takes one unit where it does.
    [[nodiscard]] bool tryConsumeRetry(const tuning &tune);

private:
    static constexpr std::size_t kClasses = static_cast<std::size_t>(request_class::count);
    struct account_state {
        double tokens = -1; ///< -1: not used yet, the bucket is full
        instant refilledAt{};
        instant promisedAt{}; ///< latest time that a refused caller was told to come back
        std::uint32_t inFlight = 0;
        std::uint64_t arrivals = 0; ///< since takeArrivals()
        double share = -1; ///< -1: not set
        std::array<double, kClasses> finishTag{}; ///< virtual finish time of the newest request, by class
    };
    struct queue_key {
        request_class priority = request_class::standard;
        double startTag = 0; ///< virtual time; equal tags go by arrival
        std::uint64_t sequence = 0;
        request_token request{};
        auto operator<=>(const queue_key &) const = default; // NOLINT(modernize-use-nullptr): a false positive
    };
    struct queued {
        queue_key key;
        std::string pool;
    };
    struct class_state {
        std::uint32_t inFlight = 0;
        double serviceMs = 0; ///< moving mean; 0: nothing ended yet
    };
    using pool_state = std::array<class_state, kClasses>; ///< by class
    [[nodiscard]] double startTag(std::string_view account, request_class priority) const;
    std::chrono::milliseconds promise(account_state &state, double waitSeconds, double rate, instant now);

    std::map<std::string, account_state, std::less<>> m_accounts; ///< by name
    std::map<std::string, pool_state, std::less<>> m_pools; ///< by name
    std::set<queue_key> m_order;
    std::unordered_map<std::uint64_t, queued> m_queued; ///< by request; same entries as m_order
    std::array<double, kClasses> m_virtualNow{}; ///< start tag of the last request that left, by class
    std::uint64_t m_sequence = 0;
    double m_unspentAttempts; ///< first attempts that no retry has used up
    std::mt19937_64 m_random;
};

} // namespace foxtaildyke
