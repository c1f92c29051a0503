// Other hosts through which a host that is cut off from replicas sends its requests, and which of them to choose. Hosts
// tell each other which services they reach, and pass on what they know of a few more hosts, so that each knows some
// that work without a call to the store. Without I/O.
#pragma once

#include "http_client_p.h"

#include <optional>
#include <random>
#include <set>

namespace foxtaildyke
{

/// What a host states about itself.
struct host_statement {
    std::string host;
    http_endpoint address; ///< at which it takes requests of other hosts
    std::uint32_t detours = 0; ///< requests that it serves for other hosts now
    /// Time since its last contact with replicas, by service. Services that it doesn't reach aren't named.
    std::map<std::string, std::chrono::milliseconds, std::less<>> contacts;
    std::vector<std::string> cutOff; ///< services of which it reaches no replica
};

/// A statement and its age when it was passed on.
struct aged_statement {
    host_statement statement;
    std::chrono::milliseconds age{};
};

class detour_hosts
{
public:
    /// @param host name of this host.
    /// @param first hosts to ask first, whose names aren't known.
    detour_hosts(std::string host, std::vector<http_endpoint> first, std::uint64_t seed);

    /// Records what a host has stated, directly or through another one. Older statements change nothing.
    /// @param statedAt when it was stated.
    void record(const host_statement &statement, instant statedAt);

    /// Records that a host could not be reached, or refused a request: it isn't chosen for some time.
    void recordFailure(const http_endpoint &address, instant now, std::chrono::milliseconds pause = kFailurePause);

    /// Counts a request that this host sends through another one.
    void recordStart(const http_endpoint &address) { ++m_outstanding[address]; }
    void recordEnd(const http_endpoint &address);

    /// @returns the hosts to exchange statements with now: one, or while this host is cut off several.
    [[nodiscard]] std::vector<http_endpoint> nextContacts(bool isCutOff, instant now);

    /// @returns statements of other hosts to pass on, chosen at random.
    /// @param except host that they are passed to.
    [[nodiscard]] std::vector<aged_statement> sample(std::string_view except, instant now);

    /// @returns the address of a host that has reached the service since `since`, or nothing. Of two such hosts that
    /// are drawn at random, the one with fewer requests of other hosts.
    [[nodiscard]] std::optional<http_endpoint> choose(const std::string &service, instant since,
                                                      const std::set<http_endpoint> &excluded, instant now);

    /// @returns whether some host has reached the service since `since`, and isn't paused or is for kBriefPause at
    /// most.
    [[nodiscard]] bool mayChooseSoon(const std::string &service, instant since, instant now) const;

    /// @returns whether some host has reached the service since `since`.
    [[nodiscard]] bool isReachedByOthers(const std::string &service, instant since, instant now) const;

    [[nodiscard]] std::size_t size() const { return m_hosts.size(); }

    /// Discards hosts of which nothing has been heard for kLifetime.
    void expire(instant now);

    /// Interval between exchanges of statements. At 350 hosts one exchange of about 1 KB in this time takes a quarter
    /// of the 2 KB a second that a host may use for control.
    static constexpr std::chrono::milliseconds kExchangeInterval{2000};
    /// The same while the host is cut off from a service, and chooses hosts by their statements.
    static constexpr std::chrono::milliseconds kUrgentExchangeInterval{300};
    /// The same just after the host has found that it is cut off: others may have to connect to a replica to know
    /// whether they reach it.
    static constexpr std::chrono::milliseconds kFirstExchangeInterval{50};
    /// Hosts to exchange statements with at a time while cut off.
    static constexpr std::size_t kUrgentContacts = 4;
    /// Time after which a host of which nothing is heard is forgotten.
    static constexpr std::chrono::seconds kLifetime{20};
    /// Age of a statement up to which a host is chosen by it.
    static constexpr std::chrono::seconds kMaxAge{6};
    static constexpr std::chrono::milliseconds kFailurePause{1000};
    /// The same after a refusal that ends soon, such as an older configuration.
    static constexpr std::chrono::milliseconds kBriefPause{40};
    /// Statements passed on in one exchange.
    static constexpr std::size_t kSampleSize = 4;
    /// Maximum number of hosts known.
    static constexpr std::size_t kMaxHosts = 64;

private:
    struct known_host {
        host_statement statement;
        instant statedAt{};
    };

    [[nodiscard]] static bool hasReached(const known_host &host, const std::string &service, instant since,
                                         instant now);
    [[nodiscard]] bool isPaused(const http_endpoint &address, instant now) const;
    [[nodiscard]] std::uint32_t loadOf(const known_host &host) const;

    std::string m_host;
    std::vector<http_endpoint> m_first;
    std::size_t m_nextFirst = 0;
    bool m_isFirstTurn = true; ///< the next exchange is with one of m_first
    std::map<std::string, known_host, std::less<>> m_hosts; ///< by name
    std::map<http_endpoint, instant> m_pausedUntil;
    std::map<http_endpoint, std::uint32_t> m_outstanding; ///< requests sent through each host
    std::mt19937_64 m_random;
};

} // namespace foxtaildyke
