// Report of a fatal signal on standard error: where the process ended, and what it decided last. Platforms keep the
// output of a process but no core file, and a process that ends by a signal writes no log line of its own.
#pragma once

#include "foxtaildyke/foxtaildyke.h"

#include <string>
#include <string_view>

namespace foxtaildyke
{

/// Installs handlers that write a report and then let the signal end the process, for SIGSEGV, SIGBUS, SIGILL, SIGFPE
/// and SIGABRT. The report has the signal, the fault address, the program counter, and the return addresses found on
/// the stack as MODULE+OFFSET, which addr2line resolves with the module of the same build id.
void reportFatalSignals();

/// Keeps a decision for the report, which has the last ones; long texts are cut. To be called by one thread only.
/// @param subject id of the request that it concerns, or empty.
void keepForFatalReport(std::string_view event, std::string_view subject, instant now);

/// @returns the program's build id in hexadecimal, which identifies the file that a report belongs to; empty if the
/// linker has added none.
[[nodiscard]] std::string buildId();

} // namespace foxtaildyke
