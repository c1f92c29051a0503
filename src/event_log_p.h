// Event log of a process: one JSON object a line, through log4cxx.
#pragma once

#include "router_core_p.h"

#include <mutex>

namespace foxtaildyke
{

/// Writes events. Safe from any thread; the sequence numbers follow the order of the lines.
/// @remarks Keys of a line: time_us (wall clock, unix microseconds), process, host, seq, event, and where they are not
/// empty request_id, session_id, account, version, upstream, generation, reason.
class event_log
{
public:
    /// @param path file to append to, or "-" for standard output.
    event_log(std::string process, std::string host, const std::string &path);

    void write(const record_event &event);

    /// Writes an event that concerns no request.
    void recordEvent(std::string type, std::string reason = {}, generation_number generation = 0);

private:
    std::string m_process;
    std::string m_host;
    std::string m_loggerName;
    std::mutex m_order; ///< guards m_next and the order of the lines
    std::uint64_t m_next = 1;
};

/// @returns one line of the log, without the line end.
[[nodiscard]] std::string formatEvent(const record_event &event, std::string_view process, std::string_view host,
                                      std::uint64_t sequence, std::int64_t unixMicroseconds);

} // namespace foxtaildyke
