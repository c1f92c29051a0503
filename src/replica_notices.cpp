// Notices of replicas that leave or pause; see replica_notices_p.h.
#include "replica_notices_p.h"

namespace foxtaildyke
{

void replica_notices::setReplicas(const std::vector<replica_entry> &replicas, instant now)
{
    m_registered.clear();
    std::ranges::for_each(replicas, [this](const replica_entry &entry) { setReplica(entry); });
    removeUnregistered(now);
}

void replica_notices::setReplica(const replica_entry &entry)
{
    m_registered.insert_or_assign(entry.id, registered_replica{entry.service, entry.startedAtMs});
    // An entry of an earlier run is an older copy of the store; the notice still describes the running replica.
    const auto known = m_notices.find(entry.id);
    if (known != m_notices.end() && entry.startedAtMs > known->second.startedAtMs)
        m_notices.erase(known);
}

void replica_notices::removeReplica(const std::string &id, instant now)
{
    m_registered.erase(id);
    removeUnregistered(now);
}

void replica_notices::removeUnregistered(instant now)
{
    std::vector<std::pair<instant, std::string>> unregistered;
    for (const auto &[replica, known] : m_notices)
        if (!m_registered.contains(replica))
            unregistered.emplace_back(known.at, replica);
    std::ranges::sort(unregistered, std::ranges::greater{});
    for (std::size_t index = 0; index < unregistered.size(); ++index)
        if (index >= kMaxUnregistered || now - unregistered[index].first >= kUnregisteredLifetime)
            m_notices.erase(unregistered[index].second);
}

const replica_notices::notice *replica_notices::find(const std::string &replica) const
{
    const auto found = m_notices.find(replica);
    return found == m_notices.end() ? nullptr : &found->second;
}

/// @returns the notice to change, or null if the replica has been registered with a later start since.
replica_notices::notice *replica_notices::findOrAdd(const replica_run &replica, instant now)
{
    const auto registered = m_registered.find(replica.id);
    if (registered != m_registered.end() && registered->second.startedAtMs > replica.startedAtMs)
        return nullptr;
    auto &known = m_notices[replica.id];
    if (known.startedAtMs > replica.startedAtMs)
        return nullptr;
    if (known.startedAtMs < replica.startedAtMs)
        known = {.startedAtMs = replica.startedAtMs};
    known.at = now;
    return &known;
}

bool replica_notices::recordLeaving(const replica_run &replica, instant now)
{
    auto *known = findOrAdd(replica, now);
    return known && !std::exchange(known->isLeaving, true);
}

void replica_notices::recordPause(const replica_run &replica, instant until, instant now)
{
    if (auto *known = findOrAdd(replica, now))
        known->pausedUntil = std::max(known->pausedUntil, until);
}

bool replica_notices::isLeaving(const std::string &replica) const
{
    const auto *known = find(replica);
    return known && known->isLeaving;
}

std::optional<instant> replica_notices::pausedUntil(const std::string &replica, instant now) const
{
    const auto *known = find(replica);
    return known && known->pausedUntil > now ? std::optional(known->pausedUntil) : std::nullopt;
}

std::optional<instant> replica_notices::earliestEnd(const std::string &service, instant now) const
{
    std::optional<instant> earliest;
    for (const auto &[replica, known] : m_notices) {
        const auto registered = m_registered.find(replica);
        if (registered == m_registered.end() || registered->second.service != service || known.isLeaving
            || known.pausedUntil <= now)
            continue;
        earliest = std::min(known.pausedUntil, earliest.value_or(known.pausedUntil));
    }
    return earliest;
}

std::size_t replica_notices::leavingCount() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_notices, [](const auto &item) { return item.second.isLeaving; }));
}

std::size_t replica_notices::pausedCount(instant now) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_notices, [now](const auto &item) { return item.second.pausedUntil > now; }));
}

} // namespace foxtaildyke
