// foxtaildyke-control: serves the administration API, publishes configuration, runs roll-outs and sends orders to
// engines.
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

result<control_settings> loadSettings(const command_line &line)
{
    if (line.configPath.empty())
        return error{error_code::missing_key, "--config"};
    return loadControlSettings(line.configPath);
}

exit_code runControl(const control_settings &settings)
{
    event_loop loop;
    status_client router(loop, settings.process.peerListen);
    control_process process(settings, loop, router);
    const auto started = process.start();
    if (started.has_error()) {
        printError(kProgram, started.error());
        return exit_code::failure;
    }
    loop.run();
    return exit_code::success;
}

} // namespace

int main(int argc, char **argv)
{
    return runProgram(kProgram, argc, argv, loadSettings, runControl);
}
