// Options of TCP connections; see socket_options_p.h.
#include "socket_options_p.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace foxtaildyke
{

namespace
{

void setOption(int socket, int level, int name, int value)
{
    setsockopt(socket, level, name, &value, sizeof(value));
}

} // namespace

void setTcpOptions(int socket, std::chrono::milliseconds userTimeout)
{
    setOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(userTimeout.count()));
    setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(kProbeInterval.count()));
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, static_cast<int>(kProbeInterval.count()));
    setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, kMaxProbes);
}

} // namespace foxtaildyke
