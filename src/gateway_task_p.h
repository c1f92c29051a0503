// The gateway of a host: listens for callers, answers the balancer's readiness checks, follows what the platform
// publishes, and stops without cutting off requests in flight.
#pragma once

#include "fleet_feed_p.h"
#include "gateway_exchange_p.h"
#include "http_server_p.h"
#include "replica_registry_p.h"

struct evconnlistener;

namespace foxtaildyke
{

class gateway_task : private connection_owner, private fleet_listener
{
public:
    gateway_task(event_loop &loop, gateway_settings settings, header_names headerNames, std::string readinessPath);
    ~gateway_task() override;
    gateway_task(const gateway_task &) = delete;
    gateway_task &operator=(const gateway_task &) = delete;

    /// Starts to listen and to follow the feed.
    /// @returns error_code::io_failure with the address that can't be listened on.
    [[nodiscard]] result<void> start(fleet_feed &feed);

    /// Begins a graceful stop; the loop ends when the last request has been answered.
    void stop();

    /// @returns the port for callers, and that of the readiness checks; they differ from the settings where those say
    /// 0.
    [[nodiscard]] std::uint16_t callerPort() const;
    [[nodiscard]] std::uint16_t readinessPort() const { return m_readinessPort; }

    /// Notes that the settings file has changed; new settings hold from the next start.
    void logReload();

private:
    [[nodiscard]] const caller_limits &limits() const override;
    [[nodiscard]] bool isDraining() const override { return m_isDraining; }
    [[nodiscard]] std::unique_ptr<request_work> serve(caller_request request, caller_response &reply) override;
    void recordRejected(int status, std::string_view reason) override;
    void onConnectionEnd(caller_connection &connection) override;

    void onConfig(gateway_config_ptr config) override;
    void onConfigConfirmed(instant at) override;
    void onReplicaList(std::vector<replica_entry> replicas) override;
    void onReplicaChanged(replica_entry replica) override;
    void onReplicaRemoved(const std::string &id) override;
    void onRollouts(const std::vector<rollout_order> &orders) override;
    void onFeedReachable(bool isReachable) override;
    void onFleetSize(std::size_t hosts) override { m_state.budget.setHosts(hosts); }
    std::vector<replica_load> ownLoad() const override { return m_state.replicas.ownLoad(); }
    void onOthersLoad(const std::vector<replica_load> &loads) override
    {
        m_state.replicas.setOthersLoad(loads, suspendAwareNow());
    }
    void onFeedNote(std::string_view type, const std::string &subject, const std::string &detail) override;

    [[nodiscard]] result<void> listenForCallers();
    void onAccept(int socket);
    void serveReadiness(const http_exchange_ptr &exchange);
    void serveMetrics(const http_exchange_ptr &exchange);
    [[nodiscard]] bool isReady() const;
    void applyReplicas();
    void tick();
    void advanceRollouts();
    void closeListener();
    void finishStop();
    [[nodiscard]] bool hasWork() const;

    /// Time after SIGTERM for which new connections are taken: two missed readiness checks, one a second, and one more
    /// for connections on their way.
    static constexpr std::chrono::milliseconds kListenAfterStop{2600};
    /// Time before the end of the grace period at which the process ends whatever is left.
    static constexpr std::chrono::milliseconds kStopMargin{250};
    static constexpr std::chrono::milliseconds kTick{250};

    event_loop &m_loop;
    gateway_settings m_settings;
    header_names m_headerNames;
    std::string m_readinessPath;
    decision_log m_log;
    gateway_metrics m_metrics;
    gateway_state m_state;
    replica_registry m_registry;
    fleet_feed *m_feed = nullptr;
    http_server m_readiness;
    http_server m_metricsServer;
    evconnlistener *m_listener = nullptr;
    std::unordered_map<caller_connection *, std::unique_ptr<caller_connection>> m_connections;
    loop_timer m_tick;
    std::uint16_t m_readinessPort = 0;
    bool m_isDraining = false;
    bool m_wasReady = false;
    instant m_stopAt{}; ///< when the stop began
    instant m_nextRolloutCheck{};
};

} // namespace foxtaildyke
