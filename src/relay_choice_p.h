// Whether a host reads the platform's store itself or follows a relay, a host that reads it for others. Pure: no I/O,
// no clock. Load answered: hundreds of hosts, each of which would call the store for every change and to renew its
// lease.
#pragma once

#include "http_client_p.h"

namespace foxtaildyke
{

/// A host's choice of its source.
class relay_choice
{
public:
    /// @param host name of this host; spreads the hosts over the relays.
    /// @param relays addresses of the relays, in any order.
    /// @param own address at which this host would serve others.
    relay_choice(const std::string &host, std::vector<http_endpoint> relays, const http_endpoint &own);

    /// @returns whether this host is a relay; it never follows another one, so that data is one hop old at most.
    [[nodiscard]] bool isRelay() const { return m_isRelay; }

    /// @returns the relay to ask, or null: none is left, or this host is a relay.
    [[nodiscard]] const http_endpoint *next(instant now) const;

    /// The relay gave no answer, or refused.
    /// @param isStoreLost this host can't read the store either, so that the relay isn't to blame.
    void recordFailure(const http_endpoint &relay, bool isStoreLost, instant now);

    /// @param isUrgent the store is lost, or this host has just started.
    /// @returns the time until the next question to a relay that isn't followed.
    [[nodiscard]] static std::chrono::milliseconds pollInterval(bool isUrgent)
    {
        return isUrgent ? kUrgentPollInterval : kPollInterval;
    }

    /// @param audience hosts that asked the relay lately.
    /// @returns whether to follow it.
    [[nodiscard]] static bool shouldFollow(std::size_t audience) { return audience >= kMinAudience; }

    /// Hosts of one relay from which on they follow it. Up to about 20 hosts with three relays read the store
    /// themselves: their reads cost under 0.02 of what is owed, and nothing stands between them and the store.
    static constexpr std::size_t kMinAudience = 6;
    /// Time for which a relay that failed isn't asked.
    static constexpr std::chrono::seconds kFailureBackoff{3};
    /// Time between two questions to a relay that isn't followed.
    static constexpr std::chrono::milliseconds kPollInterval{1500};
    /// The same while the store is lost, when relays look for it and tell the others within this time; and after the
    /// start, when replicas register one after the other and each costs a call of the store.
    static constexpr std::chrono::milliseconds kUrgentPollInterval{300};
    static constexpr std::chrono::seconds kStartupPhase{5};

private:
    struct relay {
        http_endpoint address;
        instant heldUntil{};
    };
    std::vector<relay> m_relays; ///< in this host's order of preference
    bool m_isRelay = false;
};

/// What a relay knows of those that ask it, and whether it may answer.
class relay_audience
{
public:
    void recordQuery(const std::string &host, instant now) { m_askedAt[host] = now; }

    /// @returns hosts that asked lately.
    [[nodiscard]] std::size_t size(instant now);

    /// @param confirmedAt when the configuration was last known to be the newest.
    /// @param isWhole all that is followed was read, and no call to the store has failed since.
    /// @returns whether what the relay holds is fresh enough for others.
    [[nodiscard]] static bool mayRespond(std::optional<instant> confirmedAt, bool isWhole, instant now);

    /// Age of the store's last answer at which a relay stops to answer. With the wait of a host's call it stays below
    /// the least time in which the users' replicas leave (2 s).
    static constexpr std::chrono::milliseconds kMaxConfirmationAge{1300};
    /// Longest wait of a relay's watch of the configuration, so that its answers are young enough.
    static constexpr std::chrono::milliseconds kMaxWatchWait{800};

private:
    static constexpr std::chrono::seconds kMemory{10};
    std::map<std::string, instant> m_askedAt; ///< by host
};

} // namespace foxtaildyke
