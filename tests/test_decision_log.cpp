// Decision log of the gateway under load: the rate limit holds, dropped lines are counted, and a flood of request lines
// does not crowd out process lines, which are needed to explain them.
#include "decision_log_p.h"

#include <atomic>
#include <cstdio>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sys/stat.h>
#include <thread>
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

// Guards against a thread that still writes while the static objects of the logger are destroyed.
TEST_CASE("decision log: its destructor waits for a slow reader of the lines")
{
    using namespace std::chrono_literals;
    constexpr int kPipeBytes = 4096;
    constexpr int kLines = 200; // more than the pipe holds
    std::string directory = "/tmp/foxtaildyke-decisions-XXXXXX";
    REQUIRE(mkdtemp(directory.data()));
    const auto path = directory + "/log";
    REQUIRE(mkfifo(path.c_str(), S_IRUSR | S_IWUSR) == 0);
    const int pipe = open(path.c_str(), O_RDWR | O_NONBLOCK | O_CLOEXEC);
    REQUIRE(fcntl(pipe, F_SETPIPE_SZ, kPipeBytes) >= 0);
    std::atomic<bool> isReading = false;
    std::atomic<bool> isDone = false;
    std::optional<std::thread> reader;
    {
        decision_log log("host-1", path, 10 * kLines);
        for (int line = 0; line < kLines; ++line)
            log.write("request_end", {{"request_id", std::to_string(line)}});
        reader.emplace([&] {
            std::this_thread::sleep_for(1s);
            isReading = true;
            std::array<char, kPipeBytes> part{};
            while (!isDone)
                if (read(pipe, part.data(), part.size()) <= 0)
                    std::this_thread::sleep_for(1ms);
        });
    }
    CHECK(isReading);
    isDone = true;
    reader->join();
    close(pipe);
    std::remove(path.c_str());
    std::remove(directory.c_str());
}
