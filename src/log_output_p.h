// Output of the logs of a process, and the wall-clock time of their lines.
#pragma once

#include <cstdint>
#include <log4cxx/appender.h>
#include <string>

namespace foxtaildyke
{

/// @param path file to append to, or "-" for standard output.
/// @returns an appender that writes one line per message.
[[nodiscard]] log4cxx::AppenderPtr makeLineAppender(const std::string &path);

/// @returns wall-clock time in unix microseconds.
[[nodiscard]] std::int64_t unixMicroseconds();

} // namespace foxtaildyke
