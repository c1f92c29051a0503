// foxtaildyke-load: measures routers, in virtual time on their decision core or over HTTP. See docs/LOAD.md.
#include "load_http.h"
#include "load_simulation.h"

#include <cstdlib>
#include <fstream>
#include <getopt.h>
#include <iostream>
#include <nlohmann/json.hpp>

namespace
{

using namespace foxtaildyke;

constexpr int kSuccess = 0;
constexpr int kFailure = 1;
constexpr int kUsage = 2;
constexpr int kInvalidSettings = 3;

struct options {
    std::string config;
    std::string json;
    std::string svg;
    std::string arm;
    std::optional<std::uint64_t> seed;
    std::optional<std::uint32_t> repeats;
    bool isVirtual = false;
    bool checkOnly = false;
    bool perAccount = false;
};

void printHelp(std::ostream &out)
{
    out << "usage: foxtaildyke-load --config FILE [--virtual] [options]\n"
           "  --config FILE   settings of the experiment\n"
           "  --virtual       run in virtual time on the decision core; without it, send to the routers over HTTP\n"
           "  --arm NAME      run only this arm\n"
           "  --seed N        use this seed instead of that of the settings\n"
           "  --repeats N     number of runs with successive seeds (virtual time)\n"
           "  --accounts      print a row for each workload and client account\n"
           "  --json FILE     write the report as JSON\n"
           "  --svg FILE      write the report as an SVG plot\n"
           "  --check         check the settings and exit\n"
           "  --help, --version\n"
           "exit codes: 0 success, 1 failure at run time, 2 incorrect usage, 3 invalid settings\n";
}

/// @returns an exit code if the program should exit.
std::optional<int> parseOptions(int argc, char **argv, options &chosen)
{
    enum option_id { config, is_virtual, arm, seed, repeats, accounts, json, svg, check, help, version };
    static constexpr std::array kOptions{
        option{"config", required_argument, nullptr, config},   option{"virtual", no_argument, nullptr, is_virtual},
        option{"arm", required_argument, nullptr, arm},         option{"seed", required_argument, nullptr, seed},
        option{"repeats", required_argument, nullptr, repeats}, option{"accounts", no_argument, nullptr, accounts},
        option{"json", required_argument, nullptr, json},       option{"svg", required_argument, nullptr, svg},
        option{"check", no_argument, nullptr, check},           option{"help", no_argument, nullptr, help},
        option{"version", no_argument, nullptr, version},       option{nullptr, 0, nullptr, 0}};
    for (int found = 0; (found = getopt_long(argc, argv, "", kOptions.data(), nullptr)) != -1;) {
        switch (found) {
        case config:
            chosen.config = optarg;
            break;
        case is_virtual:
            chosen.isVirtual = true;
            break;
        case arm:
            chosen.arm = optarg;
            break;
        case seed:
            chosen.seed = std::strtoull(optarg, nullptr, 10);
            break;
        case repeats:
            chosen.repeats = static_cast<std::uint32_t>(std::strtoul(optarg, nullptr, 10));
            break;
        case accounts:
            chosen.perAccount = true;
            break;
        case json:
            chosen.json = optarg;
            break;
        case svg:
            chosen.svg = optarg;
            break;
        case check:
            chosen.checkOnly = true;
            break;
        case help:
            printHelp(std::cout);
            return kSuccess;
        case version:
            std::cout << "foxtaildyke-load " FOXTAILDYKE_VERSION "\n";
            return kSuccess;
        default:
            printHelp(std::cerr);
            return kUsage;
        }
    }
    if (!chosen.config.empty() && optind == argc)
        return std::nullopt;
    printHelp(std::cerr);
    return kUsage;
}

int fail(const error &failure, int code)
{
    std::cerr << "foxtaildyke-load: " << nameOf(failure.code) << ": " << failure.field << '\n';
    return code;
}

void merge(load::arm_report &sum, const load::arm_report &run)
{
    for (const auto &[key, row] : run.rows)
        sum.rows[key].add(row);
    sum.incidents.insert(sum.incidents.end(), run.incidents.begin(), run.incidents.end());
    sum.firstAttempts += run.firstAttempts;
    sum.retries += run.retries;
    sum.cacheHits += run.cacheHits;
    sum.cacheMisses += run.cacheMisses;
    sum.repeats += run.repeats;
    sum.hasQualityData = run.hasQualityData;
}

result<load::arm_report> runArm(const load::experiment &settings, const std::string &name, const options &chosen)
{
    load::arm_report sum;
    sum.arm = name;
    sum.seed = chosen.seed.value_or(settings.seed);
    const auto repeats = chosen.isVirtual ? std::max(1U, chosen.repeats.value_or(settings.repeats)) : 1;
    for (std::uint32_t i = 0; i < repeats; ++i) {
        if (chosen.isVirtual) {
            merge(sum, load::simulation(settings, sum.seed + i).run());
            continue;
        }
        const auto run = load::runHttp(settings, sum.seed);
        if (run.has_error())
            return run.error();
        merge(sum, run.value());
    }
    return sum;
}

bool writeFile(const std::string &path, const std::string &text)
{
    if (path.empty())
        return true;
    std::ofstream stream(path);
    stream << text;
    return static_cast<bool>(stream.flush());
}

int runAll(const load::settings_file &file, const options &chosen)
{
    std::vector<load::arm_report> reports;
    std::string title;
    std::string reference;
    for (const auto &arm : file.arms) {
        if (!chosen.arm.empty() && arm.name != chosen.arm)
            continue;
        const auto settings = load::buildExperiment(file, arm);
        if (settings.has_error())
            return fail(settings.error(), kInvalidSettings);
        title = settings.value().title;
        reference = settings.value().reference;
        if (chosen.checkOnly)
            continue;
        auto report = runArm(settings.value(), arm.name, chosen);
        if (report.has_error())
            return fail(report.error(), kFailure);
        reports.push_back(std::move(report.value()));
    }
    if (chosen.checkOnly)
        return kSuccess;
    std::cout << title << '\n';
    load::writeTable(std::cout, reports, reference, chosen.perAccount);
    const bool written = writeFile(chosen.json, load::toJson(reports).dump(2) + "\n")
        && writeFile(chosen.svg, load::toSvg(title, reports));
    return written ? kSuccess : kFailure;
}

} // namespace

int main(int argc, char **argv)
{
    options chosen;
    if (const auto code = parseOptions(argc, argv, chosen))
        return *code;
    const auto file = load::readSettings(chosen.config);
    if (file.has_error())
        return fail(file.error(), kInvalidSettings);
    return runAll(file.value(), chosen);
}
