// TCP connection over a libevent bufferevent, with the socket options that detect unresponsive peers.
#pragma once

#include "event_loop_p.h"

#include <memory>
#include <string>
#include <string_view>

struct bufferevent;

namespace foxtaildyke
{

struct http_endpoint;

/// How a connection ended.
enum class socket_end : std::uint8_t {
    closed, ///< the peer closed the connection in an orderly way
    failed, ///< reset, timed out or unreachable
    count
};

/// What has become of the bytes written to a connection.
enum class write_progress : std::uint8_t {
    pending, ///< some are not acknowledged by the peer's kernel
    acknowledged, ///< all are
    failed, ///< the connection was reset or timed out
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

    /// Starts connecting to a peer.
    stream_socket(event_loop &loop, const http_endpoint &peer, handlers handlers);

    ~stream_socket();
    stream_socket(const stream_socket &) = delete;
    stream_socket &operator=(const stream_socket &) = delete;

    /// Replaces all handlers, for example when an idle connection gets its next owner.
    void setHandlers(handlers handlers) { m_handlers = std::move(handlers); }

    void write(std::string_view bytes);

    /// Writes bytes that are shared with other owners instead of copied.
    void write(std::shared_ptr<const std::string> bytes);

    /// @returns whether anything has been written, by any owner.
    [[nodiscard]] bool hasWritten() const { return m_hasWritten; }

    /// @returns the bytes received and not yet consumed. The view is valid until the next call.
    [[nodiscard]] std::string_view received();
    void consume(std::size_t bytes);

    /// @returns whether bytes have arrived that aren't consumed, or not even read from the kernel.
    [[nodiscard]] bool hasUnread();

    /// @returns whether nothing has arrived, neither bytes nor the peer's close, that the owner may not know of yet.
    [[nodiscard]] bool isQuiet();

    /// @returns the number of bytes not yet handed to the kernel.
    [[nodiscard]] std::size_t pendingBytes() const;

    /// @returns the progress of what has been written, also after the peer has closed its side.
    [[nodiscard]] write_progress writeProgress();

    /// Stops or resumes reading, for back-pressure on a fast peer.
    void setReading(bool isOn);

    /// Closes the write side; the peer reads an end of file.
    void shutdownWrite();

private:
    /// @returns whether what arrives is read, neither paused by the owner nor by kReceiveLimitBytes.
    [[nodiscard]] bool isReading() const;
    void open(int socket, std::chrono::milliseconds userTimeout);
    static void onRead(bufferevent *stream, void *self);
    static void onWrite(bufferevent *stream, void *self);
    static void onEvent(bufferevent *stream, short what, void *self);

    event_loop &m_loop;
    handlers m_handlers;
    bufferevent *m_stream = nullptr;
    bool m_hasWritten = false;
    bool m_hasWriteFailed = false; ///< the connection has failed; reading goes on to its end, which is no orderly one
};

} // namespace foxtaildyke
