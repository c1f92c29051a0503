// Asks the router of this host for its status: gRPC method Status of the peer service.
#pragma once

#include "controller_p.h"
#include "event_loop_p.h"
#include "http_client_p.h"

namespace foxtaildyke
{

class status_client : public status_port
{
public:
    static constexpr std::chrono::milliseconds kDeadline{1000};

    /// @param router address of its peer service.
    status_client(event_loop &loop, const http_endpoint &router);
    ~status_client() override;
    status_client(const status_client &) = delete;
    status_client &operator=(const status_client &) = delete;

    /// @param done runs on the loop's task.
    void status(status_done done) override;

private:
    struct implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace foxtaildyke
