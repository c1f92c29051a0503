// Settings of one process (INI file of section 7.1 of docs/design.md) and the command line that all binaries share.
#pragma once

#include "http_client_p.h"

#include <csignal>
#include <map>
#include <variant>

namespace foxtaildyke
{

/// Exit status of every binary.
enum class exit_code : std::uint8_t {
    success = 0,
    failure = 1, ///< at run time
    usage = 2,
    invalid_settings = 3,
    conflict = 4, ///< with another change
    pending = 5, ///< written but not yet accepted everywhere
};

/// A host to ask for the configuration while the store is down.
struct seed_host {
    std::string name;
    http_endpoint peer;
};

struct process_settings {
    std::string host;
    std::string region;
    std::string failureDomain;
    http_endpoint listen; ///< callers' API; port 0 with an empty address: not set
    http_endpoint peerListen;
    http_endpoint adminListen;
    http_endpoint platform;
    std::string log = "-"; ///< path, or "-" for standard output
    std::vector<seed_host> seeds;
};

/// Sections of an INI file: section name to key to value.
using ini_sections = std::map<std::string, std::map<std::string, std::string>>;

/// Reads an INI file. @returns error_code::not_found, or invalid_syntax with the line number as field.
[[nodiscard]] result<ini_sections> readIniFile(const std::string &path);

/// Checks the sections `[process]` and `[seed NAME]`.
/// @returns the settings, or the first error with the field as "section/key".
[[nodiscard]] result<process_settings> checkProcessSettings(const ini_sections &sections);

/// An option of one binary, besides those that all binaries have.
struct option_spec {
    const char *name;
    const char *argument; ///< name of its value in the help text; null for a flag
    const char *help;
    const char *fallback = nullptr; ///< value where it is not given
};

struct program_spec {
    const char *name; ///< of the binary
    const char *purpose; ///< one line
    const char *synopsis; ///< after the options, for example "COMMAND [ARGUMENT]..."; may be empty
    std::vector<option_spec> options;
    const char *notes = ""; ///< end of the help text
};

struct command_line {
    std::string configPath;
    bool checkOnly = false;
    std::map<std::string, std::string> options; ///< by name; flags have the value "1"
    std::vector<std::string> arguments;

    [[nodiscard]] bool has(const std::string &name) const { return options.contains(name); }
    [[nodiscard]] std::string text(const std::string &name) const;

    /// @returns the number, or nothing where the value is not a number in the range.
    [[nodiscard]] std::optional<std::int64_t> number(const std::string &name, std::int64_t minimum,
                                                     std::int64_t maximum) const;
};

[[nodiscard]] std::string helpText(const program_spec &program);

/// Parses the command line. --help and --version are answered here.
/// @returns the command line, or the status to exit with.
[[nodiscard]] std::variant<command_line, exit_code> parseCommandLine(const program_spec &program, int argc,
                                                                     char **argv);

/// Fills options that the command line does not give from the section `[options]` of the file named by --config.
[[nodiscard]] result<void> addOptionsFromFile(const program_spec &program, command_line &line);

/// Prints an error as "program: code: field" to standard error.
void printError(const program_spec &program, const error &failure);

/// Runs a program that needs settings: parses the command line, loads and checks the settings, then runs.
/// @param load result<settings>(const command_line &); a missing settings file is error_code::missing_key with an
/// option.
/// @param run exit_code(const settings &).
/// @returns the exit status of the process.
template <typename load_function, typename run_function>
int runProgram(const program_spec &program, int argc, char **argv, load_function load, run_function run)
{
    const auto exitWith = [](exit_code code) {
        return static_cast<int>(code);
    };
    std::signal(SIGPIPE, SIG_IGN);
    const auto parsed = parseCommandLine(program, argc, argv);
    if (const auto *code = std::get_if<exit_code>(&parsed))
        return exitWith(*code);
    const auto &line = std::get<command_line>(parsed);
    const auto settings = load(line);
    if (settings.has_error()) {
        printError(program, settings.error());
        const bool hasNoFile = settings.error().field.starts_with("--");
        return exitWith(hasNoFile ? exit_code::usage : exit_code::invalid_settings);
    }
    if (line.checkOnly)
        return exitWith(exit_code::success);
    return exitWith(run(settings.value()));
}

} // namespace foxtaildyke
