// Replicas that have stated in a response that they leave, or that they want no requests from this host for some time.
// Addresses replicas whose entries in the store say something else, or say it later. No I/O, no clock.
#pragma once

#include "gateway_model_p.h"

namespace foxtaildyke
{

class replica_notices
{
public:
    /// Replaces the registered replicas. Notices of a replica end when it is registered with a later start.
    void setReplicas(const std::vector<replica_entry> &replicas, instant now);

    /// Adds, changes or removes one of them.
    void setReplica(const replica_entry &entry);
    void removeReplica(const std::string &id, instant now);

    /// @returns whether it wasn't known that the replica leaves.
    bool recordLeaving(const replica_run &replica, instant now);

    /// Records that a replica wants no requests until an instant. A later statement replaces an earlier one only if it
    /// ends later: responses may overtake each other.
    void recordPause(const replica_run &replica, instant until, instant now);

    [[nodiscard]] bool isLeaving(const std::string &replica) const;

    /// @returns the end of the replica's pause; nothing if there is none or it has ended.
    [[nodiscard]] std::optional<instant> pausedUntil(const std::string &replica, instant now) const;

    /// @returns the earliest end of a pause of a service's replicas, or nothing.
    [[nodiscard]] std::optional<instant> earliestEnd(const std::string &service, instant now) const;

    [[nodiscard]] std::size_t leavingCount() const;
    [[nodiscard]] std::size_t pausedCount(instant now) const;

    /// Time for which notices of replicas without entry are kept; entries can come back, for example after the store
    /// has lost its newest content.
    static constexpr std::chrono::minutes kUnregisteredLifetime{10};
    /// Maximum number of these.
    static constexpr std::size_t kMaxUnregistered = 1024;

private:
    struct notice {
        std::int64_t startedAtMs = 0; ///< of the replica that stated it
        bool isLeaving = false;
        instant pausedUntil = instant::min();
        instant at{}; ///< when it was last recorded
    };
    struct registered_replica {
        std::string service;
        std::int64_t startedAtMs = 0;
    };

    /// @returns the notice on the replica's present run, or null.
    [[nodiscard]] const notice *find(const std::string &replica) const;
    [[nodiscard]] notice *findOrAdd(const replica_run &replica, instant now);
    void removeUnregistered(instant now);

    std::unordered_map<std::string, registered_replica> m_registered; ///< by id
    /// By replica id. Invariant: of registered replicas, none is on a run before the registered one.
    std::map<std::string, notice> m_notices;
};

} // namespace foxtaildyke
