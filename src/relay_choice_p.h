// Choice of a host's configuration source: the platform's store, or a relay, which is a host that reads the store for
// others. No I/O, no clock. Addresses the load on the store from hundreds of hosts, each of which would otherwise call
// it for every change and to renew its lease.
#pragma once

#include "http_client_p.h"

namespace foxtaildyke
{

/// Selects the relay that a host queries, and decides whether to follow it.
class relay_choice
{
public:
    /// @param host name of this host; its hash distributes the hosts over the relays.
    /// @param relays addresses of the relays, in any order.
    /// @param own address at which this host would serve as a relay.
    relay_choice(const std::string &host, std::vector<http_endpoint> relays, const http_endpoint &own);

    /// @returns whether this host is a relay. A relay never follows another one, so data passes at most one hop.
    [[nodiscard]] bool isRelay() const { return m_isRelay; }

    /// @returns the relay to query, or null if none is available or this host is a relay itself.
    [[nodiscard]] const http_endpoint *next(instant now) const;

    /// Called when the relay did not respond or refused.
    /// @param isStoreUnreachable whether this host can't read the store either; the relay is then not skipped.
    void recordFailure(const http_endpoint &relay, bool isStoreUnreachable, instant now);

    /// @param isUrgent whether the store is unreachable or this host has just started.
    /// @returns the time until the next query to a relay that this host does not follow.
    [[nodiscard]] static std::chrono::milliseconds pollInterval(bool isUrgent)
    {
        return isUrgent ? kUrgentPollInterval : kPollInterval;
    }

    /// @param queriers number of hosts that queried the relay recently.
    /// @returns whether to follow it.
    [[nodiscard]] static bool shouldFollow(std::size_t queriers) { return queriers >= kMinQueriers; }

    /// Minimum number of hosts per relay for them to follow it. With three relays, up to about 20 hosts read the store
    /// themselves: their reads cost less than 0.02 of the amount owed (priced as in docs/platform.md), and they don't
    /// depend on an intermediate host.
    static constexpr std::size_t kMinQueriers = 6;
    /// Time for which a failed relay is not queried.
    static constexpr std::chrono::seconds kFailureBackoff{3};
    /// Time between two queries to a relay that this host does not follow.
    static constexpr std::chrono::milliseconds kPollInterval{1500};
    /// The same while the store is unreachable: the relays keep trying to reach it, and the other hosts receive its
    /// data from them within this time. Also used after the start, when replicas register one after another and each
    /// registration costs a call to the store.
    static constexpr std::chrono::milliseconds kUrgentPollInterval{300};
    /// Time after the start during which the urgent interval is used.
    static constexpr std::chrono::seconds kStartupPhase{5};

private:
    struct relay {
        http_endpoint address;
        instant skippedUntil{};
    };
    std::vector<relay> m_relays; ///< in this host's order of preference
    bool m_isRelay = false;
};

/// Hosts that query a relay, and the condition for responding to them.
class relay_query_tracker
{
public:
    void recordQuery(const std::string &host, instant now) { m_queriedAt[host] = now; }

    /// @returns the number of hosts that queried recently.
    [[nodiscard]] std::size_t size(instant now);

    /// @param confirmedAt when the configuration was last known to be the newest.
    /// @param isComplete whether every watched kind was read and no call to the store has failed since.
    /// @returns whether the relay's data is fresh enough to serve to others.
    [[nodiscard]] static bool mayRespond(std::optional<instant> confirmedAt, bool isComplete, instant now);

    /// Age of the store's last response beyond which a relay no longer responds. Together with the wait of a host's
    /// call it stays below the shortest time in which the users' replicas leave (2 s).
    static constexpr std::chrono::milliseconds kMaxConfirmationAge{1300};
    /// Longest wait of a relay's watch call for the configuration; keeps its responses recent enough.
    static constexpr std::chrono::milliseconds kMaxWatchWait{800};

private:
    static constexpr std::chrono::seconds kQuerierLifetime{10};
    std::map<std::string, instant> m_queriedAt; ///< by host
};

} // namespace foxtaildyke
