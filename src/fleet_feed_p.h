// Port for the configuration, replicas and roll-outs that the platform publishes, and for the reports that hosts
// share. Implemented by platform/store_feed.
#pragma once

#include "gateway_model_p.h"

namespace foxtaildyke
{

/// Why a host calls the platform's store, which prices each call.
enum class store_call_cause : std::uint8_t {
    start, ///< first list of a kind
    change, ///< to go on after a change
    renewal, ///< to go on after a watch without changes
    retry, ///< after a failed call
    relay_lost, ///< the relay that this host followed doesn't respond or refuses
    era, ///< the store has come back from an older copy, or its history is gone
    relay_duty, ///< other hosts follow this one, which must confirm the configuration more often
    rollout, ///< to write the state of a roll-out
    host_report, ///< to write this host's report, or to remove that of a host that is gone
    count
};

template <>
struct enum_names<store_call_cause> {
    static constexpr std::array kNames{"start", "change",     "renewal", "retry",      "relay_lost",
                                       "era",   "relay_duty", "rollout", "host_report"};
};

/// Receives published changes. Called on the gateway's task.
class fleet_listener
{
public:
    virtual ~fleet_listener() = default;

    /// A configuration was published; it may be older than the one in force.
    virtual void onConfig(gateway_config_ptr config) = 0;

    /// The newest configuration received so far was still the newest one published at this instant.
    virtual void onConfigConfirmed(instant at) = 0;

    /// All registered replicas; sent after the start and after each gap in the stream of changes.
    virtual void onReplicaList(std::vector<replica_entry> replicas) = 0;

    /// A replica was registered or its entry changed.
    virtual void onReplicaChanged(replica_entry replica) = 0;

    /// A replica's entry was removed or became invalid.
    virtual void onReplicaRemoved(const std::string &id) = 0;

    /// All roll-out orders; sent after each change.
    virtual void onRollouts(const std::vector<rollout_order> &orders) = 0;

    /// The stored reports of all hosts; sent after the start and after each change.
    virtual void onHostReports(const host_reports &reports) = 0;

    /// A write of this host's report has ended; if it has failed, it may still have been carried out.
    virtual void onHostReportWritten(bool isWritten) = 0;

    /// A write of a roll-out's state has ended.
    /// @param isConflict the object has another revision than `order.revision`; the newer one will arrive through
    /// onRollouts().
    virtual void onRolloutWritten(const rollout_order &order, bool isConflict) = 0;

    /// The store has come back from an older copy: what was written since may be gone, also by this host. Everything
    /// is listed again.
    virtual void onStoreRewound() = 0;

    /// The source of the replicas became reachable or unreachable.
    virtual void onFeedReachable(bool isReachable) = 0;

    /// Estimated number of hosts: the size of the group of hosts around this host's relay times the number of relays.
    /// Hosts of different groups get different estimates, whose reciprocals add up to 1 over all hosts.
    virtual void onFleetSize(std::size_t hosts) = 0;

    /// @returns this host's outstanding requests at the replicas, to be reported to other hosts.
    [[nodiscard]] virtual std::vector<replica_load> ownLoad() const = 0;

    /// Estimated outstanding requests of all other hosts at the replicas; repeated as long as it is known.
    virtual void onOthersLoad(const shared_load &report) = 0;

    /// @returns the replicas whose loads another host needs to know; empty: all.
    [[nodiscard]] virtual std::vector<std::string> subsetOf(std::string_view host) const = 0;

    /// This host follows a relay from now on, or not any more.
    virtual void onFollowing(bool isFollowing) = 0;

    /// @returns evidence on roll-outs that the followed relay is to share for this host; returned once.
    [[nodiscard]] virtual std::vector<rollout_report> takeRelayedEvidence() = 0;

    /// Evidence that another host has passed to this one, or that takeRelayedEvidence() returned and no relay has
    /// taken: it is to be shared by this host.
    virtual void onEvidence(const std::vector<rollout_report> &reports) = 0;

    /// The store has been called.
    /// @param kind of the objects, as the store names it.
    virtual void onStoreCall(std::string_view kind, store_call_cause cause) = 0;

    /// An event to be logged.
    virtual void onFeedEvent(std::string_view type, const std::string &subject, const std::string &detail) = 0;
};

class fleet_feed
{
public:
    virtual ~fleet_feed() = default;

    virtual void start(fleet_listener &listener) = 0;

    /// Records the state of a roll-out unless its object has changed since `order.revision`. Its end is reported
    /// through onRolloutWritten(), the result arrives through onRollouts().
    virtual void writeRollout(const rollout_order &order) = 0;

    /// Replaces the stored report of this host. Its end is reported through onHostReportWritten().
    virtual void writeHostReport(const host_report &report) = 0;

    /// Removes the stored report of a host that is gone.
    virtual void removeHostReport(const std::string &host) = 0;

    /// @returns whether this host reads the store itself, as few hosts of a large fleet do.
    [[nodiscard]] virtual bool readsStore() const = 0;
};

} // namespace foxtaildyke
