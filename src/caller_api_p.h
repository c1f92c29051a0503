// Callers' API over libevhtp: POST /v1/answers and GET /healthz.
#pragma once

#include "caller_protocol_p.h"
#include "http_client_p.h"
#include "ports_p.h"

struct evhtp;
struct evhtp_request;

namespace foxtaildyke
{

/// Owns the callers' sockets. Delivers caller_request and caller_gone to the sink, and takes the core's answers.
class caller_api
{
public:
    caller_api(event_loop &loop, core_sink deliver);
    ~caller_api();
    caller_api(const caller_api &) = delete;
    caller_api &operator=(const caller_api &) = delete;

    /// Starts listening; port 0 takes a free one.
    /// @returns the port.
    [[nodiscard]] result<std::uint16_t> listen(const http_endpoint &endpoint);

    /// @returns whether this is the first part that goes to the caller's socket.
    bool chunk(const send_chunk &part);
    void finish(const finish_request &answer);

    /// From now on /healthz answers 503 and connections are closed after their answer.
    void drain();

    /// @returns whether all answers have been written to their sockets.
    [[nodiscard]] bool isIdle() const { return m_open.empty(); }

    /// @returns arrival of a request that is not finished, or nothing.
    [[nodiscard]] std::optional<instant> arrivalOf(request_token request) const;

private:
    struct exchange;
    friend struct caller_api_hooks;

    void onAnswers(evhtp_request *request);
    void decode(exchange &open);
    void onHealth(evhtp_request *request);
    void onGone(exchange &open);
    void refuse(exchange &open, const caller_refusal &refusal);
    void startStream(exchange &open, const finish_request *answer);
    void sendPart(exchange &open, std::string_view text);
    void sendWhole(exchange &open, const finish_request &answer);
    void addCommonHeaders(evhtp_request *request, const finish_request *answer) const;
    [[nodiscard]] exchange *find(request_token request) const;

    event_loop &m_loop;
    core_sink m_deliver;
    evhtp *m_server = nullptr;
    bool m_isDraining = false;
    std::uint64_t m_nextToken = 1;
    std::map<std::uint64_t, std::unique_ptr<exchange>> m_open; ///< by request token, until evhtp frees the request
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< for posted messages that outlive this object
};

} // namespace foxtaildyke
