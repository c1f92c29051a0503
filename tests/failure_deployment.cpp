// A small deployment of real processes; see failure_deployment.h.
#include "failure_deployment.h"

#include <algorithm>
#include <fstream>
#include <numeric>
#include <stdexcept>

namespace foxtaildyke::testing
{

namespace
{

std::string endpoint(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::string binary(const std::string &name)
{
    return std::string(FOXTAILDYKE_BINARY_DIR) + "/foxtaildyke-" + name;
}

/// Two models with two versions each, one plain service, and kinds with and without a cascade.
ini_document baseSettings()
{
    const auto parsed = parseIni(R"(
[tuning]
freshness_lease_ms = 2000
exchange_period_ms = 200
session_key = session-key-of-the-failure-tests
[model swift]
service = models
prompt_micro_units_per_1k = 30
completion_micro_units_per_1k = 90
[model grand]
service = models
prompt_micro_units_per_1k = 300
completion_micro_units_per_1k = 900
[model desk]
service = desk
prompt_micro_units_per_1k = 1
completion_micro_units_per_1k = 1
[version swift-1]
model = swift
state = active
[version grand-1]
model = grand
state = active
[version desk-1]
model = desk
state = active
[kind tone-check]
class = standard
idempotent = true
cascade = swift
rated = false
deadline_ms = 20000
[kind dossier-summary]
class = batch
idempotent = true
cascade = swift grand
target_permille = 900
rated = true
deadline_ms = 30000
[kind reminder-draft]
class = batch
idempotent = false
cascade = grand
rated = false
deadline_ms = 20000
[kind payment-promise]
class = interactive
idempotent = false
cascade = desk
rated = false
deadline_ms = 20000
[account account-a]
api_key = test-key-account-a
requests_per_second = 1000
burst = 1000
concurrency = 200
grants = swift grand desk
[account account-b]
api_key = test-key-account-b
requests_per_second = 1000
burst = 1000
concurrency = 200
grants = swift
)");
    if (!parsed)
        throw std::runtime_error("test settings: syntax error at line " + parsed.error().field);
    return parsed.value();
}

} // namespace

std::string makeRequestId(const std::string &token)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::to_string(std::chrono::duration_cast<std::chrono::seconds>(now).count()) + "-" + token;
}

nlohmann::json bodyOf(const call_response &response)
{
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    return body.is_discarded() ? nlohmann::json{} : body;
}

deployment::deployment(std::size_t hosts, const ini_document &extraSettings)
{
    auto pattern = (std::filesystem::temp_directory_path() / "foxtaildyke-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr)
        throw std::runtime_error("cannot create a temporary directory");
    m_directory = pattern;
    platformPort = reservePort();
    platform = std::make_unique<child_process>(
        std::vector{binary("standin-platform"), std::string("--listen"), endpoint(platformPort)}, path("platform.log"));
    waitFor([this] { return send({.port = platformPort, .path = "/counts"}).status == 200; });

    auto &base = m_document.layers.base;
    base = baseSettings();
    for (const auto &[section, keys] : extraSettings)
        for (const auto &[key, value] : keys)
            base[section][key] = value;
    for (std::size_t i = 1; i <= hosts; ++i) {
        auto router = std::make_unique<router_process>();
        router->name = "h" + std::to_string(i);
        router->failureDomain = "d" + std::to_string(i);
        router->port = reservePort();
        router->peerPort = reservePort();
        router->adminPort = reservePort();
        router->platformLink = std::make_unique<tcp_link>(platformPort);
        base["host " + router->name] = {{"region", "r1"},
                                        {"failure_domain", router->failureDomain},
                                        {"address", "127.0.0.1"},
                                        {"peer_port", std::to_string(router->peerPort)}};
        routers.push_back(std::move(router));
    }
    for (const auto &from : routers)
        for (const auto &to : routers)
            if (from != to)
                from->peerLinks[to->name] = std::make_unique<tcp_link>(to->peerPort);
    publish({});
    for (std::size_t i = 0; i < hosts; ++i)
        startRouter(i);
}

deployment::~deployment()
{
    for (const auto &router : routers)
        router->process.reset();
    std::error_code ignored;
    if (std::getenv("FOXTAILDYKE_KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(m_directory, ignored);
}

upstream_process &deployment::addUpstream(const upstream_options &options)
{
    auto upstream = std::make_unique<upstream_process>();
    upstream->name = options.name;
    upstream->port = reservePort();
    std::vector<std::string> arguments{binary("standin-upstream"),
                                       "--listen",
                                       endpoint(upstream->port),
                                       "--name",
                                       options.name,
                                       "--service",
                                       options.service,
                                       "--versions",
                                       options.versions,
                                       "--platform",
                                       endpoint(platformPort)};
    arguments.insert(arguments.end(), options.arguments.begin(), options.arguments.end());
    upstream->process = std::make_unique<child_process>(arguments, path(options.name + ".log"));
    waitFor([&] {
        return send({.port = platformPort, .path = "/hosts"}).body.find('"' + options.name + '"') != std::string::npos;
    });
    upstreams.push_back(std::move(upstream));
    return *upstreams.back();
}

void deployment::writeRouterSettings(const router_process &router) const
{
    std::ofstream file(path(router.name + ".ini"));
    file << "[process]\nhost = " << router.name << "\nregion = r1\nfailure_domain = " << router.failureDomain
         << "\nlisten = " << endpoint(router.port) << "\npeer_listen = " << endpoint(router.peerPort)
         << "\nadmin_listen = " << endpoint(router.adminPort)
         << "\nplatform = " << endpoint(router.platformLink->port()) << "\nlog = " << path(router.name + ".events")
         << "\n";
    for (const auto &[name, link] : router.peerLinks)
        file << "[seed " << name << "]\npeer = " << endpoint(link->port()) << "\n";
}

void deployment::startRouter(std::size_t index)
{
    auto &router = *routers[index];
    writeRouterSettings(router);
    router.process = std::make_unique<child_process>(
        std::vector{binary("router"), std::string("--config"), path(router.name + ".ini")}, path(router.name + ".log"));
    waitFor([&] { return send({.port = router.port, .path = "/healthz"}).status != 0; });
}

bool deployment::waitUntilServing(std::size_t index)
{
    return waitFor([&] { return call(index, {}).status == 200; });
}

void deployment::cutPeers(std::size_t index)
{
    auto &router = *routers[index];
    for (auto &[name, link] : router.peerLinks)
        link->cut();
    for (const auto &other : routers)
        if (other->peerLinks.contains(router.name))
            other->peerLinks.at(router.name)->cut();
}

void deployment::healPeers(std::size_t index)
{
    auto &router = *routers[index];
    for (auto &[name, link] : router.peerLinks)
        link->heal();
    for (const auto &other : routers)
        if (other->peerLinks.contains(router.name))
            other->peerLinks.at(router.name)->heal();
}

generation_number deployment::publish(const std::vector<config_edit> &edits)
{
    const auto layers = applyEdits(m_document.layers, edits);
    if (!layers)
        throw std::runtime_error("invalid configuration edits: " + layers.error().field);
    if (const auto checked = checkLayers(layers.value()); checked.has_error())
        throw std::runtime_error("invalid test settings: " + checked.error().field);
    m_document.layers = layers.value();
    ++m_document.generation;
    m_document.history.push_back(
        {m_document.generation, "change-" + std::to_string(m_document.generation), "test", 0, edits});
    const std::string key = "/objects/config/current";
    http_call write{.method = "PUT", .port = platformPort, .path = key, .body = encodeConfig(m_document)};
    const auto current = send({.port = platformPort, .path = key});
    if (current.status == 200)
        write.headers["If-Match"] = current.headers.at("etag");
    else
        write.headers["If-None-Match"] = "*";
    const auto written = send(write);
    if (written.status != 200 && written.status != 201)
        throw std::runtime_error("the platform rejected the configuration");
    return m_document.generation;
}

http_call deployment::makeCall(std::size_t router, const caller_call &request) const
{
    http_call call{.method = "POST", .port = routers[router]->port, .path = "/v1/answers"};
    call.headers["Authorization"] = "Bearer " + request.apiKey;
    call.headers["Content-Type"] = "application/json";
    call.headers["Foxtaildyke-Deadline-Ms"] = std::to_string(request.deadlineMs);
    if (!request.requestId.empty())
        call.headers["Foxtaildyke-Request-Id"] = request.requestId;
    if (!request.sessionId.empty())
        call.headers["Foxtaildyke-Session"] = request.sessionId;
    if (!request.sessionToken.empty())
        call.headers["Foxtaildyke-Session-Token"] = request.sessionToken;
    call.body = nlohmann::json{{"kind", request.kind}, {"prompt", request.prompt}, {"stream", request.stream}}.dump();
    return call;
}

call_response deployment::call(std::size_t router, const caller_call &request) const
{
    return send(makeCall(router, request));
}

void deployment::setFaults(std::uint16_t port, const nlohmann::json &faults) const
{
    send({.method = "POST", .port = port, .path = "/faults", .body = faults.dump()});
}

nlohmann::json deployment::counts(std::uint16_t port) const
{
    return bodyOf(send({.port = port, .path = "/counts"}));
}

std::uint64_t deployment::runsOf(const std::string &requestId) const
{
    return std::accumulate(
        upstreams.begin(), upstreams.end(), std::uint64_t{0}, [&](std::uint64_t sum, const auto &upstream) {
            const auto counted = counts(upstream->port);
            return sum
                + (counted.contains("runs_by_request") ? counted["runs_by_request"].value(requestId, std::uint64_t{0})
                                                       : 0);
        });
}

std::uint64_t deployment::runsOfVersion(const std::string &version) const
{
    return std::accumulate(
        upstreams.begin(), upstreams.end(), std::uint64_t{0}, [&](std::uint64_t sum, const auto &upstream) {
            const auto counted = counts(upstream->port);
            return sum
                + (counted.contains("runs_by_version") ? counted["runs_by_version"].value(version, std::uint64_t{0})
                                                       : 0);
        });
}

std::size_t deployment::ledgerRecords(record_type type, const std::string &id) const
{
    const auto listed = bodyOf(send({.port = platformPort, .path = "/objects?prefix=ledger/&limit=10000"}));
    std::size_t records = 0;
    for (const auto &item : listed.value("items", nlohmann::json::array())) {
        const auto batch =
            decodeRecords(send({.port = platformPort, .path = "/objects/" + item.value("key", "")}).body);
        if (batch.has_error())
            throw std::runtime_error("cannot decode ledger object " + item.value("key", ""));
        records +=
            static_cast<std::size_t>(std::ranges::count_if(batch.value().records, [&](const ledger_record &record) {
                return record.type == type && record.id == id;
            }));
    }
    return records;
}

} // namespace foxtaildyke::testing
