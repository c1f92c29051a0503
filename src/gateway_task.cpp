// Gateway of one host; see gateway_task_p.h.
#include "gateway_task_p.h"

#include "http_status_p.h"
#include "text_hash_p.h"

#include <arpa/inet.h>
#include <event2/listener.h>
#include <nlohmann/json.hpp>

namespace foxtaildyke
{

namespace
{

constexpr int kListenBacklog = 1024; ///< connections waiting to be accepted
/// Interval between checks of roll-outs that aren't decided.
constexpr std::chrono::milliseconds kRolloutCheckInterval{50};
/// Longest random delay until a host writes the next state of a roll-out, so that few hosts write the same state.
constexpr std::chrono::milliseconds kRolloutWriteSpread{200};
/// Time after a write in which the state is not written again: its result is to arrive from the store first.
constexpr std::chrono::milliseconds kRolloutWritePause{500};
/// Shortest interval between writes of this host's evidence on roll-outs.
constexpr std::chrono::milliseconds kEvidenceShareInterval{1000};
/// Interval between searches for crash reports of hosts that are gone. Hosts add a random delay of up to the same
/// length, so that few of them remove the same reports.
constexpr std::chrono::seconds kCrashReportPurgeInterval{60};

} // namespace

gateway_task::gateway_task(event_loop &loop, gateway_settings settings, header_names headerNames,
                           std::string readinessPath)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_headerNames(std::move(headerNames))
    , m_readinessPath(std::move(readinessPath))
    , m_log(m_settings.host, m_settings.log, m_settings.logLinesPerSecond)
    , m_state{.loop = loop,
              .settings = m_settings,
              .headerNames = m_headerNames,
              .log = m_log,
              .metrics = m_metrics,
              .config = nullptr,
              .configConfirmedAt = std::nullopt,
              .hasReplicas = false,
              .replicas = replica_table(m_settings.failureDomain, std::random_device{}()),
              .budget = retry_budget({m_settings.retryRatio, m_settings.retryWindow, m_settings.retrySlack}),
              .rollouts = rollout_policy({m_settings.canaryShare, m_settings.canarySlack}),
              .cascade = {.confidenceToKeep = m_settings.confidenceToKeep, .startsSmall = m_settings.startsSmall},
              .pool = {loop, m_headerNames.requestId},
              .crashes = crash_registry(m_settings.host),
              .crashDetector = {m_state.pool,
                                [this](const broken_attempt &attempt) {
                                    recordCrash(attempt);
                                }},
              .random = std::mt19937_64{std::random_device{}()}}
    , m_registry(m_settings.lapseGrace)
    , m_readiness(loop, [this](const http_exchange_ptr &exchange) { serveReadiness(exchange); })
    , m_metricsServer(loop, [this](const http_exchange_ptr &exchange) { serveMetrics(exchange); })
    , m_tick(loop, [this] { tick(); })
    , m_rolloutTimer(loop, [this] { advanceRollouts(); })
{
}

gateway_task::~gateway_task()
{
    closeListener();
}

result<void> gateway_task::start(fleet_feed &feed)
{
    m_feed = &feed;
    const auto readiness = m_readiness.listen(m_settings.readiness);
    if (readiness.has_error())
        return readiness.error();
    m_readinessPort = readiness.value();
    if (!m_settings.metrics.address.empty()) {
        const auto metrics = m_metricsServer.listen(m_settings.metrics);
        if (metrics.has_error())
            return metrics.error();
    }
    const auto callers = listenForCallers();
    if (callers.has_error())
        return callers.error();
    m_log.write("start", {{"failure_domain", m_settings.failureDomain}, {"build", FOXTAILDYKE_VERSION}});
    feed.start(*this);
    m_tick.start(kTickInterval);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<void> gateway_task::listenForCallers()
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(m_settings.listen.port);
    inet_pton(AF_INET, m_settings.listen.address.c_str(), &address.sin_addr);
    const auto accept = [](evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *self) {
        static_cast<gateway_task *>(self)->onAccept(socket);
    };
    m_listener = evconnlistener_new_bind(m_loop.base(), accept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                         kListenBacklog, reinterpret_cast<sockaddr *>(&address), sizeof(address));
    if (!m_listener)
        return error{error_code::io_failure, m_settings.listen.address};
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

std::uint16_t gateway_task::callerPort() const
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    if (!m_listener
        || getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr *>(&address), &size) != 0)
        return 0;
    return ntohs(address.sin_port);
}

