// Roll-out policy; see rollout_policy_p.h.
#include "rollout_policy_p.h"

namespace foxtaildyke
{

namespace
{

double toUnitInterval(std::uint64_t key)
{
    return static_cast<double>(key >> 11U) * 0x1.0p-53;
}

bool isDecided(const rollout_order &order)
{
    return order.state == rollout_state::completed || order.state == rollout_state::rolled_back;
}

rollout_report withOrder(rollout_report report, const rollout_order &order)
{
    report.service = order.service;
    report.target = order.target;
    report.createdRevision = order.createdRevision;
    return report;
}

/// @returns when an order began that was first seen in its present stage: at the latest at the earliest end of the
/// stage before.
instant startOf(const rollout_order &order, instant now)
{
    const auto &ends = rollout_policy::kStageEnds;
    const double passed = order.stage == 0 ? 0 : ends[std::min<std::size_t>(order.stage, ends.size()) - 1];
    return now - std::chrono::duration_cast<instant>(passed * std::chrono::duration<double>(order.duration));
}

/// Keeps the state that an order had reached if a store that came back from an older copy shows an earlier one.
void keepProgress(tracked_rollout &entry, const rollout_order &before)
{
    auto &order = entry.order;
    const auto progress = [](const rollout_order &of) {
        return std::pair(static_cast<int>(isDecided(of) ? rollout_state::completed : of.state), of.stage);
    };
    entry.isAheadOfStore = progress(before) > progress(order);
    if (!entry.isAheadOfStore)
        return;
    order.state = before.state;
    order.stage = before.stage;
}

} // namespace

void rollout_policy::recordRolledBack(const rollout_order &order)
{
    auto &rolledBack = m_rolledBack[order.service];
    rolledBack.insert(order.rolledBack.begin(), order.rolledBack.end());
    const auto *before = find(order.service);
    if (before && before->order.state == rollout_state::rolled_back)
        rolledBack.insert(before->order.target);
    rolledBack.erase(order.target);
}

bool rollout_policy::isSameOrder(const rollout_order &order, const rollout_order &known, instant now) const
{
    return order.target == known.target
        && (order.createdRevision == known.createdRevision || (isRewriting(now) && order.duration == known.duration));
}

void rollout_policy::setOrders(const std::vector<rollout_order> &orders, instant now)
{
    rollout_map next;
    if (isRewriting(now)) {
        next = m_rollouts;
        for (auto &[service, entry] : next)
            entry.isMissing = true;
    }
    for (const auto &order : orders) {
        recordRolledBack(order);
        tracked_rollout entry;
        entry.startedAt = startOf(order, now);
        const auto known = m_rollouts.find(order.service);
        const bool isSame = known != m_rollouts.end() && isSameOrder(order, known->second.order, now);
        if (isSame)
            entry = known->second;
        entry.isMissing = false;
        entry.order = order;
        entry.order.rolledBack = m_rolledBack[order.service];
        if (isSame)
            keepProgress(entry, known->second.order);
        if (isSame && entry.order.stage > 0 && entry.fullLoadLimits.empty())
            freezeLimits(entry);
        next.insert_or_assign(order.service, std::move(entry));
    }
    m_rollouts = std::move(next);
}

void rollout_policy::freezeLimits(tracked_rollout &target) const
{
    for (const auto &[stratum, baseline] : m_baselines)
        if (const auto limit = baseline.slowLimit())
            target.fullLoadLimits.emplace(stratum, *limit);
}

bool rollout_policy::hasUndecided() const
{
    return std::ranges::any_of(m_rollouts, [](const auto &entry) {
        const auto &known = entry.second;
        return !known.isMissing && (!isDecided(known.order) || known.isAheadOfStore);
    });
}

const tracked_rollout *rollout_policy::find(std::string_view service) const
{
    const auto found = m_rollouts.find(service);
    return found == m_rollouts.end() ? nullptr : &found->second;
}

const tracked_rollout *rollout_policy::findUnderEvaluation(std::string_view service, std::string_view version) const
{
    const auto *known = find(service);
    return known && !isDecided(known->order) && known->order.target == version ? known : nullptr;
}

version_choice rollout_policy::choose(const std::string &service, std::uint64_t key) const
{
    const auto *known = find(service);
    if (!known)
        return {};
    const auto &order = known->order;
    if (order.state == rollout_state::completed)
        return {order.target, order.rolledBack};
    const auto stage = std::min<std::size_t>(order.stage, kStageShares.size() - 1);
    const auto verdict = known->evidence.verdict();
    const bool isUnderEvaluation = order.state == rollout_state::in_progress && verdict != evidence_verdict::rejected;
    const bool isWithinBudget = known->isOverdue || known->budget.hasRoom(m_limits, m_hosts);
    if (!isUnderEvaluation || !isWithinBudget || toUnitInterval(key) >= kStageShares[stage])
        return version_choice{{}, order.rolledBack}.withExcluded(order.target);
    return {order.target, order.rolledBack, kStageShares[stage]};
}

void rollout_policy::recordRequest(std::string_view service, std::string_view version)
{
    const auto found = m_rollouts.find(service);
    if (found != m_rollouts.end())
        found->second.budget.recordRequest(version == found->second.order.target);
}

std::optional<std::chrono::microseconds> rollout_policy::slowLimit(const tracked_rollout &target,
                                                                   std::string_view stratum) const
{
    const auto known = m_baselines.find(stratum);
    auto limit = known == m_baselines.end() ? std::nullopt : known->second.slowLimit();
    const auto atFullLoad = target.fullLoadLimits.find(stratum);
    if (atFullLoad != target.fullLoadLimits.end())
        limit = std::max(limit.value_or(atFullLoad->second), atFullLoad->second);
    return limit;
}

std::optional<std::chrono::microseconds> rollout_policy::slowLimit(std::string_view service, std::string_view version,
                                                                   std::string_view stratum) const
{
    const auto *target = findUnderEvaluation(service, version);
    return target ? slowLimit(*target, stratum) : std::nullopt;
}

void rollout_policy::recordResponse(const version_response &response)
{
    auto known = m_baselines.find(response.stratum);
    if (known == m_baselines.end())
        known = m_baselines.emplace(response.stratum, version_baseline{}).first;
    if (!findUnderEvaluation(response.service, response.version))
        return known->second.recordResponse(response);
    auto &target = m_rollouts.find(response.service)->second;
    const auto limit = slowLimit(target, response.stratum);
    const bool isSlow = limit && response.latency && *response.latency > *limit;
    response_rating rating{.isBad = response.isFailure || isSlow, .goodRate = known->second.failureRate()};
    if (const auto usual = known->second.usualLimit(); usual && response.latency)
        rating.isSlower = *response.latency > *usual;
    target.evidence.recordResponse(response, rating, m_isRelayed);
}

void rollout_policy::setRelayed(bool isRelayed)
{
    m_isRelayed = isRelayed;
    if (!isRelayed)
        absorb(takeRelayed());
}

std::vector<rollout_report> rollout_policy::takeRelayed()
{
    std::vector<rollout_report> reports;
    for (auto &[service, active] : m_rollouts) {
        auto report = active.evidence.takeRelayed();
        if (report.responses > 0 && !isDecided(active.order))
            reports.push_back(withOrder(std::move(report), active.order));
    }
    return reports;
}

void rollout_policy::absorb(const std::vector<rollout_report> &reports)
{
    for (const auto &report : reports)
        if (isUndecided(report))
            m_rollouts.find(report.service)->second.evidence.absorb(report);
}

std::vector<rollout_report> rollout_policy::reports() const
{
    std::vector<rollout_report> reports;
    for (const auto &[service, active] : m_rollouts) {
        if (!isDecided(active.order) && active.evidence.own().responses > 0)
            reports.push_back(withOrder(active.evidence.own(), active.order));
    }
    return reports;
}

bool rollout_policy::isUndecided(const rollout_report &report) const
{
    const auto *known = findUnderEvaluation(report.service, report.target);
    return known && known->order.createdRevision == report.createdRevision;
}

void rollout_policy::setPeerReports(const std::string &host, const std::vector<rollout_report> &reports)
{
    for (const auto &report : reports)
        if (isUndecided(report))
            m_rollouts.find(report.service)->second.evidence.setPeerReport(host, report);
}

std::optional<rollout_order> rollout_policy::nextState(instant now)
{
    for (auto &[service, active] : m_rollouts) {
        auto next = active.order;
        if (active.isMissing)
            continue;
        if (active.isAheadOfStore)
            return next;
        if (isDecided(next))
            continue;
        const auto verdict = active.evidence.verdict();
        if (verdict == evidence_verdict::rejected) {
            next.state = rollout_state::rolled_back;
            return next;
        }
        if (next.state == rollout_state::ordered) {
            next.state = rollout_state::in_progress;
            return next;
        }
        active.isOverdue = now - active.startedAt >= next.duration;
        const auto stage = std::min<std::size_t>(next.stage, kStageEnds.size() - 1);
        const auto end = kStageEnds[stage] * std::chrono::duration<double>(next.duration);
        const bool isAccepted = stage == 0 || verdict == evidence_verdict::accepted;
        if (!isAccepted || std::chrono::duration<double>(now - active.startedAt) < end)
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
