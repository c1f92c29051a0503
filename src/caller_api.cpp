// Callers' API over libevhtp; see caller_api_p.h.
#include "caller_api_p.h"

#include <evhtp/evhtp.h>

namespace foxtaildyke
{

namespace
{

constexpr int kBacklog = 1024;
/// A body above kCallerBodyLimitBytes is read to its end and rejected with 413; above this size the connection is
/// closed instead.
constexpr std::uint64_t kHardBodyLimitBytes = 16UL << 20U;

std::string headerOf(evhtp_request_t *request, const char *name)
{
    const char *value = evhtp_header_find(request->headers_in, name);
    return value ? value : "";
}

void addHeader(evhtp_request_t *request, const char *name, const std::string &value)
{
    evhtp_headers_add_header(request->headers_out, evhtp_header_new(name, value.c_str(), 1, 1));
}

/// evhtp accepts hooks of every type through one function type; the intermediate cast to void (*)() avoids the
/// compiler's warning about incompatible function types.
template <typename hook_type>
evhtp_hook asHook(hook_type hook)
{
    return reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(hook));
}

/// IPv4 or IPv6 address of a socket.
union socket_address {
    sockaddr_in6 ipv6{};
    sockaddr_in ipv4;

    /// @returns the size of the address, or 0 if the text is not an IP address. Unlike evutil_parse_sockaddr_port() it
    /// accepts port 0.
    std::size_t set(const http_endpoint &endpoint)
    {
        ipv4.sin_family = AF_INET;
        ipv4.sin_port = htons(endpoint.port);
        if (evutil_inet_pton(AF_INET, endpoint.address.c_str(), &ipv4.sin_addr) == 1)
            return sizeof(ipv4);
        ipv6 = {};
        ipv6.sin6_family = AF_INET6;
        ipv6.sin6_port = htons(endpoint.port);
        return evutil_inet_pton(AF_INET6, endpoint.address.c_str(), &ipv6.sin6_addr) == 1 ? sizeof(ipv6) : 0;
    }

    sockaddr *generic() { return reinterpret_cast<sockaddr *>(this); }

    /// The port has the same offset in both address types.
    [[nodiscard]] std::uint16_t port() const { return ntohs(ipv4.sin_port); }
};

std::string consumeBody(evhtp_request_t *request)
{
    std::string body(evbuffer_get_length(request->buffer_in), '\0');
    evbuffer_remove(request->buffer_in, body.data(), body.size());
    return body;
}

} // namespace

struct caller_api::exchange {
    caller_api &owner;
    evhtp_request_t *request = nullptr;
    request_token token{};
    instant arrivedAt{};
    std::string requestId; ///< as sent by the caller
    bool stream = false;
    bool isStarted = false; ///< the status line of a stream has been sent
    bool isFinished = false; ///< the final response has been passed to evhtp
    bool isDisconnected = false; ///< the caller closed the connection
    std::string text; ///< accumulated parts of a response that is not streamed
};

/// Callbacks of evhtp.
struct caller_api_hooks {
    static void answers(evhtp_request_t *request, void *self) { static_cast<caller_api *>(self)->onAnswers(request); }

    static void health(evhtp_request_t *request, void *self) { static_cast<caller_api *>(self)->onHealth(request); }

    /// Limits the buffered part of a body to kCallerBodyLimitBytes and one read.
    static evhtp_res bodyPart(evhtp_request_t *request, evbuffer *part, void *)
    {
        if (evbuffer_get_length(request->buffer_in) > kCallerBodyLimitBytes)
            evbuffer_drain(part, evbuffer_get_length(part));
        return EVHTP_RES_OK;
    }

    static void connectionError(evhtp_request_t *, evhtp_error_flags, void *open)
    {
        auto &exchange = *static_cast<caller_api::exchange *>(open);
        exchange.owner.onDisconnect(exchange);
    }

    static evhtp_res requestBegin(evhtp_request_t *, void *self)
    {
        static_cast<caller_api *>(self)->m_activeAt = event_loop::now();
        return EVHTP_RES_OK;
    }

    static evhtp_res accepted(evhtp_connection_t *connection, void *self)
    {
        static_cast<caller_api *>(self)->m_activeAt = event_loop::now();
        evhtp_connection_set_hook(connection, evhtp_hook_on_headers_start, asHook(requestBegin), self);
        return EVHTP_RES_OK;
    }

