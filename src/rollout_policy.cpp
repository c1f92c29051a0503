// Roll-outs; see rollout_policy_p.h.
#include "rollout_policy_p.h"

#include <cmath>

namespace foxtaildyke
{

namespace
{

constexpr double kBaselineWeight = 0.05; ///< of the newest answer: about the last twenty count
constexpr std::uint32_t kAnswersForBaseline = 5; ///< before this the latency of a version isn't judged

double unitOf(std::uint64_t key)
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
    std::map<std::string, trial, std::less<>> next;
    for (const auto &order : orders) {
        trial entry;
        entry.stageSince = now;
        const auto known = m_trials.find(order.service);
        const bool isSame = known != m_trials.end() && known->second.order.createdRevision == order.createdRevision
            && known->second.order.target == order.target;
        if (isSame) {
            entry = known->second;
            if (entry.order.stage != order.stage || entry.order.state != order.state)
                entry.stageSince = now;
        }
        entry.order = order;
        next.insert_or_assign(order.service, std::move(entry));
    }
    m_trials = std::move(next);
}

version_choice rollout_policy::choose(const std::string &service, std::uint64_t key) const
{
    const auto found = m_trials.find(service);
    if (found == m_trials.end())
        return {};
    const auto &order = found->second.order;
    if (order.state == rollout_state::completed)
        return {order.target, {}};
    const auto stage = std::min<std::size_t>(order.stage, kStageShares.size() - 1);
    const bool isOnTrial = order.state == rollout_state::in_progress && !found->second.isRejected;
    if (!isOnTrial || unitOf(key) >= kStageShares[stage])
        return {{}, order.target};
    return {order.target, {}};
}

void rollout_policy::recordResponse(const version_response &answer)
{
    const auto found = m_trials.find(answer.service);
    const bool isOnTrial =
        found != m_trials.end() && !isDecided(found->second.order) && found->second.order.target == answer.version;
    if (isOnTrial)
        return judge(found->second, answer);
    auto known = m_baselines.find(answer.stratum);
    if (known == m_baselines.end())
        known = m_baselines.emplace(answer.stratum, baseline{}).first;
    auto &base = known->second;
    ++base.answers;
    base.failureRate += kBaselineWeight * ((answer.isFailure ? 1.0 : 0.0) - base.failureRate);
    if (answer.isFailure || !answer.latency)
        return;
    const auto latency = static_cast<double>(answer.latency->count());
    const double weight = std::max(kBaselineWeight, 1.0 / base.answers);
    base.latencyUs += weight * (latency - base.latencyUs);
}

bool rollout_policy::addEvidence(double &score, bool isBad, double goodRate)
{
    const double badRate = std::min(0.9, std::max(kBadRate, 2.5 * goodRate));
    score += isBad ? std::log(badRate / goodRate) : std::log((1 - badRate) / (1 - goodRate));
    score = std::max(0.0, score);
    return score >= kRejectScore;
}

void rollout_policy::judge(trial &target, const version_response &answer)
{
    const auto known = m_baselines.find(answer.stratum);
    const baseline base = known == m_baselines.end() ? baseline{} : known->second;
    const double margin = static_cast<double>(std::chrono::microseconds(kSlowMargin).count());
    const bool isSlow = answer.latency && base.answers >= kAnswersForBaseline && base.latencyUs > 0
        && static_cast<double>(answer.latency->count()) > kSlowFactor * base.latencyUs + margin;
    const bool isBad = answer.isFailure || isSlow;
    const double good = std::max(kGoodRate, base.failureRate);
    const bool isBadOnRoute = addEvidence(target.scores[std::string(answer.stratum)], isBad, good);
    const bool isBadOverall = addEvidence(target.scores[{}], isBad, good);
    target.answeringReplicas.emplace(answer.replica);
    if (isBad)
        target.failedReplicas.emplace(answer.replica);
    // One replica among several that fails is a bad replica, not a bad version.
    const bool isWidespread = target.answeringReplicas.size() == 1 || target.failedReplicas.size() > 1;
    target.isRejected = target.isRejected || ((isBadOnRoute || isBadOverall) && isWidespread);
}

std::optional<rollout_order> rollout_policy::nextState(instant now)
{
    for (auto &[service, active] : m_trials) {
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
        if (std::chrono::duration<double>(now - active.stageSince) < length)
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
