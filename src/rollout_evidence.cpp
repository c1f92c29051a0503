// Evidence on a version under evaluation; see rollout_evidence_p.h.
#include "rollout_evidence_p.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <vector>

namespace foxtaildyke
{

namespace
{

void addTo(rollout_report &sum, const rollout_report &report)
{
    sum.ratio += report.ratio;
    sum.responses += report.responses;
    sum.badResponses += report.badResponses;
    sum.replicas.insert(report.replicas.begin(), report.replicas.end());
    sum.badReplicas.insert(report.badReplicas.begin(), report.badReplicas.end());
}

} // namespace

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

void rollout_evidence::recordResponse(const version_response &response, bool isBad, double goodRate, bool isRelayed)
{
    const double good = std::max(kGoodRate, goodRate);
    const double bad = std::min(0.9, std::max(kBadRate, 2.5 * good));
    const double ratio = isBad ? std::log(bad / good) : std::log((1 - bad) / (1 - good));
    rollout_report report;
    report.ratio = ratio;
    report.responses = 1;
    report.badResponses = isBad ? 1 : 0;
    report.replicas.emplace(response.replica);
    if (isBad)
        report.badReplicas = report.replicas;
    m_responses += report.responses;
    m_badResponses += report.badResponses;
    addToCusum(std::string(response.stratum), ratio);
    if (!isRelayed)
        return absorb(report);
    addTo(m_relayed, report);
    m_replicas.merge(report.replicas);
    m_badReplicas.merge(report.badReplicas);
    updateRejection();
}

void rollout_evidence::absorb(const rollout_report &report)
{
    addTo(m_own, report);
    m_ratio += report.ratio;
    addToCusum({}, report.ratio);
    m_replicas.insert(report.replicas.begin(), report.replicas.end());
    m_badReplicas.insert(report.badReplicas.begin(), report.badReplicas.end());
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
