// HTTP client of a task over evhttp: pooled keep-alive connections, streamed bodies, and an overall timeout for each
// call. The platform client, the object store and the upstream client use it.
#pragma once

#include "event_loop_p.h"
#include "request_target_p.h"

#include <map>
#include <string>
#include <unordered_map>

struct evhttp_connection;
struct evhttp_request;

namespace foxtaildyke
{

struct http_endpoint {
    std::string address; ///< IP address
    std::uint16_t port = 0;
    auto operator<=>(const http_endpoint &) const = default; // NOLINT(modernize-use-nullptr): a false positive
};

/// Parses "IP:port"; an IPv6 address is written in brackets.
[[nodiscard]] std::optional<http_endpoint> parseEndpoint(std::string_view text);

/// @returns "address:port".
[[nodiscard]] std::string textOf(const http_endpoint &endpoint);

enum class http_method : std::uint8_t { get, post, put, remove, count };

using http_headers = std::vector<std::pair<std::string, std::string>>;

struct http_request {
    http_endpoint endpoint;
    http_method method = http_method::get;
    request_target target;
    http_headers headers;
    std::string body;
    std::chrono::milliseconds timeout{5000}; ///< for the whole call
    std::chrono::milliseconds stallTimeout{0}; ///< without any part of the response; 0: as long as the call may last
    std::size_t maxBodyBytes = 16U << 20U; ///< of the response
};

/// How a call ended.
enum class http_end : std::uint8_t {
    complete, ///< status and headers are set; a chunked or sized body was received completely
    not_connected, ///< no connection was established: nothing was sent
    broken, ///< the connection was lost after the request was handed to it, or the response exceeded a limit
    timed_out, ///< one of the timeouts expired; the request may have been sent
    count
};

struct http_response {
    http_end end = http_end::broken;
    int status = 0;
    bool sent = true; ///< whether the request may have reached the server
    std::string body; ///< empty if the call has an onData handler
    std::string etag;
    std::string retryAfter;
    http_headers headers; ///< of a complete response
};

enum class http_call_id : std::uint64_t {};

/// Head of a response, before it is known to belong to a call.
struct http_response_head {
    int status = 0;
    const http_headers &headers;
    bool isReusedConnection = false; ///< other calls have used the connection before
};

struct http_handlers {
    std::function<void(http_response)> onDone; ///< called exactly once, unless the call is cancelled
    std::function<void(int status, std::string_view data)> onData; ///< optional; receives the body as it arrives
    /// Optional. @returns whether a complete response belongs to the call. Otherwise the call ends as broken and the
    /// connection is closed, as all its later responses would belong to other calls as well.
    std::function<bool(const http_response_head &)> isOwnResponse;
};

class http_client
{
public:
    /// Idle connections are closed before the server closes them (evhttp servers: 50 s), so that no request is lost on
    /// a connection that is being closed.
    static constexpr std::chrono::seconds kIdleLimit{20};

    explicit http_client(event_loop &loop, std::chrono::microseconds idleLimit = kIdleLimit);
    ~http_client();
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;

    /// Starts a call. Handlers never run before this returns.
    http_call_id start(http_request request, http_handlers handlers);

    /// Ends a call and closes its connection; its handlers are no longer called.
    void cancel(http_call_id call);

    [[nodiscard]] std::size_t openCalls() const { return m_calls.size(); }

    /// @returns the number of connections kept for later calls.
    [[nodiscard]] std::size_t idleConnections() const;

private:
    struct call;
    struct idle_connection {
        evhttp_connection *connection = nullptr;
        instant since{};
    };

    /// @returns an idle connection, or null.
    evhttp_connection *takeIdleConnection(const http_endpoint &endpoint);
    evhttp_connection *newConnection(const http_endpoint &endpoint);
    void releaseConnection(const http_endpoint &endpoint, evhttp_connection *connection);
    void discard(evhttp_connection *connection, std::unique_ptr<call> endedCall);
    /// Closes all idle connections to an endpoint.
    void discardIdle(const http_endpoint &endpoint);
    void freeDiscarded();
    void pruneIdle();
    bool send(call &open);
    void onResponse(call &open, evhttp_request *evhttpResponse);
    void onBodyPart(call &open, evhttp_request *evhttpResponse);
    void onTimeout(call &open);
    void finish(call &open, http_response response);

    event_loop &m_loop;
    std::chrono::microseconds m_idleLimit;
    std::uint64_t m_nextCall = 1;
    std::unordered_map<std::uint64_t, std::unique_ptr<call>> m_calls;
    std::map<http_endpoint, std::vector<idle_connection>> m_idle;
    /// Connections to free outside of evhttp's own callbacks, with the call to which those callbacks may still refer.
    std::vector<std::pair<evhttp_connection *, std::unique_ptr<call>>> m_discarded;
    loop_timer m_cleanupTimer;
    loop_timer m_pruneTimer;
    std::shared_ptr<bool> m_alive =
        std::make_shared<bool>(true); ///< checked by posted messages, which may outlive this object
};

} // namespace foxtaildyke
