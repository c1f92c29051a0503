// Registered replicas; see replica_registry_p.h.
#include "replica_registry_p.h"

namespace foxtaildyke
{

replica_registry::replica_registry(std::chrono::milliseconds lapseGrace)
    : m_lapseGrace(lapseGrace)
{
}

void replica_registry::setStoreReachable(bool isReachable, instant now)
{
    if (isReachable && !m_isReachable)
        m_backSince = now;
    m_isReachable = isReachable;
}

/// A replica that announced its end, or is missing for longer than registering takes, is gone.
bool replica_registry::mayHaveLapsed(const known_entry &known, instant now) const
{
    return !known.entry.isDraining && m_backSince && now < *m_backSince + m_lapseGrace;
}

void replica_registry::replaceAll(std::vector<replica_entry> entries, instant now)
{
    std::map<std::string, known_entry> next;
    for (auto &entry : entries) {
        const auto id = entry.id;
        next.insert_or_assign(id, known_entry{std::move(entry), std::nullopt});
    }
    for (auto &[id, known] : m_entries)
        if (!next.contains(id) && mayHaveLapsed(known, now))
            next.insert_or_assign(id, known_entry{known.entry, *m_backSince + m_lapseGrace});
    m_entries = std::move(next);
}

void replica_registry::upsert(replica_entry entry)
{
    const auto id = entry.id;
    m_entries.insert_or_assign(id, known_entry{std::move(entry), std::nullopt});
}

void replica_registry::remove(const std::string &id, instant now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    if (mayHaveLapsed(found->second, now))
        found->second.missingUntil = *m_backSince + m_lapseGrace;
    else
        m_entries.erase(found);
}

bool replica_registry::expire(instant now)
{
    return std::erase_if(
               m_entries,
               [now](const auto &known) { return known.second.missingUntil && *known.second.missingUntil <= now; })
        > 0;
}

std::vector<replica_entry> replica_registry::entries() const
{
    std::vector<replica_entry> all;
    for (const auto &[id, known] : m_entries)
        all.push_back(known.entry);
    return all;
}

} // namespace foxtaildyke
