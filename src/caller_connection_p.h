// A caller's connection: reads requests sequentially, passes each to its owner, and writes the response, either
// complete or as a stream. The caller can detect that a response was aborted.
#pragma once

#include "body_memory_p.h"
#include "gateway_clock_p.h"
#include "gateway_model_p.h"
#include "http_parser_p.h"
#include "stream_socket_p.h"

namespace foxtaildyke
{

/// A request as read from a caller.
struct inbound_request {
    message_head head;
    std::string body;
    instant readAt{}; ///< when the request had been read completely
    body_reservation memory; ///< of the body
};

/// Writer of the response to a request. Either sendResponse() is called once, or startStream() followed by endStream()
/// or abort(), or abort() alone.
class caller_response
{
public:
    virtual ~caller_response() = default;

    /// Sends a complete response.
    virtual void sendResponse(int status, const http_headers &headers, std::string_view body) = 0;

    virtual void startStream(int status, const http_headers &headers) = 0;
    virtual void streamBytes(std::string_view bytes) = 0;
    virtual void endStream() = 0;

    /// Closes the connection after the response, whose head has not been written yet.
    virtual void closeAfterResponse() = 0;

    /// Closes the connection after the bytes written so far, so that the caller detects a response already started as
    /// incomplete.
    virtual void abort() = 0;

    /// @returns the number of bytes not yet handed to the kernel.
    [[nodiscard]] virtual std::size_t pendingBytes() const = 0;
};

/// Work on a request. Destroying it cancels it.
class request_work
{
public:
    virtual ~request_work() = default;

    /// All bytes written so far have been handed to the kernel.
    virtual void onCallerDrained() = 0;

    /// The caller closed its connection; the work is destroyed next.
    virtual void onCallerGone() = 0;

    /// The process is about to exit: the request is to be answered now, unless its response has begun.
    virtual void onStopping() = 0;
};

class caller_connection;

/// Owner of connections: supplies their limits and serves their requests.
class connection_owner
{
public:
    virtual ~connection_owner() = default;
    [[nodiscard]] virtual const caller_limits &limits() const = 0;
    [[nodiscard]] virtual bool isDraining() const = 0;
    /// Account of the bodies of all connections.
    [[nodiscard]] virtual body_memory &bodies() = 0;

    /// Takes over a connection that was accepted.
    virtual void accept(int socket) = 0;

    /// A connection couldn't be accepted, as no descriptor or memory is left; the listener pauses.
    virtual void recordAcceptFailure(int error) = 0;

    /// Starts work on a request. `response` is valid until the work is destroyed; it may be used before this returns.
    [[nodiscard]] virtual std::unique_ptr<request_work> serve(inbound_request request, caller_response &response) = 0;

    /// Counts a request that was rejected while it was being read.
    virtual void recordRejected(int status, std::string_view reason) = 0;

    /// The connection has ended. The owner must destroy it, but only after this call has returned.
    virtual void onConnectionEnd(caller_connection &connection) = 0;
};

class caller_connection : private caller_response
{
public:
    caller_connection(event_loop &loop, int socket, connection_owner &owner);
    ~caller_connection() override;

    /// Closes the connection if no request is being read or served, none has arrived, and this has been so for the
    /// given time.
    void closeIfIdle(std::chrono::milliseconds minIdleTime);

    /// Answers the request that is being read or served, before the process exits. Responses that have begun go on.
    void answerBeforeStop();

private:
    enum class phase : std::uint8_t { reading, serving, closing, ended, count };

    void sendResponse(int status, const http_headers &headers, std::string_view body) override;
    void startStream(int status, const http_headers &headers) override;
    void streamBytes(std::string_view bytes) override;
    void endStream() override;
    void closeAfterResponse() override { m_keepAlive = false; }
    void abort() override;
    [[nodiscard]] std::size_t pendingBytes() const override;

    void onReadable();
    void onDrained();
    void onSocketEnd();
    void onTimer();
    bool checkHead();
    void readRequests();
    void serve();
    void reject(int status, std::string_view reason, const http_headers &headers = {});
    [[nodiscard]] bool reserveBody(std::size_t bytes);
    [[nodiscard]] bool growBody();
    /// Drops what arrives on a connection that is being closed.
    void skipReceived();
    void writeHead(int status, const http_headers &headers, std::string_view framing);
    void finishResponse();
    [[nodiscard]] std::chrono::milliseconds readTimeout() const;
    void restartTimer();
    void beginClose();
    /// Closes the write side and waits for the caller to close the connection.
    void linger();
    void end();

    event_loop &m_loop;
    connection_owner &m_owner;
    std::unique_ptr<stream_socket> m_socket;
    http_parser m_parser{message_type::request};
    std::string m_body;
    body_reservation m_bodyMemory;
    phase m_phase = phase::reading;
    bool m_keepAlive = true; ///< of the request being served
    bool m_isHeadRequest = false;
    /// When the connection became idle, its last response was sent, or the present request's first byte arrived.
    instant m_timeoutStartedAt{};
    instant m_closeStartedAt{};
    std::unique_ptr<request_work> m_work;
    std::unique_ptr<request_work> m_finishedWork; ///< kept until its call that finished the response has returned
    loop_timer m_timer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< checked by callbacks that may outlive this object

    /// Time for a caller to close the connection once it has been sent everything, or to send more of a body that was
    /// rejected: closing the connection while bytes arrive would reset it, and the caller might never read the
    /// response.
    static constexpr std::chrono::milliseconds kLingerTimeout{1000};
    /// Seconds after which a caller whose body found no memory may try again: about the time that the bodies in
    /// progress take to be passed on.
    static constexpr std::string_view kMemoryRetryAfter = "0.5";
    /// Time for a caller that reads slowly to receive the rest of a finished response. One that reads nothing at all is
    /// disconnected by kCallerTcpUserTimeout.
    static constexpr std::chrono::milliseconds kMaxSendTime{30'000};
};

/// @returns the standard reason phrase of a status.
[[nodiscard]] std::string_view reasonPhrase(int status);

} // namespace foxtaildyke
