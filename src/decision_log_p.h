// Structured log of the gateway's decisions: one JSON object per line, written through log4cxx. Rate-limited and
// non-blocking.
#pragma once

#include "foxtaildyke/foxtaildyke.h"
#include "line_sink_p.h"

#include <nlohmann/json_fwd.hpp>

namespace foxtaildyke
{

/// Subject of a log line; part of the rate limit is reserved for process lines.
enum class log_subject : std::uint8_t {
    request, ///< a single request
    process, ///< state or action of the process; must not be dropped because of many request lines
    count
};

class decision_log
{
public:
    /// @param path file to append to, or "-" for standard output.
    /// @param linesPerSecond rate limit. Lines beyond it, and those that a slow or failing output doesn't take, are
    /// dropped; the next written line reports their number.
    /// Request lines may use only part of it; the rest is reserved for process lines.
    decision_log(std::string host, const std::string &path, std::uint32_t linesPerSecond);
    ~decision_log();
    decision_log(const decision_log &) = delete;
    decision_log &operator=(const decision_log &) = delete;

    /// Writes a line with the keys time_us (wall clock, unix microseconds), process, host, seq, event, then the fields.
    void write(std::string_view event, const nlohmann::ordered_json &fields,
               log_subject subject = log_subject::process);

    /// Writes lines that wait for a slow reader, as far as it takes them. To be called from time to time.
    void flush() { m_sink.flush(); }

    /// Writes out the lines that wait and ends the log, for which the destructor has no time limit.
    /// @returns false if the reader hasn't taken them within the limit; they are lost.
    [[nodiscard]] bool close(std::chrono::milliseconds limit = kCloseLimit);

    /// @returns the number of lines that have been dropped since the start.
    [[nodiscard]] std::uint64_t droppedLines() const { return m_droppedTotal; }

private:
    [[nodiscard]] bool tryConsumeToken(instant now, log_subject subject);
    /// @returns whether the sink has room for a line; part of its queue is reserved for process lines.
    [[nodiscard]] bool hasRoom(log_subject subject);
    void countDropped(std::size_t lines);
    [[nodiscard]] bool end(std::optional<std::chrono::milliseconds> limit);

    /// Share of the rate limit, and of the lines that wait for a slow reader, that is reserved for process lines.
    static constexpr double kProcessShare = 0.25;
    /// Time for the last lines at the end of the process: much less than a platform waits before it kills.
    static constexpr std::chrono::milliseconds kCloseLimit{500};

    std::string m_host;
    std::string m_loggerName;
    double m_linesPerSecond;
    double m_tokens;
    instant m_refilledAt{};
    line_sink m_sink;
    bool m_isClosed = false;
    std::uint64_t m_nextSequence = 1;
    std::uint64_t m_dropped = 0; ///< lines dropped since the last written line
    std::uint64_t m_droppedTotal = 0;
};

} // namespace foxtaildyke
