// Gateway of one host; see gateway_task_p.h.
#include "gateway_task_p.h"

#include "fatal_signal_p.h"
#include "http_status_p.h"
#include "port_wait_p.h"

#include <arpa/inet.h>
#include <cmath>
#include <event2/listener.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>

namespace foxtaildyke
{

namespace
{

constexpr int kListenBacklog = 1024; ///< connections waiting to be accepted
/// Part of a host's memory for bodies of requests.
constexpr double kRequestBodyShare = 0.35;
/// Part of a host's memory for bodies of responses, which are held twice while they are sent.
constexpr double kResponseBodyShare = 0.15;

std::size_t shareOfMemory(const gateway_settings &settings, double share)
{
    constexpr double kBytesPerMb = 1024.0 * 1024.0;
    return static_cast<std::size_t>(settings.memoryMb * kBytesPerMb * share);
}

/// @returns a connection that waits to be accepted, or -1.
int acceptNext(int listeningSocket)
{
    return ::accept4(listeningSocket, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
}

/// @returns the hosts to ask first which others there are. All hosts take requests of others at the same port.
std::vector<http_endpoint> firstDetourHosts(const gateway_settings &settings)
{
    if (!settings.detourHosts.empty())
        return settings.detourHosts;
    std::vector<http_endpoint> hosts;
    for (const auto &relay : settings.relays)
        if (relay.address != settings.detour.address)
            hosts.push_back({relay.address, settings.detour.port});
    return hosts;
}

/// Closes a listener after accepting the connections that wait in the kernel, which would be reset.
void closeListener(evconnlistener *&listener, connection_owner &owner)
{
    if (!listener)
        return;
    const auto listening = evconnlistener_get_fd(listener);
    for (int socket = acceptNext(listening); socket >= 0; socket = acceptNext(listening))
        owner.accept(socket);
    evconnlistener_free(std::exchange(listener, nullptr));
}

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
              .hasRollouts = false,
              .starting = start_queue(suspendAwareNow()),
              .replicas = replica_table(m_settings.failureDomain, std::random_device{}(), m_settings.host),
              .gate = replica_gate(m_settings.host, std::random_device{}()),
              .budget = retry_budget({m_settings.retryRatio, m_settings.retryWindow, m_settings.retrySlack}),
              .rollouts = rollout_policy({m_settings.canaryShare, m_settings.canarySlack}),
              .cascade = {.confidenceToKeep = m_settings.confidenceToKeep, .startsSmall = m_settings.startsSmall},
              .requestBodies = body_memory(shareOfMemory(m_settings, kRequestBodyShare)),
              .pool = {loop, m_headerNames.requestId},
              .crashes = crash_registry(m_settings.host),
              .crashDetector = {m_state.pool,
                                [this](const broken_attempt &attempt) {
                                    recordCrash(attempt);
                                }},
              .prober = {m_state.pool, m_state.reach,
                         [this](const std::string &service) {
                             onProbeRoundEnd(service);
                         }},
              .detours = detour_hosts(m_settings.host, firstDetourHosts(m_settings), std::random_device{}()),
              .requestProbe =
                  [this] {
                      if (!std::exchange(m_isProbePending, true))
                          m_probeTimer.start(reachability::kProbeDelay);
                  },
              .random = std::mt19937_64{std::random_device{}()},
              .responseBytesLimit = shareOfMemory(m_settings, kResponseBodyShare)}
    , m_registry(m_settings.lapseGrace)
    , m_readiness(loop, [this](const http_exchange_ptr &exchange) { serveReadiness(exchange); })
    , m_metricsServer(loop, [this](const http_exchange_ptr &exchange) { serveMetrics(exchange); })
    , m_hostClient(loop)
    , m_probeTimer(loop, [this] { probeReplicas(); })
    , m_exchangeTimer(loop, [this] { exchangeStatements(); })
    , m_tick(loop, [this] { tick(); })
    , m_startTimer(loop, [this] { m_state.starting.resume(); })
    , m_rolloutTimer(loop, [this] { advanceRollouts(); })
{
}

gateway_task::~gateway_task()
{
    closeListeners();
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
    const auto detours = listenForDetours();
    if (detours.has_error())
        return detours.error();
    // Last, so that no caller connects to a start that fails.
    const auto callers = listenForCallers();
    if (callers.has_error())
        return callers.error();
    m_log.write(
        "start",
        {{"failure_domain", m_settings.failureDomain}, {"build", FOXTAILDYKE_VERSION}, {"build_id", buildId()}});
    feed.start(*this);
    m_tick.start(kTickInterval);
    if (m_settings.detour.port != 0)
        exchangeStatements();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

evconnlistener *gateway_task::listenAt(const http_endpoint &at, connection_owner &owner)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(at.port);
    inet_pton(AF_INET, at.address.c_str(), &address.sin_addr);
    const auto onAccept = [](evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *self) {
        auto *connections = static_cast<connection_owner *>(self);
        connections->accept(socket);
    };
    auto *listener = evconnlistener_new_bind(m_loop.base(), onAccept, &owner, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                             kListenBacklog, reinterpret_cast<sockaddr *>(&address), sizeof(address));
    if (listener)
        evconnlistener_set_error_cb(listener, [](evconnlistener *failing, void *self) {
            const int error = EVUTIL_SOCKET_ERROR();
            // The socket stays readable, so that the loop would try again at once, for ever.
            evconnlistener_disable(failing);
            static_cast<connection_owner *>(self)->recordAcceptFailure(error);
        });
    return listener;
}

void gateway_task::recordAcceptFailure(int error)
{
    m_log.write("accept_paused", {{"errno", error}, {"connections", m_connections.size()}});
}

void gateway_task::resumeListeners()
{
    for (auto *listener : {m_listener, m_detourListener})
        if (listener)
            evconnlistener_enable(listener);
}

result<void> gateway_task::listenForCallers()
{
    m_listener = listenAt(m_settings.listen, *this);
    if (!m_listener)
        return listenError(m_settings.listen);
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

void gateway_task::accept(int socket, connection_owner &owner)
{
    auto connection = std::make_unique<caller_connection>(m_loop, socket, owner);
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

bool gateway_task::isReady() const
{
    return !m_isDraining && m_state.hasStarted() && m_state.hasKeyLease(suspendAwareNow()) && canServeSome();
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
    m_log.flush();
    resumeListeners();
    if (m_registry.expire(now))
        applyReplicas();
    if (isReady() != m_wasReady) {
        m_wasReady = !m_wasReady;
        m_log.write(m_wasReady ? "ready" : "not_ready", {{"draining", m_isDraining}});
    }
    if (m_state.configConfirmedAt)
        m_metrics.setConfigAge(now - *m_state.configConfirmedAt);
    advanceLimits(now);
    advanceDetours(now);
    logEjections();
    if (now >= m_nextStoreCallLog)
        logStoreCalls();
    shareHostReport(now);
    if (m_isDraining)
        advanceStop();
    m_tick.start(kTickInterval);
}

void gateway_task::logStoreCalls()
{
    m_nextStoreCallLog = suspendAwareNow() + kStoreCallLogInterval;
    if (m_storeCalls.empty())
        return;
    const nlohmann::ordered_json fields(std::exchange(m_storeCalls, {}));
    m_log.write("store_calls", fields);
}

void gateway_task::logEjections()
{
    for (const auto &ejected : m_state.replicas.takeEjections())
        m_log.write("replica_ejected",
                    {{"upstream", ejected.replica},
                     {"ms", ejected.time.count()},
                     {"consecutive_failures", ejected.consecutiveFailures},
                     {"failure_percent", std::lround(ejected.failureRate * 100)}});
}

void gateway_task::stop()
{
    if (m_isDraining)
        return;
    m_isDraining = true;
    m_stopStartedAt = suspendAwareNow();
    m_state.gate.limits().leave(m_stopStartedAt);
    m_log.write("stop_begun", {{"connections", m_connections.size()}});
}

void gateway_task::logReload()
{
    m_log.write("reload",
                {{"detail", "the settings file has changed; the new settings take effect at the next start"}});
}

void gateway_task::closeListeners()
{
    const bool hasListened = m_listener != nullptr;
    const auto before = m_connections.size();
    closeListener(m_listener, *this);
    closeListener(m_detourListener, m_detourOwner);
    if (hasListened)
        m_log.write("stop_listening",
                    {{"accepted", m_connections.size() - before}, {"connections", m_connections.size()}});
}

std::vector<caller_connection *> gateway_task::openConnections() const
{
    std::vector<caller_connection *> connections;
    std::ranges::transform(m_connections, std::back_inserter(connections),
                           [](const auto &entry) { return entry.first; });
    return connections;
}

/// Continues a graceful stop: closes the listener after kListenAfterStop, then the connections that are idle. Ends the
/// loop when none is left or the grace period is nearly over; what is still running then has been answered before.
void gateway_task::advanceStop()
{
    const auto elapsed = suspendAwareNow() - m_stopStartedAt;
    if (elapsed < kListenAfterStop)
        return;
    closeListeners();
    const auto left = m_settings.grace - kStopMargin - elapsed;
    for (auto *connection : openConnections()) {
        connection->closeIfIdle(kMinIdleAtStop);
        if (left <= kAnswerMargin)
            connection->answerBeforeStop();
    }
    if (!m_connections.empty() && left > instant{0})
        return;
    logStoreCalls();
    m_log.write("stop", {{"open_connections", m_connections.size()}});
    m_loop.stop();
}

} // namespace foxtaildyke
