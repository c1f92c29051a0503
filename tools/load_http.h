// HTTP mode of foxtaildyke-load: sends the planned requests of an experiment to real routers, open-loop.
#pragma once

#include "load_callers.h"
#include "load_report.h"

namespace foxtaildyke::load
{

/// Sends all requests at their scheduled times and waits for the responses.
/// @returns the report, or an error if the settings list no valid router.
[[nodiscard]] result<arm_report> runHttp(const experiment &settings, std::uint64_t seed);

} // namespace foxtaildyke::load
