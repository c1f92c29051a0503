// foxtaildyke-standin-platform: emulates the platform in tests and demos.
#include "process_settings_p.h"
#include "settings_p.h"
#include "standin_platform_p.h"

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace foxtaildyke;

namespace
{

const program_spec kProgram{
    "foxtaildyke-standin-platform",
    "Stand-in for the platform: object API, host list, rating service, weight store.",
    "",
    {{"listen", "IP:PORT", "address to listen on; port 0 takes a free one", "127.0.0.1:0"},
     {"base", "FILE", "INI text that becomes generation 1 of config/current", nullptr},
     {"hosts", "FILE", "JSON list of hosts to begin with", nullptr},
     {"weights-per-second", "N", "rate limit of the weight store", "5"},
     {"weights-burst", "N", "burst of the weight store", "5"}},
    "POST /faults takes a JSON object with any of outage, slow_ms, lose_answers, host_list_lag_ms, host_list_down and\n"
    "rating_down. GET /counts gives the calls by type. The settings file has a section [options] with these options."};

int exitStatus(exit_code code)
{
    return static_cast<int>(code);
}

std::optional<std::string> readFile(const std::string &path)
{
    const std::ifstream file(path);
    if (!file)
        return std::nullopt;
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

result<void> loadBase(standin_platform &platform, const std::string &path)
{
    const auto text = readFile(path);
    if (!text)
        return error{error_code::not_found, path};
    auto parsed = parseIni(*text);
    if (parsed.has_error())
        return parsed.error();
    config_document document;
    document.generation = 1;
    document.layers.base = std::move(parsed.value());
    const auto checked = checkLayers(document.layers);
    if (checked.has_error())
        return checked.error();
    platform.objects().write("config/current", encodeConfig(document), 0);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<void> loadHosts(standin_platform &platform, const std::string &path)
{
    const auto text = readFile(path);
    if (!text)
        return error{error_code::not_found, path};
    if (!platform.addHosts(*text))
        return error{error_code::invalid_syntax, path};
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<platform_options> readOptions(const command_line &line)
{
    constexpr std::int64_t kMaxWeightRate = 1'000'000;
    const auto rate = line.number("weights-per-second", 0, kMaxWeightRate);
    const auto burst = line.number("weights-burst", 1, kMaxWeightRate);
    if (!rate || !burst)
        return error{error_code::value_out_of_range, rate ? "weights-burst" : "weights-per-second"};
    return platform_options{*rate, *burst};
}

result<void> load(standin_platform &platform, const command_line &line)
{
    if (line.has("base")) {
        auto loaded = loadBase(platform, line.text("base"));
        if (loaded.has_error())
            return loaded;
    }
    if (line.has("hosts"))
        return loadHosts(platform, line.text("hosts"));
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<exit_code> run(command_line &line)
{
    auto fileOptions = addOptionsFromFile(kProgram, line);
    if (fileOptions.has_error())
        return fileOptions.error();
    auto options = readOptions(line);
    if (options.has_error())
        return options.error();
    const auto endpoint = parseEndpoint(line.text("listen"));
    if (!endpoint)
        return error{error_code::value_out_of_range, "listen"};
    event_loop loop;
    standin_platform platform(loop, options.value());
    auto loaded = load(platform, line);
    if (loaded.has_error())
        return loaded.error();
    if (line.checkOnly)
        return exit_code::success;
    http_server server(loop, [&](const http_exchange_ptr &exchange) { platform.serve(exchange); });
    const auto port = server.listen(*endpoint);
    if (port.has_error()) {
        printError(kProgram, port.error());
        return exit_code::failure;
    }
    std::cout << "listening on " << endpoint->address << ':' << port.value() << std::endl;
    loop.onSignal(SIGTERM, [&] { loop.stop(); });
    loop.onSignal(SIGINT, [&] { loop.stop(); });
    loop.run();
    return exit_code::success;
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    auto parsed = parseCommandLine(kProgram, argc, argv);
    if (const auto *code = std::get_if<exit_code>(&parsed))
        return exitStatus(*code);
    auto &line = std::get<command_line>(parsed);
    const auto status = run(line);
    if (status.has_value())
        return exitStatus(status.value());
    printError(kProgram, status.error());
    return exitStatus(line.configPath.empty() ? exit_code::usage : exit_code::invalid_settings);
}
