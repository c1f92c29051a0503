// Client of model engines and plain services: runs attempts, checks that each event belongs to its attempt, and
// converts the stream to inputs of the decision core.
#pragma once

#include "http_client_p.h"
#include "router_core_p.h"

namespace foxtaildyke
{

class upstream_client
{
public:
    using core_sink = std::function<void(core_input)>;

    /// @param hostName part of each attempt id, so that ids of different hosts are distinct.
    /// @param deliver receives attempt_chunk, attempt_done and attempt_failed: exactly one of the latter two for each
    /// attempt that is not cancelled. Never called before start() returns.
    upstream_client(event_loop &loop, http_client &client, std::string hostName, core_sink deliver);
    ~upstream_client();

    void start(const start_attempt &attempt);

    /// Closes the attempt's connection, which cancels the attempt at the upstream.
    void cancel(attempt_token attempt);

    /// @returns the number of events dropped so far because they carried the id of another attempt or none.
    [[nodiscard]] std::uint64_t foreignEvents() const { return m_foreignEvents; }

private:
    struct running_attempt;
    void onData(const std::shared_ptr<running_attempt> &attempt, int status, std::string_view data);
    void onLine(running_attempt &attempt, std::string_view line);
    void onEvent(running_attempt &attempt, std::string_view payload);
    void onEnd(running_attempt &attempt, const http_response &response);
    void deliverResult(running_attempt &attempt, core_input input);

    http_client &m_client;
    std::string m_idPrefix; ///< host and start time of this process, so that ids of an earlier process don't match
    core_sink m_deliver;
    std::uint64_t m_foreignEvents = 0;
    std::unordered_map<std::uint64_t, std::shared_ptr<running_attempt>> m_running; ///< by attempt token
};

} // namespace foxtaildyke
