// foxtaildyke-timeline: merges the event logs of all processes into one timeline.
#include "process_settings_p.h"
#include "timeline_p.h"

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

using namespace foxtaildyke;

namespace
{

const program_spec kProgram{
    "foxtaildyke-timeline",
    "Merges event logs into one timeline, and counts refusals by reason and calls to the store by cause.",
    "FILE...",
    {{"request", "ID", "only events of this request"},
     {"session", "ID", "only events of this session"},
     {"model-version", "NAME", "only events of this version; also --version=NAME"},
     {"generation", "N", "only events of this generation"},
     {"host", "NAME", "only events of this host"},
     {"json", nullptr, "print JSON lines"}},
    "FILE is an event log, or - for standard input. Where the clock of a host contradicts the causal order of events,\n"
    "the corrected time is shown first and clock= shows the time of the log."};

constexpr std::string_view kVersionFilter = "--version=";

int exitStatus(exit_code code)
{
    return static_cast<int>(code);
}

/// Replaces --version=NAME by --model-version=NAME: --version without a value prints the version, as in all programs.
std::vector<std::string> renameVersionFilter(int argc, char **argv)
{
    std::vector<std::string> arguments(argv, argv + argc);
    for (auto &argument : arguments) {
        if (argument.starts_with(kVersionFilter))
            argument = "--model-version=" + argument.substr(kVersionFilter.size());
    }
    return arguments;
}

std::string readStream(std::istream &input)
{
    std::ostringstream text;
    text << input.rdbuf();
    return text.str();
}

result<timeline_input> readLogs(const std::vector<std::string> &paths)
{
    timeline_input input;
    for (const auto &path : paths) {
        if (path == "-") {
            readLog(readStream(std::cin), input);
            continue;
        }
        std::ifstream file(path);
        if (!file)
            return error{error_code::not_found, path};
        readLog(readStream(file), input);
    }
    return input;
}

void printEvents(const std::vector<timeline_event> &events, bool asJson)
{
    for (const auto &event : events)
        std::cout << (asJson ? formatEventJson(event) : formatEventText(event)) << '\n';
}

void printSummary(const std::vector<timeline_event> &events, std::size_t damagedLines, bool asJson)
{
    const auto refusals = countRefusals(events);
    const auto storeCalls = countStoreCalls(events);
    if (asJson) {
        const nlohmann::json summary{{"events", events.size()},
                                     {"damaged_lines", damagedLines},
                                     {"refusals", refusals},
                                     {"store_calls", storeCalls}};
        std::cout << nlohmann::json{{"summary", summary}}.dump() << '\n';
        return;
    }
    std::cout << "\n" << events.size() << " events, " << damagedLines << " damaged lines\n";
    for (const auto &[reason, count] : refusals)
        std::cout << "refused " << count << " " << reason << '\n';
    for (const auto &[cause, count] : storeCalls)
        std::cout << "store calls " << count << " " << cause << '\n';
}

int run(const command_line &line, const timeline_filter &filter)
{
    auto input = readLogs(line.arguments);
    if (input.has_error()) {
        printError(kProgram, input.error());
        return exitStatus(exit_code::failure);
    }
    auto events = orderEvents(std::move(input.value().events));
    std::erase_if(events, [&](const timeline_event &event) { return !matches(event, filter); });
    printEvents(events, line.has("json"));
    printSummary(events, input.value().damagedLines, line.has("json"));
    return exitStatus(exit_code::success);
}

} // namespace

int main(int argc, char **argv)
{
    auto arguments = renameVersionFilter(argc, argv);
    std::vector<char *> pointers;
    pointers.reserve(arguments.size() + 1);
    for (auto &argument : arguments)
        pointers.push_back(argument.data());
    pointers.push_back(nullptr);
    const auto parsed = parseCommandLine(kProgram, argc, pointers.data());
    if (const auto *code = std::get_if<exit_code>(&parsed))
        return exitStatus(*code);
    const auto &line = std::get<command_line>(parsed);
    const auto generation = line.has("generation") ? line.number("generation", 1, INT64_MAX) : std::int64_t{0};
    const bool isCheckOnly = line.checkOnly && line.arguments.empty();
    if (!generation || (line.arguments.empty() && !isCheckOnly)) {
        std::cerr << helpText(kProgram);
        return exitStatus(exit_code::usage);
    }
    if (line.checkOnly)
        return exitStatus(exit_code::success);
    return run(line,
               {.requestId = line.text("request"),
                .sessionId = line.text("session"),
                .version = line.text("model-version"),
                .host = line.text("host"),
                .generation = static_cast<generation_number>(*generation)});
}
