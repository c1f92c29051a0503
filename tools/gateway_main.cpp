// foxtaildyke-gateway: request router of one host on the users' platform.
#include "fatal_signal_p.h"
#include "gateway_task_p.h"
#include "port_wait_p.h"
#include "store_feed.h"
#include "wire_names.h"

#include <csignal>
#include <iostream>
#include <set>
#include <thread>

using namespace foxtaildyke;

namespace
{

/// Settings that are being replaced are invalid for a moment; they are read again for this time.
constexpr std::chrono::seconds kSettingsWait{2};
constexpr std::chrono::milliseconds kSettingsRetryInterval{20};
/// Time until a start is tried again whose port was taken after it had been found free.
constexpr std::chrono::milliseconds kStartRetryInterval{100};

/// A stop was requested by a signal before the event loop handles it, or after.
volatile std::sig_atomic_t s_isStopRequested = 0;

void requestStop(int /*signal*/)
{
    s_isStopRequested = 1;
}

/// Environment variable with the path of the settings file; used if --config is absent.
constexpr const char *kSettingsVariable = "FOXTAILDYKE_SETTINGS";

const program_spec &program()
{
    static const std::string s_notes = "Settings, section [gateway]:\n" + gatewaySettingsReference();
    static const program_spec s_program{"foxtaildyke-gateway",
                                        "Routes callers' requests to the replicas that the platform's store lists.",
                                        "",
                                        {},
                                        s_notes.c_str()};
    return s_program;
}

result<gateway_settings> readSettings(const std::string &path)
{
    const auto sections = readIniFile(path);
    if (sections.has_error())
        return sections.error();
    return checkGatewaySettings(sections.value());
}

/// @returns the settings; std::nullopt: a stop was requested before they were valid.
result<std::optional<gateway_settings>> loadSettings(const command_line &line)
{
    const char *fromEnvironment =
        std::getenv(kSettingsVariable); // NOLINT(concurrency-mt-unsafe): no other thread runs yet
    const std::string path = !line.configPath.empty() || !fromEnvironment ? line.configPath : fromEnvironment;
    if (path.empty())
        return error{error_code::missing_key, "--config"};
    const auto end = std::chrono::steady_clock::now() + kSettingsWait;
    auto settings = readSettings(path);
    while (settings.has_error() && !line.checkOnly && !s_isStopRequested && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(kSettingsRetryInterval);
        settings = readSettings(path);
    }
    if (settings.has_value())
        return std::optional(std::move(settings.value()));
    if (s_isStopRequested && !line.checkOnly)
        return std::optional<gateway_settings>();
    return settings.error();
}

bool isStopped()
{
    return s_isStopRequested != 0;
}

/// Serves until a stop.
/// @returns the error that ended the start, see gateway_task::start(); nothing listens then.
result<void> serve(const gateway_settings &settings)
{
    event_loop loop;
    platform::store_feed feed(loop, settings.platform,
                              {settings.configWatch, settings.replicaWatch, changeLimitOf(settings)},
                              {settings.host, settings.relays, settings.relay});
    const auto listening = feed.listen();
    if (listening.has_error())
        return listening.error();
    gateway_task task(loop, settings, platform::makeHeaderNames(), platform::kReadinessPath);
    const auto started = task.start(feed);
    if (started.has_error())
        return started.error();
    // Not before: a loop that doesn't run would lose a signal.
    loop.onSignal(SIGTERM, [&task] { task.stop(); });
    loop.onSignal(SIGINT, [&task] { task.stop(); });
    loop.onSignal(SIGHUP, [&task] { task.logReload(); });
    if (isStopped())
        task.stop();
    loop.run();
    task.closeLog();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

exit_code run(const std::optional<gateway_settings> &loaded)
{
    if (!loaded)
        return exit_code::success;
    const auto &settings = *loaded;
    const std::array addresses{settings.listen, settings.readiness, settings.metrics, settings.relay, settings.detour};
    std::set<std::string> reported;
    const auto reportWait = [&reported](const std::string &address) {
        if (reported.insert(address).second)
            std::cerr << program().name << ": waiting for " << address << ", which is in use\n";
    };
    const auto onWait = [&reportWait](const http_endpoint &address) {
        reportWait(address.address + ':' + std::to_string(address.port));
    };
    while (waitForPorts(addresses, isStopped, onWait) && !isStopped()) {
        const auto served = serve(settings);
        if (served.has_value())
            return exit_code::success;
        if (served.error().code != error_code::unavailable) {
            printError(program(), served.error());
            return exit_code::failure;
        }
        reportWait(served.error().field);
        std::this_thread::sleep_for(kStartRetryInterval);
    }
    return exit_code::success;
}

} // namespace

int main(int argc, char **argv)
{
    reportFatalSignals();
    // Until the event loop handles them, and again once it is gone, these would end the process by a signal.
    std::signal(SIGTERM, requestStop);
    std::signal(SIGINT, requestStop);
    // So would SIGHUP; the settings are read below anyway.
    std::signal(SIGHUP, SIG_IGN);
    return runProgram(program(), argc, argv, loadSettings, run);
}
