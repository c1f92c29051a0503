// Clock of the gateway: monotonic and including the time for which the host was suspended, so that leases and ages are
// correct after a resume.
#pragma once

#include "foxtaildyke/foxtaildyke.h"

#include <ctime>

namespace foxtaildyke
{

/// @returns the monotonic time of this host, including suspended time.
[[nodiscard]] inline instant suspendAwareNow()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::duration_cast<instant>(std::chrono::seconds{time.tv_sec}
                                               + std::chrono::nanoseconds{time.tv_nsec});
}

} // namespace foxtaildyke
