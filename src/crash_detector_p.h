// Finds out whether a replica that broke off a response has ended, or only the connection was lost: opens another
// connection, which a host whose process has ended refuses.
#pragma once

#include "upstream_exchange_p.h"

namespace foxtaildyke
{

/// Replica and request of an attempt whose response was broken off.
struct broken_attempt {
    std::string service;
    std::string replica; ///< id
    http_endpoint address;
    std::uint64_t crashId = 0; ///< see crash_registry::crashId()
    std::uint64_t fingerprint = 0; ///< of the request
    std::vector<std::uint64_t> parts; ///< shared prompt parts that may have ended the replica
    std::vector<std::uint64_t> traits; ///< of the request, see crash_evidence_p.h
    bool isResponding = false; ///< the replica had begun to respond
    std::string requestId;
};

class crash_detector
{
public:
    using crash_handler = std::function<void(const broken_attempt &)>;

    /// @param onCrash called for each checked attempt whose replica has ended, never from within check().
    crash_detector(connection_pool &pool, crash_handler onCrash);

    /// Checks the replica. Attempts at the same replica share a check that is in progress.
    /// @remarks A connection that times out proves nothing: its packets may have been lost.
    void check(broken_attempt attempt);

private:
    struct pending_check {
        pending_check(event_loop &loop, std::function<void()> onTimeout);

        std::unique_ptr<stream_socket> socket;
        loop_timer timeout;
        std::vector<broken_attempt> attempts;
    };
    using check_ptr = std::unique_ptr<pending_check>;

    /// Removes a check. It is destroyed after the handler that called this has returned.
    std::vector<broken_attempt> finish(const std::string &replica);
    void onConnected(const std::string &replica);
    void onRefused(const std::string &replica);

    connection_pool &m_pool;
    crash_handler m_onCrash;
    std::unordered_map<std::string, check_ptr> m_pending; ///< by replica id
};

} // namespace foxtaildyke
