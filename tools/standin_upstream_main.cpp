// foxtaildyke-standin-upstream: emulates a model engine or a plain service in tests and demos.
#include "process_settings_p.h"
#include "standin_upstream_p.h"

#include <csignal>
#include <iostream>
#include <sstream>

using namespace foxtaildyke;

namespace
{

const program_spec kProgram{
    "foxtaildyke-standin-upstream",
    "Stand-in for a model engine or a plain service.",
    "",
    {{"listen", "IP:PORT", "address to listen on; port 0 takes a free one", "127.0.0.1:0"},
     {"name", "NAME", "name on the host list", "upstream-1"},
     {"failure-domain", "NAME", "failure domain on the host list", "local"},
     {"service", "NAME", "service on the host list", "models"},
     {"model", "NAME", "model on the host list", ""},
     {"versions", "LIST", "names of the loaded versions, separated by commas", ""},
     {"slots", "N", "runs at once", "8"},
     {"queue", "N", "runs that wait before new ones are refused with 503", "32"},
     {"first-token-ms", "MS", "time to the first token", "20"},
     {"token-ms", "MS", "time between tokens", "2"},
     {"tokens", "N", "tokens of an answer", "8"},
     {"seed", "N", "seed of the scores", "1"},
     {"quality", "LIST", "VERSION=CHANCE pairs, separated by commas: chance to meet the target", ""},
     {"load-lag-ms", "MS", "age of a load report at most", "0"},
     {"fencing", "check|ignore", "whether orders with an old fencing token are refused", "check"},
     {"platform", "IP:PORT", "platform to register at", nullptr}},
    "A prompt that contains \"poison\" crashes the process. POST /faults takes a JSON object with any of late_ms,\n"
    "crossed, truncated, drop_runs, bad_versions (object of version to failure rate), overload, leave and crash.\n"
    "GET /counts gives the runs by request id and by version. The settings file has a section [options] with these\n"
    "options."};

int exitStatus(exit_code code)
{
    return static_cast<int>(code);
}

std::vector<std::string> splitList(const std::string &list)
{
    std::vector<std::string> parts;
    std::istringstream stream(list);
    for (std::string part; std::getline(stream, part, ',');)
        if (!part.empty())
            parts.push_back(part);
    return parts;
}

result<std::map<std::string, double>> readQuality(const std::string &list)
{
    std::map<std::string, double> quality;
    for (const auto &pair : splitList(list)) {
        const auto equals = pair.find('=');
        if (equals == std::string::npos)
            return error{error_code::invalid_syntax, "quality"};
        char *end = nullptr;
        const double chance = std::strtod(pair.c_str() + equals + 1, &end);
        if (*end != '\0' || !(chance >= 0 && chance <= 1))
            return error{error_code::value_out_of_range, "quality"};
        quality[pair.substr(0, equals)] = chance;
    }
    return quality;
}

/// Numeric command line option with its lower limit and setter.
struct number_option {
    const char *name;
    std::int64_t minimum;
    void (*set)(upstream_options &, std::int64_t);
};

constexpr std::array kNumberOptions{
    number_option{"slots", 1,
                  [](upstream_options &o, std::int64_t v) {
                      o.slots = static_cast<std::size_t>(v);
                  }},
    number_option{"queue", 0,
                  [](upstream_options &o, std::int64_t v) {
                      o.queueLimit = static_cast<std::size_t>(v);
                  }},
    number_option{"first-token-ms", 0,
                  [](upstream_options &o, std::int64_t v) {
                      o.firstTokenDelay = std::chrono::milliseconds(v);
                  }},
    number_option{"token-ms", 0,
                  [](upstream_options &o, std::int64_t v) {
                      o.tokenInterval = std::chrono::milliseconds(v);
                  }},
    number_option{"tokens", 1,
                  [](upstream_options &o, std::int64_t v) {
                      o.tokens = static_cast<std::uint32_t>(v);
                  }},
    number_option{"seed", 0,
                  [](upstream_options &o, std::int64_t v) {
                      o.seed = static_cast<std::uint64_t>(v);
                  }},
    number_option{"load-lag-ms", 0,
                  [](upstream_options &o, std::int64_t v) {
                      o.maxLoadAge = std::chrono::milliseconds(v);
                  }},
};

result<void> readNumbers(const command_line &line, upstream_options &options)
{
    constexpr std::int64_t kMaxNumber = 1'000'000'000;
    for (const auto &number : kNumberOptions) {
        const auto value = line.number(number.name, number.minimum, kMaxNumber);
        if (!value)
            return error{error_code::value_out_of_range, number.name};
        number.set(options, *value);
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<void> readEndpoints(const command_line &line, upstream_options &options)
{
    const auto listen = parseEndpoint(line.text("listen"));
    if (!listen)
        return error{error_code::value_out_of_range, "listen"};
    options.listen = *listen;
    if (!line.has("platform"))
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    options.platform = parseEndpoint(line.text("platform"));
    if (!options.platform)
        return error{error_code::value_out_of_range, "platform"};
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<upstream_options> readOptions(const command_line &line)
{
    upstream_options options;
    options.name = line.text("name");
    options.failureDomain = line.text("failure-domain");
    options.service = line.text("service");
    options.model = line.text("model");
    for (const auto &version : splitList(line.text("versions")))
        options.versions.insert(version);
    const auto fencing = line.text("fencing");
    if (fencing != "check" && fencing != "ignore")
        return error{error_code::value_out_of_range, "fencing"};
    options.checksFencing = fencing == "check";
    auto quality = readQuality(line.text("quality"));
    if (quality.has_error())
        return quality.error();
    options.quality = std::move(quality.value());
    auto read = readNumbers(line, options);
    if (!read.has_error())
        read = readEndpoints(line, options);
    if (read.has_error())
        return read.error();
    return options;
}

int runUpstream(const upstream_options &options)
{
    event_loop loop;
    standin_upstream upstream(loop, options);
    http_server server(loop, [&](const http_exchange_ptr &exchange) { upstream.serve(exchange); });
    const auto port = server.listen(options.listen);
    if (port.has_error()) {
        printError(kProgram, port.error());
        return exitStatus(exit_code::failure);
    }
    std::cout << "listening on " << options.listen.address << ':' << port.value() << std::endl;
    upstream.registerAt(port.value());
    loop.onSignal(SIGTERM, [&] { loop.stop(); });
    loop.onSignal(SIGINT, [&] { loop.stop(); });
    loop.run();
    return exitStatus(exit_code::success);
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    auto parsed = parseCommandLine(kProgram, argc, argv);
    if (const auto *code = std::get_if<exit_code>(&parsed))
        return exitStatus(*code);
    auto &line = std::get<command_line>(parsed);
    const auto fileOptions = addOptionsFromFile(kProgram, line);
    const auto options = fileOptions.has_error() ? result<upstream_options>(fileOptions.error()) : readOptions(line);
    if (options.has_error()) {
        printError(kProgram, options.error());
        return exitStatus(line.configPath.empty() ? exit_code::usage : exit_code::invalid_settings);
    }
    return line.checkOnly ? exitStatus(exit_code::success) : runUpstream(options.value());
}
