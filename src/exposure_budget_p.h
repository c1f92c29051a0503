// Limits the requests that a version under evaluation receives to a share of all requests to its service since the
// order. Addresses a bad version that isn't recognized in time: whatever the evidence says, its exposure stays bounded.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace foxtaildyke
{

/// Limits for all hosts together.
struct exposure_limits {
    double share = 0.15; ///< of all requests to the service
    double slack = 0; ///< requests in addition to the share
};

/// One host's part of the budget. It is proportional to the requests that the host sends itself, so that the sum over
/// all hosts stays within the limits without communication. Invariant: a request is counted before the next is chosen.
class exposure_budget
{
public:
    /// Counts a request sent to the service. @param isExposed whether it was sent to the version under evaluation.
    void recordRequest(bool isExposed)
    {
        ++m_requests;
        m_exposed += isExposed ? 1 : 0;
    }

    /// @param hosts number of hosts among which the slack is divided.
    /// @returns whether another request may be sent to the version under evaluation.
    [[nodiscard]] bool hasRoom(const exposure_limits &limits, std::size_t hosts) const
    {
        const double slack = limits.slack / static_cast<double>(std::max<std::size_t>(1, hosts));
        return static_cast<double>(m_exposed) + 1 <= limits.share * static_cast<double>(m_requests) + slack;
    }

    [[nodiscard]] std::uint64_t exposed() const { return m_exposed; }
    [[nodiscard]] std::uint64_t requests() const { return m_requests; }

private:
    std::uint64_t m_requests = 0; ///< since the order
    std::uint64_t m_exposed = 0; ///< of these, sent to the version under evaluation
};

} // namespace foxtaildyke
