// Waits for ports that are in use; see port_wait_p.h.
#include "port_wait_p.h"

#include <arpa/inet.h>
#include <cerrno>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace foxtaildyke
{

namespace
{

constexpr std::chrono::milliseconds kRetryInterval{100};

bool isInUse(const http_endpoint &endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    if (inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr) != 1)
        return false;
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (socket < 0)
        return false;
    const int isReusable = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &isReusable, sizeof(isReusable));
    const bool isTaken =
        ::bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 && errno == EADDRINUSE;
    ::close(socket);
    return isTaken;
}

} // namespace

bool waitForPorts(std::span<const http_endpoint> addresses, const std::function<bool()> &isCancelled,
                  const std::function<void(const http_endpoint &)> &onWait)
{
    return std::ranges::all_of(addresses, [&](const http_endpoint &address) {
        if (address.port == 0 || !isInUse(address))
            return true;
        onWait(address);
        while (!isCancelled()) {
            std::this_thread::sleep_for(kRetryInterval);
            if (!isInUse(address))
                return true;
        }
        return false;
    });
}

error listenError(const http_endpoint &endpoint)
{
    const auto code = errno == EADDRINUSE ? error_code::unavailable : error_code::io_failure;
    return {code, endpoint.address + ':' + std::to_string(endpoint.port)};
}

} // namespace foxtaildyke
