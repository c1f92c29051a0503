// foxtaildyke-ctl: command line client of the administration API, for operators.
#include "ctl_p.h"
#include "rollout_p.h"

#include <csignal>
#include <fstream>
#include <iostream>
#include <random>

using namespace foxtaildyke;

namespace
{

using nlohmann::json;

const program_spec kProgram{
    "foxtaildyke-ctl",
    "Checks and changes the configuration of a deployment.",
    "COMMAND [ARGUMENT]...",
    {{"server", "IP:PORT", "administration address of a control process"},
     {"key-file", "FILE", "file that holds the operator's key"},
     {"wait", nullptr, "wait until the change is accepted everywhere"},
     {"wait-ms", "MS", "maximum time of --wait, at most 30000", "15000"},
     {"generation", "N", "generation on which the files are based: later changes of the same keys conflict"},
     {"change-id", "ID", "retry the change that was sent with this id"},
     {"share", "PERMILLE", "share of new sessions for rollout start and step"},
     {"hosts", nullptr, "apply the [host NAME] sections of the files as well"},
     {"json", nullptr, "print JSON"},
     {"help-settings", nullptr, "print the reference of all settings and exit"}},
    "Commands:\n"
    "  check FILE...                           check base.ini and overlays FAILURE-DOMAIN.ini; needs no server\n"
    "  diff FILE...                            show what apply would change\n"
    "  apply FILE...                           make the configuration equal to the files\n"
    "  withdraw VERSION                        withdraw a version permanently\n"
    "  rollout start|step|halt|finish VERSION  change the state of a roll-out\n"
    "  status, pending, history                show the state of the deployment\n"
    "  acceptance GENERATION                   show whether a generation is accepted\n"
    "FILE may be a directory: all its .ini files."};

/// Thrown for an invalid command line.
struct usage_error {
    std::string text;
};

std::string makeChangeId()
{
    std::random_device device;
    return std::to_string(device()) + '-' + std::to_string(device());
}

std::string readKey(const std::string &path)
{
    std::ifstream file(path);
    std::string key;
    file >> key;
    return key;
}

template <typename number>
number readNumberOption(const command_line &line, const std::string &name, std::int64_t minimum, std::int64_t maximum)
{
    const auto value = line.number(name, minimum, maximum);
    if (!value)
        throw usage_error{"number missing or out of range: --" + name};
    return static_cast<number>(*value);
}

ctl_options readOptions(const command_line &line)
{
    constexpr std::int64_t kMaxWaitMs = 30000;
    constexpr std::int64_t kMaxSharePermille = 1000;
    ctl_options options;
    const auto server = parseEndpoint(line.text("server"));
    if (!server)
        throw usage_error{"missing or invalid --server"};
    options.server = *server;
    options.key = readKey(line.text("key-file"));
    if (options.key.empty())
        throw usage_error{"no key could be read from --key-file"};
    if (line.has("wait"))
        options.wait = std::chrono::milliseconds(readNumberOption<std::int64_t>(line, "wait-ms", 1, kMaxWaitMs));
    if (line.has("generation"))
        options.generation = readNumberOption<generation_number>(line, "generation", 0, INT64_MAX);
    if (line.has("share"))
        options.sharePermille = readNumberOption<std::uint32_t>(line, "share", 1, kMaxSharePermille);
    options.changeId = line.has("change-id") ? line.text("change-id") : makeChangeId();
    options.withHosts = line.has("hosts");
    options.asJson = line.has("json");
    return options;
}

exit_code postChange(const ctl_options &options, const std::string &path, json body)
{
    body["change_id"] = options.changeId;
    body["wait_ms"] = options.wait.count();
    if (options.generation)
        body["generation"] = *options.generation;
    return printResponse(options, callServer(options, http_method::post, path, body.dump()));
}

exit_code getResource(const ctl_options &options, const std::string &path)
{
    return printResponse(options, callServer(options, http_method::get, path, {}));
}

exit_code reportError(const error &failure)
{
    printError(kProgram, failure);
    return failure.code == error_code::not_found ? exit_code::failure : exit_code::invalid_settings;
}

std::vector<std::string> argumentsFrom(const command_line &line, std::size_t firstIndex, std::size_t minimum)
{
    if (line.arguments.size() < firstIndex + minimum)
        throw usage_error{"missing argument"};
    return {line.arguments.begin() + static_cast<std::ptrdiff_t>(firstIndex), line.arguments.end()};
}

std::string singleArgument(const command_line &line, std::size_t firstIndex)
{
    const auto rest = argumentsFrom(line, firstIndex, 1);
    if (rest.size() > 1)
        throw usage_error{"unexpected argument '" + rest[1] + "'"};
    return rest.front();
}

exit_code runCheck(const command_line &line)
{
    const auto files = readSettingsFiles(argumentsFrom(line, 1, 1));
    const auto checked = files.has_value() ? checkSettingsFiles(files.value()) : result<void>(files.error());
    if (checked.has_error())
        return reportError(checked.error());
    std::cout << (line.has("json") ? "{\"valid\":true}\n" : "valid\n");
    return exit_code::success;
}

exit_code postFiles(const command_line &line, const std::string &path)
{
    const auto options = readOptions(line);
    const auto files = readSettingsFiles(argumentsFrom(line, 1, 1));
    const auto checked = files.has_value() ? checkSettingsFiles(files.value()) : result<void>(files.error());
    if (checked.has_error())
        return reportError(checked.error());
    const auto &checkedFiles = files.value();
    return postChange(options, path,
                      {{"base", checkedFiles.base}, {"overlays", checkedFiles.overlays}, {"hosts", options.withHosts}});
}

exit_code runRollout(const command_line &line)
{
    const auto action = argumentsFrom(line, 1, 1).front();
    if (!valueOf<rollout_action>(action))
        throw usage_error{"unknown action '" + action + "'"};
    const auto options = readOptions(line);
    json body{{"action", action}, {"version", singleArgument(line, 2)}};
    if (options.sharePermille > 0)
        body["share_permille"] = options.sharePermille;
    return postChange(options, "/v1/rollout", std::move(body));
}

exit_code runAcceptance(const command_line &line)
{
    const auto options = readOptions(line);
    return getResource(options,
                       "/v1/acceptance?generation=" + singleArgument(line, 1)
                           + "&wait_ms=" + std::to_string(options.wait.count()));
}

struct command {
    std::string_view name;
    exit_code (*run)(const command_line &);
};

constexpr std::array kCommands{
    command{"check", runCheck},
    command{"diff",
            [](const command_line &line) {
                return postFiles(line, "/v1/diff");
            }},
    command{"apply",
            [](const command_line &line) {
                return postFiles(line, "/v1/apply");
            }},
    command{"withdraw",
            [](const command_line &line) {
                return postChange(readOptions(line), "/v1/withdraw", {{"version", singleArgument(line, 1)}});
            }},
    command{"rollout", runRollout},
    command{"status",
            [](const command_line &line) {
                return getResource(readOptions(line), "/v1/status");
            }},
    command{"pending",
            [](const command_line &line) {
                return getResource(readOptions(line), "/v1/pending");
            }},
    command{"history",
            [](const command_line &line) {
                return getResource(readOptions(line), "/v1/history");
            }},
    command{"acceptance", runAcceptance},
};

exit_code runCommand(const command_line &line)
try {
    if (line.has("help-settings")) {
        std::cout << settingsReference();
        return exit_code::success;
    }
    if (line.arguments.empty())
        throw usage_error{"missing command"};
    const auto *const found = std::ranges::find(kCommands, line.arguments.front(), &command::name);
    if (found == kCommands.end())
        throw usage_error{"unknown command '" + line.arguments.front() + "'"};
    return line.checkOnly ? exit_code::success : found->run(line);
} catch (const usage_error &failure) {
    std::cerr << kProgram.name << ": usage: " << failure.text << "\nTry '" << kProgram.name << " --help'.\n";
    return exit_code::usage;
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    auto parsed = parseCommandLine(kProgram, argc, argv);
    if (const auto *code = std::get_if<exit_code>(&parsed))
        return static_cast<int>(*code);
    auto &line = std::get<command_line>(parsed);
    const auto fileOptions = addOptionsFromFile(kProgram, line);
    if (fileOptions.has_error()) {
        printError(kProgram, fileOptions.error());
        return static_cast<int>(exit_code::invalid_settings);
    }
    return static_cast<int>(runCommand(line));
}
