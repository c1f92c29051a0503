// Options of TCP connections: small parts leave at once, and peers that fell silent are found.
#pragma once

#include <chrono>

namespace foxtaildyke
{

/// Time for which bytes written to a replica or the store may stay unacknowledged: seven times the first retransmission
/// time of TCP (200 ms), so that three losses in a row don't end the connection.
inline constexpr std::chrono::milliseconds kTcpUserTimeout{1500};

/// The same for callers, who may be slow to read.
inline constexpr std::chrono::milliseconds kCallerTcpUserTimeout{8000};

/// Idle time before the first keep-alive probe, and between probes; the kernel counts whole seconds.
inline constexpr std::chrono::seconds kProbeInterval{1};

/// Probes without an answer until the connection fails.
inline constexpr int kMaxProbes = 2;

/// Sets all of these on a connected or connecting socket.
void setTcpOptions(int socket, std::chrono::milliseconds unacknowledgedLimit);

} // namespace foxtaildyke
