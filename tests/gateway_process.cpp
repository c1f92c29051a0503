// The gateway program as a child process; see gateway_process.h.
#include "gateway_process.h"

#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/stat.h>

namespace foxtaildyke
{

namespace
{

using nlohmann::json;

constexpr const char *kLoopback = "127.0.0.1:";

json routeSpec(const std::string &prefix, const char *type, int attempts)
{
    return {{"name", prefix},
            {"hostname", "h.example"},
            {"path_prefix", prefix},
            {"route_type", type},
            {"timeout_ms", 3000},
            {"target_latency_ms", 1000},
            {"priority", 0},
            {"max_attempts", attempts},
            {"traffic_split", {{{"service", "s"}, {"weight", 1}}}},
            {"resumable", type == std::string_view("stream")}};
}

std::string makeDirectory()
{
    std::string pattern = std::filesystem::temp_directory_path() / "foxtaildyke-gateway-XXXXXX";
    REQUIRE(::mkdtemp(pattern.data()));
    return pattern;
}

} // namespace

gateway_process::~gateway_process()
{
    m_process.reset();
    if (m_unreadPipe >= 0)
        ::close(m_unreadPipe);
}

gateway_process::gateway_process(const std::string &moreSettings)
    : callerPort(testing::reservePort())
    , m_directory(makeDirectory())
    , m_moreSettings(moreSettings)
    , m_readinessPort(testing::reservePort())
    , m_metricsPort(testing::reservePort())
{
}

std::string gateway_process::writeSettings(const std::string &host, const host_ports &ports,
                                           const standin_store &hostStore, const std::string &moreSettings) const
{
    auto path = m_directory + "/" + host + ".ini";
    std::ofstream file(path);
    file << "[gateway]\n"
         << moreSettings << "host = " << host << "\nfailure_domain = d1\nlisten = " << kLoopback << ports.callers
         << "\nreadiness = " << kLoopback << ports.readiness << "\nmetrics = " << kLoopback << ports.metrics
         << "\nplatform = " << kLoopback << hostStore.endpoint.port
         << "\nretry_slack = 160\nconfig_watch_ms = 300\nreplica_watch_ms = 300\n";
    return path;
}

std::unique_ptr<testing::child_process> gateway_process::startProgram(const std::string &settingsPath) const
{
    return std::make_unique<testing::child_process>(
        std::vector<std::string>{FOXTAILDYKE_BINARY_DIR "/foxtaildyke-gateway", "--config", settingsPath},
        m_directory + "/log");
}

void gateway_process::start()
{
    m_process.reset();
    m_process =
        startProgram(writeSettings("host-1", {callerPort, m_readinessPort, m_metricsPort}, store, m_moreSettings));
}

void gateway_process::startWithoutSettings()
{
    REQUIRE(::mkfifo(settingsPath().c_str(), S_IRUSR | S_IWUSR) == 0);
    m_process = startProgram(settingsPath());
    // Opening fails as long as nobody reads the pipe.
    REQUIRE(runUntil([this] {
        m_settingsPipe = ::open(settingsPath().c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
        return m_settingsPipe >= 0;
    }));
}

void gateway_process::giveSettings()
{
    std::ignore = writeSettings("host-1", {callerPort, m_readinessPort, m_metricsPort}, store, m_moreSettings);
    giveEmptySettings();
}

void gateway_process::giveEmptySettings()
{
    if (m_settingsPipe >= 0)
        ::close(std::exchange(m_settingsPipe, -1));
}

void gateway_process::leaveSettingsEmpty()
{
    // In place of the pipe, which would block the next read.
    const auto emptyPath = settingsPath() + ".new";
    REQUIRE(std::ofstream(emptyPath).good());
    std::filesystem::rename(emptyPath, settingsPath());
    giveEmptySettings();
}

void gateway_process::leaveOutputUnread()
{
    constexpr int kPipeBytes = 4096;
    const auto path = m_directory + "/log";
    REQUIRE(::mkfifo(path.c_str(), S_IRUSR | S_IWUSR) == 0);
    m_unreadPipe = ::open(path.c_str(), O_RDWR | O_NONBLOCK | O_CLOEXEC);
    REQUIRE(m_unreadPipe >= 0);
    REQUIRE(::fcntl(m_unreadPipe, F_SETPIPE_SZ, kPipeBytes) >= 0);
}

void gateway_process::fillUnreadOutput() const
{
    while (::write(m_unreadPipe, "x", 1) == 1) { }
}

std::uint16_t gateway_process::addHost(const std::string &host)
{
    return addHost(host, store, m_moreSettings);
}

std::uint16_t gateway_process::addHost(const std::string &host, const standin_store &other,
                                       const std::string &moreSettings)
{
    const host_ports ports{testing::reservePort(), testing::reservePort(), testing::reservePort()};
    m_moreHosts.push_back(startProgram(writeSettings(host, ports, other, moreSettings)));
    m_lastReadinessPort = ports.readiness;
    REQUIRE(runUntil([&] { return readiness(ports.readiness) == 200; }));
    return ports.callers;
}

bool gateway_process::startReady()
{
    start();
    return runUntil([this] { return readiness() == 200; });
}

std::optional<int> gateway_process::waitExit()
{
    if (!runUntil([this] { return !m_process->isRunning(); }))
        return std::nullopt;
    return m_process->waitExit();
}

json gateway_process::makeConfigSpec(generation_number version, const std::vector<std::string> &keys)
{
    auto sized = routeSpec("/sized/", "stream", 3);
    sized["sizes"] = {"small", "medium", "large"};
    return {
        {"version", version},
        {"routes",
         {routeSpec("/safe/", "safe", 2), routeSpec("/once/", "unsafe", 2), routeSpec("/stream/", "stream", 3), sized}},
        {"services", {{{"name", "s"}, {"health_path", "/health"}}}},
        {"limits", {{"max_header_bytes", 4000}, {"max_body_bytes", 100'000}, {"header_timeout_ms", 600}}},
        {"tenants", {{{"name", "account-1"}, {"api_keys", keys}}}}};
}

void gateway_process::publish(generation_number version, const std::vector<std::string> &keys)
{
    store.put("config", "main", makeConfigSpec(version, keys));
}

void gateway_process::publishWithoutSafe(generation_number version)
{
    auto spec = makeConfigSpec(version, {"key-1"});
    spec["routes"].erase(0);
    store.put("config", "main", spec);
}

void gateway_process::registerReplica(const scripted_replica &replica, const std::string &version,
                                      const std::string &state, std::int64_t startedAtMs)
{
    const auto entry = replica.entry("s", version);
    store.put("servers", entry.id,
              {{"service", entry.service},
               {"address", entry.address.address + ':' + std::to_string(entry.address.port)},
               {"zone", entry.failureDomain},
               {"version", entry.version},
               {"batch_slots", entry.slots},
               {"state", state},
               {"born", startedAtMs}});
}

received_response gateway_process::sendRequest(const std::string &request, std::uint16_t port)
{
    scripted_caller caller(loop, port);
    caller.send(request);
    runUntil([&] {
        return caller.isClosed || caller.hasMalformed()
            || (!caller.responses.empty() && caller.responses[0].isComplete);
    });
    return caller.responses.empty() ? received_response{} : caller.responses[0];
}

http_response gateway_process::get(std::uint16_t port, const std::string &path)
{
    std::optional<http_response> response;
    http_request request;
    request.endpoint = {"127.0.0.1", port};
    request.target = request_target::fromEncoded(path);
    http_handlers handlers;
    handlers.onDone = [&response](const http_response &received) {
        response = received;
    };
    m_client.start(std::move(request), std::move(handlers));
    runUntil([&response] { return response.has_value(); });
    return response.value_or(http_response{});
}

int gateway_process::readiness(std::uint16_t port)
{
    return get(port, "/v1/readyz").status;
}

std::string gateway_process::metrics()
{
    return get(m_metricsPort, "/metrics").body;
}

bool gateway_process::hasLogged(std::string_view first, std::string_view second) const
{
    std::ifstream file(m_directory + "/log");
    for (std::string line; std::getline(file, line);)
        if (line.find(first) != std::string::npos && line.find(second) != std::string::npos)
            return true;
    return false;
}

bool gateway_process::waitForLog(std::string_view first, std::string_view second)
{
    return runUntil([&] { return hasLogged(first, second); });
}

} // namespace foxtaildyke
