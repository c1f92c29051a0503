// Main task of the router; see router_task_p.h.
#include "router_task_p.h"

#include "http_status_p.h"

#include <csignal>

namespace foxtaildyke
{

namespace
{

constexpr std::chrono::milliseconds kPlatformPollPeriod{1000}; ///< poll interval for host list and load reports
constexpr std::chrono::milliseconds kDrainCheckPeriod{20};
/// Minimum duration of a drain, so that requests that were in flight when it began still receive their refusal.
constexpr std::chrono::milliseconds kMinDrainTime{200};
/// Time after which a drain accepts no more connections, so that it ends although callers go on connecting.
constexpr std::chrono::milliseconds kMaxListenTime{2000};

std::uint64_t randomSeed()
{
    std::random_device device;
    constexpr unsigned kDrawBits = 32;
    return static_cast<std::uint64_t>(device()) << kDrawBits | device();
}

} // namespace

router_task::router_task(process_settings settings)
    : m_settings(std::move(settings))
    , m_log("router", m_settings.host, m_settings.log)
    , m_client(m_loop)
    , m_store(m_client, m_settings.platform, object_store_http::kDefaultTimeout,
              [this](std::string_view name, std::string_view end) { m_metrics.recordPlatformCall(name, end); })
    , m_platform(m_client, m_settings.platform)
    , m_core(m_settings.host, m_settings.failureDomain, randomSeed())
    , m_upstreams(m_loop, m_client, m_settings.host, sink())
    , m_loads(m_client, sink())
    , m_callers(m_loop, sink())
    , m_admin(m_loop, [this](const http_exchange_ptr &exchange) { serveAdmin(exchange); })
    , m_coreTimer(m_loop, [this] { deliver(timer_tick{}); })
    , m_platformTimer(m_loop, [this] { pollPlatform(); })
    , m_drainTimer(m_loop, [this] { stopWhenDrained(); })
{
    addAdminPage("/metrics", [this] { return metricsText(); });
}

router_task::~router_task() = default;

void router_task::setPorts(router_ports ports)
{
    m_ports = std::move(ports);
}

core_sink router_task::sink()
{
    return [this](core_input input) {
        deliver(std::move(input));
    };
}

void router_task::addAdminPage(const std::string &path, std::function<std::string()> page)
{
    m_adminPages[path] = std::move(page);
}

result<void> router_task::start()
{
    auto port = m_callers.listen(m_settings.listen);
    if (port.has_error())
        return port.error();
    m_callerPort = port.value();
    if (!m_settings.adminListen.address.empty()) {
        auto adminPort = m_admin.listen(m_settings.adminListen);
        if (adminPort.has_error())
            return adminPort.error();
    }
    m_loop.onSignal(SIGTERM, [this] { drain(); });
    m_loop.onSignal(SIGINT, [this] { drain(); });
    m_log.recordEvent("started", m_settings.listen.address + ':' + std::to_string(m_callerPort));
    m_ports.config->start();
    pollPlatform();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void router_task::run()
{
    m_loop.run();
}

void router_task::deliver(core_input input)
{
    m_inputs.push_back(std::move(input));
    if (std::exchange(m_isHandling, true))
        return;
    while (!m_inputs.empty()) {
        const auto next = std::move(m_inputs.front());
        m_inputs.pop_front();
        handleInput(next);
    }
    m_isHandling = false;
    if (const auto due = m_core.nextTimer())
        m_coreTimer.start(*due - event_loop::now());
    else
        m_coreTimer.stop();
}

void router_task::handleInput(const core_input &input)
{
    recordInput(input);
    m_core.handle(input, event_loop::now());
    for (const auto &action : m_core.takeActions())
        std::visit([this](const auto &step) { perform(step); }, action);
}

void router_task::recordInput(const core_input &input)
{
    if (const auto *lease = std::get_if<lease_changed>(&input))
        m_leaseEnd = lease->expiresAt;
    else if (const auto *done = std::get_if<attempt_done>(&input))
        recordAttemptEnd(done->attempt, std::nullopt);
    else if (const auto *failed = std::get_if<attempt_failed>(&input))
        recordAttemptEnd(failed->attempt, failed->failure);
    else if (const auto *changed = std::get_if<config_changed>(&input))
        onConfig(changed->config);
    else if (const auto *request = std::get_if<caller_request>(&input))
        m_ports.sharing->recordRequest(request->apiKey);
}

void router_task::onConfig(const router_config_ptr &config)
{
    m_metrics.setGeneration(config->generation);
    notifyPorts([&](port_events &port) { port.onConfig(config); });
}

void router_task::notifyPorts(const std::function<void(port_events &)> &notify)
{
    notify(*m_ports.config);
    notify(*m_ports.ledger);
    notify(*m_ports.sharing);
}

void router_task::recordAttemptEnd(attempt_token attempt, std::optional<attempt_failure> failure)
{
    const auto found = m_attemptVersions.find(static_cast<std::uint64_t>(attempt));
    if (found == m_attemptVersions.end())
        return;
    m_metrics.recordAttempt(found->second, failure);
    m_attemptVersions.erase(found);
}

void router_task::perform(const start_attempt &action)
{
    m_attemptVersions[static_cast<std::uint64_t>(action.attempt)] = action.version;
    m_upstreams.start(action);
}

void router_task::perform(const cancel_attempt &action)
{
    m_attemptVersions.erase(static_cast<std::uint64_t>(action.attempt));
    m_upstreams.cancel(action.attempt);
}

void router_task::perform(const send_chunk &action)
{
    if (!m_callers.chunk(action))
        return;
    if (const auto arrival = m_callers.arrivalOf(action.request))
        m_metrics.recordFirstToken(event_loop::now() - *arrival);
}

void router_task::perform(const finish_request &action)
{
    if (const auto arrival = m_callers.arrivalOf(action.request))
        m_metrics.recordRequest(action.outcome, action.reason, event_loop::now() - *arrival);
    m_callers.finish(action);
}

void router_task::perform(const write_claim &action)
{
    m_ports.ledger->claim(action);
}

void router_task::perform(const write_bill &action)
{
    m_metrics.recordBill(action.promptTokens, action.completionTokens, action.costMicroUnits);
    m_ports.ledger->bill(action);
}

void router_task::perform(const write_pin &action)
{
    m_ports.ledger->pin(action);
}

void router_task::perform(const request_rating &action)
{
    m_platform.rate(action.kind, action.text, [this, action](std::optional<std::uint32_t> score) {
        deliver(rating_response{action.request, action.attempt, score});
    });
}

void router_task::perform(const share_evidence &action)
{
    m_ports.sharing->share(action);
}

void router_task::perform(const share_estimates &action)
{
    m_ports.sharing->share(action);
}

void router_task::perform(const share_halt &action)
{
    m_ports.sharing->share(action);
}

void router_task::perform(const share_quarantine &action)
{
    m_ports.sharing->share(action);
}

void router_task::perform(const record_event &action)
{
    m_log.write(action);
}

void router_task::pollPlatform()
{
    m_platformTimer.start(kPlatformPollPeriod);
    m_platform.hosts(m_hostListVersion, [this](const result<std::optional<host_list>> &list) {
        // While the platform is unreachable, the last known host list remains in use.
        if (list.has_value() && list.value())
            onHostList(*list.value());
    });
    m_loads.poll();
}

void router_task::onHostList(const host_list &list)
{
    if (list.version == m_hostListVersion)
        return;
    m_hostListVersion = list.version;
    std::vector<upstream_info> upstreams;
    std::vector<listed_host> entryHosts;
    for (const auto &host : list.hosts)
        if (host.role == "upstream")
            upstreams.push_back(host.info);
        else if (host.role == "entry")
            entryHosts.push_back(host);
    notifyPorts([&](port_events &port) { port.onEntryHosts(entryHosts); });
    upstreams = replicaSubset(m_settings.host, std::move(upstreams));
    m_loads.setUpstreams(upstreams);
    m_log.recordEvent("host_list_changed", "version " + std::to_string(*m_hostListVersion));
    deliver(upstreams_changed{std::move(upstreams)});
}

void router_task::serveAdmin(const http_exchange_ptr &exchange)
{
    const auto page = m_adminPages.find(exchange->path);
    if (page == m_adminPages.end() || exchange->method != http_method::get)
        return exchange->respond(http_status::kNotFound, {});
    exchange->respond(http_status::kOk, page->second(), {{"Content-Type", "text/plain; version=0.0.4"}});
}

std::string router_task::metricsText()
{
    m_metrics.setOpenRequests(m_core.openRequests());
    m_metrics.setLeaseRemaining(std::max(instant{}, m_leaseEnd - event_loop::now()));
    for (; m_foreignEventsSeen < m_upstreams.foreignEvents(); ++m_foreignEventsSeen)
        m_metrics.recordForeignEvent();
    return m_metrics.text();
}

void router_task::drain()
{
    if (std::exchange(m_isDraining, true))
        return;
    m_drainStart = event_loop::now();
    m_log.recordEvent("drain_started");
    m_callers.drain();
    notifyPorts([](port_events &port) { port.onDrain(); });
    deliver(drain_request{});
    stopWhenDrained();
}

void router_task::stopWhenDrained()
{
    const auto now = event_loop::now();
    if (now >= m_drainStart + kMaxListenTime)
        m_callers.stopListening();
    const bool isEarly = now < m_drainStart + kMinDrainTime;
    if (isEarly || m_core.openRequests() > 0 || !m_callers.isQuiet(now) || !m_ports.ledger->isIdle()) {
        m_drainTimer.start(kDrainCheckPeriod);
        return;
    }
    m_log.recordEvent("drained");
    m_loop.stop();
}

} // namespace foxtaildyke
