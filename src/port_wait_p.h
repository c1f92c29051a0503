// Waits for ports that a process before has left in use. A host that is started again gets the same ports; connections
// that another process of the machine has opened from one of them, or the end of the process before, may delay that.
#pragma once

#include "http_client_p.h"

#include <span>

namespace foxtaildyke
{

/// Tries until all addresses can be bound, or the wait is cancelled.
/// @param isCancelled called before each further try.
/// @param onWait called once for each address that is in use.
/// @returns whether they can be bound. Errors other than a port in use count as free, as binding will report them.
[[nodiscard]] bool waitForPorts(std::span<const http_endpoint> addresses, const std::function<bool()> &isCancelled,
                                const std::function<void(const http_endpoint &)> &onWait);

} // namespace foxtaildyke
