// Implements the control process declared in control_p.h.
#include "control_p.h"
#include "log_output_p.h"

#include <csignal>
#include <nlohmann/json.hpp>
#include <random>

namespace foxtaildyke
{

namespace
{

constexpr std::chrono::milliseconds kTickPeriod{50};
constexpr std::chrono::milliseconds kHostPollPeriod{1000};
constexpr int kUsPerMs = 1000;
const http_headers kJsonHeader{{"Content-Type", "application/json"}};

/// @returns a random id that distinguishes this process from earlier ones on the same host.
std::string makeIncarnation()
{
    std::random_device device;
    return std::to_string(device()) + '-' + std::to_string(device());
}

std::string formatMetric(std::string_view name, std::string_view labels, std::uint64_t value)
{
    return std::string(name).append(labels).append(" ").append(std::to_string(value)).append("\n");
}

std::string_view methodName(http_method method)
{
    return method == http_method::post ? "POST" : method == http_method::get ? "GET" : "";
}

} // namespace

result<control_settings> loadControlSettings(const std::string &path)
{
    auto sections = readIniFile(path);
    if (sections.has_error())
        return sections.error();
    auto operators = extractOperators(sections.value());
    if (operators.has_error())
        return operators.error();
    auto process = checkProcessSettings(sections.value());
    if (process.has_error())
        return process.error();
    if (process.value().adminListen.address.empty())
        return error{error_code::missing_key, "process/admin_listen"};
    if (process.value().peerListen.address.empty())
        return error{error_code::missing_key, "process/peer_listen"};
    return control_settings{std::move(process.value()), std::move(operators.value())};
}

void http_orders::load(const engine_order &order, load_done done)
{
    const nlohmann::json body{
        {"order", "load"}, {"model", order.model}, {"version", order.version}, {"fencing", order.token}};
    http_request request;
    request.endpoint = {order.target.address, order.target.port};
    request.method = http_method::post;
    request.target = "/orders";
    request.headers = {{"Content-Type", "application/json"}};
    request.body = body.dump();
    http_handlers handlers;
    handlers.onDone = [done = std::move(done), name = order.target.name](const http_response &response) {
        if (response.end != http_end::complete)
            return done(
                error{response.end == http_end::timed_out ? error_code::timed_out : error_code::io_failure, name});
        if (response.status != 200)
            return done(error{response.status == 409 ? error_code::conflict : error_code::unavailable, name});
        const auto content = nlohmann::json::parse(response.body, nullptr, false);
        if (!content.is_object() || !content.contains("versions") || !content["versions"].is_array())
            return done(error{error_code::protocol_violation, name});
        std::vector<std::string> versions;
        for (const auto &version : content["versions"])
            versions.push_back(version.is_string() ? version.get<std::string>() : "");
        done(std::move(versions));
    };
    m_client.start(std::move(request), std::move(handlers));
}

control_process::control_process(control_settings settings, event_loop &loop, status_port &router)
    : m_settings(std::move(settings))
    , m_loop(loop)
    , m_log("control", m_settings.process.host, m_settings.process.log)
    , m_client(loop)
    , m_store(m_client, m_settings.process.platform, object_store_http::kDefaultTimeout,
              [this](std::string_view name, std::string_view end) { m_metrics.recordPlatformCall(name, end); })
    , m_platform(m_client, m_settings.process.platform)
    , m_orders(m_client)
    , m_controller(m_store, router, m_orders, m_settings.process.host, makeIncarnation(),
                   [this](const controller_event &event) { recordEvent(event); })
    , m_api(m_controller, m_settings.operators, [this](const controller_event &event) { recordEvent(event); })
    , m_server(loop, [this](const http_exchange_ptr &exchange) { serve(exchange); })
    , m_timer(loop, [this] { tick(); })
{
}

result<void> control_process::start()
{
    const auto port = m_server.listen(m_settings.process.adminListen);
    if (port.has_error())
        return port.error();
    m_loop.onSignal(SIGTERM, [this] { m_loop.stop(); });
    m_loop.onSignal(SIGINT, [this] { m_loop.stop(); });
    m_log.recordEvent("started", m_settings.process.adminListen.address + ':' + std::to_string(port.value()));
    tick();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void control_process::tick()
{
    const auto now = event_loop::now();
    const auto unixMs = unixMicroseconds() / kUsPerMs;
    m_controller.tick(now, unixMs);
    m_api.tick(now, unixMs);
    m_metrics.setGeneration(m_controller.document().generation);
    if (m_controller.isHolder() && now >= m_nextHostPoll) {
        m_nextHostPoll = now + kHostPollPeriod;
        pollHosts();
    }
    m_timer.start(kTickPeriod);
}

void control_process::pollHosts()
{
    m_platform.hosts(m_hostListVersion, [this](const result<std::optional<host_list>> &list) {
        if (list.has_value() && list.value())
            applyHostList(*list.value());
    });
}

void control_process::applyHostList(const host_list &list)
{
    m_hostListVersion = list.version;
    std::vector<listed_entry> entries;
    std::vector<upstream_info> upstreams;
    for (const auto &host : list.hosts) {
        if (host.role != "entry") {
            upstreams.push_back(host.info);
            continue;
        }
        const auto &region = host.region.empty() ? m_settings.process.region : host.region;
        entries.push_back(
            {{host.info.name, region, host.info.failureDomain, host.info.address, host.info.port}, host.info.state});
    }
    m_controller.setHosts(std::move(entries), std::move(upstreams));
}

void control_process::serve(const http_exchange_ptr &exchange)
{
    if (exchange->path == "/healthz")
        return exchange->respond(200, "ok\n");
    if (exchange->path == "/metrics")
        return exchange->respond(200, metricsText(), {{"Content-Type", "text/plain; version=0.0.4"}});
    admin_request request;
    request.method = methodName(exchange->method);
    request.path = exchange->path;
    request.query = exchange->query;
    request.authorization = exchange->header("Authorization");
    request.body = exchange->body;
    m_api.handle(request, [exchange](const admin_response &response) {
        if (exchange->isOpen())
            exchange->respond(response.status, response.body, kJsonHeader);
    });
}

void control_process::recordEvent(const controller_event &event)
{
    ++m_eventCounts[event.type];
    record_event record;
    record.type = event.type;
    record.version = event.version;
    record.upstream = event.upstream;
    record.reason = event.reason;
    record.generation = event.generation;
    m_log.write(record);
}

std::string control_process::metricsText() const
{
    const auto &acceptanceState = m_controller.acceptanceState();
    auto text = m_metrics.text();
    text += "# TYPE foxtaildyke_control_holds_lease gauge\n";
    text += formatMetric("foxtaildyke_control_holds_lease", "", m_controller.isHolder() ? 1 : 0);
    text += "# TYPE foxtaildyke_control_newest_generation gauge\n";
    text += formatMetric("foxtaildyke_control_newest_generation", "", m_controller.document().generation);
    text += "# TYPE foxtaildyke_control_accepted_generation gauge\n";
    text += formatMetric("foxtaildyke_control_accepted_generation", "", acceptanceState.accepted());
    text += "# TYPE foxtaildyke_control_router_answers gauge\n";
    text += formatMetric("foxtaildyke_control_router_answers", "", m_controller.routerStatus() ? 1 : 0);
    text += "# TYPE foxtaildyke_control_events_total counter\n";
    for (const auto &[type, count] : m_eventCounts)
        text += formatMetric("foxtaildyke_control_events_total", "{type=\"" + type + "\"}", count);
    return text;
}

} // namespace foxtaildyke
