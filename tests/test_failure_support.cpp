// Tests the support for tests with real processes; see failure_support.h.
#include "failure_support.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace foxtaildyke;

namespace
{

/// @returns whether a new socket can listen on 127.0.0.1:`port`.
bool canListen(std::uint16_t port, bool reusesAddress)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int option = reusesAddress ? 1 : 0;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &option, sizeof option);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool isListening =
        ::bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0 && ::listen(socket, 1) == 0;
    ::close(socket);
    return isListening;
}

} // namespace

// Guards against two programs of a deployment that get the same port, so that one of them fails to start: without
// a reservation the kernel can assign a port again to the next socket that binds port 0.
TEST_CASE("ports: a reserved port is given to no other socket until a program listens on it")
{
    const auto port = testing::reservePort();
    CHECK_FALSE(canListen(port, false));
    CHECK(canListen(port, true));
    CHECK(canListen(port, true)); // a restarted program
}
