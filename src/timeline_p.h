// Merges the event logs of several processes into one timeline. Events are ordered by wall clock unless the line order
// of a process or a causal dependency requires otherwise. Pure functions on text and events, without I/O.
#pragma once

#include "foxtaildyke/foxtaildyke.h"

#include <map>
#include <vector>

namespace foxtaildyke
{

/// One line of an event log, with the fields written by event_log.
struct timeline_event {
    std::int64_t timeUs = 0; ///< wall clock of the host, unix microseconds
    std::int64_t orderUs = 0; ///< timeUs, increased where causal order requires it
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
    std::vector<std::pair<std::string, std::string>> details; ///< remaining fields of the line, values as JSON
};

/// Criteria for events; empty fields match every event.
struct timeline_filter {
    std::string requestId;
    std::string sessionId;
    std::string version;
    std::string host;
    generation_number generation = 0;
};

/// Parsed logs of one deployment.
struct timeline_input {
    std::vector<timeline_event> events; ///< events of each process in the order of its lines
    std::size_t damagedLines = 0; ///< lines that could not be parsed, e.g. the truncated last line of a killed process
};

/// Parses the lines of one log and adds them to the input. Text before the JSON object of a line, such as a timestamp
/// added by a log collector, is ignored.
void readLog(std::string_view text, timeline_input &input);

/// Orders events by time, then host and sequence number. Events of one process keep their order, and effects follow
/// their causes: an event of a generation follows its publication, the end of a request follows its dispatch.
[[nodiscard]] std::vector<timeline_event> orderEvents(std::vector<timeline_event> events);

[[nodiscard]] bool matches(const timeline_event &event, const timeline_filter &filter);

/// @returns the number of refused or failed requests by "outcome: reason".
[[nodiscard]] std::map<std::string, std::size_t> countRefusals(const std::vector<timeline_event> &events);

/// @returns the number of calls to the platform's store that the hosts have logged, by kind and cause.
[[nodiscard]] std::map<std::string, std::uint64_t> countStoreCalls(const std::vector<timeline_event> &events);

[[nodiscard]] std::string formatEventText(const timeline_event &event);
[[nodiscard]] std::string formatEventJson(const timeline_event &event);

} // namespace foxtaildyke
