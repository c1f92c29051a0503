// Selects the replica for an attempt by load, prefix-cache affinity, failure domain, circuit breaker state, and the
// state of the replica in the host list.
#pragma once

#include "router_config_p.h"

#include <map>
#include <random>
#include <unordered_map>
#include <vector>

namespace foxtaildyke
{

/// Criteria for the selection of a replica.
struct pick_request {
    std::string_view service;
    std::string_view version;
    std::uint64_t prefixHash = 0; ///< hash of the prompt's prefix; equal prefixes prefer the same replica; 0: none
    request_class priority = request_class::standard;
    std::string_view exclude; ///< replica to exclude, such as that of the previous attempt; or empty
    std::size_t hosts = 1; ///< hosts that use the pool
};

class balancer
{
public:
    /// @param seed of the random choices; it also determines the subset of a large pool that this host uses.
    balancer(std::string failureDomain, std::uint64_t seed);

    /// Replaces the host list. Counters of replicas that remain in it are kept.
    void setUpstreams(const std::vector<upstream_info> &upstreams);

    /// Applies a load report; one that is not newer than the last is ignored.
    /// @param running requests that the replica runs, of all hosts; likewise `queued`.
    /// @param slots 0: unknown, the previous value is kept.
    void recordLoadReport(std::string_view upstream, std::uint32_t running, std::uint32_t queued, std::uint32_t slots,
                          instant measuredAt);

    /// @returns a replica with a free slot for this class, or null. The pointer is valid until the next call of
    /// setUpstreams().
    [[nodiscard]] const upstream_info *pick(const pick_request &request, const tuning &tune, instant now);

    /// @returns whether any live replica whose circuit is not open serves the version, whether or not it has a free
    /// slot.
    [[nodiscard]] bool isServed(std::string_view service, std::string_view version, instant now) const;

    /// @returns number of replicas of a version among which this host chooses.
    [[nodiscard]] std::size_t poolSize(std::string_view service, std::string_view version) const;

    void recordStart(std::string_view upstream);
    /// @param failure empty: the attempt returned a complete response.
    void recordEnd(std::string_view upstream, std::optional<attempt_failure> failure, instant now);

    static constexpr std::size_t kSubsetSize = 64; ///< replicas of a version that one host uses

private:
    struct replica {
        upstream_info info;
        std::uint64_t nameHash = 0;
        std::uint32_t inFlight = 0; ///< attempts of this host
        std::uint32_t reportedLoad = 0; ///< running and queued requests of all hosts
        std::uint32_t inFlightAtReport = 0; ///< part of reportedLoad that comes from this host
        std::uint32_t startsSinceReport = 0; ///< attempts that this host has started after the report
        instant reportedAt{-1}; ///< -1: never
        std::uint32_t failuresInRow = 0;
        instant openUntil{}; ///< circuit breaker: no new requests before this time
        bool isHalfOpen = false; ///< the circuit was opened, and no attempt has succeeded since
    };
    using pool = std::vector<replica *>;
    using pool_key = std::pair<std::string, std::string>; ///< service and version

    void buildPools();
    void limitPool(pool &members) const;
    [[nodiscard]] const pool *findPool(std::string_view service, std::string_view version) const;
    [[nodiscard]] static double loadOf(const replica &candidate, instant now);
    [[nodiscard]] static double estimateOthersStarts(const replica &candidate, std::size_t hosts, instant now);
    [[nodiscard]] bool isLastClosed(const replica &candidate, instant now) const;
    [[nodiscard]] static bool isOpen(const replica &candidate, instant now);
    [[nodiscard]] double score(const replica &candidate, instant now) const;
    [[nodiscard]] replica *choose(const pool &available, std::uint64_t prefixHash, double meanLoad, instant now);

    std::string m_failureDomain;
    std::uint64_t m_seed;
    std::mt19937_64 m_random;
    std::unordered_map<std::string, replica> m_replicas; ///< by name
    std::vector<std::string> m_order; ///< names in the order of the host list; makes choices reproducible
    std::map<pool_key, pool, std::less<>> m_pools; ///< live replicas; point into m_replicas
};

} // namespace foxtaildyke
