// Output of lines to a reader that is slow or gone.
#include "line_sink_p.h"

#include <array>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/stat.h>
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
    for (; !sink.isFull(); ++count) {
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
    CHECK_FALSE(sink.isFull());
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
