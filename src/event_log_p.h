// Event log of a process: one JSON object per line, written through log4cxx.
#pragma once

#include "router_core_p.h"

#include <mutex>

namespace foxtaildyke
{

/// Writes events. Thread-safe; sequence numbers increase in the order of the lines.
/// @remarks Keys of a line: time_us (wall clock, unix microseconds), process, host, seq, event, and if not empty
/// request_id, session_id, account, version, upstream, generation, reason.
class event_log
{
public:
    /// @param path file to append to, or "-" for standard output.
    event_log(std::string process, std::string host, const std::string &path);

    void write(const record_event &event);

    /// Writes an event that does not belong to a request.
    void recordEvent(std::string type, std::string reason = {}, generation_number generation = 0);

private:
    std::string m_process;
    std::string m_host;
    std::string m_loggerName;
    std::mutex m_mutex; ///< guards m_nextSequence and keeps the lines in its order
    std::uint64_t m_nextSequence = 1;
};

/// @returns the log line for an event, without the trailing newline.
[[nodiscard]] std::string formatEvent(const record_event &event, std::string_view process, std::string_view host,
                                      std::uint64_t sequence, std::int64_t unixMicroseconds);

} // namespace foxtaildyke
