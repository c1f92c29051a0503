// Waits for ports that a process before has left in use. A host that is started again gets the same ports; connections
// that another process of the machine has opened from one of them, or the end of the process before, may delay that.
// A port that is free may be taken again before it is bound, so that binding reports a port in use separately.
#pragma once

#include "http_client_p.h"

#include <span>

namespace foxtaildyke
{

/// Tries until all addresses can be bound, or the wait is cancelled.
/// @param isCancelled called before each further try.
/// @param onWait called once for each address that is in use.
/// @returns whether they could be bound. Errors other than a port in use count as free, as binding will report them.
[[nodiscard]] bool waitForPorts(std::span<const http_endpoint> addresses, const std::function<bool()> &isCancelled,
                                const std::function<void(const http_endpoint &)> &onWait);

/// To be called after binding an address or listening on it has failed, while errno is still set by that.
/// @returns error_code::unavailable if the address is in use, otherwise error_code::io_failure, with "IP:port" as
/// field.
[[nodiscard]] error listenError(const http_endpoint &endpoint);

} // namespace foxtaildyke
