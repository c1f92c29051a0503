// Output of lines to a reader that is slow or gone.
#include "line_sink_p.h"

#include <array>
#include <csignal>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <pthread.h>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>
#include <utility>

using namespace foxtaildyke;
using namespace std::chrono_literals;

namespace
{

/// A named pipe, of which the reading end is open.
struct slow_reader {
    slow_reader()
    {
        REQUIRE(mkdtemp(directory.data()));
        path = directory + "/pipe";
        REQUIRE(mkfifo(path.c_str(), S_IRUSR | S_IWUSR) == 0);
        descriptor = open(path.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC);
        REQUIRE(descriptor >= 0);
    }
    ~slow_reader()
    {
        leave();
        unlink(path.c_str());
        rmdir(directory.c_str());
    }
    std::string readAll() const
    {
        std::string text;
        std::array<char, 4096> part{};
        for (auto count = read(descriptor, part.data(), part.size()); count > 0;
             count = read(descriptor, part.data(), part.size()))
            text.append(part.data(), static_cast<std::size_t>(count));
        return text;
    }
    void leave()
    {
        if (descriptor >= 0)
            close(std::exchange(descriptor, -1));
    }

    std::string directory = "/tmp/foxtaildyke-sink-XXXXXX";
    std::string path;
    int descriptor = -1;
};

std::string lineOf(std::size_t number)
{
    return std::to_string(number) + std::string(1000, 'x') + '\n';
}

} // namespace

TEST_CASE("line sink: a reader that doesn't read blocks nobody, and gets each line that was taken, whole and in order")
{
    slow_reader reader;
    line_sink sink(reader.path);
    std::string expected;
    std::size_t count = 0;
    for (; sink.queuedLines() < line_sink::kMaxQueuedLines; ++count) {
        expected += lineOf(count);
        sink.write(lineOf(count));
    }
    CHECK(count > line_sink::kMaxQueuedLines);
    CHECK_FALSE(sink.drain(10ms));
    std::string received;
    while (received.size() < expected.size()) {
        const auto before = received.size();
        received += reader.readAll();
        sink.flush();
        REQUIRE(received.size() > before);
    }
    CHECK(received == expected);
    CHECK(sink.drain(10ms));
}

TEST_CASE("line sink: lines for a reader that has left are dropped")
{
    slow_reader reader;
    line_sink sink(reader.path);
    sink.write("before\n");
    reader.leave();
    sink.write("after\n");
    CHECK(sink.drain(std::nullopt));
    CHECK(sink.takeLostLines() == 1);
    CHECK(sink.takeLostLines() == 0);
}

TEST_CASE("line sink: without an output lines are lost, and waiting for them ends")
{
    line_sink sink("/nonexistent/folder/log");
    sink.write("line\n");
    CHECK(sink.drain(std::nullopt));
    CHECK(sink.takeLostLines() == 1);
}

TEST_CASE("line sink: a signal doesn't end the wait for a slow reader")
{
    slow_reader reader;
    line_sink sink(reader.path);
    while (sink.queuedLines() < line_sink::kMaxQueuedLines)
        sink.write(lineOf(0));
    struct sigaction ignoring {
    };
    ignoring.sa_handler = [](int) {
    };
    struct sigaction before {
    };
    REQUIRE(sigaction(SIGUSR1, &ignoring, &before) == 0);
    const auto writer = pthread_self();
    std::thread helper([&] {
        std::this_thread::sleep_for(50ms);
        pthread_kill(writer, SIGUSR1);
        std::this_thread::sleep_for(50ms);
        for (int part = 0; part < 2000; ++part) {
            std::ignore = reader.readAll();
            std::this_thread::sleep_for(1ms);
        }
    });
    CHECK(sink.drain(60s));
    helper.join();
    sigaction(SIGUSR1, &before, nullptr);
}

TEST_CASE("line sink: appends to a file")
{
    std::string path = "/tmp/foxtaildyke-sink-XXXXXX";
    const int file = mkstemp(path.data());
    REQUIRE(file >= 0);
    for (const auto *line : {"first\n", "second\n"}) {
        line_sink sink(path);
        sink.write(line);
    }
    std::array<char, 64> text{};
    const auto size = read(file, text.data(), text.size());
    CHECK(std::string(text.data(), static_cast<std::size_t>(size)) == "first\nsecond\n");
    close(file);
    unlink(path.c_str());
}
