// Merges event logs of many processes into one time line: by wall clock, except where the order of one process's lines
// or a cause and its effect say otherwise. Pure; reads text, returns events.
#pragma once

#include "foxtaildyke/foxtaildyke.h"

#include <map>
#include <vector>

namespace foxtaildyke
{

/// One line of an event log; the fields are those that event_log writes.
struct timeline_event {
    std::int64_t timeUs = 0; ///< wall clock of its host, unix microseconds
    std::int64_t orderUs = 0; ///< timeUs, raised where causal order needs it
    std::string process;
    std::string host;
    std::uint64_t sequence = 0;
    std::string type;
    std::string requestId;
    std::string sessionId;
    std::string account;
    std::string version;
    std::string upstream;
    generation_number generation = 0;
    std::string reason;
    std::vector<std::pair<std::string, std::string>> details; ///< other fields of the line, values as JSON
};

/// What an event must match; empty fields match all.
struct timeline_filter {
    std::string requestId;
    std::string sessionId;
    std::string version;
    std::string host;
    generation_number generation = 0;
};

/// Logs of one deployment, as they are read.
struct timeline_input {
    std::vector<timeline_event> events; ///< of each process in the order of its lines
    std::size_t damagedLines = 0; ///< for example the last line of a killed process
};

/// Adds the lines of one log. What stands before the JSON object of a line, as a time of the one who collected it, is
/// left out.
void readLog(std::string_view text, timeline_input &input);

/// Orders events by time, then host and sequence number; events of one process keep their order, and an effect never
/// comes before its cause: an event of a generation after its publishing, an end of a request after its dispatch.
[[nodiscard]] std::vector<timeline_event> orderEvents(std::vector<timeline_event> events);

[[nodiscard]] bool matches(const timeline_event &event, const timeline_filter &filter);

/// Number of refused or failed requests by "outcome: reason".
[[nodiscard]] std::map<std::string, std::size_t> countRefusals(const std::vector<timeline_event> &events);

[[nodiscard]] std::string formatEventText(const timeline_event &event);
[[nodiscard]] std::string formatEventJson(const timeline_event &event);

} // namespace foxtaildyke
