// Load reports, orders, faults and registration of the upstream emulator; see standin_upstream_p.h.
#include "standin_upstream_p.h"

#include <numeric>
#include <unistd.h>

namespace foxtaildyke
{

namespace
{

using nlohmann::json;

constexpr std::chrono::milliseconds kRegistrationRetryDelay{500};
const http_headers kJsonHeader{{"Content-Type", "application/json"}};

std::int64_t unixMs()
{
    const auto time = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

/// Assigns a JSON field to a variable of the same type; a missing field leaves the variable unchanged.
template <typename value_type>
void assignField(const json &body, const char *field, value_type &target)
{
    target = body.value(field, target);
}

} // namespace

void standin_upstream::measureLoad()
{
    const auto queued = std::accumulate(m_queue.begin(), m_queue.end(), std::size_t{0},
                                        [](std::size_t sum, const auto &item) { return sum + item.second.size(); });
    m_load = {{"running", m_running}, {"queued", queued}, {"slots", m_options.slots}, {"measured_at_ms", unixMs()}};
    if (m_options.maxLoadAge.count() > 0)
        m_loop.after(m_options.maxLoadAge, [this] { measureLoad(); });
}

void standin_upstream::serveLoad(const http_exchange_ptr &exchange)
{
    if (m_options.maxLoadAge.count() == 0)
        measureLoad();
    auto report = m_load;
    report["now_ms"] = unixMs();
    exchange->respond(200, report.dump(), kJsonHeader);
}

void standin_upstream::applyOrder(const std::string &order, const std::string &version)
{
    if (order == "load")
        m_options.versions.insert(version);
    else if (order == "unload")
        m_options.versions.erase(version);
    else
        m_role = version;
}

void standin_upstream::serveOrder(const http_exchange_ptr &exchange)
try {
    const auto body = json::parse(exchange->body);
    const auto order = body.at("order").get<std::string>();
    const auto fencing = body.at("fencing").get<std::uint64_t>();
    if (order != "load" && order != "unload" && order != "role")
        return exchange->respond(400, {});
    if (m_options.checksFencing && fencing < m_fencing) {
        ++m_counts["orders_refused"];
        return exchange->respond(409, json{{"fencing", m_fencing}}.dump(), kJsonHeader);
    }
    m_fencing = std::max(m_fencing, fencing);
    ++m_counts["orders_taken"];
    applyOrder(order, body.value(order == "role" ? "role" : "version", ""));
    registerAt(m_port);
    exchange->respond(200, json{{"versions", m_options.versions}, {"role", m_role}}.dump(), kJsonHeader);
} catch (const json::exception &) {
    exchange->respond(400, {});
}

void standin_upstream::serveFaults(const http_exchange_ptr &exchange)
try {
    const auto body = json::parse(exchange->body);
    assignField(body, "late_ms", m_faults.lateMs);
    assignField(body, "crossed", m_faults.crossed);
    assignField(body, "truncated", m_faults.truncated);
    assignField(body, "drop_runs", m_faults.dropRuns);
    assignField(body, "bad_versions", m_faults.badVersions);
    assignField(body, "overload", m_faults.overload);
    if (body.contains("leave")) {
        m_state = body["leave"].get<bool>() ? "leaving" : "live";
        registerAt(m_port);
    }
    exchange->respond(200, {});
    if (body.value("crash", false))
        m_loop.after(std::chrono::milliseconds(1), [] { _exit(1); });
} catch (const json::exception &failure) {
    exchange->respond(400, failure.what());
}

void standin_upstream::serveCounts(const http_exchange_ptr &exchange)
{
    json counts{{"name", m_options.name},
                {"running", m_running},
                {"peak_running", m_peakRunning},
                {"runs_by_request", m_runsByRequest},
                {"runs_by_version", m_runsByVersion},
                {"completed_by_version", m_completedByVersion},
                {"versions", m_options.versions},
                {"role", m_role},
                {"fencing", m_fencing}};
    for (const char *name : {"orders_taken", "orders_refused", "cancelled", "overloaded"})
        counts[name] = m_counts[name];
    exchange->respond(200, counts.dump(), kJsonHeader);
}

nlohmann::json standin_upstream::hostEntry() const
{
    return {{"name", m_options.name},
            {"role", "upstream"},
            {"address", m_options.listen.address},
            {"port", m_port},
            {"state", m_state},
            {"failure_domain", m_options.failureDomain},
            {"service", m_options.service},
            {"model", m_options.model},
            {"versions", m_options.versions},
            {"slots", m_options.slots}};
}

void standin_upstream::registerAt(std::uint16_t port)
{
    m_port = port;
    if (!m_options.platform)
        return;
    // Stops the retries of an earlier registration, which this one replaces.
    if (m_isRegistrationSuperseded)
        *m_isRegistrationSuperseded = true;
    m_isRegistrationSuperseded = std::make_shared<bool>(false);
    http_request request;
    request.endpoint = *m_options.platform;
    request.method = http_method::post;
    request.target = "/hosts";
    request.body = hostEntry().dump();
    http_handlers handlers;
    handlers.onDone = [this, isSuperseded = m_isRegistrationSuperseded](const http_response &response) {
        if (*isSuperseded || (response.end == http_end::complete && response.status == 200))
            return;
        m_loop.after(kRegistrationRetryDelay, [this, isSuperseded] {
            if (!*isSuperseded)
                registerAt(m_port);
        });
    };
    m_client.start(std::move(request), std::move(handlers));
}

} // namespace foxtaildyke
