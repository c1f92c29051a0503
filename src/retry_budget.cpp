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

bool retry_budget::tryConsumeRetry(const std::string &service, retry_reason reason, instant now)
{
    auto &entry = m_counts[service];
    evictExpired(entry.requests, now);
    evictExpired(entry.retries, now);
    const double share = reason == retry_reason::escalation ? kEscalationShare : 1.0;
    const double slack = reason == retry_reason::escalation ? 0.0 : m_limits.slack / static_cast<double>(m_hosts);
    const double allowed =
        m_limits.ratio * kSpendableShare * share * static_cast<double>(entry.requests.size()) + slack;
    if (static_cast<double>(entry.retries.size()) + 1 > allowed)
        return false;
    entry.retries.push_back(now);
    return true;
}

} // namespace foxtaildyke
