// Callers' API over libevhtp; see caller_api_p.h.
#include "caller_api_p.h"

#include <evhtp/evhtp.h>

namespace foxtaildyke
{

namespace
{

constexpr int kBacklog = 1024;
/// A body above the limit is read to its end and answered with 413; above this size the connection is closed instead.
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

/// evhtp takes hooks of every type through one function type; the cast over void () tells the compiler it is meant.
template <typename hook_type>
evhtp_hook asHook(hook_type hook)
{
    return reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(hook));
}

/// IPv4 or IPv6 address of a socket.
union socket_address {
    sockaddr_in6 ipv6{};
    sockaddr_in ipv4;

    /// @returns the size of the address, or 0 where the text is no IP address. Unlike evutil_parse_sockaddr_port() it
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

    /// The port stands at the same place in both forms.
    [[nodiscard]] std::uint16_t port() const { return ntohs(ipv4.sin_port); }
};

std::string takeBody(evhtp_request_t *request)
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
    std::string requestId; ///< as the caller gave it
    bool stream = false;
    bool isStarted = false; ///< the status line of a stream is sent
    bool isFinished = false; ///< the final answer is handed to evhtp
    bool isGone = false; ///< the caller closed the connection
    std::string text; ///< parts of an answer that is not streamed
};

/// Callbacks of evhtp.
struct caller_api_hooks {
    static void answers(evhtp_request_t *request, void *self) { static_cast<caller_api *>(self)->onAnswers(request); }

    static void health(evhtp_request_t *request, void *self) { static_cast<caller_api *>(self)->onHealth(request); }

    /// Keeps at most the limit and one read of a body in memory.
    static evhtp_res bodyPart(evhtp_request_t *request, evbuffer *part, void *)
    {
        if (evbuffer_get_length(request->buffer_in) > kCallerBodyLimitBytes)
            evbuffer_drain(part, evbuffer_get_length(part));
        return EVHTP_RES_OK;
    }

    static void connectionError(evhtp_request_t *, evhtp_error_flags, void *open)
    {
        auto &exchange = *static_cast<caller_api::exchange *>(open);
        exchange.owner.onGone(exchange);
    }

    static evhtp_res requestEnd(evhtp_request_t *, void *open)
    {
        auto &exchange = *static_cast<caller_api::exchange *>(open);
        auto &owner = exchange.owner;
        const auto token = exchange.token;
        const bool wasOpen = !exchange.isFinished && !exchange.isGone;
        owner.m_open.erase(static_cast<std::uint64_t>(token));
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
}

caller_api::~caller_api()
{
    *m_alive = false;
    for (const auto &[token, open] : m_open)
        evhtp_request_unset_hook(open->request, evhtp_hook_on_request_fini);
    if (m_server->server)
        evhtp_unbind_socket(m_server);
    evhtp_free(m_server);
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
    const auto found = m_open.find(static_cast<std::uint64_t>(request));
    return found == m_open.end() ? nullptr : found->second.get();
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
    m_open.emplace(number, std::move(owned));
    evhtp_request_set_hook(request, evhtp_hook_on_error, asHook(caller_api_hooks::connectionError), &open);
    evhtp_request_set_hook(request, evhtp_hook_on_request_fini, asHook(caller_api_hooks::requestEnd), &open);
    evhtp_request_pause(request);
    // evhtp 1.2.18 closes the connection where a chunked answer is begun inside its request callback.
    m_loop.post([this, token = open.token, alive = m_alive] {
        auto *ready = *alive ? find(token) : nullptr;
        if (ready)
            decode(*ready);
    });
}

void caller_api::decode(exchange &open)
{
    auto *request = open.request;
    // A paused connection is not read, which would hide that the caller closed it.
    bufferevent_enable(evhtp_request_get_bev(request), EV_READ);
    const caller_headers headers{headerOf(request, "Authorization"), headerOf(request, "Foxtaildyke-Request-Id"),
                                 headerOf(request, "Foxtaildyke-Session"),
                                 headerOf(request, "Foxtaildyke-Session-Token"),
                                 headerOf(request, "Foxtaildyke-Deadline-Ms")};
    auto decoded = decodeCallerRequest(headers, takeBody(request));
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
    finish_request answer;
    answer.request = open.token;
    answer.outcome = outcome_kind::invalid;
    answer.reason = refusal.reason;
    answer.field = refusal.field;
    finish(answer);
}

void caller_api::onGone(exchange &open)
{
    if (open.isGone || open.isFinished)
        return;
    open.isGone = true;
    // evhtp keeps a paused request after an error and frees it when it is resumed.
    m_loop.post([this, token = open.token, alive = m_alive] {
        if (!*alive)
            return;
        m_deliver(caller_gone{token});
        if (auto *gone = find(token))
            evhtp_request_resume(gone->request);
    });
}

void caller_api::addCommonHeaders(evhtp_request *request, const finish_request *answer) const
{
    if (m_isDraining) {
        addHeader(request, "Connection", "close");
        evhtp_request_set_keepalive(request, 0);
    }
    if (!answer)
        return;
    if (!answer->requestId.empty())
        addHeader(request, "Foxtaildyke-Request-Id", answer->requestId);
    if (!answer->sessionToken.empty())
        addHeader(request, "Foxtaildyke-Session-Token", answer->sessionToken);
    if (const auto seconds = retryAfterOf(*answer); !seconds.empty())
        addHeader(request, "Retry-After", seconds);
}

void caller_api::startStream(exchange &open, const finish_request *answer)
{
    open.isStarted = true;
    addHeader(open.request, "Content-Type", "text/event-stream");
    addHeader(open.request, "Cache-Control", "no-store");
    addCommonHeaders(open.request, answer);
    if (!answer && !open.requestId.empty())
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
    if (!open || open->isGone || open->isFinished)
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

void caller_api::sendWhole(exchange &open, const finish_request &answer)
{
    const auto body = encodeResponse(answer, open.text + answer.text, true);
    addHeader(open.request, "Content-Type", "application/json");
    addCommonHeaders(open.request, &answer);
    evbuffer_add(open.request->buffer_out, body.data(), body.size());
    evhtp_send_reply(open.request, static_cast<evhtp_res>(httpStatusOf(answer.outcome, answer.reason)));
}

void caller_api::finish(const finish_request &answer)
{
    auto *open = find(answer.request);
    if (!open || open->isGone || open->isFinished)
        return;
    open->isFinished = true;
    // A stream that has not started yet can still carry a refusal in its status.
    const bool isStream = open->stream && (open->isStarted || answer.outcome == outcome_kind::complete);
    if (!isStream) {
        sendWhole(*open, answer);
    } else {
        if (!open->isStarted)
            startStream(*open, &answer);
        if (!answer.text.empty())
            sendPart(*open, encodeTextEvent(answer.text));
        sendPart(*open, encodeOutcomeEvent(answer));
        evhtp_send_reply_chunk_end(open->request);
    }
    evhtp_request_resume(open->request);
}

void caller_api::drain()
{
    m_isDraining = true;
}

} // namespace foxtaildyke