void gateway_task::onAccept(int socket)
{
    auto connection = std::make_unique<caller_connection>(m_loop, socket, static_cast<connection_owner &>(*this));
    auto *key = connection.get();
    m_connections.emplace(key, std::move(connection));
}

void gateway_task::onConnectionEnd(caller_connection &connection)
{
    const auto found = m_connections.find(&connection);
    if (found == m_connections.end())
        return;
    // The connection calls this from one of its own handlers, so it is destroyed after that handler has returned.
    auto owned = std::make_shared<std::unique_ptr<caller_connection>>(std::move(found->second));
    m_connections.erase(found);
    m_loop.after(std::chrono::microseconds{0}, [owned] { owned->reset(); });
}

const caller_limits &gateway_task::limits() const
{
    static const caller_limits s_default;
    return m_state.config ? m_state.config->limits : s_default;
}

std::unique_ptr<request_work> gateway_task::serve(inbound_request request, caller_response &response)
{
    auto work = std::make_unique<gateway_exchange>(m_state, std::move(request), response);
    work->begin();
    return work;
}

void gateway_task::recordRejected(int status, std::string_view reason)
{
    m_metrics.recordRequest("none", status, reason, std::chrono::microseconds{0});
    m_log.write("request_rejected", {{"status", status}, {"reason", reason}}, log_subject::request);
}

void gateway_task::onConfig(gateway_config_ptr config)
{
    if (m_state.config && m_state.config->version >= config->version)
        return;
    m_log.write("config_in_force",
                {{"generation", config->version},
                 {"before", m_state.config ? m_state.config->version : 0},
                 {"routes", config->routes.size()},
                 {"keys", config->accountsByKey.size()}});
    m_metrics.setConfigVersion(config->version);
    m_state.config = std::move(config);
}

void gateway_task::onConfigConfirmed(instant at)
{
    m_state.configConfirmedAt = std::max(at, m_state.configConfirmedAt.value_or(at));
}

void gateway_task::onReplicaList(std::vector<replica_entry> replicas)
{
    m_log.write("replicas_listed", {{"count", replicas.size()}});
    m_registry.replaceAll(std::move(replicas), suspendAwareNow());
    m_state.hasReplicas = true;
    applyReplicas();
}

void gateway_task::onReplicaChanged(replica_entry replica)
{
    m_log.write("replica_changed",
                {{"upstream", replica.id},
                 {"version", replica.version},
                 {"draining", replica.isDraining},
                 {"address", replica.address.address + ':' + std::to_string(replica.address.port)}});
    m_registry.upsert(std::move(replica), suspendAwareNow());
    applyReplicas();
}

void gateway_task::onReplicaRemoved(const std::string &id)
{
    m_log.write("replica_removed", {{"upstream", id}});
    m_registry.remove(id, suspendAwareNow());
    applyReplicas();
}

void gateway_task::applyReplicas()
{
    m_state.replicas.setReplicas(m_registry.entries());
    m_metrics.setReplicas(m_state.replicas.size());
}

void gateway_task::onRollouts(const std::vector<rollout_order> &orders)
{
    for (const auto &order : orders)
        m_log.write("rollout_state",
                    {{"service", order.service},
                     {"target", order.target},
                     {"state", nameOf(order.state)},
                     {"stage", order.stage},
                     {"revision", order.revision}});
    m_state.rollouts.setOrders(orders, suspendAwareNow());
    applyPeerEvidence();
    m_rolloutTimer.start(std::chrono::milliseconds{0});
}

void gateway_task::onHostReports(const host_reports &reports)
{
    m_hostReports = reports;
    crash_reports_by_host crashes;
    for (const auto &[host, report] : reports) {
        const bool hasOpenEvidence = std::ranges::any_of(
            report.rollouts, [this](const rollout_report &entry) { return m_state.rollouts.isUndecided(entry); });
        // Without crashes and evidence in use, the registry treats the report as that of a host that is gone.
        if (!report.crashes.empty() || !hasOpenEvidence)
            crashes.emplace(host, report.crashes);
    }
    applyPeerEvidence();
    m_state.crashes.setStoredReports(crashes, suspendAwareNow());
}

