// Ports of the router task towards the ledger, the configuration and the other hosts. Adapters: store_ports.cpp (object
// store only), and the relay and ledger adapters.
#pragma once

#include "platform_client_p.h"
#include "router_core_p.h"

#include <functional>

namespace foxtaildyke
{

/// Takes an input for the decision core. Only on the router's task; may be called at any time, also from inside a port.
using core_sink = std::function<void(core_input)>;

/// What the router task tells every port, on its own task.
class port_events
{
public:
    virtual ~port_events() = default;

    /// A configuration has come into force on this host.
    virtual void onConfig(const fleet_ptr &) { }

    /// The host list has changed. Only entry hosts are given.
    virtual void onEntryHosts(const std::vector<listed_host> &) { }

    /// A planned stop has begun.
    virtual void onDrain() { }
};

/// Writes claims, pins and bills. Each is answered by exactly one ledger_response to the sink.
class ledger_port : public port_events
{
public:
    virtual void claim(const write_claim &record) = 0;
    virtual void pin(const write_pin &record) = 0;
    virtual void bill(const write_bill &record) = 0;

    /// @returns whether nothing is left to write; a host that drains waits for it.
    [[nodiscard]] virtual bool isIdle() const = 0;
};

/// Delivers config_changed and lease_changed to the sink.
class config_port : public port_events
{
public:
    virtual void start() = 0;
};

/// Shares what this host learnt with the other hosts, and delivers their evidence, quarantine and limit shares.
class sharing_port : public port_events
{
public:
    virtual void share(const share_evidence &evidence) = 0;
    virtual void share(const share_estimates &estimates) = 0;
    virtual void share(const share_halt &halt) = 0;
    virtual void share(const share_quarantine &entry) = 0;

    /// Counts a request for the demand of its client account.
    virtual void recordRequest(const std::string &apiKey) = 0;
};

} // namespace foxtaildyke
