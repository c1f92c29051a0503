// Freshness of the configuration on one host: which generation it holds, until when it may dispatch under it, and
// whether it may vouch for it. Pure: no I/O, no clock. Section 5 of docs/design.md states the rules.
#pragma once

#include "settings_p.h"

#include <map>
#include <set>
#include <vector>

namespace foxtaildyke
{

/// What a host says about itself to others: "my highest generation was this one at that time".
struct vouch {
    std::string host;
    generation_number generation = 0;
    instant heldSince{}; ///< earliest time, on the receiver's clock, at which the statement was made
};

/// Proof that a generation was the newest at some time.
struct freshness_stamp {
    generation_number generation = 0;
    instant currentAt{}; ///< on the holder's clock
};

class freshness
{
public:
    explicit freshness(std::string hostName);

    /// Takes a configuration from the store or a peer.
    /// @returns whether it was newer. An older one is ignored: generations never go down.
    bool adopt(generation_number generation, const std::vector<std::string> &registeredHosts,
               std::chrono::milliseconds lease);

    /// Takes a stamp from the parent or from a read of the store; an older one than the last is ignored.
    void stamp(const freshness_stamp &stamp);

    /// A read of the store that showed this generation began at `readStarted`. Ends the recovering state.
    void storeRead(generation_number generation, instant readStarted);

    /// Takes the answer of another host to a Recover call.
    /// @returns whether the host has left the recovering state: more than half of the registered hosts, itself not
    /// counted and only hosts that are not recovering counted, have answered.
    bool recoverAnswer(const std::string &host, bool isRecovering, generation_number generation);

    /// @returns a stamp from vouches of more than half of the registered hosts for the held generation, or nothing.
    [[nodiscard]] std::optional<freshness_stamp> quorumStamp(const std::vector<vouch> &vouches) const;

    /// @returns when the lease for the held generation ends; zero where there is none.
    [[nodiscard]] instant leaseEnd() const;

    [[nodiscard]] bool mayDispatch(instant now) const;

    /// @returns whether this host may vouch: registered, not recovering, and holding a generation.
    [[nodiscard]] bool mayVouch() const;

    [[nodiscard]] bool isRecovering() const { return m_recovering; }
    [[nodiscard]] bool isRegistered() const;
    [[nodiscard]] generation_number generation() const { return m_generation; }

private:
    std::string m_host;
    generation_number m_generation = 0; ///< never goes down
    std::vector<std::string> m_registered; ///< sorted, of m_generation
    std::chrono::milliseconds m_lease{4000};
    freshness_stamp m_stamp; ///< newest stamp whose generation is m_generation
    bool m_recovering = true;
    std::map<std::string, generation_number> m_recoverAnswers; ///< by host; only hosts that are not recovering
};

} // namespace foxtaildyke
