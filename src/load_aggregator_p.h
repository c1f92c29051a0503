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
    [[nodiscard]] shared_load totals(instant now);

    /// @returns the sums over the hosts of all relays at the given replicas, at those that the host has reported on,
    /// and at the ones that have far more requests than others. Replicas without requests aren't named.
    [[nodiscard]] shared_load totalsFor(const std::string &host, const std::vector<std::string> &replicas, instant now);

    /// Time after which a host's report expires. A host that follows a relay sends its report with each call and calls
    /// again at least every 0.5 s, so this outlasts one lost call. A host that has sent no report for longer is
    /// down or has left the relay, and its load must not be counted any more.
    static constexpr std::chrono::milliseconds kReportLifetime{1500};
    /// Requests at a replica, above kHotRatio times the mean, at which every host gets to know its load: the hosts all
    /// prefer the same replica for a prefix, whether it is in their subset or not.
    static constexpr double kHotExcess = 2;
    static constexpr double kHotRatio = 1.5;
    static constexpr std::size_t kMaxHotReplicas = 96;
    /// Interval at which these replicas are determined.
    static constexpr std::chrono::milliseconds kHotInterval{100};

private:
    struct report {
        std::vector<replica_load> loads;
        instant at{};
    };
    using report_map = std::map<std::string, report>;
    using load_sums = std::unordered_map<std::string, double>;

    void replace(report_map &reports, const std::string &source, report next);
    void evictExpired(report_map &reports, instant now);
    /// Adds the loads of a report to the sums that it is part of, or subtracts them.
    void add(const report_map &reports, const report &added, double sign);
    [[nodiscard]] static std::vector<replica_load> listOf(const load_sums &sums);
    [[nodiscard]] const std::vector<std::string> &hotReplicas(instant now);

    report_map m_reports; ///< by host
    report_map m_groups; ///< by relay
    /// By replica. Invariant: the sums over m_reports, and over both; without replicas that have none.
    load_sums m_groupSums;
    load_sums m_sums;
    std::vector<std::string> m_hotReplicas;
    instant m_nextHotUpdate = instant::min();
};

/// @param totals sums over all hosts.
/// @param own the last report of this host, which they include.
/// @returns the outstanding requests of all other hosts at the replicas.
[[nodiscard]] shared_load othersOf(shared_load totals, const std::vector<replica_load> &own);

} // namespace foxtaildyke
