// Time of the gateway's decisions: monotonic and counting the time for which a host was suspended, so that leases and
// ages are right after a host wakes up.
#pragma once

#include "foxtaildyke/foxtaildyke.h"

#include <ctime>

namespace foxtaildyke
{

/// @returns monotonic time of this host, suspended time included.
[[nodiscard]] inline instant suspendAwareNow()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::duration_cast<instant>(std::chrono::seconds{time.tv_sec}
                                               + std::chrono::nanoseconds{time.tv_nsec});
}

} // namespace foxtaildyke
