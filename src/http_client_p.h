// HTTP client of one task over evhttp: pooled keep-alive connections, streamed bodies, an overall timeout for each
// call. The platform client, the object store and the upstream client are built on it.
#pragma once

#include "event_loop_p.h"

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

/// Reads "IP:port"; an IPv6 address stands in brackets.
[[nodiscard]] std::optional<http_endpoint> parseEndpoint(std::string_view text);

enum class http_method : std::uint8_t { get, post, put, remove, count };

using http_headers = std::vector<std::pair<std::string, std::string>>;

struct http_request {
    http_endpoint endpoint;
    http_method method = http_method::get;
    std::string path; ///< with query
    http_headers headers;
    std::string body;
    std::chrono::milliseconds timeout{5000}; ///< for the whole call
};

/// How a call ended.
enum class http_end : std::uint8_t {
    complete, ///< status and headers are set; a chunked or sized body arrived whole
    not_connected, ///< no connection came up: nothing was sent
    broken, ///< the connection was lost after the request was handed to it
    timed_out, ///< `connected` tells whether the request may have been sent
    count
};

struct http_response {
    http_end end = http_end::broken;
    int status = 0;
    bool sent = true; ///< whether the request may have reached the server
    std::string body; ///< empty where the call has an onData handler
    std::string etag;
    std::string retryAfter;
};

enum class http_call_id : std::uint64_t {};

struct http_handlers {
    std::function<void(http_response)> onDone; ///< exactly once, unless the call is cancelled
    std::function<void(int status, std::string_view data)> onData; ///< optional: body as it arrives
};

class http_client
{
public:
    /// Idle connections are dropped before the server drops them (evhttp servers: 50 s), so that a request is not lost
    /// on a connection that is just being closed.
    static constexpr std::chrono::seconds kIdleLimit{20};

    explicit http_client(event_loop &loop, std::chrono::microseconds idleLimit = kIdleLimit);
    ~http_client();
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;

    /// Starts a call. Handlers never run before this returns.
    http_call_id start(http_request request, http_handlers handlers);

    /// Ends a call and closes its connection; its handlers don't run any more.
    void cancel(http_call_id call);

    [[nodiscard]] std::size_t openCalls() const { return m_calls.size(); }

    /// @returns connections that are kept for later calls.
    [[nodiscard]] std::size_t idleConnections() const;

private:
    struct call;
    struct idle_connection {
        evhttp_connection *connection = nullptr;
        instant since{};
    };

    evhttp_connection *takeConnection(const http_endpoint &endpoint);
    void giveBack(const http_endpoint &endpoint, evhttp_connection *connection);
    void discard(evhttp_connection *connection, std::unique_ptr<call> owner);
    void freeDiscarded();
    void pruneIdle();
    bool send(call &open);
    void onResponse(call &open, evhttp_request *response);
    void onBodyPart(call &open, evhttp_request *response);
    void onTimeout(call &open);
    void finish(call &open, http_response reply);

    event_loop &m_loop;
    std::chrono::microseconds m_idleLimit;
    std::uint64_t m_nextCall = 1;
    std::unordered_map<std::uint64_t, std::unique_ptr<call>> m_calls;
    std::map<http_endpoint, std::vector<idle_connection>> m_idle;
    /// Connections to free outside of evhttp's own callbacks, with the call that those may still refer to.
    std::vector<std::pair<evhttp_connection *, std::unique_ptr<call>>> m_discarded;
    loop_timer m_cleanup;
    loop_timer m_prune;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< for posted messages that outlive this object
};

} // namespace foxtaildyke