    static evhtp_res requestEnd(evhtp_request_t *, void *open)
    {
        auto &exchange = *static_cast<caller_api::exchange *>(open);
        auto &owner = exchange.owner;
        const auto token = exchange.token;
        const bool wasOpen = !exchange.isFinished && !exchange.isDisconnected;
        owner.m_exchanges.erase(static_cast<std::uint64_t>(token));
        if (wasOpen)
            owner.m_deliver(caller_gone{token});
        return EVHTP_RES_OK;
    }
};

caller_api::caller_api(event_loop &loop, core_sink deliver)
    : m_loop(loop)
    , m_deliver(std::move(deliver))
    , m_server(evhtp_new(loop.base(), nullptr))
{
    evhtp_enable_flag(m_server, EVHTP_FLAG_ENABLE_NODELAY);
    evhtp_set_max_body_size(m_server, kHardBodyLimitBytes);
    auto *answers = evhtp_set_cb(m_server, "/v1/answers", caller_api_hooks::answers, this);
    evhtp_callback_set_hook(answers, evhtp_hook_on_read, asHook(caller_api_hooks::bodyPart), nullptr);
    evhtp_set_cb(m_server, "/healthz", caller_api_hooks::health, this);
    evhtp_set_post_accept_cb(m_server, caller_api_hooks::accepted, this);
}

caller_api::~caller_api()
{
    *m_alive = false;
    for (const auto &[token, open] : m_exchanges)
        evhtp_request_unset_hook(open->request, evhtp_hook_on_request_fini);
    stopListening();
    evhtp_free(m_server);
}

void caller_api::stopListening()
{
    if (m_server->server)
        evhtp_unbind_socket(m_server);
}

result<std::uint16_t> caller_api::listen(const http_endpoint &endpoint)
{
    const error failure{error_code::io_failure, endpoint.address + ':' + std::to_string(endpoint.port)};
    socket_address address;
    const auto size = address.set(endpoint);
    if (size == 0 || evhtp_bind_sockaddr(m_server, address.generic(), size, kBacklog) != 0)
        return failure;
    socklen_t bound = sizeof(address);
    getsockname(evconnlistener_get_fd(m_server->server), address.generic(), &bound);
    return address.port();
}

caller_api::exchange *caller_api::find(request_token request) const
{
    const auto found = m_exchanges.find(static_cast<std::uint64_t>(request));
    return found == m_exchanges.end() ? nullptr : found->second.get();
}

std::optional<instant> caller_api::arrivalOf(request_token request) const
{
    const auto *open = find(request);
    return open ? std::optional(open->arrivedAt) : std::nullopt;
}

void caller_api::onHealth(evhtp_request *request)
{
    const std::string_view body = m_isDraining ? R"({"status":"draining"})" : R"({"status":"ok"})";
    evbuffer_add(request->buffer_out, body.data(), body.size());
    addHeader(request, "Content-Type", "application/json");
    evhtp_send_reply(request, m_isDraining ? EVHTP_RES_SERVUNAVAIL : EVHTP_RES_OK);
}

void caller_api::onAnswers(evhtp_request *request)
{
    if (evhtp_request_get_method(request) != htp_method_POST) {
        addHeader(request, "Allow", "POST");
        evhtp_send_reply(request, EVHTP_RES_METHNALLOWED);
        return;
    }
    const auto number = m_nextToken++;
    auto owned = std::unique_ptr<exchange>(new exchange{*this, request, request_token{number}, event_loop::now()});
    auto &open = *owned;
    m_exchanges.emplace(number, std::move(owned));
    evhtp_request_set_hook(request, evhtp_hook_on_error, asHook(caller_api_hooks::connectionError), &open);
    evhtp_request_set_hook(request, evhtp_hook_on_request_fini, asHook(caller_api_hooks::requestEnd), &open);
    evhtp_request_pause(request);
    // evhtp 1.2.18 closes the connection if a chunked response is started inside its request callback.
    m_loop.post([this, token = open.token, alive = m_alive] {
        auto *ready = *alive ? find(token) : nullptr;
        if (ready)
            decode(*ready);
    });
}