/// Passes the other hosts' evidence to the orders that it belongs to; the store may deliver it before the order.
void gateway_task::applyPeerEvidence()
{
    for (const auto &[host, report] : m_hostReports)
        if (host != m_settings.host)
            m_state.rollouts.setPeerReports(host, report.rollouts);
}

void gateway_task::onHostReportWritten(bool isWritten)
{
    if (isWritten)
        return;
    m_state.crashes.recordPublishFailure();
    m_sharedEvidence.clear(); // shared again at the next interval
}

void gateway_task::recordCrash(const broken_attempt &attempt)
{
    const auto now = suspendAwareNow();
    const bool isNew = m_state.crashes.recordCrash(attempt.fingerprint, attempt.crashId, now);
    m_metrics.recordCrash(isNew);
    m_log.write("replica_crashed",
                {{"request_id", attempt.requestId},
                 {"fingerprint", hexText(attempt.fingerprint)},
                 {"upstream", attempt.replica},
                 {"counted", isNew},
                 {"crashes", m_state.crashes.crashes(attempt.fingerprint)},
                 {"quarantined", m_state.crashes.blockedFor(attempt.fingerprint, now).has_value()}},
                log_subject::request);
}

/// Stores this host's report after a change, and removes those of hosts that are gone.
void gateway_task::shareHostReport(instant now)
{
    m_state.crashes.expire(now);
    logQuarantines(now);
    if (!m_feed)
        return;
    const bool hasCrashes = m_state.crashes.takeUnpublished(now).has_value();
    auto evidence = m_state.rollouts.reports();
    const bool hasEvidence = now >= m_nextEvidenceShare && m_state.crashes.hasAdopted() && evidence != m_sharedEvidence;
    if (hasCrashes || hasEvidence) {
        m_nextEvidenceShare = now + kEvidenceShareInterval;
        m_sharedEvidence = evidence;
        const host_report report{m_state.crashes.ownReports(), std::move(evidence)};
        m_log.write("host_report_shared", {{"crashes", report.crashes.size()}, {"rollouts", report.rollouts.size()}});
        m_feed->writeHostReport(report);
    }
    if (now < m_nextCrashReportPurge)
        return;
    std::uniform_int_distribution<std::int64_t> spread(0, kCrashReportPurgeInterval.count());
    m_nextCrashReportPurge = now + kCrashReportPurgeInterval + std::chrono::seconds{spread(m_state.random)};
    for (const auto &host : m_state.crashes.abandonedHosts(now))
        m_feed->removeHostReport(host);
}

/// Logs the requests that are blocked, or no longer blocked, by this host's reports or by those of other hosts.
void gateway_task::logQuarantines(instant now)
{
    auto blocked = m_state.crashes.blocked(now);
    for (const auto fingerprint : blocked)
        if (!m_loggedQuarantines.contains(fingerprint))
            m_log.write("quarantine_begun",
                        {{"fingerprint", hexText(fingerprint)}, {"crashes", m_state.crashes.crashes(fingerprint)}});
    for (const auto fingerprint : m_loggedQuarantines)
        if (!blocked.contains(fingerprint))
            m_log.write("quarantine_ended", {{"fingerprint", hexText(fingerprint)}});
    m_metrics.setQuarantined(blocked.size());
    m_loggedQuarantines = std::move(blocked);
}

void gateway_task::onStoreRewound()
{
    m_registry.recordRewind(suspendAwareNow());
    // This host's report may be gone; it is written again.
    m_state.crashes.recordPublishFailure();
    m_sharedEvidence.clear();
}

void gateway_task::onFeedReachable(bool isReachable)
{
    m_registry.setStoreReachable(isReachable, suspendAwareNow());
}

void gateway_task::onFeedEvent(std::string_view type, const std::string &subject, const std::string &detail)
{
    m_metrics.recordFeedEvent(type);
    m_log.write(type, {{"subject", subject}, {"detail", detail}});
}

