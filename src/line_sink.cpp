// Output of lines that never blocks; see line_sink_p.h.
#include "line_sink_p.h"

#include <algorithm>
#include <cerrno>
#include <climits>
#include <fcntl.h>
#include <poll.h>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

namespace foxtaildyke
{

namespace
{

constexpr std::chrono::milliseconds kUnlimited{-1};

/// @returns whether writing to a descriptor may have to wait for a reader.
bool mayBlock(int descriptor)
{
    struct stat status {
    };
    return ::fstat(descriptor, &status) != 0 || !S_ISREG(status.st_mode);
}

} // namespace

line_sink::line_sink(const std::string &path)
    : m_descriptor(STDOUT_FILENO)
{
    if (path != "-") {
        constexpr mode_t kMode = S_IRUSR | S_IWUSR | S_IRGRP | S_IROTH;
        m_descriptor = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC | O_NONBLOCK, kMode);
        m_ownsDescriptor = true;
    }
    m_mayBlock = mayBlock(m_descriptor);
}

line_sink::~line_sink()
{
    if (m_ownsDescriptor && m_descriptor >= 0)
        ::close(m_descriptor);
}

void line_sink::write(std::string line)
{
    m_lines.push_back(std::move(line));
    flush();
}

void line_sink::flush()
{
    constexpr std::chrono::milliseconds kNow{0};
    while (!m_lines.empty() && isWritable(kNow) && writePart() == output_state::ready) { }
}

bool line_sink::drain(std::optional<std::chrono::milliseconds> limit)
{
    using std::chrono::steady_clock;
    constexpr std::chrono::milliseconds kBusyWait{1};
    const auto end = steady_clock::now() + limit.value_or(std::chrono::milliseconds{0});
    while (!m_lines.empty()) {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(end - steady_clock::now());
        if (limit && left <= std::chrono::milliseconds{0})
            break;
        if (isWritable(limit ? left : kUnlimited) && writePart() == output_state::busy)
            std::this_thread::sleep_for(kBusyWait);
    }
    return m_lines.empty();
}

bool line_sink::isWritable(std::chrono::milliseconds wait) const
{
    if (!m_mayBlock || m_descriptor < 0)
        return true; // writing fails at once without a descriptor
    pollfd output{m_descriptor, POLLOUT, 0};
    return ::poll(&output, 1, static_cast<int>(wait.count())) > 0;
}

line_sink::output_state line_sink::writePart()
{
    if (std::exchange(m_isLineCut, false))
        m_lines.front().insert(m_lines.front().begin(), '\n');
    const auto &line = m_lines.front();
    // A pipe that is writable takes this much without blocking.
    const auto size = std::min<std::size_t>(line.size() - m_written, PIPE_BUF);
    const auto count = ::write(m_descriptor, line.data() + m_written, size);
    if (count < 0 && errno == EINTR)
        return output_state::ready;
    if (count < 0 && errno == EAGAIN)
        return output_state::busy;
    if (count < 0) {
        loseLines();
        return output_state::failed;
    }
    m_written += static_cast<std::size_t>(count);
    if (m_written == line.size()) {
        m_lines.pop_front();
        m_written = 0;
    }
    return output_state::ready;
}

void line_sink::loseLines()
{
    m_isLineCut = m_written > 0;
    m_written = 0;
    m_lostLines += m_lines.size();
    m_lines.clear();
}

} // namespace foxtaildyke
