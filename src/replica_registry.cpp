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
        m_reachableSince = now;
    m_isReachable = isReachable;
}

void replica_registry::recordRewind(instant now)
{
    m_isAfterRewind = true;
    m_reachableSince = now;
}

void replica_registry::recordDeparture(const replica_entry &entry, instant now)
{
    m_departures.insert_or_assign(entry.id, departure{entry.startedAtMs, now});
}

bool replica_registry::hasDeparted(const replica_entry &entry) const
{
    const auto known = m_departures.find(entry.id);
    return known != m_departures.end() && known->second.startedAtMs == entry.startedAtMs;
}

/// Entries that are missing within the grace period after a store outage are retained, unless the replica is draining
/// or removeDeparted() finds that it has left. Otherwise a missing replica has ended, or has had enough time to
/// register again.
bool replica_registry::shouldRetain(const registry_entry &known, instant now) const
{
    return !known.entry.isDraining && m_reachableSince && now < *m_reachableSince + m_lapseGrace;
}

void replica_registry::replaceAll(std::vector<replica_entry> entries, instant now)
{
    std::map<std::string, registry_entry> next;
    for (auto &entry : entries) {
        const auto id = entry.id;
        if (entry.isDraining)
            recordDeparture(entry, now);
        else if (m_isAfterRewind && hasDeparted(entry))
            entry.isDraining = true;
        next.insert_or_assign(id, registry_entry{std::move(entry), std::nullopt, false});
    }
    for (auto &[id, known] : m_entries) {
        if (next.contains(id))
            continue;
        if (shouldRetain(known, now))
            next.insert_or_assign(
                id, registry_entry{known.entry, *m_reachableSince + m_lapseGrace, known.hasLapsed || m_isAfterRewind});
        else
            recordDeparture(known.entry, now);
    }
    m_isAfterRewind = false;
    m_entries = std::move(next);
    removeDeparted();
}

/// Decides why entries are missing: in a store outage most entries of a service lapse together. Removals that arrive
/// one by one are decided on together, at the next call.
/// @returns whether any entry was removed.
bool replica_registry::removeDeparted()
{
    struct service_counts {
        std::size_t all = 0;
        std::size_t missing = 0;
    };
    std::map<std::string, service_counts> services;
    for (const auto &[id, known] : m_entries) {
        auto &counts = services[known.entry.service];
        ++counts.all;
        counts.missing += known.retainedUntil ? 1 : 0;
    }
    for (auto &[id, known] : m_entries) {
        const auto &counts = services.at(known.entry.service);
        known.hasLapsed = known.retainedUntil && (known.hasLapsed || 2 * counts.missing > counts.all);
    }
    const auto hasLeft = [](const auto &item) {
        return item.second.retainedUntil && !item.second.hasLapsed;
    };
    return std::erase_if(m_entries, hasLeft) > 0;
}

void replica_registry::upsert(replica_entry entry, instant now)
{
    const auto id = entry.id;
    if (entry.isDraining)
        recordDeparture(entry, now);
    m_entries.insert_or_assign(id, registry_entry{std::move(entry), std::nullopt, false});
}

bool replica_registry::remove(const std::string &id, instant now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return false;
    if (shouldRetain(found->second, now)) {
        found->second.retainedUntil = *m_reachableSince + m_lapseGrace;
        return false;
    }
    recordDeparture(found->second.entry, now);
    m_entries.erase(found);
    return true;
}

bool replica_registry::expire(instant now)
{
    std::erase_if(m_departures, [now](const auto &item) { return now - item.second.at >= kDepartureLifetime; });
    if (std::ranges::none_of(m_entries, [](const auto &known) { return known.second.retainedUntil.has_value(); }))
        return false;
    const bool hasDeparted = removeDeparted();
    const auto expired = std::erase_if(m_entries, [now](const auto &known) {
        return known.second.retainedUntil && *known.second.retainedUntil <= now;
    });
    return hasDeparted || expired > 0;
}

std::vector<replica_entry> replica_registry::entries() const
{
    std::vector<replica_entry> all;
    for (const auto &[id, known] : m_entries)
        all.push_back(known.entry);
    return all;
}

} // namespace foxtaildyke
