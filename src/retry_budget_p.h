// Limits the retries sent to a service, so that failures don't multiply the load of a service that is already
// overloaded. Addresses the case where many requests fail at once on all hosts.
#pragma once

#include "foxtaildyke/foxtaildyke.h"

#include <deque>
#include <map>

namespace foxtaildyke
{

/// Limits for all hosts together.
struct retry_budget_limits {
    double ratio = 0.9; ///< retries per request in the window
    std::chrono::milliseconds window{10'000};
    double slack = 0; ///< retries in the window in addition to the ratio
};

/// Reason for a retry. Part of the budget is reserved for failures and not available to escalations.
enum class retry_reason : std::uint8_t { failure, escalation, count };

template <>
struct enum_names<retry_reason> {
    static constexpr std::array kNames{"failure", "escalation"};
};

/// One host's share of the budget. It is proportional to the requests that the host received itself, so that the sum
/// over all hosts stays within the limits without communication, also when hosts join or leave. A host that starts
/// doesn't know what its earlier process has spent. Therefore what requests have earned expires soon: a process can't
/// spend the earnings of a whole window in a burst, end, and earn again in the same window.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_limits limits);

    /// Sets the number of hosts among which the slack is divided, at least kAssumedHosts.
    void setHosts(std::size_t hosts) { m_hosts = std::max(kAssumedHosts, hosts); }

    /// Counts a request to a service on its arrival.
    void recordRequest(const std::string &service, instant now);

    /// @returns whether the budget allows a retry now.
    [[nodiscard]] bool allowsRetry(const std::string &service, retry_reason reason, instant now);

    /// Counts a retry if the budget allows it.
    /// @returns whether the retry may be sent.
    [[nodiscard]] bool tryConsumeRetry(const std::string &service, retry_reason reason, instant now);

    /// Fraction of the ratio that hosts use. The rest is a margin, as the windows of the hosts don't coincide with the
    /// one over which the sum is checked.
    static constexpr double kSpendableShare = 0.88;
    /// Percentage of the window after which what requests have earned expires. The retries in a window are paid for by
    /// its requests and those of this time before it; at an even rate, these earn the ratio's part of one window.
    static constexpr int kCreditPercent = 12;
    /// Fraction of the spendable share that escalations may use.
    static constexpr double kEscalationShare = 0.85;
    /// The same of the slack. A host that gets few requests could otherwise never escalate the first of them.
    static constexpr double kEscalationSlackShare = 0.5;
    /// Number of hosts assumed while the actual number is unknown or lower; larger than the number of hosts that read
    /// the store themselves.
    static constexpr std::size_t kAssumedHosts = 16;

private:
    struct counts {
        std::deque<instant> requests; ///< arrival times in the window
        std::deque<instant> retries; ///< send times in the window
        double credit = 0; ///< retries that are paid for
    };
    [[nodiscard]] counts &countsOf(const std::string &service);
    [[nodiscard]] double slackPerHost() const { return m_limits.slack / static_cast<double>(m_hosts); }
    void expireCredit(counts &entry, instant now) const;
    void evictExpired(std::deque<instant> &times, instant now) const;

    retry_budget_limits m_limits;
    std::size_t m_hosts = kAssumedHosts; ///< among which the slack is divided
    std::map<std::string, counts> m_counts; ///< by service
};

} // namespace foxtaildyke
