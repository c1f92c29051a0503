// Client of model engines and plain services: runs attempts, checks that each event belongs to its attempt, and turns
// the stream into inputs of the decision core.
#pragma once

#include "http_client_p.h"
#include "router_core_p.h"

namespace foxtaildyke
{

class upstream_client
{
public:
    using core_sink = std::function<void(core_input)>;

    /// @param hostName part of each attempt id, so that ids of two hosts differ.
    /// @param deliver takes attempt_chunk, attempt_done and attempt_failed; after start() exactly one of the latter
    /// two, unless the attempt is cancelled. Never called before start() returns.
    upstream_client(event_loop &loop, http_client &client, std::string hostName, core_sink deliver);
    ~upstream_client();

    void start(const start_attempt &attempt);

    /// Closes the attempt's connection, which cancels it at the upstream.
    void cancel(attempt_token attempt);

    /// @returns events dropped so far because they named another attempt or none.
    [[nodiscard]] std::uint64_t foreignEvents() const { return m_foreignEvents; }

private:
    struct running;
    void onData(const std::shared_ptr<running> &attempt, int status, std::string_view data);
    void onLine(running &attempt, std::string_view line);
    void onEvent(running &attempt, std::string_view payload);
    void onEnd(running &attempt, const http_response &reply);
    void settle(running &attempt, core_input input);

    http_client &m_client;
    std::string m_idPrefix; ///< host and start time of this process: ids of an earlier process are foreign
    core_sink m_deliver;
    std::uint64_t m_foreignEvents = 0;
    std::unordered_map<std::uint64_t, std::shared_ptr<running>> m_running; ///< by attempt token
};

} // namespace foxtaildyke
