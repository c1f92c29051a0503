// Host list, ratings and weights of the platform; see platform_client_p.h.
#include "platform_client_p.h"

#include "http_status_p.h"
#include "object_store_http_p.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace foxtaildyke
{

namespace
{

constexpr std::chrono::milliseconds kTimeout{2000};

using nlohmann::json;

listed_host decodeHost(const json &entry)
{
    listed_host host;
    host.info.name = entry.at("name").get<std::string>();
    host.info.address = entry.at("address").get<std::string>();
    host.info.port = entry.at("port").get<std::uint16_t>();
    host.info.failureDomain = entry.value("failure_domain", "");
    host.info.service = entry.value("service", "");
    host.info.versions = entry.value("versions", std::vector<std::string>{});
    host.info.slots = entry.value("slots", host.info.slots);
    // An unknown state is treated as leaving, so that the host receives no new work.
    host.info.state = valueOf<host_state>(entry.at("state").get<std::string>()).value_or(host_state::leaving);
    host.role = entry.value("role", "");
    host.model = entry.value("model", "");
    host.region = entry.value("region", "");
    return host;
}

std::optional<std::uint32_t> decodeScore(const http_response &response)
{
    constexpr double kPermille = 1000;
    if (platformError(response, {}))
        return std::nullopt;
    const auto body = json::parse(response.body, nullptr, false);
    if (!body.is_object() || !body.contains("score") || !body["score"].is_number())
        return std::nullopt;
    const auto score = body["score"].get<double>();
    if (!(score >= 0 && score <= 1))
        return std::nullopt;
    return static_cast<std::uint32_t>(std::lround(score * kPermille));
}

std::string dump(const json &body)
{
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

result<host_list> decodeHostList(const std::string &body)
try {
    const auto document = json::parse(body);
    host_list list;
    list.version = document.at("version").get<std::uint64_t>();
    for (const auto &entry : document.at("hosts"))
        list.hosts.push_back(decodeHost(entry));
    return list;
} catch (const json::exception &) {
    return error{error_code::protocol_violation, "hosts"};
}

platform_client::platform_client(http_client &client, http_endpoint platform)
    : m_client(client)
    , m_platform(std::move(platform))
{
}

void platform_client::start(http_request request, std::function<void(http_response)> done)
{
    request.endpoint = m_platform;
    request.timeout = kTimeout;
    m_client.start(std::move(request), {std::move(done), {}});
}

void platform_client::post(const char *path, std::string body, std::function<void(http_response)> done)
{
    http_request request;
    request.method = http_method::post;
    request.target = path;
    request.body = std::move(body);
    start(std::move(request), std::move(done));
}

void platform_client::hosts(std::optional<std::uint64_t> knownVersion, hosts_done done)
{
    http_request request;
    request.target = "/hosts";
    if (knownVersion)
        request.headers.emplace_back("If-None-Match", '"' + std::to_string(*knownVersion) + '"');
    start(std::move(request), [done = std::move(done)](const http_response &response) {
        if (response.status == http_status::kNotModified)
            return done(std::nullopt);
        if (auto failure = platformError(response, "hosts"))
            return done(*failure);
        auto list = decodeHostList(response.body);
        if (list.has_error())
            return done(list.error());
        done(std::optional(std::move(list.value())));
    });
}

void platform_client::rate(const std::string &kind, const std::string &text, rate_done done)
{
    auto body = dump({{"kind", kind}, {"text", text}});
    post("/rate", std::move(body),
         [done = std::move(done)](const http_response &response) { done(decodeScore(response)); });
}

void platform_client::requestWeights(const std::string &model, const std::string &version, weights_done done)
{
    auto body = dump({{"model", model}, {"version", version}});
    post("/weights", std::move(body), [version, done = std::move(done)](const http_response &response) {
        if (auto failure = platformError(response, version))
            return done(*failure);
        done(BOOST_OUTCOME_V2_NAMESPACE::success());
    });
}

} // namespace foxtaildyke
