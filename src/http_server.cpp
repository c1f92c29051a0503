// Small HTTP server over evhttp; see http_server_p.h.
#include "http_server_p.h"

#include "port_wait_p.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/tcp.h>
#include <unistd.h>

namespace foxtaildyke
{

namespace
{

constexpr std::size_t kBodyLimitBytes = 4UL << 20U;
constexpr std::uint32_t kAllowedMethods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE;

http_method methodOf(evhttp_request *request)
{
    switch (evhttp_request_get_command(request)) {
    case EVHTTP_REQ_POST:
        return http_method::post;
    case EVHTTP_REQ_PUT:
        return http_method::put;
    case EVHTTP_REQ_DELETE:
        return http_method::remove;
    default:
        return http_method::get;
    }
}

std::map<std::string, std::string> queryOf(const evhttp_uri *uri)
{
    std::map<std::string, std::string> query;
    const char *text = evhttp_uri_get_query(uri);
    evkeyvalq pairs{};
    if (!text || evhttp_parse_query_str(text, &pairs) != 0)
        return query;
    for (const auto *pair = pairs.tqh_first; pair; pair = pair->next.tqe_next)
        query.emplace(pair->key, pair->value);
    evhttp_clear_headers(&pairs);
    return query;
}

/// Parts of a streamed response are small and must not wait for the acknowledgement of the previous part.
void disableNagle(evhttp_connection *connection)
{
    const int isOn = 1;
    const auto socket = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &isOn, sizeof(isOn));
}

/// Pauses a listener that can't accept, as no descriptor is left: its socket stays readable, so that the loop would try
/// again at once, for ever. The listener must exist as long as the loop runs.
void pauseListener(evconnlistener *listener, void *)
{
    constexpr timeval kPause{0, 100'000};
    const auto resume = [](evutil_socket_t, short, void *paused) {
        evconnlistener_enable(static_cast<evconnlistener *>(paused));
    };
    evconnlistener_disable(listener);
    event_base_once(evconnlistener_get_base(listener), -1, EV_TIMEOUT, resume, listener, &kPause);
}

/// Unlike evhttp_bind_socket(), leaves errno as set by the call that failed.
/// @returns a socket that listens, or -1.
int makeListeningSocket(const http_endpoint &endpoint)
{
    constexpr int kListenBacklog = 128; ///< connections waiting to be accepted
    sockaddr_storage address{};
    int size = sizeof(address);
    if (evutil_parse_sockaddr_port(endpoint.address.c_str(), reinterpret_cast<sockaddr *>(&address), &size) != 0) {
        errno = EINVAL;
        return -1;
    }
    if (address.ss_family == AF_INET6)
        reinterpret_cast<sockaddr_in6 &>(address).sin6_port = htons(endpoint.port);
    else
        reinterpret_cast<sockaddr_in &>(address).sin_port = htons(endpoint.port);
    const int socket = ::socket(address.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0)
        return -1;
    const int isOn = 1;
    setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &isOn, sizeof(isOn));
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &isOn, sizeof(isOn));
    if (::bind(socket, reinterpret_cast<const sockaddr *>(&address), static_cast<socklen_t>(size)) == 0
        && ::listen(socket, kListenBacklog) == 0)
        return socket;
    const int failure = errno;
    ::close(socket);
    errno = failure;
    return -1;
}

std::string decoded(const char *path)
{
    std::size_t size = 0;
    char *text = evhttp_uridecode(path ? path : "", 0, &size);
    std::string copy(text, size);
    std::free(text); // NOLINT: libevent allocates it with malloc
    return copy;
}

} // namespace

http_exchange::http_exchange(evhttp_request *request)
    : method(methodOf(request))
    , m_request(request)
{
    disableNagle(evhttp_request_get_connection(request));
    target = evhttp_request_get_uri(request);
    const auto *uri = evhttp_request_get_evhttp_uri(request);
    path = decoded(evhttp_uri_get_path(uri));
    query = queryOf(uri);
    auto *buffer = evhttp_request_get_input_buffer(request);
    body.resize(evbuffer_get_length(buffer));
    evbuffer_remove(buffer, body.data(), body.size());
    const auto closed = [](evhttp_connection *, void *argument) {
        auto &self = *static_cast<http_exchange *>(argument);
        // libevent keeps a request whose response is incomplete; ending the response releases it.
        auto *open = std::exchange(self.m_request, nullptr);
        if (open && !evhttp_request_get_connection(open))
            evhttp_send_reply_end(open);
        if (self.onClosed)
            self.onClosed();
    };
    evhttp_connection_set_closecb(evhttp_request_get_connection(request), closed, this);
}

