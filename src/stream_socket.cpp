// TCP connection over a bufferevent; see stream_socket_p.h.
#include "stream_socket_p.h"

#include "http_client_p.h"
#include "socket_options_p.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace foxtaildyke
{

namespace
{

/// Reading pauses when this many received bytes have not been consumed.
constexpr std::size_t kReceiveLimitBytes = 256U << 10U;
/// Copying fewer bytes costs less than sharing them.
constexpr std::size_t kMinSharedBytes = 16U << 10U;

} // namespace

stream_socket::stream_socket(event_loop &loop, int socket, handlers handlers)
    : m_loop(loop)
    , m_handlers(std::move(handlers))
{
    open(socket, kCallerTcpUserTimeout);
}

stream_socket::stream_socket(event_loop &loop, const http_endpoint &peer, handlers handlers)
    : m_loop(loop)
    , m_handlers(std::move(handlers))
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    open(socket, kTcpUserTimeout);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(peer.port);
    inet_pton(AF_INET, peer.address.c_str(), &address.sin_addr);
    if (bufferevent_socket_connect(m_stream, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0) {
        // The owner must not be called back from within its own call; the failure is reported in the next loop
        // iteration.
        bufferevent_trigger_event(m_stream, BEV_EVENT_ERROR, BEV_OPT_DEFER_CALLBACKS);
    }
}

stream_socket::~stream_socket()
{
    bufferevent_free(m_stream);
}

void stream_socket::open(int socket, std::chrono::milliseconds userTimeout)
{
    setTcpOptions(socket, userTimeout);
    m_stream = bufferevent_socket_new(m_loop.base(), socket, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    bufferevent_setcb(m_stream, onRead, onWrite, onEvent, this);
    bufferevent_setwatermark(m_stream, EV_READ, 0, kReceiveLimitBytes);
    bufferevent_enable(m_stream, EV_READ | EV_WRITE);
}

void stream_socket::write(std::string_view bytes)
{
    m_hasWritten = true;
    bufferevent_write(m_stream, bytes.data(), bytes.size());
}

void stream_socket::write(std::shared_ptr<const std::string> bytes)
{
    if (bytes->size() < kMinSharedBytes)
        return write(*bytes);
    m_hasWritten = true;
    auto owner = std::make_unique<std::shared_ptr<const std::string>>(std::move(bytes));
    const auto &text = **owner;
    const auto release = [](const void *, std::size_t, void *shared) {
        delete static_cast<std::shared_ptr<const std::string> *>(shared); // NOLINT: ownership passes through libevent
    };
    if (evbuffer_add_reference(bufferevent_get_output(m_stream), text.data(), text.size(), release, owner.get()) == 0)
        std::ignore = owner.release(); // freed by the callback
}

std::string_view stream_socket::received()
{
    auto *input = bufferevent_get_input(m_stream);
    const auto size = evbuffer_get_length(input);
    if (size == 0)
        return {};
    return {reinterpret_cast<const char *>(evbuffer_pullup(input, -1)), size};
}

void stream_socket::consume(std::size_t bytes)
{
    evbuffer_drain(bufferevent_get_input(m_stream), bytes);
}

bool stream_socket::hasUnread()
{
    std::array<char, 1> next{};
    return !received().empty() || ::recv(bufferevent_getfd(m_stream), next.data(), next.size(), MSG_PEEK) > 0;
}

bool stream_socket::isQuiet()
{
    std::array<char, 1> next{};
    return received().empty() && ::recv(bufferevent_getfd(m_stream), next.data(), next.size(), MSG_PEEK) < 0
        && errno == EAGAIN;
}

bool stream_socket::isReading() const
{
    return (bufferevent_get_enabled(m_stream) & EV_READ) != 0
        && evbuffer_get_length(bufferevent_get_input(m_stream)) < kReceiveLimitBytes;
}

std::size_t stream_socket::pendingBytes() const
{
    return evbuffer_get_length(bufferevent_get_output(m_stream));
}

write_progress stream_socket::writeProgress()
{
    const auto socket = bufferevent_getfd(m_stream);
    int failure = 0;
    socklen_t size = sizeof(failure);
    if (::getsockopt(socket, SOL_SOCKET, SO_ERROR, &failure, &size) == 0 && failure != 0)
        m_hasWriteFailed = true; // reading the error clears it
    if (m_hasWriteFailed)
        return write_progress::failed;
    int unacknowledged = 0;
    const bool isKnown = ::ioctl(socket, SIOCOUTQ, &unacknowledged) == 0;
    const bool isPending = pendingBytes() > 0 || (isKnown && unacknowledged > 0);
    return isPending ? write_progress::pending : write_progress::acknowledged;
}

void stream_socket::setReading(bool isOn)
{
    if (isOn)
        bufferevent_enable(m_stream, EV_READ);
    else
        bufferevent_disable(m_stream, EV_READ);
}

void stream_socket::shutdownWrite()
{
    ::shutdown(bufferevent_getfd(m_stream), SHUT_WR);
}

void stream_socket::onRead(bufferevent *, void *self)
{
    const auto handler = static_cast<stream_socket *>(self)->m_handlers.onReadable;
    if (handler)
        handler();
}

void stream_socket::onWrite(bufferevent *, void *self)
{
    const auto handler = static_cast<stream_socket *>(self)->m_handlers.onDrained;
    if (handler)
        handler();
}

void stream_socket::onEvent(bufferevent *, short what, void *self)
{
    auto &socket = *static_cast<stream_socket *>(self);
    const auto handlers = socket.m_handlers;
    if (what & BEV_EVENT_CONNECTED) {
        if (handlers.onConnected)
            handlers.onConnected();
        return;
    }
    // A peer that resets the connection may have sent bytes before. They are read until the end, which the kernel then
    // reports like an orderly one.
    socket.m_hasWriteFailed = socket.m_hasWriteFailed || (what & BEV_EVENT_WRITING);
    if ((what & BEV_EVENT_WRITING) && !(what & BEV_EVENT_READING) && socket.isReading())
        return;
    const bool isOrderly = (what & BEV_EVENT_EOF) && !(what & BEV_EVENT_ERROR) && !socket.m_hasWriteFailed;
    const auto end = isOrderly ? socket_end::closed : socket_end::failed;
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) && handlers.onEnd)
        handlers.onEnd(end);
}

} // namespace foxtaildyke
