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

void addReport(rollout_report &sum, const rollout_report &report)
{
    sum.ratio += report.ratio;
    sum.paceRatio += report.paceRatio;
    sum.responses += report.responses;
    sum.badResponses += report.badResponses;
    sum.pacedResponses += report.pacedResponses;
    sum.replicas.insert(report.replicas.begin(), report.replicas.end());
    sum.badReplicas.insert(report.badReplicas.begin(), report.badReplicas.end());
    sum.slowerReplicas.insert(report.slowerReplicas.begin(), report.slowerReplicas.end());
}

double quantileOf(const std::vector<std::chrono::microseconds> &sorted, double share)
{
    const auto at = static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
    return static_cast<double>(sorted[at].count());
}

/// @returns the log-likelihood ratio of one observation for the hypothesis that it is likelier than expected.
double likelihoodRatio(bool isObserved, double expectedRate, double higherRate)
{
    return isObserved ? std::log(higherRate / expectedRate) : std::log((1 - higherRate) / (1 - expectedRate));
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

std::vector<std::chrono::microseconds> version_baseline::sortedLatencies() const
{
    if (m_latencies.size() < kMinLatencies)
        return {};
    std::vector<std::chrono::microseconds> sorted(m_latencies.begin(), m_latencies.end());
    std::ranges::sort(sorted);
    return sorted;
}

std::optional<std::chrono::microseconds> version_baseline::slowLimit() const
{
    const auto sorted = sortedLatencies();
    if (sorted.empty())
        return std::nullopt;
    const double uncertainty = 1 + kUncertaintyPerSample / static_cast<double>(sorted.size());
    const double limit = uncertainty
        * std::max(kSlowQuantileFactor * quantileOf(sorted, kSlowQuantile),
                   kSlowMedianFactor * quantileOf(sorted, 0.5));
    return std::chrono::microseconds{static_cast<std::int64_t>(limit)} + kSlowMargin;
}

std::optional<std::chrono::microseconds> version_baseline::usualLimit() const
{
    const auto sorted = sortedLatencies();
    if (sorted.empty())
        return std::nullopt;
    const double limit = std::max(quantileOf(sorted, kUsualQuantile), kUsualMedianFactor * quantileOf(sorted, 0.5));
    return std::chrono::microseconds{static_cast<std::int64_t>(limit)} + kUsualMargin;
}

void rollout_evidence::addTo(cusum_map &cusums, const std::string &stratum, double ratio)
{
    auto &score = cusums[stratum];
    score = std::max(0.0, score + ratio);
}

void rollout_evidence::addReplicas(const rollout_report &report)
{
    m_replicas.insert(report.replicas.begin(), report.replicas.end());
    m_badReplicas.insert(report.badReplicas.begin(), report.badReplicas.end());
    m_slowerReplicas.insert(report.slowerReplicas.begin(), report.slowerReplicas.end());
    updateRejection();
}

void rollout_evidence::updateRejection()
{
    const auto hasReached = [this](const cusum_map &cusums, const std::set<std::string> &replicas) {
        const bool isWidespread = m_replicas.size() == 1 || replicas.size() > 1;
        return isWidespread
            && std::ranges::any_of(cusums, [](const auto &entry) { return entry.second >= kRejectThreshold; });
    };
    m_isRejected = m_isRejected || hasReached(m_cusums, m_badReplicas) || hasReached(m_paceCusums, m_slowerReplicas);
}

void rollout_evidence::recordResponse(const version_response &response, const response_rating &rating, bool isRelayed)
{
    const double good = std::max(kGoodRate, rating.goodRate);
    const double bad = std::min(0.9, std::max(kBadRate, 2.5 * good));
    rollout_report report;
    report.ratio = likelihoodRatio(rating.isBad, good, bad);
    report.responses = 1;
    report.badResponses = rating.isBad ? 1 : 0;
    report.replicas.emplace(response.replica);
    if (rating.isBad)
        report.badReplicas = report.replicas;
    if (rating.isSlower) {
        report.pacedResponses = 1;
        report.paceRatio = likelihoodRatio(*rating.isSlower, kGoodSlowerRate, kBadSlowerRate);
    }
    if (rating.isSlower.value_or(false))
        report.slowerReplicas = report.replicas;
    m_responses += report.responses;
    m_badResponses += report.badResponses;
    addTo(m_cusums, std::string(response.stratum), report.ratio);
    addTo(m_paceCusums, std::string(response.stratum), report.paceRatio);
    if (!isRelayed)
        return absorb(report);
    addReport(m_relayed, report);
    addReplicas(report);
}

void rollout_evidence::absorb(const rollout_report &report)
{
    addReport(m_own, report);
    m_ratio += report.ratio;
    m_paceRatio += report.paceRatio;
    addTo(m_cusums, {}, report.ratio);
    addTo(m_paceCusums, {}, report.paceRatio);
    addReplicas(report);
}

void rollout_evidence::setPeerReport(const std::string &host, const rollout_report &report)
{
    auto &known = m_peers[host];
    const bool hasRestarted = report.responses < known.responses;
    const double added = report.ratio - (hasRestarted ? 0.0 : known.ratio);
    const double addedPace = report.paceRatio - (hasRestarted ? 0.0 : known.paceRatio);
    known = report;
    m_ratio += added;
    m_paceRatio += addedPace;
    addTo(m_cusums, {}, added);
    addTo(m_paceCusums, {}, addedPace);
    addReplicas(report);
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
    const auto paced =
        std::accumulate(m_peers.begin(), m_peers.end(), m_own.pacedResponses,
                        [](std::uint32_t sum, const auto &entry) { return sum + entry.second.pacedResponses; });
    const bool hasUsualPace = m_paceRatio <= kAcceptThreshold || paced < kMinPacedResponses;
    return m_ratio <= kAcceptThreshold && hasUsualPace ? evidence_verdict::accepted : evidence_verdict::undecided;
}

} // namespace foxtaildyke
