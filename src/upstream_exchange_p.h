// Sends one request to a replica and reads the response, over persistent connections that are pooled per replica.
// Responses to other requests that arrive on a reused connection are skipped.
#pragma once

#include "gateway_clock_p.h"
#include "http_parser_p.h"
#include "stream_socket_p.h"

#include <unordered_map>

namespace foxtaildyke
{

/// How an exchange with a replica ended.
enum class upstream_end : std::uint8_t {
    complete, ///< the response was received completely
    not_connected, ///< no connection was established: nothing was sent
    broken, ///< the connection was lost after the request was written to it
    /// The response was not HTTP, its length was ambiguous, it exceeded a limit, or it couldn't be attributed to the
    /// request.
    malformed,
    count
};

template <>
struct enum_names<upstream_end> {
    static constexpr std::array kNames{"complete", "not_connected", "broken", "malformed"};
};

/// Receives a response as it arrives.
class upstream_listener
{
public:
    virtual ~upstream_listener() = default;
    virtual void onUpstreamConnected() { } ///< a new connection was established; must not destroy the exchange
    virtual void onUpstreamHead(const message_head &head) = 0; ///< may destroy the exchange
    /// Must not destroy the exchange. @returns false to end it as malformed, because the response exceeds a limit.
    [[nodiscard]] virtual bool onUpstreamBody(std::string_view bytes) = 0;
    virtual void onUpstreamEnd(upstream_end end) = 0; ///< may destroy the exchange
};

struct upstream_request {
    http_endpoint address;
    std::string replica; ///< id; connections are pooled per replica and address
    std::string head;
    std::shared_ptr<const std::string> body; ///< not copied; null: none
    std::string requestId; ///< a response that echoes another id is skipped
    /// The replica has responded to the same id before. A second copy of that response can't be told from the new
    /// response, so the request gets a connection of its own.
    bool isRepeated = false;
};

class connection_pool;

/// One request to a replica. Destroying it before its end closes the connection, upon which the replica stops working
/// on the request.
class upstream_exchange
{
public:
    upstream_exchange(connection_pool &pool, upstream_request request, upstream_listener &listener);
    ~upstream_exchange();
    upstream_exchange(const upstream_exchange &) = delete;
    upstream_exchange &operator=(const upstream_exchange &) = delete;

    /// Stops or resumes reading, for back-pressure when the caller reads more slowly than the replica writes.
    void setReading(bool isOn);

private:
    void send();
    void onReadable();
    void onSocketEnd(socket_end end);
    void confirmEnd();
    void handleHead();
    [[nodiscard]] bool acceptBody(std::string_view bytes);
    void finish(upstream_end end);

    connection_pool &m_pool;
    upstream_request m_request;
    upstream_listener &m_listener;
    std::unique_ptr<stream_socket> m_socket;
    http_parser m_parser{message_type::response};
    loop_timer m_connectTimer;
    loop_timer m_endTimer; ///< checks the end of a response again
    bool m_isConnected = false;
    bool m_isReused = false; ///< other requests have been sent on the connection before
    bool m_hasHead = false; ///< the head of this request's response has been passed to the listener
    bool m_isForeignResponse = false; ///< the response being read belongs to another request
    bool m_isOverLimit = false; ///< the listener or kMaxSkippedBytes rejected body bytes
    bool m_isUnattributed = false; ///< the response states no id and may be that to an earlier request
    std::size_t m_skippedBytes = 0; ///< of foreign and interim responses
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);

    /// Time between two checks of a response that has ended before its request was sent.
    static constexpr std::chrono::milliseconds kEndCheckPeriod{2};
    /// Bytes of foreign and interim responses at which the exchange ends: a replica may send them without end.
    static constexpr std::size_t kMaxSkippedBytes = 1U << 20U;
    /// Bytes that each skipped head counts for, at least.
    static constexpr std::size_t kSkippedHeadBytes = 16U << 10U;
};

/// Idle connections to replicas, for reuse by later requests.
class connection_pool
{
public:
    connection_pool(event_loop &loop, std::string requestIdHeader);

    [[nodiscard]] std::unique_ptr<stream_socket> acquire(const std::string &replica, const http_endpoint &address);
    /// @param idleLimit time for which the replica keeps an idle connection open, or 0 if unknown.
    void release(const std::string &replica, const http_endpoint &address, std::unique_ptr<stream_socket> socket,
                 std::chrono::milliseconds idleLimit);

    [[nodiscard]] event_loop &loop() { return m_loop; }
    [[nodiscard]] const std::string &requestIdHeader() const { return m_requestIdHeader; }

    /// Maximum time for establishing a connection. It covers the largest round trip between failure domains (3 ms) and
    /// one lost packet; a retransmission after 1 s would be too late for plain calls.
    static constexpr std::chrono::milliseconds kConnectTimeout{350};

private:
    struct idle_socket {
        std::unique_ptr<stream_socket> socket;
        http_endpoint address;
        instant usableUntil{};
    };
    using idle_list = std::vector<idle_socket>;

    void prune();
    void removeEnded(const std::string &replica, const stream_socket *socket);

    /// Maximum number of idle connections per replica. A host's share of a replica's slots is below this at present
    /// sizes.
    static constexpr std::size_t kMaxIdlePerReplica = 24;
    /// Idle time if the replica announces none.
    static constexpr std::chrono::milliseconds kDefaultIdleLimit{2000};
    /// A connection is not reused in the last part of its idle time, so that no request is sent while the replica
    /// closes it.
    static constexpr std::chrono::milliseconds kIdleMargin{700};
    static constexpr std::chrono::seconds kPruneInterval{1};

    event_loop &m_loop;
    std::string m_requestIdHeader;
    std::unordered_map<std::string, idle_list> m_idle; ///< by replica id
    loop_timer m_pruneTimer;
};

} // namespace foxtaildyke