http_exchange::~http_exchange()
{
    if (m_request)
        drop();
}

std::string http_exchange::header(const char *name) const
{
    if (!m_request)
        return {};
    const char *value = evhttp_find_header(evhttp_request_get_input_headers(m_request), name);
    return value ? value : "";
}

void http_exchange::detach()
{
    evhttp_connection_set_closecb(evhttp_request_get_connection(m_request), nullptr, nullptr);
    m_request = nullptr;
}

void http_exchange::respond(int status, std::string_view text, const http_headers &headers)
{
    if (!m_request)
        return;
    auto *request = m_request;
    detach();
    for (const auto &[name, value] : headers)
        evhttp_add_header(evhttp_request_get_output_headers(request), name.c_str(), value.c_str());
    auto *buffer = evbuffer_new();
    evbuffer_add(buffer, text.data(), text.size());
    evhttp_send_reply(request, status, nullptr, buffer);
    evbuffer_free(buffer);
}

void http_exchange::startChunks(int status, const http_headers &headers)
{
    if (!m_request)
        return;
    for (const auto &[name, value] : headers)
        evhttp_add_header(evhttp_request_get_output_headers(m_request), name.c_str(), value.c_str());
    evhttp_send_reply_start(m_request, status, nullptr);
}

void http_exchange::chunk(std::string_view text)
{
    if (!m_request)
        return;
    auto *buffer = evbuffer_new();
    evbuffer_add(buffer, text.data(), text.size());
    evhttp_send_reply_chunk(m_request, buffer);
    evbuffer_free(buffer);
}

void http_exchange::endChunks()
{
    if (!m_request)
        return;
    auto *request = m_request;
    detach();
    evhttp_send_reply_end(request);
}

void http_exchange::drop()
{
    if (!m_request)
        return;
    auto *connection = evhttp_request_get_connection(m_request);
    detach();
    // The connection must not be freed inside evhttp's own callbacks, so it is freed in the next loop iteration. Until
    // then evhttp may free it itself if the client closes it.
    struct dropped_connection {
        evhttp_connection *connection;
    };
    auto dropped = std::make_unique<dropped_connection>(dropped_connection{connection});
    const auto onClosed = [](evhttp_connection *, void *argument) {
        static_cast<dropped_connection *>(argument)->connection = nullptr;
    };
    const auto release = [](evutil_socket_t, short, void *argument) {
        const std::unique_ptr<dropped_connection> owned(static_cast<dropped_connection *>(argument));
        if (owned->connection)
            evhttp_connection_free(owned->connection);
    };
    evhttp_connection_set_closecb(connection, onClosed, dropped.get());
    const timeval now{};
    event_base_once(evhttp_connection_get_base(connection), -1, EV_TIMEOUT, release, dropped.release(), &now);
}

void http_exchange::watchClose()
{
    if (m_request)
        bufferevent_enable(evhttp_connection_get_bufferevent(evhttp_request_get_connection(m_request)), EV_READ);
}

http_server::http_server(event_loop &loop, handler serve)
    : m_server(evhttp_new(loop.base()))
    , m_serve(std::move(serve))
{
    evhttp_set_allowed_methods(m_server, kAllowedMethods);
    evhttp_set_max_body_size(m_server, kBodyLimitBytes);
    const auto serveOne = [](evhttp_request *request, void *self) {
        static_cast<http_server *>(self)->m_serve(std::make_shared<http_exchange>(request));
    };
    evhttp_set_gencb(m_server, serveOne, this);
}

http_server::~http_server()
{
    evhttp_free(m_server);
}

result<std::uint16_t> http_server::listen(const http_endpoint &endpoint)
{
    const int listening = makeListeningSocket(endpoint);
    auto *socket = listening < 0 ? nullptr : evhttp_accept_socket_with_handle(m_server, listening);
    if (!socket) {
        const auto failure = listenError(endpoint);
        if (listening >= 0)
            ::close(listening);
        return failure;
    }
    evconnlistener_set_error_cb(evhttp_bound_socket_get_listener(socket), pauseListener);
    sockaddr_storage bound{};
    socklen_t size = sizeof(bound);
    getsockname(evhttp_bound_socket_get_fd(socket), reinterpret_cast<sockaddr *>(&bound), &size);
    if (bound.ss_family == AF_INET6)
        return ntohs(reinterpret_cast<const sockaddr_in6 &>(bound).sin6_port);
    return ntohs(reinterpret_cast<const sockaddr_in &>(bound).sin_port);
}

} // namespace foxtaildyke
