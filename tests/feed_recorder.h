// Feed listener that records what it receives.
#pragma once

#include "fleet_feed_p.h"

namespace foxtaildyke
{

struct feed_recorder : fleet_listener {
    std::vector<gateway_config_ptr> configs;
    int confirmations = 0;
    std::vector<instant> confirmedAt; ///< instants of these
    std::vector<std::string> replicas; ///< ids of the current replicas
    std::vector<rollout_order> orders;
    std::vector<rollout_report> evidence; ///< to be relayed, set by the test
    std::vector<rollout_report> absorbed; ///< passed to this host, or returned to it
    host_reports hostReports;
    std::vector<bool> reportWrites; ///< results of this host's writes of crash reports
    std::vector<std::string> events;
    std::map<store_call_cause, std::size_t> storeCalls;
    std::map<std::pair<std::string, store_call_cause>, std::size_t> storeCallsByKind;
    bool isReachable = false;
    int rewinds = 0;
    int rolloutConflicts = 0;
    std::size_t fleetSize = 0;
    std::vector<replica_load> ownLoads; ///< load that this host reports, set by the test
    std::vector<replica_load> othersLoads; ///< load of the other hosts as last received
    std::vector<std::string> subset; ///< replicas whose loads other hosts need, set by the test; empty: all

    void onConfig(gateway_config_ptr config) override { configs.push_back(std::move(config)); }
    void onConfigConfirmed(instant at) override
    {
        ++confirmations;
        confirmedAt.push_back(at);
    }
    void onReplicaList(std::vector<replica_entry> list) override
    {
        replicas.clear();
        for (const auto &entry : list)
            replicas.push_back(entry.id);
    }
    void onReplicaChanged(replica_entry replica) override
    {
        onReplicaRemoved(replica.id);
        replicas.push_back(replica.id);
    }
    void onReplicaRemoved(const std::string &id) override { std::erase(replicas, id); }
    void onRollouts(const std::vector<rollout_order> &all) override { orders = all; }
    void onHostReports(const host_reports &reports) override { hostReports = reports; }
    void onHostReportWritten(bool isWritten) override { reportWrites.push_back(isWritten); }
    void onRolloutWritten(const rollout_order &, bool isConflict) override { rolloutConflicts += isConflict ? 1 : 0; }
    void onStoreRewound() override { ++rewinds; }
    void onFeedReachable(bool isReachableNow) override { isReachable = isReachableNow; }
    void onFleetSize(std::size_t hosts) override { fleetSize = hosts; }
    std::vector<replica_load> ownLoad() const override { return ownLoads; }
    void onOthersLoad(const shared_load &report) override { othersLoads = report.loads; }
    std::vector<std::string> subsetOf(std::string_view) const override { return subset; }
    void onFollowing(bool) override { }
    std::vector<rollout_report> takeRelayedEvidence() override { return std::exchange(evidence, {}); }
    void onEvidence(const std::vector<rollout_report> &reports) override
    {
        absorbed.insert(absorbed.end(), reports.begin(), reports.end());
    }
    void onStoreCall(std::string_view kind, store_call_cause cause) override
    {
        ++storeCalls[cause];
        ++storeCallsByKind[{std::string(kind), cause}];
    }
    void onFeedEvent(std::string_view type, const std::string &subject, const std::string &) override
    {
        events.push_back(std::string(type) + ' ' + subject);
    }
    [[nodiscard]] bool hasEvent(const std::string &event) const
    {
        return std::ranges::find(events, event) != events.end();
    }
};

} // namespace foxtaildyke
