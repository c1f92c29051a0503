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
        entry.since = entry.stageSince = now;
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

rollout_policy::rollout_policy(std::chrono::milliseconds sessionGap)
    : m_sessionGap(sessionGap)
{
}

void rollout_policy::forgetSessions(instant now)
{
    if (now - m_sessionsSweptAt < m_sessionGap)
        return;
    m_sessionsSweptAt = now;
    std::erase_if(m_sessions, [&](const auto &entry) { return now - entry.second.seenAt > m_sessionGap; });
}

/// Notes the session. @returns whether it belongs to the old version.
bool rollout_policy::beganOnOld(std::uint64_t key, bool isInShare, instant now)
{
    forgetSessions(now);
    const auto [entry, isNew] = m_sessions.try_emplace(key, session_note{!isInShare, now});
    if (now - entry->second.seenAt > m_sessionGap)
        entry->second.isOnOld = !isInShare;
    entry->second.seenAt = now;
    return entry->second.isOnOld;
}

double rollout_policy::firstShareFor(std::size_t replicas)
{
    return replicas > kMostReplicasForFirstStage ? 0 : kStageShares[0];
}

double rollout_policy::shareOf(const rollout_order &order)
{
    const auto stage = std::min<std::size_t>(order.stage, kStageShares.size() - 1);
    return stage == 0 ? order.firstShare.value_or(kStageShares[0]) : kStageShares[stage];
}

version_choice rollout_policy::choose(const std::string &service, std::uint64_t key, instant now)
{
    const auto found = m_trials.find(service);
    const bool isOnTrial = found != m_trials.end() && !isDecided(found->second.order);
    const bool mayTakeNew = isOnTrial && found->second.order.state == rollout_state::in_progress;
    const bool isInShare = mayTakeNew && unitOf(key) < shareOf(found->second.order);
    const bool isOld = beganOnOld(key, isInShare, now);
    if (found == m_trials.end())
        return {};
    const auto &order = found->second.order;
    if (order.state == rollout_state::completed)
        return {order.target, {}};
    const bool isStopped = order.state == rollout_state::rolled_back || found->second.isRejected;
    if (isStopped || !isInShare || (isOld && order.stage == 0))
        return {{}, order.target};
    return {order.target, {}};
}

void rollout_policy::noteAnswer(const version_answer &answer)
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

void rollout_policy::judge(trial &target, const version_answer &answer)
{
    const auto known = m_baselines.find(answer.stratum);
    const baseline base = known == m_baselines.end() ? baseline{} : known->second;
    const double margin = static_cast<double>(std::chrono::microseconds(kSlowMargin).count());
    const bool isSlow = answer.latency && base.answers >= kAnswersForBaseline && base.latencyUs > 0
        && static_cast<double>(answer.latency->count()) > kSlowFactor * base.latencyUs + margin;
    const bool isBad = answer.isFailure || isSlow;
    const double good = std::max(kGoodRate, base.failureRate);
    const double bad = std::min(0.9, std::max(kBadRate, 2.5 * good));
    target.score += isBad ? std::log(bad / good) : std::log((1 - bad) / (1 - good));
    target.score = std::max(0.0, target.score);
    target.answeringReplicas.emplace(answer.replica);
    if (isBad)
        target.failedReplicas.emplace(answer.replica);
    // One replica among several that fails is a bad replica, not a bad version.
    const bool isWidespread = target.answeringReplicas.size() == 1 || target.failedReplicas.size() > 1;
    target.isRejected = target.isRejected || (target.score >= kRejectScore && isWidespread);
}

std::optional<rollout_order> rollout_policy::nextState(instant now, const replica_counter &replicasOf)
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
            next.firstShare = firstShareFor(replicasOf(next));
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
