// foxtaildyke-gateway: request router of one host on the users' platform.
#include "gateway_task_p.h"
#include "port_wait_p.h"
#include "store_feed.h"
#include "wire_names.h"

#include <csignal>
#include <iostream>

using namespace foxtaildyke;

namespace
{

/// Time for ports that are still in use at the start; without them, the process ends with an error.
constexpr std::chrono::seconds kPortWait{5};

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

result<gateway_settings> loadSettings(const command_line &line)
{
    const char *fromEnvironment =
        std::getenv(kSettingsVariable); // NOLINT(concurrency-mt-unsafe): no other thread runs yet
    const std::string path = !line.configPath.empty() || !fromEnvironment ? line.configPath : fromEnvironment;
    if (path.empty())
        return error{error_code::missing_key, "--config"};
    const auto sections = readIniFile(path);
    if (sections.has_error())
        return sections.error();
    return checkGatewaySettings(sections.value());
}

exit_code run(const gateway_settings &settings)
{
    const std::array addresses{settings.listen, settings.readiness, settings.metrics, settings.relay, settings.detour};
    std::ignore = waitForPorts(addresses, kPortWait, [](const http_endpoint &address) {
        std::cerr << program().name << ": waiting for " << address.address << ':' << address.port
                  << ", which is in use\n";
    });
    event_loop loop;
    platform::store_feed feed(loop, settings.platform,
                              {settings.configWatch, settings.replicaWatch, changeLimitOf(settings)},
                              {settings.host, settings.relays, settings.relay});
    const auto listening = feed.listen();
    if (listening.has_error()) {
        printError(program(), listening.error());
        return exit_code::failure;
    }
    gateway_task task(loop, settings, platform::makeHeaderNames(), platform::kReadinessPath);
    loop.onSignal(SIGTERM, [&task] { task.stop(); });
    loop.onSignal(SIGINT, [&task] { task.stop(); });
    loop.onSignal(SIGHUP, [&task] { task.logReload(); });
    const auto started = task.start(feed);
    if (started.has_error()) {
        printError(program(), started.error());
        return exit_code::failure;
    }
    loop.run();
    if (!task.closeLog())
        std::_Exit(static_cast<int>(exit_code::success));
    return exit_code::success;
}

} // namespace

int main(int argc, char **argv)
{
    // Until there is a handler, SIGHUP would end the process; the settings are read below anyway.
    std::signal(SIGHUP, SIG_IGN);
    return runProgram(program(), argc, argv, loadSettings, run);
}
