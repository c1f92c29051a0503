// Decides whether this host may send a request to a replica now, from what the replicas have stated about themselves:
// that they leave, that they want no requests for some time (replica_notices), how many they accept from all hosts
// (replica_limits), and how many they can reject (brittle_replicas). Every request passes it, whatever its reason.
// These are separate because notices concern this host alone, while limits are shared with the other hosts. No I/O, no
// clock.
#pragma once

#include "brittle_replicas_p.h"
#include "replica_limits_p.h"
#include "replica_notices_p.h"
#include "replica_statement_p.h"

namespace foxtaildyke
{

/// Why a replica that is registered as ready gets no request from this host.
enum class send_exclusion : std::uint8_t { none, leaving, paused, full, limited, count };

template <>
struct enum_names<send_exclusion> {
    static constexpr std::array kNames{"none", "leaving", "paused", "full", "limited"};
};

/// What a statement has changed, for the log.
struct statement_effect {
    bool isNewlyLeaving = false;
    std::optional<std::chrono::milliseconds> pause; ///< time for which the replica gets no requests
    bool isPauseBounded = false; ///< the replica has stated a longer one
    bool hasBrittlenessChanged = false;
    bool hasLimitChanged = false;
    std::optional<double> limitBefore;
};

class replica_gate
{
public:
    replica_gate(const std::string &host, std::uint64_t seed);

    /// Replaces the registered replicas.
    void setReplicas(const std::vector<replica_entry> &replicas, instant now);

    /// Adds, changes or removes one of them.
    void setReplica(const replica_entry &entry, instant now);
    void removeReplica(const std::string &id, instant now);

    /// Records the statement of a response to a request that was sent at `sentAt`.
    statement_effect recordStatement(const replica_run &replica, const replica_statement &statement, instant sentAt,
                                     instant now);

    [[nodiscard]] bool isLeaving(const std::string &replica) const { return m_notices.isLeaving(replica); }

    /// Called for each replica that a request could be sent to, which shows that this host has use for it.
    [[nodiscard]] send_exclusion check(const std::string &replica, const slot_usage &usage, instant now);

    /// Counts a request that is sent to a replica.
    void recordSend(const std::string &replica, instant now)
    {
        m_limits.recordSend(replica, now);
        m_brittle.recordSend(replica, now);
    }

    /// @param exclusion for which all replicas of the service get no request: paused, full or limited.
    /// @returns the time after which the caller of a rejected request should come back.
    [[nodiscard]] std::chrono::milliseconds returnDelay(const std::string &service, send_exclusion exclusion,
                                                        instant now);

    [[nodiscard]] replica_limits &limits() { return m_limits; }
    [[nodiscard]] const replica_limits &limits() const { return m_limits; }
    [[nodiscard]] const replica_notices &notices() const { return m_notices; }
    [[nodiscard]] brittle_replicas &brittle() { return m_brittle; }

    /// Longest time for which a host keeps away from a replica that rejects requests; longer than any caller waits.
    static constexpr std::chrono::minutes kMaxPause{10};
    /// Random part by which a host extends a pause, at most, so that many hosts that a replica has rejected at the same
    /// time don't return at the same time.
    static constexpr double kPauseSpread = 0.25;
    static constexpr std::chrono::milliseconds kMaxPauseSpread{1000};
    /// Range of the random times after the end of a pause at which rejected callers come back.
    static constexpr std::chrono::milliseconds kReturnSpread{1000};
    static constexpr std::chrono::milliseconds kMinReturnDelay{300};

private:
    [[nodiscard]] std::chrono::milliseconds drawPause(double seconds);

    std::mt19937_64 m_random;
    replica_notices m_notices;
    replica_limits m_limits;
    brittle_replicas m_brittle;
};

} // namespace foxtaildyke
