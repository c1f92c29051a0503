// Evidence on a version under evaluation; see rollout_evidence_p.h.
#include "rollout_evidence_p.h"

#include <algorithm>
#include <cmath>
#include <numeric>
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
    const double uncertainty = 1 + kUncertaintyPerSample / static_cast<double>(sorted.size());
    const double limit =
        uncertainty * std::max(kSlowQuantileFactor * quantile(kSlowQuantile), kSlowMedianFactor * quantile(0.5));
    return std::chrono::microseconds{static_cast<std::int64_t>(limit)} + kSlowMargin;
}

void rollout_evidence::addToCusum(const std::string &stratum, double ratio)
{
    auto &score = m_cusums[stratum];
    score = std::max(0.0, score + ratio);
}

void rollout_evidence::updateRejection()
{
    const bool hasReached =
        std::ranges::any_of(m_cusums, [](const auto &entry) { return entry.second >= kRejectThreshold; });
    const bool isWidespread = m_replicas.size() == 1 || m_badReplicas.size() > 1;
    m_isRejected = m_isRejected || (hasReached && isWidespread);
}

void rollout_evidence::recordResponse(const version_response &response, bool isBad, double goodRate)
{
    const double good = std::max(kGoodRate, goodRate);
    const double bad = std::min(0.9, std::max(kBadRate, 2.5 * good));
    const double ratio = isBad ? std::log(bad / good) : std::log((1 - bad) / (1 - good));
    const std::string replica(response.replica);
    m_own.ratio += ratio;
    ++m_own.responses;
    m_own.replicas.insert(replica);
    m_replicas.insert(replica);
    if (isBad) {
        ++m_own.badResponses;
        m_own.badReplicas.insert(replica);
        m_badReplicas.insert(replica);
    }
    m_ratio += ratio;
    addToCusum(std::string(response.stratum), ratio);
    addToCusum({}, ratio);
    updateRejection();
}

void rollout_evidence::setPeerReport(const std::string &host, const rollout_report &report)
{
    auto &known = m_peers[host];
    const bool hasRestarted = report.responses < known.responses;
    const double added = report.ratio - (hasRestarted ? 0.0 : known.ratio);
    known = report;
    m_ratio += added;
    addToCusum({}, added);
    m_replicas.insert(report.replicas.begin(), report.replicas.end());
    m_badReplicas.insert(report.badReplicas.begin(), report.badReplicas.end());
    updateRejection();
}

std::uint32_t rollout_evidence::peerResponses() const
{
    return std::accumulate(m_peers.begin(), m_peers.end(), 0U,
                           [](std::uint32_t sum, const auto &entry) { return sum + entry.second.responses; });
}

evidence_verdict rollout_evidence::verdict() const
{
    if (m_isRejected)
        return evidence_verdict::rejected;
    return m_ratio <= kAcceptThreshold ? evidence_verdict::accepted : evidence_verdict::undecided;
}

} // namespace foxtaildyke
