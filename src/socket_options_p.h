// Options of TCP connections: small writes are sent immediately, and unresponsive peers are detected.
#pragma once

#include <chrono>

namespace foxtaildyke
{

/// Maximum time for which bytes sent to a replica or the store may stay unacknowledged. A sound replica may fall silent
/// for a second or so, and bytes sent at the beginning of that are retransmitted 0.2, 0.6, 1.4 and 3.0 s later. The
/// kernel also ends an idle connection by it instead of by kMaxProbes, at the first probe after that time.
inline constexpr std::chrono::milliseconds kTcpUserTimeout{3500};

/// The same for callers, which may read slowly.
inline constexpr std::chrono::milliseconds kCallerTcpUserTimeout{8000};

/// Idle time before the first keep-alive probe and between probes; the kernel counts whole seconds.
inline constexpr std::chrono::seconds kProbeInterval{1};

/// Unacknowledged probes after which the connection fails on kernels that don't apply the user timeout to idle
/// connections.
inline constexpr int kMaxProbes = 2;

/// Sets all of these options on a connected or connecting socket.
void setTcpOptions(int socket, std::chrono::milliseconds userTimeout);

} // namespace foxtaildyke
