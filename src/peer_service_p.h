// gRPC server of the protocol between routers. Calls are handled on the router's event loop; gRPC's threads only pass
// messages to it. This header and peer_client_p.h keep gRPC's own headers out of the other files.
#pragma once

#include "event_loop_p.h"
#include "http_client_p.h"
#include "peer_wire_p.h"

namespace foxtaildyke
{

/// Sends the response of one call. Must be called once, on the event loop, at any time.
template <typename response_type>
using peer_responder = std::function<void(response_type)>;

/// Handles a call on the event loop.
template <typename request_type, typename response_type>
using peer_handler = std::function<void(const request_type &, peer_responder<response_type>)>;

/// Calls without a handler fail with the gRPC status UNIMPLEMENTED.
struct peer_handlers {
    peer_handler<exchange_request, exchange_reply> exchange;
    peer_handler<recover_request, recover_reply> recover;
    peer_handler<append_request, append_response> append;
    peer_handler<copy_bills_request, copy_bills_reply> copyBills;
    peer_handler<status_request, status_reply> status;
};

class peer_service
{
public:
    peer_service(event_loop &loop, peer_handlers handlers);

    /// Ends all open calls with the gRPC status UNAVAILABLE.
    ~peer_service();
    peer_service(const peer_service &) = delete;
    peer_service &operator=(const peer_service &) = delete;

    /// Binds the address. @returns the bound port.
    [[nodiscard]] result<std::uint16_t> listen(const http_endpoint &address);

private:
    struct implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace foxtaildyke
