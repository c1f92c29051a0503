// Freshness of the configuration on one host: the adopted generation, until when the host may dispatch under it, and
// whether it may acknowledge it. Does no I/O and reads no clock; callers pass the time. Section 5 of docs/design.md
// states the rules.
#pragma once

#include "settings_p.h"

#include <set>
#include <vector>

namespace foxtaildyke
{

/// Proof that a generation was the newest at some time.
struct freshness_stamp {
    generation_number generation = 0;
    instant currentAt{}; ///< on the clock of the host that has the stamp
};

/// Marks a missing acknowledgement in a list of acknowledgement times.
inline constexpr instant kNotAcknowledged = instant::min();

class freshness
{
public:
    /// @param startedAt start of this process, on the same clock as the times passed to later calls.
    freshness(std::string hostName, instant startedAt);

    /// Adopts a configuration from the store or a peer.
    /// @param registeredHosts in the order of router_config::hosts.
    /// @returns whether it was newer. An older one is ignored: the generation never decreases.
    bool adopt(generation_number generation, std::vector<std::string> registeredHosts, std::chrono::milliseconds lease);

    /// Records that a generation exists, even if its configuration has not been received yet. Until it is adopted, this
    /// host neither acknowledges nor dispatches.
    void recordGeneration(generation_number generation);

    /// Applies a stamp from the parent, the store or a quorum; one that is not newer than the last is ignored.
    void applyStamp(const freshness_stamp &stamp);

    /// Records a read of the store that began at `readStarted` and returned this generation. Ends the recovering state
    /// if the generation has been adopted.
    void recordStoreRead(generation_number generation, instant readStarted);

    /// @returns the earliest time of a Recover call to other hosts that can end the recovering state. Acknowledgements
    /// from before the restart have expired by then (see isAcknowledgementValid()), so that no majority observed later
    /// includes one that this host has lost in the restart.
    [[nodiscard]] instant earliestRecoverCall() const;

    /// Records the response of another host to a Recover call.
    /// @param sentAt when the call was sent; calls before earliestRecoverCall() are not counted.
    /// @returns whether this host has left the recovering state. It does so when more than half of the registered hosts
    /// have responded (this host and recovering ones are not counted) and the highest generation among the responses
    /// has been adopted.
    bool recordRecoverResponse(const std::string &host, bool isRecovering, generation_number generation,
                               instant sentAt);

    /// @param acknowledgedAt for each registered host the time of its newest acknowledgement of the adopted generation,
    /// or kNotAcknowledged.
    /// @returns a stamp from acknowledgements of more than half of the registered hosts, or nothing.
    [[nodiscard]] std::optional<freshness_stamp> quorumStamp(const std::vector<instant> &acknowledgedAt) const;

    /// @returns whether an acknowledgement still counts at `now`. It expires after one lease, because the host may have
    /// restarted since and lost the generation.
    [[nodiscard]] bool isAcknowledgementValid(instant acknowledgedAt, instant now) const;

    /// @returns when the lease for the adopted generation ends; zero if there is none.
    [[nodiscard]] instant leaseEnd() const;

    [[nodiscard]] bool mayDispatch(instant now) const;

    /// @returns whether this host may acknowledge its generation: it is registered, not recovering, and has adopted the
    /// highest recorded generation.
    [[nodiscard]] bool mayAcknowledge() const;

    [[nodiscard]] bool isRecovering() const { return m_recovering; }
    [[nodiscard]] bool isRegistered() const;
    [[nodiscard]] generation_number generation() const { return m_generation; }
    [[nodiscard]] std::chrono::milliseconds lease() const { return m_lease; }
    [[nodiscard]] const freshness_stamp &currentStamp() const { return m_stamp; }

private:
    [[nodiscard]] bool holdsHighest() const { return m_generation != 0 && m_generation >= m_highestKnown; }
    void endRecoveryOnQuorum();

    std::string m_host;
    instant m_startedAt;
    generation_number m_generation = 0; ///< never decreases
    generation_number m_highestKnown = 0; ///< at least m_generation
    std::vector<std::string> m_registered; ///< hosts registered in m_generation
    std::chrono::milliseconds m_lease{4000};
    freshness_stamp m_stamp; ///< newest stamp; valid only while its generation is m_generation
    bool m_recovering = true;
    std::set<std::string> m_recoverResponses; ///< hosts that responded and were not recovering
};

} // namespace foxtaildyke
