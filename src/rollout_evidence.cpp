// Evidence on a version under evaluation; see rollout_evidence_p.h.
#include "rollout_evidence_p.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace foxtaildyke
{

void version_baseline::recordResponse(const version_response &response)
{
    m_failureRate += kFailureWeight * ((response.isFailure ? 1.0 : 0.0) - m_failureRate);
    if (response.isFailure || !response.latency)
        return;
    m_latencies.push_back(*response.latency);
    if (m_latencies.size() > kWindow)
        m_latencies.pop_front();
}

std::optional<std::chrono::microseconds> version_baseline::slowLimit() const
{
    if (m_latencies.size() < kMinLatencies)
        return std::nullopt;
    std::vector<std::chrono::microseconds> sorted(m_latencies.begin(), m_latencies.end());
    std::ranges::sort(sorted);
    const auto quantile = [&sorted](double share) {
        const auto at = static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
        return static_cast<double>(sorted[at].count());
    };
    const double limit = std::max(kSlowQuantileFactor * quantile(kSlowQuantile), kSlowMedianFactor * quantile(0.5));
    return std::chrono::microseconds{static_cast<std::int64_t>(limit)} + kSlowMargin;
}

bool rollout_evidence::addToCusum(const std::string &stratum, double ratio)
{
    auto &score = m_cusums[stratum];
    score = std::max(0.0, score + ratio);
    return score >= kRejectThreshold;
}

void rollout_evidence::recordResponse(const version_response &response, bool isBad, double goodRate)
{
    const double good = std::max(kGoodRate, goodRate);
    const double bad = std::min(0.9, std::max(kBadRate, 2.5 * good));
    const double ratio = isBad ? std::log(bad / good) : std::log((1 - bad) / (1 - good));
    const bool isBadInStratum = addToCusum(std::string(response.stratum), ratio);
    const bool isBadOverall = addToCusum({}, ratio);
    m_acceptance += ratio;
    ++m_responses;
    m_badResponses += isBad ? 1 : 0;
    m_replicas.emplace(response.replica);
    if (isBad)
        m_badReplicas.emplace(response.replica);
    // A single failing replica among several indicates a bad replica, not a bad version.
    const bool isWidespread = m_replicas.size() == 1 || m_badReplicas.size() > 1;
    m_isRejected = m_isRejected || ((isBadInStratum || isBadOverall) && isWidespread);
}

evidence_verdict rollout_evidence::verdict() const
{
    if (m_isRejected)
        return evidence_verdict::rejected;
    return m_acceptance <= kAcceptThreshold ? evidence_verdict::accepted : evidence_verdict::undecided;
}

} // namespace foxtaildyke
