// Interfaces of the router task to the ledger, the configuration and the other hosts. Implemented by store_ports.cpp
// (object store only) and by the relay and ledger adapters.
#pragma once

#include "platform_client_p.h"
#include "router_core_p.h"

#include <functional>

namespace foxtaildyke
{

/// Passes an input to the decision core. Called only on the router's task, at any time, also from within a port.
using core_sink = std::function<void(core_input)>;

/// Notifications from the router task to every port, called on the router's task.
class port_events
{
public:
    virtual ~port_events() = default;

    /// A new configuration is in force on this host.
    virtual void onConfig(const router_config_ptr &) { }

    /// The host list has changed. The argument contains only entry hosts.
    virtual void onEntryHosts(const std::vector<listed_host> &) { }

    /// A planned shutdown has begun.
    virtual void onDrain() { }
};

/// Writes claims, pins and bills, and delivers exactly one ledger_response for each to the sink.
class ledger_port : public port_events
{
public:
    virtual void claim(const write_claim &record) = 0;
    virtual void pin(const write_pin &record) = 0;
    virtual void bill(const write_bill &record) = 0;

    /// @returns whether no write is pending; a draining host waits for this.
    [[nodiscard]] virtual bool isIdle() const = 0;
};

/// Delivers config_changed and lease_changed to the sink.
class config_port : public port_events
{
public:
    virtual void start() = 0;
};

/// Sends this host's evidence, estimates, halts and quarantine entries to the other hosts, and delivers theirs and this
/// host's limit shares to the sink.
class sharing_port : public port_events
{
public:
    virtual void share(const share_evidence &evidence) = 0;
    virtual void share(const share_estimates &estimates) = 0;
    virtual void share(const share_halt &halt) = 0;
    virtual void share(const share_quarantine &entry) = 0;

    /// Counts a request towards the demand of its client account.
    virtual void recordRequest(const std::string &apiKey) = 0;
};

} // namespace foxtaildyke
