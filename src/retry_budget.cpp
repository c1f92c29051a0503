// Retry budget; see retry_budget_p.h.
#include "retry_budget_p.h"

#include <algorithm>

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

retry_budget::counts &retry_budget::countsOf(const std::string &service)
{
    const auto [entry, isNew] = m_counts.try_emplace(service);
    if (isNew)
        entry->second.credit = slackPerHost();
    return entry->second;
}

void retry_budget::recordRequest(const std::string &service, instant now)
{
    auto &entry = countsOf(service);
    evictExpired(entry.requests, now);
    entry.requests.push_back(now);
    entry.credit += m_limits.ratio * kSpendableShare;
}

void retry_budget::expireCredit(counts &entry, instant now) const
{
    const auto isExpired = [since = now - m_limits.window * kCreditPercent / 100](instant time) {
        return time <= since;
    };
    const auto first = std::ranges::partition_point(entry.requests, isExpired);
    const auto recent = static_cast<double>(entry.requests.end() - first);
    entry.credit = std::min(entry.credit, m_limits.ratio * kSpendableShare * recent + slackPerHost());
}

bool retry_budget::allowsRetry(const std::string &service, retry_reason reason, instant now)
{
    auto &entry = countsOf(service);
    evictExpired(entry.requests, now);
    evictExpired(entry.retries, now);
    expireCredit(entry, now);
    const bool isEscalation = reason == retry_reason::escalation;
    const double share = kSpendableShare * (isEscalation ? kEscalationShare : 1.0);
    const double slack = slackPerHost() * (isEscalation ? kEscalationSlackShare : 1.0);
    const double allowed = m_limits.ratio * share * static_cast<double>(entry.requests.size()) + slack;
    return entry.credit >= 1 && static_cast<double>(entry.retries.size()) + 1 <= allowed;
}

bool retry_budget::tryConsumeRetry(const std::string &service, retry_reason reason, instant now)
{
    if (!allowsRetry(service, reason, now))
        return false;
    auto &entry = countsOf(service);
    entry.retries.push_back(now);
    --entry.credit;
    return true;
}

} // namespace foxtaildyke