bool gateway_task::isReady() const
{
    return !m_isDraining && m_state.config && m_state.hasReplicas && m_state.hasKeyLease(suspendAwareNow());
}

void gateway_task::serveReadiness(const http_exchange_ptr &exchange)
{
    if (exchange->path != m_readinessPath)
        return exchange->respond(http_status::kNotFound, {});
    exchange->respond(isReady() ? http_status::kOk : http_status::kServiceUnavailable, {});
}

void gateway_task::serveMetrics(const http_exchange_ptr &exchange)
{
    if (exchange->path != "/metrics")
        return exchange->respond(http_status::kNotFound, {});
    exchange->respond(http_status::kOk, m_metrics.text(), {{"Content-Type", "text/plain; version=0.0.4"}});
}

void gateway_task::tick()
{
    const auto now = suspendAwareNow();
    if (m_registry.expire(now))
        applyReplicas();
    if (isReady() != m_wasReady) {
        m_wasReady = !m_wasReady;
        m_log.write(m_wasReady ? "ready" : "not_ready", {{"draining", m_isDraining}});
    }
    if (m_state.configConfirmedAt)
        m_metrics.setConfigAge(now - *m_state.configConfirmedAt);
    shareHostReport(now);
    if (m_isDraining)
        advanceStop();
    m_tick.start(kTickInterval);
}

void gateway_task::advanceRollouts()
{
    if (!m_state.rollouts.hasUndecided())
        return;
    m_rolloutTimer.start(kRolloutCheckInterval);
    const auto now = suspendAwareNow();
    const auto next = m_state.rollouts.nextState(now);
    if (!next || !m_feed) {
        m_rolloutWriteAt.reset();
        return;
    }
    if (!m_rolloutWriteAt) {
        std::uniform_int_distribution<std::int64_t> spread(0, kRolloutWriteSpread.count());
        m_rolloutWriteAt = now + std::chrono::milliseconds{spread(m_state.random)};
    }
    if (now < *m_rolloutWriteAt)
        return;
    m_rolloutWriteAt = now + kRolloutWritePause;
    const auto &known = *m_state.rollouts.find(next->service);
    m_log.write("rollout_decision",
                {{"service", next->service},
                 {"target", next->target},
                 {"state", nameOf(next->state)},
                 {"stage", next->stage},
                 {"revision", next->revision},
                 {"verdict", nameOf(known.evidence.verdict())},
                 {"responses", known.evidence.responses()},
                 {"bad_responses", known.evidence.badResponses()},
                 {"peer_responses", known.evidence.peerResponses()},
                 {"exposed", known.budget.exposed()},
                 {"requests", known.budget.requests()}});
    m_feed->writeRollout(*next);
}

void gateway_task::stop()
{
    if (m_isDraining)
        return;
    m_isDraining = true;
    m_stopStartedAt = suspendAwareNow();
    m_log.write("stop_begun", {{"connections", m_connections.size()}});
}

void gateway_task::logReload()
{
    m_log.write("reload",
                {{"detail", "the settings file has changed; the new settings take effect at the next start"}});
}

void gateway_task::closeListener()
{
    if (m_listener)
        evconnlistener_free(std::exchange(m_listener, nullptr));
}

bool gateway_task::hasActiveRequests() const
{
    return std::ranges::any_of(m_connections, [](const auto &entry) { return !entry.first->isIdle(); });
}

/// Continues a graceful stop: closes the listener after kListenAfterStop, and ends the loop when no request is in
/// flight or the grace period is nearly over.
void gateway_task::advanceStop()
{
    const auto elapsed = suspendAwareNow() - m_stopStartedAt;
    if (elapsed < kListenAfterStop)
        return;
    closeListener();
    std::vector<caller_connection *> connections;
    std::ranges::transform(m_connections, std::back_inserter(connections),
                           [](const auto &entry) { return entry.first; });
    for (auto *connection : connections)
        connection->closeIfIdle();
    if (hasActiveRequests() && elapsed < m_settings.grace - kStopMargin)
        return;
    m_log.write("stop", {{"open_connections", m_connections.size()}});
    m_loop.stop();
}

} // namespace foxtaildyke
