// Decision log of the gateway under load: the rate limit holds, dropped lines are counted, and a flood of request lines
// does not crowd out process lines, which are needed to explain them.
#include "decision_log_p.h"

#include <cstdio>
#include <doctest/doctest.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <unistd.h>

using namespace foxtaildyke;

namespace
{

/// @returns the parsed lines that a log wrote to its file.
std::vector<nlohmann::json> writtenLines(const std::function<void(decision_log &)> &write, std::uint32_t linesPerSecond)
{
    std::string path = "/tmp/foxtaildyke-decisions-XXXXXX";
    const int descriptor = mkstemp(path.data());
    REQUIRE(descriptor >= 0);
    close(descriptor);
    {
        decision_log log("host-1", path, linesPerSecond);
        write(log);
    }
    std::ifstream file(path);
    std::vector<nlohmann::json> lines;
    for (std::string line; std::getline(file, line);)
        lines.push_back(nlohmann::json::parse(line));
    std::remove(path.c_str());
    return lines;
}

} // namespace

TEST_CASE("decision log: request lines leave part of the rate limit to process lines, and dropped lines are counted")
{
    constexpr std::uint32_t kLimit = 40;
    constexpr int kRequests = 500;
    const auto lines = writtenLines(
        [](decision_log &log) {
            for (int i = 0; i < kRequests; ++i)
                log.write("request_end", {{"request_id", std::to_string(i)}}, log_subject::request);
            log.write("rollout_state", {{"state", "rolled_back"}});
        },
        kLimit);
    REQUIRE_FALSE(lines.empty());
    CHECK(lines.size() <= kLimit + 1);
    CHECK(lines.back()["event"] == "rollout_state");
    CHECK(lines.back()["dropped_before"].get<std::size_t>() + lines.size() == kRequests + 1);
}
