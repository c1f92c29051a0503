// One request to a replica over persistent connections; see upstream_exchange_p.h.
#include "upstream_exchange_p.h"

#include "http_status_p.h"

#include <charconv>

namespace foxtaildyke
{

namespace
{

/// @returns the value of "timeout=SECONDS" in a Keep-Alive header, or 0 if it is absent.
std::chrono::milliseconds keepAliveTimeout(std::string_view value)
{
    constexpr std::string_view kKey = "timeout=";
    const auto start = value.find(kKey);
    if (start == std::string_view::npos)
        return {};
    const auto digits = value.substr(start + kKey.size());
    unsigned seconds = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return std::chrono::seconds{seconds};
}

} // namespace

connection_pool::connection_pool(event_loop &loop, std::string requestIdHeader)
    : m_loop(loop)
    , m_requestIdHeader(std::move(requestIdHeader))
    , m_pruneTimer(loop, [this] { prune(); })
{
    m_pruneTimer.start(kPruneInterval);
}

std::unique_ptr<stream_socket> connection_pool::acquire(const std::string &replica, const http_endpoint &address)
{
    auto &idle = m_idle[replica];
    const auto now = suspendAwareNow();
    while (!idle.empty()) {
        auto last = std::move(idle.back());
        idle.pop_back();
        // Bytes that arrived on an idle connection belong to no request, and a replica may have closed it before the
        // loop has reported that; such a connection is not reused.
        if (last.usableUntil > now && last.address == address && last.socket->isQuiet())
            return std::move(last.socket);
    }
    return nullptr;
}

void connection_pool::release(const std::string &replica, const http_endpoint &address,
                              std::unique_ptr<stream_socket> socket, std::chrono::milliseconds idleLimit)
{
    const auto limit = (idleLimit.count() > 0 ? idleLimit : kDefaultIdleLimit) - kIdleMargin;
    auto &idle = m_idle[replica];
    if (limit.count() <= 0 || idle.size() >= kMaxIdlePerReplica)
        return;
    const auto *key = socket.get();
    socket->setHandlers({.onConnected = {},
                         .onReadable = [this, replica, key] { removeEnded(replica, key); },
                         .onDrained = {},
                         .onEnd =
                             [this, replica, key](socket_end) {
                                 removeEnded(replica, key);
                             }});
    idle.push_back({std::move(socket), address, suspendAwareNow() + limit});
}

void connection_pool::removeEnded(const std::string &replica, const stream_socket *socket)
{
    std::erase_if(m_idle[replica], [socket](const idle_socket &entry) { return entry.socket.get() == socket; });
}

void connection_pool::prune()
{
    const auto now = suspendAwareNow();
    for (auto &[replica, idle] : m_idle)
        std::erase_if(idle, [now](const idle_socket &entry) { return entry.usableUntil <= now; });
    std::erase_if(m_idle, [](const auto &entry) { return entry.second.empty(); });
    m_pruneTimer.start(kPruneInterval);
}

upstream_exchange::upstream_exchange(connection_pool &pool, upstream_request request, upstream_listener &listener)
    : m_pool(pool)
    , m_request(std::move(request))
    , m_listener(listener)
    , m_connectTimer(pool.loop(), [this] { finish(upstream_end::not_connected); })
    , m_endTimer(pool.loop(), [this] { confirmEnd(); })
{
    const stream_socket::handlers handlers{.onConnected =
                                               [this] {
                                                   m_listener.onUpstreamConnected();
                                                   send();
                                               },
                                           .onReadable = [this] { onReadable(); },
                                           .onDrained = {},
                                           .onEnd =
                                               [this](socket_end end) {
                                                   onSocketEnd(end);
                                               }};
    if (!m_request.isRepeated)
        m_socket = pool.acquire(m_request.replica, m_request.address);
    if (m_socket) {
        m_isReused = m_socket->hasWritten();
        m_socket->setHandlers(handlers);
        send();
        return;
    }
    m_socket = std::make_unique<stream_socket>(pool.loop(), m_request.address, handlers);
    m_connectTimer.start(connection_pool::kConnectTimeout);
}

upstream_exchange::~upstream_exchange()
{
    *m_alive = false;
}

void upstream_exchange::setReading(bool isOn)
{
    if (m_socket)
        m_socket->setReading(isOn);
}

void upstream_exchange::send()
{
    m_connectTimer.stop();
    m_isConnected = true;
    m_socket->write(m_request.head);
    if (m_request.body)
        m_socket->write(m_request.body);
}

/// Passes the head that has been read to the listener, unless it is informational or belongs to another request.
void upstream_exchange::handleHead()
{
    const auto &head = m_parser.head();
    const auto echoed = head.header(m_pool.requestIdHeader());
    m_isForeignResponse = !echoed.empty() && echoed != m_request.requestId;
    if (m_isForeignResponse || http_status::isInterim(head.status)) {
        m_skippedBytes += kSkippedHeadBytes;
        return;
    }
    m_isUnattributed = echoed.empty() && m_isReused;
    if (m_isUnattributed)
        return;
    m_hasHead = true;
    m_listener.onUpstreamHead(head);
}

/// @returns whether the body is within its limit.
bool upstream_exchange::acceptBody(std::string_view bytes)
{
    if (!m_isForeignResponse)
        return m_listener.onUpstreamBody(bytes);
    m_skippedBytes += bytes.size();
    return true;
}

void upstream_exchange::onReadable()
{
    const auto alive = m_alive;
    const auto onBody = [this](std::string_view bytes) {
        m_isOverLimit = m_isOverLimit || !acceptBody(bytes);
    };
    while (*alive && m_socket) {
        const auto bytes = m_socket->received();
        if (bytes.empty())
            return;
        const bool wasHead = m_parser.state() == parse_state::head;
        // The view stays valid while the listener runs, unless the listener destroys this exchange and with it the
        // socket.
        const auto used = m_parser.feed(bytes, onBody, wasHead);
        if (!*alive)
            return;
        m_socket->consume(used);
        const auto state = m_parser.state();
        if (state == parse_state::malformed || state == parse_state::head_too_large || m_isOverLimit)
            return finish(upstream_end::malformed);
        if (wasHead && state != parse_state::head) {
            handleHead();
            if (!*alive)
                return;
        }
        if (m_skippedBytes > kMaxSkippedBytes || m_isUnattributed)
            return finish(upstream_end::malformed);
        if (state != parse_state::complete)
            continue;
        if (m_hasHead)
            return finish(upstream_end::complete);
        m_isForeignResponse = false; // it was the response to another request, or an informational one
        m_parser.reset();
    }
}

void upstream_exchange::onSocketEnd(socket_end end)
{
    if (!m_isConnected)
        return finish(upstream_end::not_connected);
    if (end == socket_end::closed && m_hasHead && m_parser.isDelimitedByClose())
        return confirmEnd();
    finish(upstream_end::broken);
}

/// Ends a response that extends to the end of the connection. A replica that closes its socket before it has received
/// the whole request ends its side in order, and its kernel resets the connection when the rest arrives: such an end
/// doesn't show that the response is whole.
void upstream_exchange::confirmEnd()
{
    const auto progress = m_socket->writeProgress();
    if (progress == write_progress::pending)
        return m_endTimer.start(kEndCheckPeriod);
    const bool isComplete = progress == write_progress::acknowledged && m_parser.finishAtClose();
    finish(isComplete ? upstream_end::complete : upstream_end::broken);
}

void upstream_exchange::finish(upstream_end end)
{
    m_connectTimer.stop();
    m_endTimer.stop();
    auto socket = std::move(m_socket);
    const auto &head = m_parser.head();
    // A connection is not reusable while its request is still being written, because the next request would follow an
    // incomplete one, or if bytes were received after the response.
    const bool isReusable = end == upstream_end::complete && head.keepAlive && !m_parser.isDelimitedByClose()
        && socket->pendingBytes() == 0 && socket->received().empty();
    if (isReusable)
        m_pool.release(m_request.replica, m_request.address, std::move(socket),
                       keepAliveTimeout(head.header("Keep-Alive")));
    m_listener.onUpstreamEnd(end);
}

} // namespace foxtaildyke
