// Where the logs of a process go, and the time that stands on their lines.
#pragma once

#include <cstdint>
#include <log4cxx/appender.h>
#include <string>

namespace foxtaildyke
{

/// @param path file to append to, or "-" for standard output.
/// @returns an appender that writes each message as a line of its own.
[[nodiscard]] log4cxx::AppenderPtr makeLineAppender(const std::string &path);

/// @returns wall-clock time in unix microseconds.
[[nodiscard]] std::int64_t unixMicroseconds();

} // namespace foxtaildyke
