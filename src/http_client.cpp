// HTTP client over evhttp; see http_client_p.h.
#include "http_client_p.h"

#include "header_text_p.h"
#include "http_status_p.h"
#include "socket_options_p.h"

#include <charconv>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <numeric>

namespace foxtaildyke
{

namespace
{

constexpr std::size_t kMaxIdlePerEndpoint = 64;
constexpr ev_ssize_t kMaxHeadBytes = 64 << 10;

constexpr std::array kMethods{EVHTTP_REQ_GET, EVHTTP_REQ_POST, EVHTTP_REQ_PUT, EVHTTP_REQ_DELETE};
static_assert(kMethods.size() == static_cast<std::size_t>(http_method::count));

std::string drainBuffer(evbuffer *buffer)
{
    std::string text(evbuffer_get_length(buffer), '\0');
    evbuffer_remove(buffer, text.data(), text.size());
    return text;
}

int secondsOf(std::chrono::milliseconds time)
{
    return static_cast<int>(std::chrono::ceil<std::chrono::seconds>(time).count());
}

http_headers headersOf(evhttp_request *evhttpResponse)
{
    http_headers headers;
    for (const auto *entry = evhttp_request_get_input_headers(evhttpResponse)->tqh_first; entry;
         entry = entry->next.tqe_next)
        headers.emplace_back(entry->key, entry->value);
    return headers;
}

/// @returns whether bytes have arrived that belong to no call. evhttp would parse them as the next response.
bool hasUnreadBytes(evhttp_connection *connection)
{
    return evbuffer_get_length(bufferevent_get_input(evhttp_connection_get_bufferevent(connection))) > 0;
}

/// @returns whether a head is that of a final response, as http_parser requires it. evhttp takes any number for a
/// status, and any bytes before a colon for a name.
bool isResponseHead(evhttp_request *evhttpResponse)
{
    const auto *reason = evhttp_request_get_response_code_line(evhttpResponse);
    const bool isHttp1 = evhttpResponse->major == 1 && (evhttpResponse->minor == 0 || evhttpResponse->minor == 1);
    return isHttp1 && http_status::isFinal(evhttp_request_get_response_code(evhttpResponse))
        && isFieldContent(reason ? reason : "")
        && std::ranges::all_of(headersOf(evhttpResponse), [](const auto &header) {
               return isToken(header.first) && isFieldContent(header.second);
           });
}

std::string headerOf(evhttp_request *evhttpResponse, const char *name)
{
    const char *value = evhttp_find_header(evhttp_request_get_input_headers(evhttpResponse), name);
    return value ? value : "";
}

} // namespace

std::optional<http_endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return std::nullopt;
    auto address = text.substr(0, colon);
    if (address.front() == '[' && address.back() == ']')
        address = address.substr(1, address.size() - 2);
    const auto digits = text.substr(colon + 1);
    http_endpoint endpoint{std::string(address), 0};
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), endpoint.port);
    std::array<unsigned char, sizeof(in6_addr)> binary{};
    const bool isAddress = evutil_inet_pton(AF_INET, endpoint.address.c_str(), binary.data()) == 1
        || evutil_inet_pton(AF_INET6, endpoint.address.c_str(), binary.data()) == 1;
    if (!isAddress || parsed.ec != std::errc{} || parsed.ptr != digits.data() + digits.size())
        return std::nullopt;
    return endpoint;
}

std::string textOf(const http_endpoint &endpoint)
{
    return endpoint.address + ':' + std::to_string(endpoint.port);
}

struct http_client::call {
    call(http_client &owner, std::uint64_t number)
        : client(owner)
        , id(number)
        , timeout(owner.m_loop, [this] { client.onTimeout(*this); })
        , stallTimeout(owner.m_loop, [this] { client.onTimeout(*this); })
    {
    }

    http_client &client;
    std::uint64_t id;
    http_request request;
    http_handlers handlers;
    evhttp_connection *connection = nullptr;
    std::string body;
    bool isReused = false; ///< other calls have used the connection before
    int lastStatus = 0; ///< 0 until a part of the body has arrived
    bool hasProperHead = false; ///< of the response whose body arrives
    bool isEnded = false; ///< its handlers are no longer called
    loop_timer timeout;
    loop_timer stallTimeout; ///< restarted by each part of the response

    void restartStallTimeout()
    {
        if (request.stallTimeout.count() > 0)
            stallTimeout.start(request.stallTimeout);
    }

    void stopTimeouts()
    {
        timeout.stop();
        stallTimeout.stop();
    }
};

