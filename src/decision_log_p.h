// Structured log of the gateway's decisions: one JSON object a line through log4cxx, bounded in rate and never
// blocking.
#pragma once

#include "foxtaildyke/foxtaildyke.h"

#include <nlohmann/json_fwd.hpp>

namespace foxtaildyke
{

/// What a line is about.
enum class log_subject : std::uint8_t {
    request, ///< one of many requests
    process, ///< what the process believes or does; must not be lost among lines on requests
    count
};

class decision_log
{
public:
    /// @param path file to append to, or "-" for standard output.
    /// @param linesPerSecond lines beyond this are dropped; the next line that is written counts them. Lines on
    /// requests leave a part of it to the others.
    decision_log(std::string host, const std::string &path, std::uint32_t linesPerSecond);
    ~decision_log();
    decision_log(const decision_log &) = delete;
    decision_log &operator=(const decision_log &) = delete;

    /// Writes a line with the keys time_us (wall clock, unix microseconds), process, host, seq, event, then the fields.
    void write(std::string_view event, const nlohmann::ordered_json &fields,
               log_subject subject = log_subject::process);

    [[nodiscard]] std::uint64_t dropped() const { return m_droppedTotal; }

private:
    [[nodiscard]] bool takeToken(instant now, log_subject subject);

    /// Part of a second's lines that lines on requests leave.
    static constexpr double kProcessShare = 0.25;

    std::string m_host;
    std::string m_loggerName;
    double m_linesPerSecond;
    double m_tokens;
    instant m_refilledAt{};
    std::uint64_t m_next = 1;
    std::uint64_t m_dropped = 0; ///< since the last line written
    std::uint64_t m_droppedTotal = 0;
};

} // namespace foxtaildyke
