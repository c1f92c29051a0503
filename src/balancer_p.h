// Choice of a replica for an attempt: load, prefix-cache affinity, failure-domain distance, circuit state, and the host
// list's word on leaving replicas.
#pragma once

#include "fleet_p.h"

#include <random>
#include <unordered_map>
#include <vector>

namespace foxtaildyke
{

/// Request for a replica.
struct pick_request {
    std::string_view service;
    std::string_view version;
    std::uint64_t prefixHash = 0; ///< hash of the prompt's first part; equal prefixes prefer equal replicas
    request_class priority = request_class::standard;
    std::string_view exclude; ///< replica not to take again, or empty
};

class balancer
{
public:
    balancer(std::string failureDomain, std::uint64_t seed);

    /// Replaces the host list. Counters of replicas that stay are kept.
    void setUpstreams(const std::vector<upstream_info> &upstreams);

    /// Takes a load report into account; an older one than the last is ignored.
    void report(std::string_view upstream, std::uint32_t running, std::uint32_t queued, std::uint32_t slots,
                instant measuredAt);

    /// @returns a replica with a free slot for this class, or nothing.
    [[nodiscard]] const upstream_info *pick(const pick_request &request, const tuning &tune, instant now);

    /// @returns whether any live replica serves the version, free or not.
    [[nodiscard]] bool isServed(std::string_view service, std::string_view version, instant now) const;

    void noteStart(std::string_view upstream);
    /// @param failure nothing: the attempt gave a whole answer.
    void noteEnd(std::string_view upstream, std::optional<attempt_failure> failure, instant now);

private:
    struct replica {
        upstream_info info;
        std::uint32_t inFlight = 0; ///< own attempts
        std::uint32_t reportedLoad = 0; ///< running and queued, of all hosts
        std::uint32_t inFlightAtReport = 0; ///< own part of reportedLoad
        instant reportedAt{-1}; ///< -1: never
        std::uint32_t failuresInRow = 0;
        instant openUntil{}; ///< circuit breaker: no new work before this time
    };
    [[nodiscard]] double score(const replica &candidate, const pick_request &request, instant now) const;

    std::string m_failureDomain;
    std::mt19937_64 m_random;
    std::unordered_map<std::string, replica> m_replicas; ///< by name
    std::vector<std::string> m_order; ///< names in the order of the host list, so that choices are repeatable
};

} // namespace foxtaildyke
