// One caller's connection; see caller_connection_p.h.
#include "caller_connection_p.h"

#include "http_status_p.h"

#include <charconv>

namespace foxtaildyke
{

namespace
{

struct status_text {
    int status;
    std::string_view phrase;
};

constexpr std::array kStatusTexts{
    status_text{200, "OK"},
    status_text{400, "Bad Request"},
    status_text{401, "Unauthorized"},
    status_text{404, "Not Found"},
    status_text{408, "Request Timeout"},
    status_text{413, "Content Too Large"},
    status_text{421, "Misdirected Request"},
    status_text{429, "Too Many Requests"},
    status_text{431, "Request Header Fields Too Large"},
    status_text{500, "Internal Server Error"},
    status_text{502, "Bad Gateway"},
    status_text{503, "Service Unavailable"},
    status_text{504, "Gateway Timeout"},
};

std::string encodeChunk(std::string_view bytes)
{
    std::array<char, 16> digits{};
    auto *end = std::to_chars(digits.begin(), digits.end(), bytes.size(), 16).ptr;
    std::string text(digits.begin(), end);
    text.append("\r\n").append(bytes).append("\r\n");
    return text;
}

} // namespace

std::string_view reasonPhrase(int status)
{
    const auto found = std::ranges::find(kStatusTexts, status, &status_text::status);
    return found == kStatusTexts.end() ? "Status" : found->phrase;
}

caller_connection::caller_connection(event_loop &loop, int socket, connection_owner &owner)
    : m_loop(loop)
    , m_owner(owner)
    , m_timeoutStartedAt(suspendAwareNow())
    , m_timer(loop, [this] { onTimer(); })
{
    m_socket = std::make_unique<stream_socket>(loop, socket,
                                               stream_socket::handlers{.onConnected = {},
                                                                       .onReadable = [this] { onReadable(); },
                                                                       .onDrained = [this] { onDrained(); },
                                                                       .onEnd =
                                                                           [this](socket_end) {
                                                                               onSocketEnd();
                                                                           }});
    restartTimer();
}

caller_connection::~caller_connection() = default;

void caller_connection::closeIfIdle(std::chrono::milliseconds minIdleTime)
{
    const bool isIdle = m_phase == phase::reading && !m_parser.hasBegun() && m_socket->pendingBytes() == 0;
    if (isIdle && !m_socket->hasUnread() && suspendAwareNow() - m_timeoutStartedAt >= minIdleTime)
        end();
}

void caller_connection::answerBeforeStop()
{
    if (m_phase == phase::serving && m_work)
        m_work->onStopping();
    else if (m_phase == phase::reading && m_parser.hasBegun())
        reject(http_status::kServiceUnavailable, "stopping");
}

void caller_connection::onReadable()
{
    if (m_phase == phase::reading)
        readRequests();
    else if (m_phase == phase::closing)
        skipReceived();
}

void caller_connection::readRequests()
{
    const auto onBody = [this](std::string_view bytes) {
        m_body.append(bytes);
    };
    while (m_phase == phase::reading) {
        const auto bytes = m_socket->received();
        if (bytes.empty())
            return;
        m_parser.setHeadLimit(m_owner.limits().headBytes);
        const bool wasHead = m_parser.state() == parse_state::head;
        const bool isFirst = !m_parser.hasBegun();
        m_socket->consume(m_parser.feed(bytes, onBody, wasHead));
        if (isFirst) {
            m_timeoutStartedAt = suspendAwareNow();
            restartTimer();
        }
        if (m_parser.state() == parse_state::malformed)
            return reject(http_status::kBadRequest, "malformed");
        if (m_parser.state() == parse_state::head_too_large)
            return reject(http_status::kHeadersTooLarge, "head_too_large");
        if (wasHead && m_parser.state() != parse_state::head && !checkHead())
            return;
        if (m_body.size() > m_owner.limits().bodyBytes)
            return reject(http_status::kContentTooLarge, "body_too_large");
        if (!growBody())
            return;
        if (m_parser.state() == parse_state::complete)
            serve();
    }
}

/// Rejects a request whose head announces too large a body, and sends 100 Continue to a caller that waits for it.
bool caller_connection::checkHead()
{
    const auto &head = m_parser.head();
    m_isHeadRequest = head.method == "HEAD";
    if (head.length.value_or(0) > m_owner.limits().bodyBytes) {
        reject(http_status::kContentTooLarge, "body_too_large");
        return false;
    }
    if (!reserveBody(head.length.value_or(0)))
        return false;
    if (m_parser.state() == parse_state::body && isSameHeader(head.header("Expect"), "100-continue"))
        m_socket->write("HTTP/1.1 100 Continue\r\n\r\n");
    return true;
}

void caller_connection::serve()
{
    m_phase = phase::serving;
    m_timer.stop();
    m_keepAlive = m_parser.head().keepAlive;
    inbound_request request{m_parser.head(), std::exchange(m_body, {}), suspendAwareNow(), std::move(m_bodyMemory)};
    m_parser.reset();
    auto work = m_owner.serve(std::move(request), *this);
    if (m_phase == phase::serving)
        m_work = std::move(work);
}

void caller_connection::reject(int status, std::string_view reason, const http_headers &headers)
{
    m_owner.recordRejected(status, reason);
    m_keepAlive = false;
    m_phase = phase::serving;
    m_body = {};
    m_bodyMemory = {};
    sendResponse(status, headers, {});
}

/// Reserves memory for a body. @returns whether there is room; if not, the request has been rejected.
bool caller_connection::reserveBody(std::size_t bytes)
{
    if (!m_owner.bodies().grow(m_bodyMemory, bytes)) {
        reject(http_status::kServiceUnavailable, "memory", {{"Retry-After", std::string(kMemoryRetryAfter)}});
        return false;
    }
    m_body.reserve(m_bodyMemory.bytes());
    return true;
}

/// Reserves more memory for a body of unknown length that has outgrown its reservation.
bool caller_connection::growBody()
{
    const auto reserved = m_bodyMemory.bytes();
    return m_body.size() <= reserved || reserveBody(std::max(m_body.size(), 2 * reserved));
}

void caller_connection::writeHead(int status, const http_headers &headers, std::string_view framing)
{
    m_keepAlive = m_keepAlive && !m_owner.isDraining();
    std::string text = "HTTP/1.1 " + std::to_string(status) + ' ' + std::string(reasonPhrase(status)) + "\r\n";
    for (const auto &[name, value] : headers)
        text.append(name).append(": ").append(value).append("\r\n");
    text.append(framing);
    if (!m_keepAlive)
        text.append("Connection: close\r\n");
    text.append("\r\n");
    m_socket->write(text);
}

void caller_connection::sendResponse(int status, const http_headers &headers, std::string_view body)
{
    if (m_phase != phase::serving)
        return;
    writeHead(status, headers, "Content-Length: " + std::to_string(body.size()) + "\r\n");
    if (!m_isHeadRequest)
        m_socket->write(body);
    finishResponse();
}

void caller_connection::startStream(int status, const http_headers &headers)
{
    if (m_phase == phase::serving)
        writeHead(status, headers, "Transfer-Encoding: chunked\r\n");
}

void caller_connection::streamBytes(std::string_view bytes)
{
    if (m_phase == phase::serving && !bytes.empty())
        m_socket->write(encodeChunk(bytes));
}

void caller_connection::endStream()
{
    if (m_phase != phase::serving)
        return;
    m_socket->write("0\r\n\r\n");
    finishResponse();
}

void caller_connection::abort()
{
    if (m_phase != phase::serving)
        return;
    m_finishedWork = std::move(m_work);
    beginClose();
}

std::size_t caller_connection::pendingBytes() const
{
    return m_socket->pendingBytes();
}

void caller_connection::finishResponse()
{
    m_finishedWork = std::move(m_work);
    // The head of a stream may have been sent before draining began, without "Connection: close".
    if (!m_keepAlive || m_owner.isDraining())
        return beginClose();
    m_phase = phase::reading;
    m_timeoutStartedAt = suspendAwareNow();
    restartTimer();
    // The next request may have arrived already; it is read in the next loop iteration, after the call from the
    // finished work has returned.
    m_loop.after(std::chrono::microseconds{0}, [this, alive = std::weak_ptr<bool>(m_alive)] {
        if (alive.expired())
            return;
        m_finishedWork.reset();
        onReadable();
    });
}

void caller_connection::beginClose()
{
    m_phase = phase::closing;
    m_closeStartedAt = suspendAwareNow();
    m_timer.start(kMaxSendTime);
    if (m_socket->pendingBytes() == 0)
        linger();
}

void caller_connection::linger()
{
    m_socket->shutdownWrite();
    m_timer.start(kLingerTimeout);
}

void caller_connection::skipReceived()
{
    m_socket->consume(m_socket->received().size());
    if (m_socket->pendingBytes() == 0 && suspendAwareNow() - m_closeStartedAt < kMaxSendTime)
        m_timer.start(kLingerTimeout);
}

void caller_connection::onDrained()
{
    if (m_work)
        return m_work->onCallerDrained();
    // The callback may have been queued before the last write.
    if (m_socket->pendingBytes() > 0)
        return;
    if (m_phase == phase::closing)
        return linger();
    if (m_phase != phase::reading || m_parser.hasBegun())
        return;
    m_timeoutStartedAt = suspendAwareNow();
    restartTimer();
}

void caller_connection::onSocketEnd()
{
    if (m_work)
        m_work->onCallerGone();
    end();
}

/// While reading, expires at the head timeout or the idle timeout, whichever applies, but not before the last response
/// has been sent within kMaxSendTime; while closing, at kMaxSendTime or kLingerTimeout.
void caller_connection::onTimer()
{
    if (m_phase == phase::closing)
        return end();
    if (m_phase != phase::reading)
        return;
    if (suspendAwareNow() - m_timeoutStartedAt < readTimeout())
        return restartTimer(); // a newer configuration has a longer timeout
    if (m_socket->hasUnread())
        return restartTimer(); // what arrived in time is read first, also if the process stood still meanwhile
    if (m_parser.hasBegun() && m_parser.state() == parse_state::head)
        return reject(http_status::kRequestTimeout, "head_timeout");
    if (m_parser.hasBegun())
        return reject(http_status::kRequestTimeout, "body_timeout");
    end();
}

/// @returns the timeout of the present reading state.
std::chrono::milliseconds caller_connection::readTimeout() const
{
    if (!m_parser.hasBegun() && m_socket->pendingBytes() > 0)
        return kMaxSendTime;
    const bool isInHead = m_parser.hasBegun() && m_parser.state() == parse_state::head;
    return isInHead ? m_owner.limits().headTimeout : m_owner.limits().idleTimeout;
}

void caller_connection::restartTimer()
{
    const auto left = std::chrono::microseconds(readTimeout()) - (suspendAwareNow() - m_timeoutStartedAt);
    m_timer.start(std::max(left, std::chrono::microseconds{1000}));
}

void caller_connection::end()
{
    if (m_phase == phase::ended)
        return;
    m_phase = phase::ended;
    m_timer.stop();
    m_owner.onConnectionEnd(*this);
}

} // namespace foxtaildyke
