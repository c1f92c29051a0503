// Sends one request to a replica and reads its answer, over connections that are kept per replica. Answers of other
// requests that arrive on a kept connection are skipped.
#pragma once

#include "gateway_clock_p.h"
#include "http_parser_p.h"
#include "stream_socket_p.h"

#include <unordered_map>

namespace foxtaildyke
{

/// How an exchange with a replica ended.
enum class upstream_end : std::uint8_t {
    complete, ///< whole answer
    not_connected, ///< no connection came up: nothing was sent
    broken, ///< the connection was lost after the request was written to it
    malformed, ///< the answer was not HTTP, or its length was ambiguous
    count
};

template <>
struct enum_names<upstream_end> {
    static constexpr std::array kNames{"complete", "not_connected", "broken", "malformed"};
};

/// Receives an answer as it arrives.
class upstream_listener
{
public:
    virtual ~upstream_listener() = default;
    virtual void onUpstreamHead(const message_head &head) = 0; ///< the exchange may be destroyed from here
    virtual void onUpstreamBody(std::string_view bytes) = 0; ///< the exchange must not be destroyed from here
    virtual void onUpstreamEnd(upstream_end end) = 0; ///< the exchange may be destroyed from here
};

struct upstream_request {
    http_endpoint address;
    std::string replica; ///< id; connections are kept per replica and address
    std::string bytes; ///< head and body
    std::string requestId; ///< an answer that echoes another id is skipped
};

class connection_pool;

/// One request to a replica. Destroying it before its end closes the connection, at which the replica stops work.
class upstream_exchange
{
public:
    upstream_exchange(connection_pool &pool, upstream_request request, upstream_listener &listener);
    ~upstream_exchange();
    upstream_exchange(const upstream_exchange &) = delete;
    upstream_exchange &operator=(const upstream_exchange &) = delete;

    /// Stops or resumes reading, while the caller is slower than the replica.
    void setReading(bool isOn);

private:
    void send();
    void onReadable();
    void onSocketEnd(socket_end end);
    void takeHead();
    void finish(upstream_end end);

    connection_pool &m_pool;
    upstream_request m_request;
    upstream_listener &m_listener;
    std::unique_ptr<stream_socket> m_socket;
    http_parser m_parser{message_type::response};
    loop_timer m_connectTimer;
    bool m_isConnected = false;
    bool m_hasHead = false; ///< the head of this request's answer has been handed on
    bool m_isStray = false; ///< the answer being read belongs to another request
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

/// Connections that wait for their next request.
class connection_pool
{
public:
    connection_pool(event_loop &loop, std::string requestIdHeader);

    [[nodiscard]] std::unique_ptr<stream_socket> acquire(const std::string &replica, const http_endpoint &address);
    /// @param idleLimit how long the replica keeps an idle connection, or 0: unknown.
    void release(const std::string &replica, const http_endpoint &address, std::unique_ptr<stream_socket> socket,
                 std::chrono::milliseconds idleLimit);

    [[nodiscard]] event_loop &loop() { return m_loop; }
    [[nodiscard]] const std::string &requestIdHeader() const { return m_requestIdHeader; }

    /// Time in which a connection comes up: the largest round trip between failure domains (3 ms) and one lost packet
    /// (a retransmission after 1 s would be too late for plain calls) lie within it.
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

    /// Kept connections per replica. A host's share of a replica's slots is below this at today's sizes.
    static constexpr std::size_t kMaxIdlePerReplica = 24;
    /// Idle time where the replica states none.
    static constexpr std::chrono::milliseconds kDefaultIdleLimit{2000};
    /// A connection isn't used in the last part of its idle time, so that the request doesn't cross its end.
    static constexpr std::chrono::milliseconds kIdleMargin{700};
    static constexpr std::chrono::seconds kPruneInterval{1};

    event_loop &m_loop;
    std::string m_requestIdHeader;
    std::unordered_map<std::string, idle_list> m_idle; ///< by replica id
    loop_timer m_pruneTimer;
};

} // namespace foxtaildyke
