// Roll-out policy; see rollout_policy_p.h.
#include "rollout_policy_p.h"

#include <cmath>

namespace foxtaildyke
{

namespace
{

constexpr double kBaselineWeight = 0.05; ///< of the newest response; the average covers about the last twenty
constexpr std::uint32_t kMinBaselineResponses = 5; ///< latency is evaluated only from this many responses on

double toUnitInterval(std::uint64_t key)
{
    return static_cast<double>(key >> 11U) * 0x1.0p-53;
}

bool isDecided(const rollout_order &order)
{
    return order.state == rollout_state::completed || order.state == rollout_state::rolled_back;
}

} // namespace

void rollout_policy::setOrders(const std::vector<rollout_order> &orders, instant now)
{
    std::map<std::string, tracked_rollout, std::less<>> next;
    for (const auto &order : orders) {
        tracked_rollout entry;
        entry.stageStartedAt = now;
        const auto known = m_rollouts.find(order.service);
        const bool isSame = known != m_rollouts.end() && known->second.order.createdRevision == order.createdRevision
            && known->second.order.target == order.target;
        if (isSame) {
            entry = known->second;
            if (entry.order.stage != order.stage || entry.order.state != order.state)
                entry.stageStartedAt = now;
        }
        entry.order = order;
        next.insert_or_assign(order.service, std::move(entry));
    }
    m_rollouts = std::move(next);
}

version_choice rollout_policy::choose(const std::string &service, std::uint64_t key) const
{
    const auto found = m_rollouts.find(service);
    if (found == m_rollouts.end())
        return {};
    const auto &order = found->second.order;
    if (order.state == rollout_state::completed)
        return {order.target, {}};
    const auto stage = std::min<std::size_t>(order.stage, kStageShares.size() - 1);
    const bool isUnderEvaluation = order.state == rollout_state::in_progress && !found->second.isRejected;
    if (!isUnderEvaluation || toUnitInterval(key) >= kStageShares[stage])
        return {{}, order.target};
    return {order.target, {}};
}

void rollout_policy::recordResponse(const version_response &response)
{
    const auto found = m_rollouts.find(response.service);
    const bool isUnderEvaluation =
        found != m_rollouts.end() && !isDecided(found->second.order) && found->second.order.target == response.version;
    if (isUnderEvaluation)
        return evaluate(found->second, response);
    auto known = m_baselines.find(response.stratum);
    if (known == m_baselines.end())
        known = m_baselines.emplace(response.stratum, baseline{}).first;
    auto &base = known->second;
    ++base.responses;
    base.failureRate += kBaselineWeight * ((response.isFailure ? 1.0 : 0.0) - base.failureRate);
    if (response.isFailure || !response.latency)
        return;
    const auto latency = static_cast<double>(response.latency->count());
    const double weight = std::max(kBaselineWeight, 1.0 / base.responses);
    base.latencyUs += weight * (latency - base.latencyUs);
}

bool rollout_policy::addEvidence(double &score, bool isBad, double goodRate)
{
    const double badRate = std::min(0.9, std::max(kBadRate, 2.5 * goodRate));
    score += isBad ? std::log(badRate / goodRate) : std::log((1 - badRate) / (1 - goodRate));
    score = std::max(0.0, score);
    return score >= kRejectThreshold;
}

void rollout_policy::evaluate(tracked_rollout &target, const version_response &response)
{
    const auto known = m_baselines.find(response.stratum);
    const baseline base = known == m_baselines.end() ? baseline{} : known->second;
    const double margin = static_cast<double>(std::chrono::microseconds(kSlowMargin).count());
    const bool isSlow = response.latency && base.responses >= kMinBaselineResponses && base.latencyUs > 0
        && static_cast<double>(response.latency->count()) > kSlowFactor * base.latencyUs + margin;
    const bool isBad = response.isFailure || isSlow;
    const double good = std::max(kGoodRate, base.failureRate);
    const bool isBadOnRoute = addEvidence(target.scores[std::string(response.stratum)], isBad, good);
    const bool isBadOverall = addEvidence(target.scores[{}], isBad, good);
    target.respondingReplicas.emplace(response.replica);
    if (isBad)
        target.failedReplicas.emplace(response.replica);
    // A single failing replica among several indicates a bad replica, not a bad version.
    const bool isWidespread = target.respondingReplicas.size() == 1 || target.failedReplicas.size() > 1;
    target.isRejected = target.isRejected || ((isBadOnRoute || isBadOverall) && isWidespread);
}

std::optional<rollout_order> rollout_policy::nextState(instant now)
{
    for (auto &[service, active] : m_rollouts) {
        auto next = active.order;
        if (isDecided(next))
            continue;
        if (active.isRejected) {
            next.state = rollout_state::rolled_back;
            return next;
        }
        if (next.state == rollout_state::ordered) {
            next.state = rollout_state::in_progress;
            return next;
        }
        const auto stage = std::min<std::size_t>(next.stage, kStageEnds.size() - 1);
        const double begin = stage == 0 ? 0 : kStageEnds[stage - 1];
        const auto length = (kStageEnds[stage] - begin) * std::chrono::duration<double>(next.duration);
        if (std::chrono::duration<double>(now - active.stageStartedAt) < length)
            continue;
        if (stage + 1 < kStageEnds.size())
            next.stage = static_cast<std::uint32_t>(stage + 1);
        else
            next.state = rollout_state::completed;
        return next;
    }
    return std::nullopt;
}

} // namespace foxtaildyke
