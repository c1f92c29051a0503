// Main task of the router: owns the event loop, the decision core, the outgoing clients and the caller API. It passes
// inputs to the core and executes the actions that the core returns. Ledger, configuration and sharing are ports,
// injected by the process.
#pragma once

#include "caller_api_p.h"
#include "event_log_p.h"
#include "http_server_p.h"
#include "load_poller_p.h"
#include "metrics_p.h"
#include "object_store_http_p.h"
#include "platform_client_p.h"
#include "ports_p.h"
#include "process_settings_p.h"
#include "upstream_client_p.h"

namespace foxtaildyke
{

struct router_ports {
    std::unique_ptr<config_port> config;
    std::unique_ptr<ledger_port> ledger;
    std::unique_ptr<sharing_port> sharing;
};

class router_task
{
public:
    explicit router_task(process_settings settings);
    ~router_task();
    router_task(const router_task &) = delete;
    router_task &operator=(const router_task &) = delete;

    /// Sets the ports. Must be called before start().
    void setPorts(router_ports ports);

    /// Registers a text page that is served for GET requests to a path on the admin address.
    void addAdminPage(const std::string &path, std::function<std::string()> page);

    /// Binds the listening sockets and starts the periodic work.
    [[nodiscard]] result<void> start();

    /// Runs the event loop until drain() has completed.
    void run();

    /// Starts a graceful shutdown: new requests are refused, open ones finish, then run() returns. Idempotent.
    void drain();

    /// Passes an input to the core. Inputs that arrive while another one is being handled are queued.
    void deliver(core_input input);

    [[nodiscard]] core_sink sink();
    [[nodiscard]] event_loop &loop() { return m_loop; }
    [[nodiscard]] object_store &store() { return m_store; }
    [[nodiscard]] event_log &log() { return m_log; }
    [[nodiscard]] metrics &stats() { return m_metrics; }
    [[nodiscard]] const process_settings &settings() const { return m_settings; }
    [[nodiscard]] std::uint16_t callerPort() const { return m_callerPort; }

private:
    void handleInput(const core_input &input);
    void recordInput(const core_input &input);
    void onConfig(const router_config_ptr &config);
    void recordAttemptEnd(attempt_token attempt, std::optional<attempt_failure> failure);

    void perform(const start_attempt &action);
    void perform(const cancel_attempt &action);
    void perform(const send_chunk &action);
    void perform(const finish_request &action);
    void perform(const write_claim &action);
    void perform(const write_bill &action);
    void perform(const write_pin &action);
    void perform(const request_rating &action);
    void perform(const share_evidence &action);
    void perform(const share_estimates &action);
    void perform(const share_halt &action);
    void perform(const share_quarantine &action);
    void perform(const record_event &action);

    void notifyPorts(const std::function<void(port_events &)> &notify);
    void pollPlatform();
    void onHostList(const host_list &list);
    void serveAdmin(const http_exchange_ptr &exchange);
    [[nodiscard]] std::string metricsText();
    void stopWhenDrained();

    process_settings m_settings;
    event_loop m_loop;
    event_log m_log;
    metrics m_metrics;
    http_client m_client;
    object_store_http m_store;
    platform_client m_platform;
    router_core m_core;
    upstream_client m_upstreams;
    load_poller m_loads;
    caller_api m_callers;
    http_server m_admin;
    std::map<std::string, std::function<std::string()>> m_adminPages;
    router_ports m_ports;
    loop_timer m_coreTimer;
    loop_timer m_platformTimer;
    loop_timer m_drainTimer;
    std::deque<core_input> m_inputs;
    bool m_isHandling = false;
    bool m_isDraining = false;
    instant m_drainStart{};
    std::uint16_t m_callerPort = 0;
    std::optional<std::uint64_t> m_hostListVersion;
    std::unordered_map<std::uint64_t, std::string> m_attemptVersions; ///< by token of a running attempt
    std::uint64_t m_foreignEventsSeen = 0;
    instant m_leaseEnd{};
};

} // namespace foxtaildyke
