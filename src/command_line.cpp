// Command line parsing shared by all binaries; see process_settings_p.h.
#include "process_settings_p.h"

#include <charconv>
#include <getopt.h>
#include <iostream>
#include <unistd.h>

namespace foxtaildyke
{

namespace
{

constexpr std::array kCommonOptions{
    option_spec{"config", "FILE", "read settings from FILE"},
    option_spec{"check", nullptr, "check the settings and exit"},
    option_spec{"help", nullptr, "print this text and exit"},
    option_spec{"version", nullptr, "print the version and exit"},
};

constexpr const char *kExitCodes =
    "Exit status: 0 success, 1 failure at run time, 2 incorrect usage, 3 invalid settings,\n"
    "4 conflict with another change, 5 written but not yet accepted everywhere.\n";

std::string optionLine(const option_spec &option)
{
    constexpr std::size_t kHelpColumn = 30;
    std::string line = std::string("  --") + option.name;
    if (option.argument)
        line += std::string(" ") + option.argument;
    line.resize(std::max(line.size() + 1, kHelpColumn), ' ');
    line += option.help;
    if (option.fallback && *option.fallback)
        line += std::string(" (default ") + option.fallback + ')';
    return line + '\n';
}

std::vector<option_spec> allOptions(const program_spec &program)
{
    auto options = program.options;
    options.insert(options.end(), kCommonOptions.begin(), kCommonOptions.end());
    return options;
}

std::vector<option> toLongOptions(const std::vector<option_spec> &specs)
{
    std::vector<option> options;
    options.reserve(specs.size() + 1);
    for (const auto &spec : specs)
        options.push_back({spec.name, spec.argument ? required_argument : no_argument, nullptr, 0});
    options.push_back({});
    return options;
}

result<void> addFileOptions(const program_spec &program, const ini_sections &sections, command_line &line)
{
    for (const auto &[section, keys] : sections)
        for (const auto &[name, value] : keys) {
            const bool isKnown = std::ranges::find(program.options, name, &option_spec::name) != program.options.end();
            if (section == "options" && isKnown)
                line.options.emplace(name, value);
            else
                return error{error_code::unknown_key, std::string(section).append("/").append(name)};
        }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

exit_code usageError(const program_spec &program)
{
    std::cerr << "Try '" << program.name << " --help'.\n";
    return exit_code::usage;
}

} // namespace

std::string helpText(const program_spec &program)
{
    std::string text = std::string("Usage: ") + program.name + " [OPTION]...";
    if (*program.synopsis)
        text += std::string(" ") + program.synopsis;
    text += std::string("\n") + program.purpose + "\n\n";
    for (const auto &option : allOptions(program))
        text += optionLine(option);
    text += '\n';
    if (*program.notes)
        text += std::string(program.notes) + "\n\n";
    return text + kExitCodes;
}

std::variant<command_line, exit_code> parseCommandLine(const program_spec &program, int argc, char **argv)
{
    const auto specs = allOptions(program);
    const auto options = toLongOptions(specs);
    command_line line;
    optind = 0; // glibc: resets getopt_long(), so that a process can parse more than one command line
    int index = 0;
    for (int status = 0; (status = getopt_long(argc, argv, "", options.data(), &index)) != -1;) {
        if (status != 0)
            return usageError(program);
        line.options[specs[static_cast<std::size_t>(index)].name] = optarg ? optarg : "1";
    }
    line.arguments.assign(argv + optind, argv + argc);
    if (line.has("help")) {
        std::cout << helpText(program);
        return exit_code::success;
    }
    if (line.has("version")) {
        std::cout << program.name << ' ' << FOXTAILDYKE_VERSION << '\n';
        return exit_code::success;
    }
    if (!line.arguments.empty() && !*program.synopsis) {
        std::cerr << program.name << ": unexpected argument '" << line.arguments.front() << "'\n";
        return usageError(program);
    }
    line.configPath = line.text("config");
    line.checkOnly = line.has("check");
    return line;
}

result<void> addOptionsFromFile(const program_spec &program, command_line &line)
{
    if (!line.configPath.empty()) {
        auto sections = readIniFile(line.configPath);
        if (sections.has_error())
            return sections.error();
        auto added = addFileOptions(program, sections.value(), line);
        if (added.has_error())
            return added;
    }
    for (const auto &option : program.options)
        if (option.fallback)
            line.options.emplace(option.name, option.fallback);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

std::string command_line::text(const std::string &name) const
{
    const auto found = options.find(name);
    return found == options.end() ? std::string() : found->second;
}

std::optional<std::int64_t> command_line::number(const std::string &name, std::int64_t minimum,
                                                 std::int64_t maximum) const
{
    const auto value = text(name);
    std::int64_t parsed = 0;
    const auto read = std::from_chars(value.data(), value.data() + value.size(), parsed);
    if (read.ec != std::errc{} || read.ptr != value.data() + value.size() || parsed < minimum || parsed > maximum)
        return std::nullopt;
    return parsed;
}

void printError(const program_spec &program, const error &failure)
{
    std::cerr << program.name << ": " << nameOf(failure.code) << ": " << failure.field << '\n';
}

} // namespace foxtaildyke
