// Port to what the platform publishes: configuration, replicas and roll-outs. Adapter: platform/store_feed.
#pragma once

#include "gateway_model_p.h"

namespace foxtaildyke
{

/// Receives what is published; on the gateway's task.
class fleet_listener
{
public:
    virtual ~fleet_listener() = default;

    /// A configuration as published; it may be older than the one in force.
    virtual void onConfig(gateway_config_ptr config) = 0;

    /// No configuration newer than those received had been published at this instant.
    virtual void onConfigConfirmed(instant at) = 0;

    /// All registered replicas, after the start and after each gap.
    virtual void onReplicaList(std::vector<replica_entry> replicas) = 0;

    /// A replica registered or changed its entry.
    virtual void onReplicaChanged(replica_entry replica) = 0;

    /// An entry was removed, or can't be used any more.
    virtual void onReplicaRemoved(const std::string &id) = 0;

    /// All roll-out orders, after each change.
    virtual void onRollouts(const std::vector<rollout_order> &orders) = 0;

    /// The source of replicas was lost or is back.
    virtual void onFeedReachable(bool isReachable) = 0;

    /// About how many hosts there are; not told where there are few.
    virtual void onFleetSize(std::size_t hosts) = 0;

    /// @returns what this host has at the replicas, to be told to other hosts.
    [[nodiscard]] virtual std::vector<replica_load> ownLoad() const = 0;

    /// About what all other hosts have at the replicas; again and again while it is known.
    virtual void onOthersLoad(const std::vector<replica_load> &loads) = 0;

    /// Something worth a line in the log.
    virtual void onFeedEvent(std::string_view type, const std::string &subject, const std::string &detail) = 0;
};

class fleet_feed
{
public:
    virtual ~fleet_feed() = default;

    virtual void start(fleet_listener &listener) = 0;

    /// Records how far a roll-out has got, unless its object has changed since. The result comes as onRollouts().
    virtual void writeRollout(const rollout_order &order) = 0;
};

} // namespace foxtaildyke
