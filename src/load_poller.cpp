// Selection of upstreams and polling of load reports; see load_poller_p.h.
#include "load_poller_p.h"

#include "http_status_p.h"

#include <nlohmann/json.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace foxtaildyke
{

namespace
{

/// Shorter than the poll period, so that a slow upstream is polled again.
constexpr std::chrono::milliseconds kLoadTimeout{900};

std::uint64_t rank(std::string_view host, std::string_view replica)
{
    return XXH64(replica.data(), replica.size(), XXH64(host.data(), host.size(), 0));
}

} // namespace

std::vector<upstream_info> replicaSubset(std::string_view host, std::vector<upstream_info> upstreams,
                                         std::size_t perVersion)
{
    std::ranges::sort(upstreams, {}, [&](const upstream_info &info) { return rank(host, info.name); });
    std::map<std::string, std::size_t> replicaCounts;
    const auto isNotSelected = [&](const upstream_info &info) {
        if (info.state != host_state::live)
            return false;
        const bool isNeeded = std::ranges::any_of(
            info.versions, [&](const std::string &version) { return replicaCounts[version] < perVersion; });
        if (isNeeded)
            std::ranges::for_each(info.versions, [&](const std::string &version) { ++replicaCounts[version]; });
        return !isNeeded;
    };
    std::erase_if(upstreams, isNotSelected);
    std::ranges::sort(upstreams, {}, &upstream_info::name);
    return upstreams;
}

std::optional<load_report> decodeLoad(const std::string &upstream, const std::string &body, instant startedAt)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    const auto isCount = [&](const char *field) {
        return json.contains(field) && json[field].is_number_unsigned();
    };
    if (!isCount("running") || !isCount("queued") || !isCount("slots"))
        return std::nullopt;
    load_report report{upstream, json["running"], json["queued"], json["slots"], startedAt};
    if (isCount("now_ms") && isCount("measured_at_ms")) {
        const auto age = json["now_ms"].get<std::int64_t>() - json["measured_at_ms"].get<std::int64_t>();
        report.measuredAt -= std::chrono::milliseconds(std::max<std::int64_t>(0, age));
    }
    return report;
}

load_poller::load_poller(http_client &client, report_sink deliver)
    : m_client(client)
    , m_deliver(std::move(deliver))
{
}

load_poller::~load_poller()
{
    for (const auto &[upstream, call] : m_openCalls)
        m_client.cancel(call);
}

void load_poller::setUpstreams(std::vector<upstream_info> upstreams)
{
    m_upstreams = std::move(upstreams);
}

void load_poller::poll()
{
    for (const auto &info : m_upstreams) {
        if (info.state != host_state::live || m_openCalls.contains(info.name))
            continue;
        http_request request;
        request.endpoint = {info.address, info.port};
        request.target = "/load";
        request.timeout = kLoadTimeout;
        http_handlers handlers;
        handlers.onDone = [this, name = info.name, startedAt = event_loop::now()](const http_response &response) {
            onResponse(name, startedAt, response);
        };
        m_openCalls[info.name] = m_client.start(std::move(request), std::move(handlers));
    }
}

void load_poller::onResponse(const std::string &upstream, instant startedAt, const http_response &response)
{
    m_openCalls.erase(upstream);
    if (response.end != http_end::complete || response.status != http_status::kOk)
        return;
    if (auto report = decodeLoad(upstream, response.body, startedAt))
        m_deliver(std::move(*report));
}

} // namespace foxtaildyke
