// What the hosts have at the replicas, added up by a relay. Load answered: many hosts, each of which sees so few of a
// replica's requests that its own counts say little.
#pragma once

#include "gateway_model_p.h"

namespace foxtaildyke
{

class load_aggregator
{
public:
    /// Replaces what a host has at the replicas.
    void set(const std::string &host, std::vector<replica_load> loads, instant now);

    /// @returns the sums over all hosts that reported lately, by replica.
    [[nodiscard]] std::vector<replica_load> totals(instant now);

    /// Time after which the report of a host that isn't heard of is forgotten: two of its calls.
    static constexpr std::chrono::milliseconds kReportLifetime{1500};

private:
    struct report {
        std::vector<replica_load> loads;
        instant at{};
    };
    std::map<std::string, report> m_reports; ///< by host
};

/// @param totals sums of one relay, which hears a part of the hosts.
/// @param own what this host had told it.
/// @param relays number of relays, among which the hosts are spread evenly.
/// @returns an estimate of what all other hosts have at the replicas.
[[nodiscard]] std::vector<replica_load> estimateOthers(std::vector<replica_load> totals,
                                                       const std::vector<replica_load> &own, std::size_t relays);

} // namespace foxtaildyke
