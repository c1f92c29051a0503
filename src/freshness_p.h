// Freshness of the configuration on one host: which generation it holds, until when it may dispatch under it, and
// whether it may vouch for it. Pure: no I/O, no clock. Section 5 of docs/design.md states the rules.
#pragma once

#include "settings_p.h"

#include <set>
#include <vector>

namespace foxtaildyke
{

/// Proof that a generation was the newest at some time.
struct freshness_stamp {
    generation_number generation = 0;
    instant currentAt{}; ///< on the holder's clock
};

/// Stands for "no vouch" in a table of vouch times.
inline constexpr instant kNotAcknowledged = instant::min();

class freshness
{
public:
    /// @param startedAt start of this process on the clock of every later call.
    freshness(std::string hostName, instant startedAt);

    /// Takes a configuration from the store or a peer.
    /// @param registeredHosts in the order of fleet::hosts.
    /// @returns whether it was newer. An older one is ignored: generations never go down.
    bool adopt(generation_number generation, std::vector<std::string> registeredHosts, std::chrono::milliseconds lease);

    /// Notes that a generation exists, also when its configuration is not here yet. Until it is adopted, this host
    /// neither vouches nor dispatches.
    void recordGeneration(generation_number generation);

    /// Takes a stamp from the parent, the store or a quorum; one that is not newer than the last is ignored.
    void stamp(const freshness_stamp &stamp);

    /// A read of the store that showed this generation began at `readStarted`. Ends the recovering state.
    void recordStoreRead(generation_number generation, instant readStarted);

    /// @returns when this host may ask others to end its recovering state. Acknowledgements from before its restart
    /// have expired by then (see isAcknowledgementValid()), so that what it forgot is not part of a majority observed
    /// later.
    [[nodiscard]] instant earliestRecoverCall() const;

    /// Takes the answer of another host to a Recover call.
    /// @param askedAt when the call was sent; calls before earliestRecoverCall() are not counted.
    /// @returns whether the host has left the recovering state: more than half of the registered hosts, itself not
    /// counted and only hosts that are not recovering counted, have answered, and the highest generation among them
    /// was adopted.
    bool recordRecoverResponse(const std::string &host, bool isRecovering, generation_number generation,
                               instant askedAt);

    /// @param vouchedAt for each registered host the time of its newest vouch for the held generation, or
    /// kNotAcknowledged.
    /// @returns a stamp from vouches of more than half of the registered hosts, or nothing.
    [[nodiscard]] std::optional<freshness_stamp> quorumStamp(const std::vector<instant> &vouchedAt) const;

    /// @returns whether a vouch counts as an acknowledgement of its generation at `now`. Older ones don't: the host
    /// may have restarted and forgotten the generation since.
    [[nodiscard]] bool isAcknowledgementValid(instant vouchedAt, instant now) const;

    /// @returns when the lease for the held generation ends; zero where there is none.
    [[nodiscard]] instant leaseEnd() const;

    [[nodiscard]] bool mayDispatch(instant now) const;

    /// @returns whether this host may vouch: registered, not recovering, and holding the highest generation it knows.
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
    generation_number m_generation = 0; ///< never goes down
    generation_number m_highestKnown = 0; ///< at least m_generation
    std::vector<std::string> m_registered; ///< of m_generation
    std::chrono::milliseconds m_lease{4000};
    freshness_stamp m_stamp; ///< newest stamp; it counts only while its generation is m_generation
    bool m_recovering = true;
    std::set<std::string> m_recoverAnswers; ///< hosts that answered and were not recovering
};

} // namespace foxtaildyke
