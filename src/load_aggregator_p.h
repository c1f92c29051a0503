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

    /// @returns the sums over all hosts whose report has not expired, by replica.
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
    std::map<std::string, report> m_reports; ///< by host
};

/// @param totals sums of one relay, to which a part of the hosts report.
/// @param own the last report of this host to that relay.
/// @param relays number of relays, among which the hosts are distributed evenly.
/// @returns an estimate of the outstanding requests of all other hosts at the replicas.
[[nodiscard]] std::vector<replica_load> estimateOthers(std::vector<replica_load> totals,
                                                       const std::vector<replica_load> &own, std::size_t relays);

} // namespace foxtaildyke
