// Sums of the hosts' outstanding requests at the replicas, computed by a relay. Addresses the case where there are so
// many hosts that each sends only a few of a replica's requests and its own counts say little about the replica's load.
#pragma once

#include "gateway_model_p.h"

namespace foxtaildyke
{

class load_aggregator
{
public:
    /// Replaces a host's outstanding requests at the replicas.
    void recordReport(const std::string &host, std::vector<replica_load> loads, instant now);

    /// Replaces the sums over the hosts that report to another relay.
    /// @param relay identifies that relay.
    void recordGroup(const std::string &relay, std::vector<replica_load> loads, instant now);

    /// @returns the sums over the hosts that report to this relay, as far as their reports have not expired, by
    /// replica.
    [[nodiscard]] std::vector<replica_load> groupTotals(instant now);

    /// @returns the same over the hosts of all relays.
    [[nodiscard]] std::vector<replica_load> totals(instant now);

    /// Time after which a host's report expires. A host that follows a relay sends its report with each call and calls
    /// again at least every 0.5 s, so this outlasts one lost call. A host that has sent no report for longer is
    /// down or has left the relay, and its load must not be counted any more.
    static constexpr std::chrono::milliseconds kReportLifetime{1500};

private:
    struct report {
        std::vector<replica_load> loads;
        instant at{};
    };
    using report_map = std::map<std::string, report>;

    static void evictExpired(report_map &reports, instant now);
    [[nodiscard]] static std::vector<replica_load> sumOf(const std::vector<const report_map *> &maps);

    report_map m_reports; ///< by host
    report_map m_groups; ///< by relay
};

/// @param totals sums over all hosts.
/// @param own the last report of this host, which they include.
/// @returns the outstanding requests of all other hosts at the replicas.
[[nodiscard]] std::vector<replica_load> othersOf(std::vector<replica_load> totals,
                                                 const std::vector<replica_load> &own);

} // namespace foxtaildyke
