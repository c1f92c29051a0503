// Gateway of one host: listens for callers, serves the balancer's readiness checks, applies the updates that the
// platform publishes, and stops gracefully without aborting requests in flight.
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

    /// Starts listening and subscribes to the feed.
    /// @returns the address on which listening failed, with error_code::unavailable if it is in use.
    [[nodiscard]] result<void> start(fleet_feed &feed);

    /// Begins a graceful stop; the loop ends when the last request has completed or the grace period is nearly over.
    void stop();
    /// Writes out the log. To be called after the loop has ended: the destructor would wait for a reader without limit.
    void closeLog() { std::ignore = m_log.close(); }

    /// @returns the bound port for callers, and that for readiness checks; they differ from the settings where those
    /// specify port 0.
    [[nodiscard]] std::uint16_t callerPort() const;
    [[nodiscard]] std::uint16_t readinessPort() const { return m_readinessPort; }

    /// Logs that the settings file has changed; new settings take effect at the next start.
    void logReload();

    /// Time after SIGTERM during which new connections are accepted: two failed readiness checks at one per second,
    /// plus time for connections that are already being established.
    static constexpr std::chrono::milliseconds kListenAfterStop{2600};

private:
    [[nodiscard]] const caller_limits &limits() const override;
    [[nodiscard]] bool isDraining() const override { return m_isDraining; }
    [[nodiscard]] body_memory &bodies() override { return m_state.requestBodies; }
    void accept(int socket) override { accept(socket, *this); }
    void recordAcceptFailure(int error) override;
    [[nodiscard]] std::unique_ptr<request_work> serve(inbound_request request, caller_response &response) override;
    void recordRejected(int status, std::string_view reason) override;
    void onConnectionEnd(caller_connection &connection) override;

    void onConfig(gateway_config_ptr config) override;
    void onConfigConfirmed(instant at) override;
    void onReplicaList(std::vector<replica_entry> replicas) override;
    void onReplicaChanged(replica_entry replica) override;
    void onReplicaRemoved(const std::string &id) override;
    void onRollouts(const std::vector<rollout_order> &orders) override;
    void onHostReports(const host_reports &reports) override;
    void onHostReportWritten(bool isWritten) override;
    void onRolloutWritten(const rollout_order &order, bool isConflict) override;
    void onStoreRewound() override;
    void onFeedReachable(bool isReachable) override;
    void onFleetSize(std::size_t hosts) override
    {
        m_state.budget.setHosts(hosts);
        m_state.replicas.setHosts(hosts);
        m_state.rollouts.setHosts(hosts);
        m_state.gate.limits().setHosts(hosts);
        m_fleetSize = hosts;
    }
    std::vector<replica_load> ownLoad() const override { return m_state.replicas.ownLoad(); }
    void onOthersLoad(const shared_load &report) override { m_state.replicas.setOthersLoad(report, suspendAwareNow()); }
    std::vector<std::string> subsetOf(std::string_view host) const override { return m_state.replicas.subsetOf(host); }
    void onFollowing(bool isFollowing) override { m_state.rollouts.setRelayed(isFollowing); }
    std::vector<rollout_report> takeRelayedEvidence() override { return m_state.rollouts.takeRelayed(); }
    void onEvidence(const std::vector<rollout_report> &reports) override { m_state.rollouts.absorb(reports); }
    void onStoreCall(std::string_view kind, store_call_cause cause) override;
    void onFeedEvent(std::string_view type, const std::string &subject, const std::string &detail) override;

    /// Owner of the connections on which other hosts send requests that they can't serve themselves.
    struct detour_owner final : connection_owner {
        explicit detour_owner(gateway_task &owner)
            : task(owner)
        {
        }
        [[nodiscard]] const caller_limits &limits() const override;
        [[nodiscard]] bool isDraining() const override { return task.m_isDraining; }
        [[nodiscard]] body_memory &bodies() override { return task.bodies(); }
        void accept(int socket) override { task.accept(socket, *this); }
        void recordAcceptFailure(int error) override { task.recordAcceptFailure(error); }
        [[nodiscard]] std::unique_ptr<request_work> serve(inbound_request request, caller_response &response) override;
        void recordRejected(int status, std::string_view reason) override { task.recordRejected(status, reason); }
        void onConnectionEnd(caller_connection &connection) override { task.onConnectionEnd(connection); }

        gateway_task &task;
        mutable caller_limits detourLimits; ///< those of callers, with room for the headers between hosts
    };

    /// @returns a listener, or null.
    [[nodiscard]] evconnlistener *listenAt(const http_endpoint &address, connection_owner &owner);
    [[nodiscard]] result<void> listenForCallers();
    [[nodiscard]] result<void> listenForDetours();
    void accept(int socket, connection_owner &owner);
    void serveReadiness(const http_exchange_ptr &exchange);
    void serveMetrics(const http_exchange_ptr &exchange);
    [[nodiscard]] bool isReady() const;
    void applyReplicas();
    /// Processes the requests that have arrived before the host knew enough.
    void resumeStarting();
    void tick();
    /// Lets listeners that paused accept again.
    void resumeListeners();
    void applyPeerEvidence();
    /// Writes the next state of a roll-out that is due for it, as long as one is undecided.
    void advanceRollouts();
    /// Updates this host's shares of the replicas' rate limits and logs them.
    void advanceLimits(instant now);
    void logEjections();
    /// Logs the calls to the store since the last time.
    void logStoreCalls();
    void recordCrash(const broken_attempt &attempt);

    // Reaching replicas and other hosts; see gateway_task_detours.cpp.
    /// Probes the services of which it is open whether this host reaches them.
    void probeReplicas();
    void onProbeRoundEnd(const std::string &service);
    void judgeReachability(const std::string &service);
    /// Logs the services from which this host is, or no longer is, cut off.
    void logCutOffs(instant now);
    void confirmCutOffs(instant now);
    /// Withdraws the crashes of a service's replicas that this host has counted since `since`.
    /// @returns their number.
    std::size_t withdrawCrashes(const std::string &service, instant since, instant now);
    void advanceDetours(instant now);
    /// Exchanges statements with other hosts.
    void exchangeStatements();
    void recordStatements(const std::string &text);
    /// Connects to replicas of services from which another host is cut off: it needs to know whether this one reaches
    /// them, which may have had no request for some time.
    void renewContacts(const std::vector<std::string> &services, instant now);
    [[nodiscard]] host_statement ownStatement(instant now) const;
    /// @returns whether requests for some service can be served, by this host or through another one.
    [[nodiscard]] bool canServeSome() const;
    void shareHostReport(instant now);
    void logQuarantines(instant now);
    void closeListeners();
    void advanceStop();
    [[nodiscard]] std::vector<caller_connection *> openConnections() const;

    /// Time before the end of the grace period at which the process exits even if requests are still in flight.
    static constexpr std::chrono::milliseconds kStopMargin{250};
    /// Time before kStopMargin at which requests that are still running are answered: two ticks, so that the responses
    /// are sent before the process exits.
    static constexpr std::chrono::milliseconds kAnswerMargin{500};
    /// Time for which a connection must have been idle to be closed at a stop: callers send a request at once after
    /// they have connected.
    static constexpr std::chrono::milliseconds kMinIdleAtStop{1000};
    static constexpr std::chrono::milliseconds kTickInterval{250};
    static constexpr std::chrono::seconds kStoreCallLogInterval{5};

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
    evconnlistener *m_detourListener = nullptr;
    detour_owner m_detourOwner{*this};
    std::size_t m_fleetSize = 0; ///< estimate of the feed; 0: unknown, as in small fleets
    http_client m_hostClient; ///< for statements
    loop_timer m_probeTimer;
    bool m_isProbePending = false; ///< m_probeTimer runs
    loop_timer m_exchangeTimer;
    std::set<std::string> m_loggedCutOffs; ///< services
    /// A crash that was counted, and that the host's own loss of the network may have feigned.
    struct unconfirmed_crash {
        std::string service;
        std::uint64_t crashId = 0;
        instant at{};
    };
    std::vector<unconfirmed_crash> m_unconfirmedCrashes; ///< of the last reachability::kMaxDeferral
    std::unordered_map<caller_connection *, std::unique_ptr<caller_connection>> m_connections;
    loop_timer m_tick;
    std::uint16_t m_readinessPort = 0;
    bool m_isDraining = false;
    bool m_wasReady = false;
    instant m_stopStartedAt{};
    host_reports m_hostReports; ///< of all hosts, as last delivered by the store
    std::vector<rollout_report> m_sharedEvidence; ///< last written
    instant m_nextEvidenceShare{};
    loop_timer m_startTimer; ///< see resumeStarting()
    loop_timer m_rolloutTimer;
    std::map<std::string, std::uint64_t> m_storeCalls; ///< by "kind/cause", not yet logged
    instant m_nextStoreCallLog{};
    std::map<std::string, std::uint64_t> m_staleRollouts; ///< by service: revision on which a write has conflicted
    std::optional<instant> m_rolloutWriteAt; ///< set while a roll-out is due for its next state
    instant m_nextCrashReportPurge{};
    std::set<std::uint64_t> m_loggedQuarantines; ///< traits, see crash_evidence_p.h
};

} // namespace foxtaildyke
