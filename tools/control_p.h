// Control process: connects the controller to the platform, to engines and to the router of this host, and runs the
// HTTP server of the administration API.
#pragma once

#include "admin_api_p.h"
#include "event_log_p.h"
#include "http_server_p.h"
#include "metrics_p.h"
#include "object_store_http_p.h"
#include "platform_client_p.h"
#include "process_settings_p.h"

namespace foxtaildyke
{

struct control_settings {
    process_settings process;
    std::vector<operator_account> operators;
};

/// Reads and validates the settings file given with --config.
[[nodiscard]] result<control_settings> loadControlSettings(const std::string &path);

/// Sends orders to engines as HTTP requests (POST /orders).
class http_orders : public order_port
{
public:
    explicit http_orders(http_client &client)
        : m_client(client)
    {
    }
    void load(const engine_order &order, load_done done) override;

private:
    http_client &m_client;
};

class control_process
{
public:
    /// @param router queries the status of the router of this host.
    control_process(control_settings settings, event_loop &loop, status_port &router);

    /// Listens on the administration address and starts the periodic work. @returns an error if listening fails.
    [[nodiscard]] result<void> start();

private:
    void tick();
    void pollHosts();
    void applyHostList(const host_list &list);
    void serve(const http_exchange_ptr &exchange);
    void recordEvent(const controller_event &event);
    [[nodiscard]] std::string metricsText() const;

    control_settings m_settings;
    event_loop &m_loop;
    metrics m_metrics;
    event_log m_log;
    http_client m_client;
    object_store_http m_store;
    platform_client m_platform;
    http_orders m_orders;
    controller m_controller;
    admin_api m_api;
    http_server m_server;
    instant m_nextHostPoll{};
    std::optional<std::uint64_t> m_hostListVersion; ///< version of the list last passed to the controller
    std::map<std::string, std::uint64_t> m_eventCounts; ///< by event type, for /metrics
    loop_timer m_timer;
};

} // namespace foxtaildyke
