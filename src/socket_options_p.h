// Options of TCP connections: small writes are sent immediately, and unresponsive peers are detected.
#pragma once

#include <chrono>

namespace foxtaildyke
{

/// Maximum time for which bytes sent to a replica or the store may stay unacknowledged: about seven times TCP's minimum
/// retransmission timeout (200 ms), so that three consecutive losses don't end the connection.
inline constexpr std::chrono::milliseconds kTcpUserTimeout{1500};

/// The same for callers, which may read slowly.
inline constexpr std::chrono::milliseconds kCallerTcpUserTimeout{8000};

/// Idle time before the first keep-alive probe and between probes; the kernel counts whole seconds.
inline constexpr std::chrono::seconds kProbeInterval{1};

/// Unacknowledged probes after which the connection fails. An idle connection to a silent peer thus fails after 3 s.
inline constexpr int kMaxProbes = 2;

/// Sets all of these options on a connected or connecting socket.
void setTcpOptions(int socket, std::chrono::milliseconds userTimeout);

} // namespace foxtaildyke
