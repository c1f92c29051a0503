// Output of lines that never blocks its writer: lines wait in a bounded queue while the output's reader is slow. No
// thread: what the output doesn't take at once is written by later calls.
#pragma once

#include <chrono>
#include <deque>
#include <optional>
#include <string>

namespace foxtaildyke
{

class line_sink
{
public:
    /// @param path file to append to, or "-" for standard output.
    explicit line_sink(const std::string &path);
    ~line_sink();
    line_sink(const line_sink &) = delete;
    line_sink &operator=(const line_sink &) = delete;

    [[nodiscard]] bool isFull() const { return m_lines.size() >= kMaxQueuedLines; }

    /// Adds a line, which must end with a line feed, and writes what the output takes. Must not be called if isFull().
    void write(std::string line);

    /// Writes what the output takes without blocking.
    void flush();

    /// Waits until all lines are written, or none is left because the output is gone.
    /// @param limit longest wait; unset: without limit.
    /// @returns whether no line is left.
    [[nodiscard]] bool drain(std::optional<std::chrono::milliseconds> limit);

    /// Lines that wait for a slow reader, at most.
    static constexpr std::size_t kMaxQueuedLines = 512;

private:
    /// @returns whether the output takes some bytes now, or within the time. Negative: however long that takes.
    [[nodiscard]] bool isWritable(std::chrono::milliseconds wait) const;
    /// Writes a part of the first line. @returns whether bytes were written, or all lines dropped.
    [[nodiscard]] bool writePart();

    int m_descriptor = -1;
    bool m_ownsDescriptor = false;
    bool m_mayBlock = true; ///< the output isn't a regular file
    std::deque<std::string> m_lines;
    std::size_t m_written = 0; ///< bytes of the first line
};

} // namespace foxtaildyke
