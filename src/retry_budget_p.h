// Limits how often a service gets more than the first arrival of its requests, so that failures don't multiply the load
// of a service that is overloaded already. Load answered: many requests failing at once on all hosts.
#pragma once

#include "foxtaildyke/foxtaildyke.h"

#include <deque>
#include <map>

namespace foxtaildyke
{

/// Bounds that hold for all hosts together.
struct retry_budget_limits {
    double ratio = 0.9; ///< repeats for each request of the window
    std::chrono::milliseconds window{10'000};
    double slack = 0; ///< repeats of the window beyond the ratio
};

/// What a repeat is for. Escalations leave part of the budget to failures.
enum class retry_reason : std::uint8_t { failure, escalation, count };

/// Share of one host. Each host spends in proportion to the requests that it took itself, so that the sum over all
/// hosts keeps the bound without messages between them, whatever hosts come and go.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_limits limits);

    /// Divides the slack among more hosts, where there are many.
    void setHosts(std::size_t hosts) { m_hosts = std::max(kAssumedHosts, hosts); }

    /// Counts a request of a service, when it arrives.
    void recordRequest(const std::string &service, instant now);

    /// Counts a repeat if the budget allows it.
    /// @returns whether it may be sent.
    [[nodiscard]] bool tryConsumeRetry(const std::string &service, retry_reason reason, instant now);

    /// Part of the ratio that is spent: hosts count a window at slightly different times than the sum is taken.
    static constexpr double kSafeShare = 0.88;
    /// Part of the safe share that escalations may use.
    static constexpr double kEscalationShare = 0.85;
    /// Hosts among which the slack is divided where their number isn't known: more than read the store themselves.
    static constexpr std::size_t kAssumedHosts = 16;

private:
    struct counts {
        std::deque<instant> requests; ///< of the window
        std::deque<instant> repeats; ///< of the window
    };
    void forget(std::deque<instant> &times, instant now) const;

    retry_budget_limits m_limits;
    std::size_t m_hosts = kAssumedHosts; ///< among which the slack is divided
    std::map<std::string, counts> m_counts; ///< by service
};

} // namespace foxtaildyke
