// Retry budget; see retry_budget_p.h.
#include "retry_budget_p.h"

namespace foxtaildyke
{

retry_budget::retry_budget(retry_budget_limits limits)
    : m_limits(limits)
{
}

void retry_budget::evictExpired(std::deque<instant> &times, instant now) const
{
    while (!times.empty() && times.front() + m_limits.window <= now)
        times.pop_front();
}

void retry_budget::recordRequest(const std::string &service, instant now)
{
    auto &entry = m_counts[service];
    evictExpired(entry.requests, now);
    entry.requests.push_back(now);
}

bool retry_budget::allowsRetry(const std::string &service, retry_reason reason, instant now)
{
    auto &entry = m_counts[service];
    evictExpired(entry.requests, now);
    evictExpired(entry.retries, now);
    const bool isEscalation = reason == retry_reason::escalation;
    const double share = kSpendableShare * (isEscalation ? kEscalationShare : 1.0);
    const double slack = m_limits.slack * (isEscalation ? kEscalationSlackShare : 1.0) / static_cast<double>(m_hosts);
    const double allowed = m_limits.ratio * share * static_cast<double>(entry.requests.size()) + slack;
    return static_cast<double>(entry.retries.size()) + 1 <= allowed;
}

bool retry_budget::tryConsumeRetry(const std::string &service, retry_reason reason, instant now)
{
    if (!allowsRetry(service, reason, now))
        return false;
    m_counts[service].retries.push_back(now);
    return true;
}

} // namespace foxtaildyke