http_client::http_client(event_loop &loop, std::chrono::microseconds idleLimit)
    : m_loop(loop)
    , m_idleLimit(idleLimit)
    , m_cleanupTimer(loop, [this] { freeDiscarded(); })
    , m_pruneTimer(loop, [this] { pruneIdle(); })
{
    m_pruneTimer.start(m_idleLimit);
}

http_client::~http_client()
{
    *m_alive = false;
    for (auto &[id, open] : m_calls)
        m_discarded.emplace_back(open->connection, std::move(open));
    for (const auto &[endpoint, connections] : m_idle)
        for (const auto &idle : connections)
            m_discarded.emplace_back(idle.connection, nullptr);
    freeDiscarded();
}

evhttp_connection *http_client::takeIdleConnection(const http_endpoint &endpoint)
{
    auto &idle = m_idle[endpoint];
    while (!idle.empty()) {
        const auto last = idle.back();
        idle.pop_back();
        if (event_loop::now() - last.since < m_idleLimit && !hasUnreadBytes(last.connection))
            return last.connection;
        discard(last.connection, nullptr);
    }
    return nullptr;
}

evhttp_connection *http_client::newConnection(const http_endpoint &endpoint)
{
    auto *stream = bufferevent_socket_new(m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    return evhttp_connection_base_bufferevent_new(m_loop.base(), nullptr, stream, endpoint.address.c_str(),
                                                  endpoint.port);
}

void http_client::releaseConnection(const http_endpoint &endpoint, evhttp_connection *connection)
{
    auto &idle = m_idle[endpoint];
    if (idle.size() >= kMaxIdlePerEndpoint || hasUnreadBytes(connection)) {
        discard(connection, nullptr);
        return;
    }
    // evhttp offers no hook between connecting and the first request, so the options apply from the second request on.
    setTcpOptions(bufferevent_getfd(evhttp_connection_get_bufferevent(connection)), kTcpUserTimeout);
    idle.push_back({connection, event_loop::now()});
}

void http_client::discard(evhttp_connection *connection, std::unique_ptr<call> endedCall)
{
    if (endedCall)
        endedCall->isEnded = true;
    m_discarded.emplace_back(connection, std::move(endedCall));
    m_cleanupTimer.start(std::chrono::microseconds{0});
}

void http_client::discardIdle(const http_endpoint &endpoint)
{
    const auto found = m_idle.find(endpoint);
    if (found == m_idle.end())
        return;
    for (const auto &idle : std::exchange(found->second, {}))
        discard(idle.connection, nullptr);
}

void http_client::freeDiscarded()
{
    decltype(m_discarded) connections;
    connections.swap(m_discarded);
    for (const auto &[connection, endedCall] : connections)
        evhttp_connection_free(connection);
}

/// Closes expired idle connections. takeIdleConnection() does so only for endpoints in use; the idle connections of a
/// replaced host, whose endpoint is never used again, would accumulate.
void http_client::pruneIdle()
{
    m_pruneTimer.start(m_idleLimit);
    const auto oldest = event_loop::now() - m_idleLimit;
    for (auto &[endpoint, connections] : m_idle)
        std::erase_if(connections, [&](const idle_connection &idle) {
            if (idle.since > oldest)
                return false;
            discard(idle.connection, nullptr);
            return true;
        });
    std::erase_if(m_idle, [](const auto &item) { return item.second.empty(); });
}

http_call_id http_client::start(http_request request, http_handlers handlers)
{
    const auto id = m_nextCall++;
    auto open = std::make_unique<call>(*this, id);
    open->request = std::move(request);
    open->handlers = std::move(handlers);
    open->connection = takeIdleConnection(open->request.endpoint);
    open->isReused = open->connection != nullptr;
    if (!open->connection)
        open->connection = newConnection(open->request.endpoint);
    auto &reference = *open;
    m_calls.emplace(id, std::move(open));
    reference.timeout.start(reference.request.timeout);
    reference.restartStallTimeout();
    // evhttp reports a refused connection from inside evhttp_make_request(); sending from the mailbox guarantees that
    // no handler runs before start() returns.
    m_loop.post([this, id, alive = m_alive] {
        if (!*alive)
            return;
        const auto found = m_calls.find(id);
        if (found != m_calls.end() && !send(*found->second))
            finish(*found->second, {http_end::not_connected, 0, false, {}, {}, {}});
    });
    return http_call_id{id};
}

bool http_client::send(call &open)
{
    const auto onDone = [](evhttp_request *evhttpResponse, void *argument) {
        auto &self = *static_cast<call *>(argument);
        self.client.onResponse(self, evhttpResponse);
    };
    const auto onChunk = [](evhttp_request *evhttpResponse, void *argument) {
        auto &self = *static_cast<call *>(argument);
        self.client.onBodyPart(self, evhttpResponse);
    };
    auto *request = evhttp_request_new(onDone, &open);
    evhttp_request_set_chunked_cb(request, onChunk);
    evhttp_connection_set_timeout(open.connection, secondsOf(open.request.timeout) + 1);
    evhttp_connection_set_max_headers_size(open.connection, kMaxHeadBytes);
    evhttp_connection_set_max_body_size(open.connection, static_cast<ev_ssize_t>(open.request.maxBodyBytes));
    auto *headers = evhttp_request_get_output_headers(request);
    const auto &endpoint = open.request.endpoint;
    evhttp_add_header(headers, "Host", textOf(endpoint).c_str());
    for (const auto &[name, value] : open.request.headers)
        evhttp_add_header(headers, name.c_str(), value.c_str());
    evbuffer_add(evhttp_request_get_output_buffer(request), open.request.body.data(), open.request.body.size());
    const auto method = kMethods[static_cast<std::size_t>(open.request.method)];
    const auto id = open.id;
    const auto target = open.request.target.text();
    const bool isStarted = evhttp_make_request(open.connection, request, method, target.c_str()) == 0;
    // If evhttp has called onDone already, the call has ended and must not be reported again.
    return isStarted || !m_calls.contains(id);
}

void http_client::onBodyPart(call &open, evhttp_request *evhttpResponse)
{
    if (open.isEnded)
        return;
    open.restartStallTimeout();
    if (open.lastStatus == 0)
        open.hasProperHead = isResponseHead(evhttpResponse);
    open.lastStatus = evhttp_request_get_response_code(evhttpResponse);
    auto data = drainBuffer(evhttp_request_get_input_buffer(evhttpResponse));
    if (open.handlers.onData && open.hasProperHead)
        open.handlers.onData(open.lastStatus, data);
    else
        open.body += data;
}

void http_client::onResponse(call &open, evhttp_request *evhttpResponse)
{
    if (open.isEnded)
        return;
    http_response response;
    if (!evhttpResponse) {
        response.status = open.lastStatus;
        finish(open, std::move(response));
        return;
    }
    response.status = evhttp_request_get_response_code(evhttpResponse);
    if (response.status == 0) {
        response.end = http_end::not_connected;
        response.sent = false;
        finish(open, std::move(response));
        return;
    }
    if (!isResponseHead(evhttpResponse)) {
        response.end = http_end::broken;
        finish(open, std::move(response));
        return;
    }
    response.end = http_end::complete;
    response.body = std::move(open.body);
    response.body += drainBuffer(evhttp_request_get_input_buffer(evhttpResponse));
    response.etag = headerOf(evhttpResponse, "ETag");
    response.retryAfter = headerOf(evhttpResponse, "Retry-After");
    response.headers = headersOf(evhttpResponse);
    const auto &isOwn = open.handlers.isOwnResponse;
    if (isOwn && !isOwn({response.status, response.headers, open.isReused}))
        response.end = http_end::broken;
    finish(open, std::move(response));
}

void http_client::onTimeout(call &open)
{
    // What has silenced this connection may have silenced the idle ones; the next call would wait for another timeout.
    discardIdle(open.request.endpoint);
    http_response response;
    response.end = http_end::timed_out;
    response.status = open.lastStatus;
    finish(open, std::move(response));
}

void http_client::finish(call &open, http_response response)
{
    const auto found = m_calls.find(open.id);
    auto owned = std::move(found->second);
    m_calls.erase(found);
    owned->stopTimeouts();
    const auto onDone = std::move(owned->handlers.onDone);
    if (response.end == http_end::complete)
        releaseConnection(owned->request.endpoint, owned->connection);
    else
        discard(open.connection, std::move(owned));
    onDone(std::move(response));
}

std::size_t http_client::idleConnections() const
{
    return std::accumulate(m_idle.begin(), m_idle.end(), std::size_t{0},
                           [](std::size_t sum, const auto &item) { return sum + item.second.size(); });
}

void http_client::cancel(http_call_id call)
{
    const auto found = m_calls.find(static_cast<std::uint64_t>(call));
    if (found == m_calls.end())
        return;
    auto owned = std::move(found->second);
    m_calls.erase(found);
    owned->stopTimeouts();
    auto *connection = owned->connection;
    discard(connection, std::move(owned));
}

} // namespace foxtaildyke
