// A TCP connection of a task over a bufferevent, with the socket options that find peers which fell silent.
#pragma once

#include "event_loop_p.h"

#include <memory>
#include <string_view>

struct bufferevent;

namespace foxtaildyke
{

struct http_endpoint;

/// How a connection ended.
enum class socket_end : std::uint8_t {
    closed, ///< the peer closed in order
    failed, ///< reset, timed out or not reachable
    count
};

class stream_socket
{
public:
    struct handlers {
        std::function<void()> onConnected;
        std::function<void()> onReadable;
        std::function<void()> onDrained; ///< all bytes written so far have been handed to the kernel
        std::function<void(socket_end)> onEnd;
    };

    /// Takes over an accepted connection.
    stream_socket(event_loop &loop, int socket, handlers handlers);

    /// Starts to connect.
    stream_socket(event_loop &loop, const http_endpoint &peer, handlers handlers);

    ~stream_socket();
    stream_socket(const stream_socket &) = delete;
    stream_socket &operator=(const stream_socket &) = delete;

    /// Replaces all handlers, as when a kept connection gets its next owner.
    void setHandlers(handlers handlers) { m_handlers = std::move(handlers); }

    void write(std::string_view bytes);

    /// @returns bytes received and not yet dropped. The view holds until the next call.
    [[nodiscard]] std::string_view received();
    void consume(std::size_t bytes);

    /// @returns bytes that wait to be written.
    [[nodiscard]] std::size_t pendingBytes() const;

    /// Stops or resumes reading, to slow a fast peer.
    void setReading(bool isOn);

    /// Tells the peer that nothing more will be written.
    void shutdownWrite();

private:
    void open(int socket, std::chrono::milliseconds unacknowledgedLimit);
    static void onRead(bufferevent *stream, void *self);
    static void onWrite(bufferevent *stream, void *self);
    static void onEvent(bufferevent *stream, short what, void *self);

    event_loop &m_loop;
    handlers m_handlers;
    bufferevent *m_stream = nullptr;
};

} // namespace foxtaildyke
