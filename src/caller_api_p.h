// Callers' API over libevhtp: POST /v1/answers and GET /healthz.
#pragma once

#include "caller_protocol_p.h"
#include "http_client_p.h"
#include "ports_p.h"

struct evhtp;
struct evhtp_request;

namespace foxtaildyke
{

/// Owns the callers' sockets. Delivers caller_request and caller_gone to the sink, and sends the core's responses.
class caller_api
{
public:
    caller_api(event_loop &loop, core_sink deliver);
    ~caller_api();
    caller_api(const caller_api &) = delete;
    caller_api &operator=(const caller_api &) = delete;

    /// Starts listening; port 0 selects a free port.
    /// @returns the port.
    [[nodiscard]] result<std::uint16_t> listen(const http_endpoint &endpoint);

    /// Sends a part of a streamed response, or appends it to a response that is not streamed.
    /// @returns whether this is the first part written to the caller's socket.
    bool chunk(const send_chunk &part);
    void finish(const finish_request &response);

    /// From now on /healthz returns 503 and connections are closed after their response.
    void drain();

    /// Accepts no more connections; those that are open are served.
    void stopListening();

    /// @returns whether all responses have been written to their sockets.
    [[nodiscard]] bool isIdle() const { return m_exchanges.empty(); }

    /// @returns whether isIdle() and no connection was accepted, and no request has begun to arrive, within
    /// kQuietTime: a caller that has connected sends its request within this time.
    [[nodiscard]] bool isQuiet(instant now) const { return isIdle() && now - m_activeAt >= kQuietTime; }

    static constexpr std::chrono::milliseconds kQuietTime{1000};

    /// @returns the arrival time of an unfinished request, or nothing.
    [[nodiscard]] std::optional<instant> arrivalOf(request_token request) const;

private:
    struct exchange;
    friend struct caller_api_hooks;

    void onAnswers(evhtp_request *request);
    void decode(exchange &open);
    void onHealth(evhtp_request *request);
    void onDisconnect(exchange &open);
    void refuse(exchange &open, const caller_refusal &refusal);
    void startStream(exchange &open, const finish_request *response);
    void sendPart(exchange &open, std::string_view text);
    void sendComplete(exchange &open, const finish_request &response);
    void addCommonHeaders(evhtp_request *request, const finish_request *response) const;
    [[nodiscard]] exchange *find(request_token request) const;

    event_loop &m_loop;
    core_sink m_deliver;
    evhtp *m_server = nullptr;
    bool m_isDraining = false;
    instant m_activeAt = instant::min() / 2; ///< last accepted connection or first byte of a request
    std::uint64_t m_nextToken = 1;
    std::map<std::uint64_t, std::unique_ptr<exchange>> m_exchanges; ///< by request token, until evhtp frees the request
    std::shared_ptr<bool> m_alive =
        std::make_shared<bool>(true); ///< checked by posted messages, which may outlive this object
};

} // namespace foxtaildyke
