// Replicas registered in the store. Addresses store outages, after which most entries are missing at once: entries that
// lapsed during an outage are retained until the replicas have had time to register again. Where few are missing, this
// host was cut off from the store, and the replicas have left.
#pragma once

#include "gateway_model_p.h"

namespace foxtaildyke
{

class replica_registry
{
public:
    /// @param lapseGrace time for which missing entries are retained after the store is reachable again.
    explicit replica_registry(std::chrono::milliseconds lapseGrace);

    void setStoreReachable(bool isReachable, instant now);
    /// The store has come back from an older copy, whose list comes next. Replicas that had left or were draining stay
    /// out until they write again, and those registered since the copy are retained like lapsed ones.
    void recordRewind(instant now);
    void replaceAll(std::vector<replica_entry> entries, instant now);
    void upsert(replica_entry entry, instant now);
    /// @returns whether the replica has been removed, rather than retained.
    bool remove(const std::string &id, instant now);

    /// Removes retained entries whose grace period has ended, or that have left. To be called several times per second.
    /// @returns whether there were any.
    bool expire(instant now);

    /// @returns registered and retained entries, ordered by id.
    [[nodiscard]] std::vector<replica_entry> entries() const;

private:
    struct registry_entry {
        replica_entry entry;
        std::optional<instant> retainedUntil; ///< set while the store has no such entry: end of its grace period
        bool hasLapsed = false; ///< the entry is missing because of a store outage
    };
    /// A replica that has left or drains, as this host has read.
    struct departure {
        std::int64_t startedAtMs = 0;
        instant at{};
    };
    void recordDeparture(const replica_entry &entry, instant now);
    /// @returns whether the entry of an older copy belongs to a replica that has left or drains.
    [[nodiscard]] bool hasDeparted(const replica_entry &entry) const;
    [[nodiscard]] bool shouldRetain(const registry_entry &known, instant now) const;
    bool removeDeparted();

    /// Longer than a copy of the store is old, which is some seconds.
    static constexpr std::chrono::seconds kDepartureLifetime{60};

    std::chrono::milliseconds m_lapseGrace;
    bool m_isReachable = true;
    std::optional<instant> m_reachableSince; ///< when the store last became reachable again
    std::map<std::string, registry_entry> m_entries; ///< by id
    std::map<std::string, departure> m_departures; ///< by id, of the last kDepartureLifetime
    bool m_isAfterRewind = false; ///< the next list is that of an older copy
};

} // namespace foxtaildyke
