// foxtaildyke-router: callers' API, upstream calls and decision core of one entry host.
#include "relay_ledger_p.h"
#include "relay_task_p.h"
#include "router_task_p.h"
#include "store_ports_p.h"

#include <csignal>
#include <random>

using namespace foxtaildyke;

namespace
{

const program_spec kProgram{
    "foxtaildyke-router",
    "Routes callers' requests to model upstreams.",
    "",
    {},
    "The settings file has a section [process] with host, region, failure_domain, listen, platform and optionally\n"
    "peer_listen, admin_listen and log, and sections [seed NAME] with peer=IP:port.\n"
    "SIGTERM stops the process after all open requests have finished."};

result<process_settings> loadSettings(const command_line &line)
{
    if (line.configPath.empty())
        return error{error_code::missing_key, "--config"};
    auto sections = readIniFile(line.configPath);
    if (sections.has_error())
        return sections.error();
    auto settings = checkProcessSettings(sections.value());
    if (settings.has_value() && settings.value().listen.address.empty())
        return error{error_code::missing_key, "process/listen"};
    return settings;
}

/// @returns a name for this run of the process; writers of ledger records are told apart by it.
std::string runName()
{
    std::random_device random;
    const auto number = (std::uint64_t{random()} << 32U) | random();
    return std::to_string(number);
}

router_ports makePorts(router_task &task)
{
    const auto recordEvent = [&task](std::string type, std::string reason, generation_number generation) {
        task.log().recordEvent(std::move(type), std::move(reason), generation);
    };
    if (!task.settings().peerListen.address.empty()) {
        const auto relay =
            std::make_shared<relay_task>(task.loop(), task.store(), task.settings(), task.sink(), recordEvent);
        return {std::make_unique<relay_config>(relay),
                std::make_unique<relay_ledger>(task.loop(), task.store(), relay, task.settings().host, runName(),
                                               task.sink()),
                std::make_unique<relay_sharing>(relay)};
    }
    return {std::make_unique<store_config>(task.loop(), task.store(), task.settings().failureDomain, task.sink(),
                                           recordEvent),
            std::make_unique<store_ledger>(task.store(), task.settings().host, task.sink()),
            std::make_unique<no_sharing>()};
}

exit_code runRouter(const process_settings &settings)
{
    router_task task(settings);
    task.setPorts(makePorts(task));
    const auto started = task.start();
    if (started.has_error()) {
        printError(kProgram, started.error());
        return exit_code::failure;
    }
    task.run();
    return exit_code::success;
}

} // namespace

int main(int argc, char **argv)
{
    return runProgram(kProgram, argc, argv, loadSettings, runRouter);
}
