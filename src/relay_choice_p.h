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

    /// Replaces the deputies: hosts that read the store if no relay does.
    /// @param source host that this one follows and that has named them. Only relays name any; each deputy would name
    /// others.
    void setDeputies(const http_endpoint &source, std::vector<http_endpoint> deputies);

    /// @param round number of the round of a search for a source; 0: the first.
    /// @param lost relay that this host has just lost; unset if it has just started.
    /// @returns the hosts to query at the same time in this round. A host that starts queries its preferred relay
    /// first, one that has lost its relay the others. If none serves it, relays and deputies are queried in turn.
    [[nodiscard]] std::vector<http_endpoint> contacts(std::uint32_t round,
                                                      const std::optional<http_endpoint> &lost) const;

    /// Called when the relay did not respond or refused.
    /// @param isStoreUnreachable whether this host can't read the store either; the relay is then not skipped.
    void recordFailure(const http_endpoint &relay, bool isStoreUnreachable, instant now);

    /// @returns the relay that this host prefers, or null. The preferences spread the hosts evenly over the relays.
    [[nodiscard]] const http_endpoint *preferred() const
    {
        return m_isRelay || m_relays.empty() ? nullptr : &m_relays.front().address;
    }

    /// @returns the relays and deputies that may read the store, except this host.
    [[nodiscard]] std::vector<http_endpoint> readers() const;

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
    /// First round of a search in which deputies are queried as well, and their number in each round.
    static constexpr std::uint32_t kDeputyRound = 1;
    static constexpr std::size_t kDeputiesPerRound = 2;
    /// Interval between the rounds of a search; the first ones after the start follow each other sooner, as the hosts
    /// of a fleet start at the same time.
    static constexpr std::chrono::milliseconds kSearchInterval{300};
    static constexpr std::chrono::milliseconds kStartSearchInterval{100};
    static constexpr std::uint32_t kStartSearchRounds = 10;
    /// Range of the random time after which a host that finds no source reads the store itself. In a fleet that has
    /// lost all relays and deputies, the hosts then don't call the store at the same moment.
    static constexpr std::chrono::milliseconds kMinSearchTime{800};
    static constexpr std::chrono::milliseconds kMaxSearchTime{1800};
    /// The same if relays respond, but refuse because they can't read the store.
    static constexpr std::chrono::milliseconds kMinRefusedTime{5000};
    static constexpr std::chrono::milliseconds kMaxRefusedTime{9000};
    /// Time between two attempts to return to the preferred relay.
    static constexpr std::chrono::seconds kReturnInterval{5};
    /// Time between two queries to a relay that this host does not follow.
    static constexpr std::chrono::milliseconds kPollInterval{1500};
    /// The same while the store is unreachable: the relays keep trying to reach it, and the other hosts receive its
    /// data from them within this time. Also used after the start, when replicas register one after another and each
    /// registration costs a call to the store.
    static constexpr std::chrono::milliseconds kUrgentPollInterval{300};
    /// Time for which a host that could read the store again waits for a relay to be back, too. Covers the longest
    /// delay between two attempts of a relay and one query.
    static constexpr std::chrono::milliseconds kProbeGrace{1000};
    /// Time after the start during which the urgent interval is used.
    static constexpr std::chrono::seconds kStartupPhase{5};

private:
    struct relay {
        http_endpoint address;
        instant skippedUntil{};
    };
    std::vector<relay> m_relays; ///< in this host's order of preference
    http_endpoint m_own;
    std::uint64_t m_hostHash = 0;
    std::vector<http_endpoint> m_deputies; ///< as the relay named them that this host followed last
    bool m_isRelay = false;
};

/// Hosts that query a relay, and the condition for responding to them.
class relay_query_tracker
{
public:
    /// @param address at which the host serves others; unset: unknown.
    /// @param isFollowing whether the host follows this one, rather than querying it to find out whether it should.
    void recordQuery(const std::string &host, const std::optional<http_endpoint> &address, bool isFollowing,
                     instant now)
    {
        m_queriers[host] = {now, address, isFollowing};
    }

    [[nodiscard]] bool hasFollowers(instant now);

    /// @returns addresses of a few of the hosts that queried recently, the same ones as long as these are among them.
    [[nodiscard]] std::vector<http_endpoint> deputies(instant now);

    /// @returns the number of hosts that queried recently.
    [[nodiscard]] std::size_t size(instant now);

    /// @param confirmedAt when the configuration was last known to be the newest.
    /// @param isComplete whether every watched kind was read and no call to the store has failed since.
    /// @returns whether the relay's data is fresh enough to serve to others.
    [[nodiscard]] static bool mayRespond(std::optional<instant> confirmedAt, bool isComplete, instant now);

    /// Age of the store's last response beyond which a relay no longer responds. Together with the wait of a host's
    /// call it stays at the shortest time in which the users' replicas leave (2 s).
    static constexpr std::chrono::milliseconds kMaxConfirmationAge{1500};
    /// Number of hosts that each relay names as deputies.
    static constexpr std::size_t kDeputies = 4;
    /// Longest wait of a relay's watch call for the configuration; keeps its responses recent enough.
    static constexpr std::chrono::milliseconds kMaxWatchWait{800};

private:
    struct querier {
        instant queriedAt{};
        std::optional<http_endpoint> address;
        bool isFollowing = false;
    };
    void evictExpired(instant now);

    static constexpr std::chrono::seconds kQuerierLifetime{10};
    std::map<std::string, querier> m_queriers; ///< by host
};

} // namespace foxtaildyke