void caller_api::decode(exchange &open)
{
    auto *request = open.request;
    // evhtp stops reading a paused connection; without reads it would not be noticed that the caller closed it.
    bufferevent_enable(evhtp_request_get_bev(request), EV_READ);
    const caller_headers headers{headerOf(request, "Authorization"), headerOf(request, "Foxtaildyke-Request-Id"),
                                 headerOf(request, "Foxtaildyke-Session"),
                                 headerOf(request, "Foxtaildyke-Session-Token"),
                                 headerOf(request, "Foxtaildyke-Deadline-Ms")};
    auto decoded = decodeCallerRequest(headers, consumeBody(request));
    if (const auto *refusal = std::get_if<caller_refusal>(&decoded)) {
        refuse(open, *refusal);
        return;
    }
    auto &input = std::get<caller_request>(decoded);
    input.request = open.token;
    input.unixSeconds = std::chrono::system_clock::to_time_t(std::chrono::system_clock::now());
    open.stream = input.stream;
    open.requestId = input.requestId;
    m_deliver(std::move(input));
}

void caller_api::refuse(exchange &open, const caller_refusal &refusal)
{
    finish_request response;
    response.request = open.token;
    response.outcome = outcome_kind::invalid;
    response.reason = refusal.reason;
    response.field = refusal.field;
    finish(response);
}

void caller_api::onDisconnect(exchange &open)
{
    if (open.isDisconnected || open.isFinished)
        return;
    open.isDisconnected = true;
    // After an error evhtp keeps a paused request until it is resumed, and frees it then.
    m_loop.post([this, token = open.token, alive = m_alive] {
        if (!*alive)
            return;
        m_deliver(caller_gone{token});
        if (auto *gone = find(token))
            evhtp_request_resume(gone->request);
    });
}

void caller_api::addCommonHeaders(evhtp_request *request, const finish_request *response) const
{
    if (m_isDraining) {
        addHeader(request, "Connection", "close");
        evhtp_request_set_keepalive(request, 0);
    }
    if (!response)
        return;
    if (!response->requestId.empty())
        addHeader(request, "Foxtaildyke-Request-Id", response->requestId);
    if (!response->sessionToken.empty())
        addHeader(request, "Foxtaildyke-Session-Token", response->sessionToken);
    if (const auto seconds = retryAfterOf(*response); !seconds.empty())
        addHeader(request, "Retry-After", seconds);
}

void caller_api::startStream(exchange &open, const finish_request *response)
{
    open.isStarted = true;
    addHeader(open.request, "Content-Type", "text/event-stream");
    addHeader(open.request, "Cache-Control", "no-store");
    addCommonHeaders(open.request, response);
    if (!response && !open.requestId.empty())
        addHeader(open.request, "Foxtaildyke-Request-Id", open.requestId);
    evhtp_send_reply_chunk_start(open.request, EVHTP_RES_OK);
}

void caller_api::sendPart(exchange &open, std::string_view text)
{
    auto *buffer = evbuffer_new();
    evbuffer_add(buffer, text.data(), text.size());
    evhtp_send_reply_chunk(open.request, buffer);
    evbuffer_free(buffer);
}

bool caller_api::chunk(const send_chunk &part)
{
    auto *open = find(part.request);
    if (!open || open->isDisconnected || open->isFinished)
        return false;
    if (!open->stream) {
        open->text += part.text;
        return false;
    }
    const bool isFirst = !open->isStarted;
    if (isFirst)
        startStream(*open, nullptr);
    sendPart(*open, encodeTextEvent(part.text));
    return isFirst;
}

void caller_api::sendComplete(exchange &open, const finish_request &response)
{
    const auto body = encodeResponse(response, open.text + response.text, true);
    addHeader(open.request, "Content-Type", "application/json");
    addCommonHeaders(open.request, &response);
    evbuffer_add(open.request->buffer_out, body.data(), body.size());
    evhtp_send_reply(open.request, static_cast<evhtp_res>(httpStatusOf(response.outcome, response.reason)));
}

void caller_api::finish(const finish_request &response)
{
    auto *open = find(response.request);
    if (!open || open->isDisconnected || open->isFinished)
        return;
    open->isFinished = true;
    // A stream that has not started yet can still report a rejection in its HTTP status.
    const bool isStream = open->stream && (open->isStarted || response.outcome == outcome_kind::complete);
    if (!isStream) {
        sendComplete(*open, response);
    } else {
        if (!open->isStarted)
            startStream(*open, &response);
        if (!response.text.empty())
            sendPart(*open, encodeTextEvent(response.text));
        sendPart(*open, encodeOutcomeEvent(response));
        evhtp_send_reply_chunk_end(open->request);
    }
    evhtp_request_resume(open->request);
}

void caller_api::drain()
{
    m_isDraining = true;
}

} // namespace foxtaildyke
