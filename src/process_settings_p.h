// Settings of one process (the INI file in section 7.1 of docs/design.md) and the command line shared by all binaries.
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
    failure = 1, ///< failure at run time
    usage = 2,
    invalid_settings = 3,
    conflict = 4, ///< conflict with another change
    pending = 5, ///< written but not yet accepted everywhere
};

/// A host from which to request the configuration while the store is unavailable.
struct seed_host {
    std::string name;
    http_endpoint peer;
};

struct process_settings {
    std::string host;
    std::string region;
    std::string failureDomain;
    http_endpoint listen; ///< API for callers; not set where the address is empty and the port 0
    http_endpoint peerListen;
    http_endpoint adminListen;
    http_endpoint platform;
    std::string log = "-"; ///< path, or "-" for standard output
    std::vector<seed_host> seeds;
};

/// Sections of an INI file: maps a section name to its keys and values.
using ini_sections = std::map<std::string, std::map<std::string, std::string>>;

/// Reads an INI file.
/// @returns the sections, or error_code::not_found with the path as field, or error_code::invalid_syntax with
/// "path:line" as field.
[[nodiscard]] result<ini_sections> readIniFile(const std::string &path);

/// Checks the sections `[process]` and `[seed NAME]`.
/// @returns the settings, or the first error with the field as "section/key".
[[nodiscard]] result<process_settings> checkProcessSettings(const ini_sections &sections);

/// A command line option.
struct option_spec {
    const char *name;
    const char *argument; ///< placeholder of the value in the help text; null for a flag
    const char *help;
    const char *fallback = nullptr; ///< default value; null where there is none
};

struct program_spec {
    const char *name; ///< name of the binary
    const char *purpose; ///< description in one line
    const char *synopsis; ///< operands, for example "COMMAND [ARGUMENT]..."; empty where none are accepted
    std::vector<option_spec> options; ///< besides the common ones: --config, --check, --help and --version
    const char *notes = ""; ///< text after the list of options in the help text
};

struct command_line {
    std::string configPath;
    bool checkOnly = false;
    std::map<std::string, std::string> options; ///< by name; flags have the value "1"
    std::vector<std::string> arguments;

    [[nodiscard]] bool has(const std::string &name) const { return options.contains(name); }

    /// @returns the value of an option, or an empty string if it is not set.
    [[nodiscard]] std::string text(const std::string &name) const;

    /// @returns the number, or std::nullopt where the value is not an integer in the range.
    [[nodiscard]] std::optional<std::int64_t> number(const std::string &name, std::int64_t minimum,
                                                     std::int64_t maximum) const;
};

[[nodiscard]] std::string helpText(const program_spec &program);

/// Parses the command line. Handles --help and --version by printing their text.
/// @returns the command line, or the exit status where the program has nothing more to do.
[[nodiscard]] std::variant<command_line, exit_code> parseCommandLine(const program_spec &program, int argc,
                                                                     char **argv);

/// Adds options that are missing on the command line from the section `[options]` of the file given with --config, then
/// from their defaults.
[[nodiscard]] result<void> addOptionsFromFile(const program_spec &program, command_line &line);

/// Prints an error as "program: code: field" to standard error.
void printError(const program_spec &program, const error &failure);

/// Runs a program that needs settings: parses the command line, loads and checks the settings, then calls @p run.
/// @param load result<settings>(const command_line &); reports a missing settings file as error_code::missing_key with
/// the option as field ("--config"), which leads to exit_code::usage.
/// @param run exit_code(const settings &); not called with --check.
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
