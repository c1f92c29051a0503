// foxtaildyke-control: administration API, publishing of configuration, roll-outs and orders to engines.
#include "control_p.h"
#include "status_client_p.h"

#include <csignal>

using namespace foxtaildyke;

namespace
{

const program_spec kProgram{
    "foxtaildyke-control",
    "Serves the administration API and acts for the deployment while it holds the controller lease.",
    "",
    {},
    "The settings file has a section [process] with host, region, failure_domain, platform, admin_listen, peer_listen\n"
    "(of the router of this host) and optionally log, and sections [operator NAME] with key= and role=viewer|editor.\n"
    "SIGTERM and SIGINT stop the process."};

int exitWith(exit_code code)
{
    return static_cast<int>(code);
}

int runControl(const control_settings &settings)
{
    event_loop loop;
    status_client router(loop, settings.process.peerListen);
    control_process process(settings, loop, router);
    const auto started = process.start();
    if (started.has_error()) {
        printError(kProgram, started.error());
        return exitWith(exit_code::failure);
    }
    loop.run();
    return exitWith(exit_code::success);
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const auto parsed = parseCommandLine(kProgram, argc, argv);
    if (const auto *code = std::get_if<exit_code>(&parsed))
        return exitWith(*code);
    const auto &line = std::get<command_line>(parsed);
    const auto settings = line.configPath.empty() ? result<control_settings>(error{error_code::missing_key, "--config"})
                                                  : loadControlSettings(line.configPath);
    if (settings.has_error()) {
        printError(kProgram, settings.error());
        return exitWith(line.configPath.empty() ? exit_code::usage : exit_code::invalid_settings);
    }
    if (line.checkOnly)
        return exitWith(exit_code::success);
    return runControl(settings.value());
}
