// Requests the status of this host's router with the gRPC method Status of the peer service.
#pragma once

#include "controller_p.h"
#include "peer_client_p.h"

namespace foxtaildyke
{

class status_client : public status_port
{
public:
    static constexpr std::chrono::milliseconds kDeadline{1000};

    /// @param router address of the router's peer service.
    status_client(event_loop &loop, http_endpoint router);

    /// Posts an error to the callbacks of open calls.
    ~status_client() override;
    status_client(const status_client &) = delete;
    status_client &operator=(const status_client &) = delete;

    /// @param done runs on the event loop.
    void status(status_done done) override;

private:
    event_loop &m_loop;
    std::map<std::uint64_t, status_done> m_openCalls; ///< calls without a response
    std::uint64_t m_lastCall = 0;
    peer_client m_peers; ///< delivers no results after its destruction
    http_endpoint m_router;
};

} // namespace foxtaildyke
