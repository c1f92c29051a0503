// Admission: rate and concurrency limits per client account, the queue by class and weight, and the retry budget.
#pragma once

#include "fleet_p.h"

#include <deque>
#include <map>

namespace foxtaildyke
{

/// Answer of the admission check.
struct admission_verdict {
    reason_code reason = reason_code::none; ///< none: admitted
    std::chrono::milliseconds retryAfter{};
};

class admission
{
public:
    /// Checks the account's rate and concurrency limits and takes one unit of each where both allow it.
    [[nodiscard]] admission_verdict admit(const fleet &config, account_handle account, instant now);

    /// Gives the concurrency unit of an admitted request back.
    void release(std::string_view account);

    /// Sets the share of the account limits that this host may use, 0..1.
    void setShare(std::string_view account, double share);

    /// Puts an admitted request into the queue of its class.
    void enqueue(request_token request, std::string_view account, std::uint32_t weight, request_class priority);

    /// Removes a request from the queue. @returns whether it was there.
    bool remove(request_token request);

    /// @returns queued requests in the order in which they should be tried: classes first, then fair between accounts.
    [[nodiscard]] std::vector<request_token> order() const;

    /// Counts a first attempt.
    void noteFirstAttempt();

    /// @returns whether the retry budget allows a retry now; takes one unit where it does.
    [[nodiscard]] bool takeRetry(const tuning &tune);

private:
    struct account_state {
        double tokens = -1; ///< -1: not used yet, the bucket is full
        instant refilledAt{};
        std::uint32_t inFlight = 0;
        double share = 1;
        double virtualTime = 0; ///< of the fair queue
    };
    struct queued {
        request_token request{};
        std::string account;
        request_class priority = request_class::standard;
        double finishTag = 0; ///< virtual finish time
    };
    std::map<std::string, account_state, std::less<>> m_accounts; ///< by name
    std::deque<queued> m_queue;
    double m_virtualNow = 0;
    double m_retryUnits = 1; ///< starts with one, so that a quiet host may retry
};

} // namespace foxtaildyke
