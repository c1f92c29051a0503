// Output of lines that doesn't wait for the output's reader: while it is slow, lines wait in a bounded queue. No
// thread: what the output doesn't take at once is written by later calls. Standard output must have no other writers
// that fill it, as it stays in blocking mode: that is shared with other processes.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>

namespace foxtaildyke
{

class line_sink
{
public:
    /// @param path file to append to, or "-" for standard output. If it can't be opened, all lines are lost.
    explicit line_sink(const std::string &path);
    ~line_sink();
    line_sink(const line_sink &) = delete;
    line_sink &operator=(const line_sink &) = delete;

    [[nodiscard]] std::size_t queuedLines() const { return m_lines.size(); }

    /// Adds a line, which must end with a line feed, and writes what the output takes. There must be room for it.
    void write(std::string line);

    /// Writes what the output takes without blocking.
    void flush();

    /// Waits until all lines are written, or lost because the output is gone.
    /// @param limit longest wait; unset: without limit.
    /// @returns whether no line is left.
    [[nodiscard]] bool drain(std::optional<std::chrono::milliseconds> limit);

    /// @returns the number of lines that the output has not taken, because it failed, since the last call.
    [[nodiscard]] std::size_t takeLostLines() { return std::exchange(m_lostLines, 0); }

    /// Lines that wait for a slow reader, at most.
    static constexpr std::size_t kMaxQueuedLines = 512;

private:
    enum class output_state : std::uint8_t { ready, busy, failed, count };

    /// @returns whether the output takes some bytes now, or within the time. Negative: however long that takes.
    [[nodiscard]] bool isWritable(std::chrono::milliseconds wait) const;
    /// Writes a part of the first line; if that fails, all lines are lost.
    output_state writePart();
    void loseLines();

    int m_descriptor = -1; ///< negative: the file couldn't be opened
    bool m_ownsDescriptor = false;
    bool m_mayBlock = true; ///< the output isn't a regular file
    std::deque<std::string> m_lines;
    std::size_t m_written = 0; ///< bytes of the first line
    bool m_isLineCut = false; ///< the last line that was begun has no end
    std::size_t m_lostLines = 0; ///< since takeLostLines()
};

} // namespace foxtaildyke
