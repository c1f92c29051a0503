// A TCP proxy whose path can be cut; see severable_link.h.
#include "severable_link.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <event2/listener.h>
#include <sys/socket.h>
#include <unistd.h>

namespace foxtaildyke
{

namespace
{

constexpr const char *kLoopback = "127.0.0.1";

sockaddr_in loopbackAddress(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, kLoopback, &address.sin_addr);
    return address;
}

std::uint16_t boundPort(int socket)
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

} // namespace

/// A connection of the host and the one to the target that belongs to it.
struct severable_link::pair {
    pair(severable_link &link, int socket)
        : host(link.m_loop, socket, handlersFor([this] { return &*target; }))
        , target(std::in_place, link.m_loop, link.m_target, handlersFor([this] { return &host; }))
    {
        const linger reset{1, 0};
        setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    }

    stream_socket::handlers handlersFor(const std::function<stream_socket *()> &peer)
    {
        const auto forward = [this, peer] {
            auto &from = peer() == &host ? *target : host;
            if (isHeld)
                return;
            peer()->write(from.received());
            from.consume(from.received().size());
        };
        return {.onConnected = {}, .onReadable = forward, .onDrained = {}, .onEnd = [this, peer](socket_end) {
                    isEnded = true;
                    if (!isHeld)
                        peer()->shutdownWrite();
                }};
    }

    bool isHeld = false; ///< bytes stay where they are
    bool isEnded = false; ///< one side has closed
    stream_socket host;
    std::optional<stream_socket> target;
};

severable_link::severable_link(event_loop &loop, http_endpoint target)
    : m_loop(loop)
    , m_target(std::move(target))
    , m_address{kLoopback, 0}
{
    listen(-1);
}

severable_link::~severable_link()
{
    stopListening();
}

void severable_link::listen(int backlog)
{
    auto address = loopbackAddress(m_address.port);
    const auto onAccept = [](evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *self) {
        static_cast<severable_link *>(self)->accept(socket);
    };
    m_listener = evconnlistener_new_bind(m_loop.base(), onAccept, this,
                                         LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, backlog,
                                         reinterpret_cast<sockaddr *>(&address), sizeof(address));
    REQUIRE(m_listener);
    m_address.port = boundPort(evconnlistener_get_fd(m_listener));
}

void severable_link::stopListening()
{
    if (m_listener)
        evconnlistener_free(std::exchange(m_listener, nullptr));
    m_fillers.clear();
    if (m_deafSocket >= 0)
        ::close(std::exchange(m_deafSocket, -1));
}

void severable_link::accept(int socket)
{
    std::erase_if(m_pairs, [](const auto &open) { return open->isEnded; });
    ++connections;
    m_pairs.push_back(std::make_unique<pair>(*this, socket));
}

/// Listens with a full backlog: the kernel then drops further attempts to connect, which hang.
void severable_link::occupyBacklog()
{
    constexpr int kFillers = 4;
    const auto address = loopbackAddress(m_address.port);
    const int isReusable = 1;
    m_deafSocket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ::setsockopt(m_deafSocket, SOL_SOCKET, SO_REUSEADDR, &isReusable, sizeof isReusable);
    REQUIRE(::bind(m_deafSocket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0);
    REQUIRE(::listen(m_deafSocket, 0) == 0);
    for (int filler = 0; filler < kFillers; ++filler)
        m_fillers.push_back(std::make_unique<stream_socket>(m_loop, m_address, stream_socket::handlers{}));
}

void severable_link::cut(cut_form form)
{
    stopListening();
    if (form == cut_form::resetting)
        m_pairs.clear();
    if (form != cut_form::silent)
        return;
    hangConnections();
    occupyBacklog();
}

void severable_link::hangConnections()
{
    for (const auto &open : m_pairs) {
        open->isHeld = true;
        open->host.setReading(false);
        open->target->setReading(false);
    }
}

void severable_link::heal()
{
    stopListening();
    std::erase_if(m_pairs, [](const auto &open) { return open->isEnded; });
    for (const auto &open : m_pairs) {
        open->isHeld = false;
        open->host.setReading(true);
        open->target->setReading(true);
    }
    listen(-1);
}

} // namespace foxtaildyke
