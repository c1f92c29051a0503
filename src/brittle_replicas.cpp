// Replicas that fall over when they reject too many requests; see brittle_replicas_p.h.
#include "brittle_replicas_p.h"

#include <algorithm>

namespace foxtaildyke
{

bool brittle_replicas::recordStatement(const replica_run &replica, std::optional<double> rejections, instant now)
{
    if (!rejections)
        return m_replicas.erase(replica.id) > 0;
    const auto [entry, isNew] = m_replicas.try_emplace(replica.id);
    auto &known = entry->second;
    if (isNew || known.startedAtMs != replica.startedAtMs) {
        known = {};
        known.startedAtMs = replica.startedAtMs;
        known.sentAt = now;
        known.phase = std::uniform_real_distribution<double>(0, 1)(m_random);
    }
    known.rejections = *rejections;
    return isNew;
}

void brittle_replicas::recordRejection(const std::string &replica, instant now)
{
    const auto found = m_replicas.find(replica);
    if (found == m_replicas.end())
        return;
    constexpr double kLeastRejections = 0.1;
    const double seconds = static_cast<double>(m_hosts) / std::max(found->second.rejections, kLeastRejections);
    const auto pause = std::clamp(std::chrono::duration<double>(seconds), std::chrono::duration<double>(kMinPause),
                                  std::chrono::duration<double>(kMaxPause));
    found->second.pausedUntil =
        std::max(found->second.pausedUntil, now + std::chrono::ceil<std::chrono::milliseconds>(pause));
}

void brittle_replicas::recordSend(const std::string &replica, instant now)
{
    const auto found = m_replicas.find(replica);
    if (found == m_replicas.end())
        return;
    found->second.sentAt = now;
    found->second.phase = 1;
}

void brittle_replicas::setReplica(const replica_entry &entry)
{
    const auto found = m_replicas.find(entry.id);
    if (found != m_replicas.end() && found->second.startedAtMs < entry.startedAtMs)
        m_replicas.erase(found);
}

std::chrono::milliseconds brittle_replicas::spacing(const slot_usage &usage) const
{
    if (usage.others || usage.slots >= m_hosts)
        return kSpacing;
    const auto share = usage.meanDuration * (static_cast<double>(m_hosts) / (kRatePart * std::max(1U, usage.slots)));
    return std::max(kSpacing, std::chrono::ceil<std::chrono::milliseconds>(share));
}

bool brittle_replicas::hasRoom(const std::string &replica, const slot_usage &usage, instant now) const
{
    const auto found = m_replicas.find(replica);
    if (found == m_replicas.end())
        return true;
    const auto &known = found->second;
    if (now < known.pausedUntil || now - known.sentAt < spacing(usage) * known.phase)
        return false;
    const auto slots = std::max(1U, usage.slots);
    if (usage.others)
        return *usage.others + usage.own + 1 <= std::max(1.0, kOccupiedPart * slots);
    return usage.own < std::max<std::size_t>(1, slots / m_hosts);
}

} // namespace foxtaildyke
