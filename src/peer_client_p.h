// gRPC client of the protocol between routers. Results are delivered on the event loop.
#pragma once

#include "event_loop_p.h"
#include "http_client_p.h"
#include "peer_wire_p.h"

namespace foxtaildyke
{

/// Receives the result of a call. Errors: unavailable (the call was not delivered, or the peer doesn't implement it);
/// timed_out and io_failure (the peer may have executed the call).
template <typename response_type>
using peer_done = std::function<void(result<response_type>)>;

class peer_client
{
public:
    explicit peer_client(event_loop &loop);

    /// Cancels open calls and waits up to 2 s until they have ended; their results are not delivered.
    ~peer_client();
    peer_client(const peer_client &) = delete;
    peer_client &operator=(const peer_client &) = delete;

    // Every call ends within its timeout.
    void exchange(const http_endpoint &to, exchange_request request, std::chrono::milliseconds timeout,
                  peer_done<exchange_reply> done);
    void recover(const http_endpoint &to, recover_request request, std::chrono::milliseconds timeout,
                 peer_done<recover_reply> done);
    void append(const http_endpoint &to, append_request request, std::chrono::milliseconds timeout,
                peer_done<append_response> done);
    void copyBills(const http_endpoint &to, copy_bills_request request, std::chrono::milliseconds timeout,
                   peer_done<copy_bills_reply> done);
    void status(const http_endpoint &to, status_request request, std::chrono::milliseconds timeout,
                peer_done<status_reply> done);

private:
    struct implementation;
    std::shared_ptr<implementation> m_impl; ///< shared with calls in flight
};

} // namespace foxtaildyke
