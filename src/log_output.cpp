// Log output; see log_output_p.h.
#include "log_output_p.h"

#include <chrono>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/patternlayout.h>

namespace foxtaildyke
{

log4cxx::AppenderPtr makeLineAppender(const std::string &path)
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>("%m%n");
    if (path == "-")
        return std::make_shared<log4cxx::ConsoleAppender>(layout);
    return std::make_shared<log4cxx::FileAppender>(layout, path, true);
}

std::int64_t unixMicroseconds()
{
    const auto time = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(time).count();
}

} // namespace foxtaildyke
