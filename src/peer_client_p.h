// gRPC clients of the protocol between routers. Results come on the event loop.
#pragma once

#include "event_loop_p.h"
#include "http_client_p.h"
#include "peer_wire_p.h"

namespace foxtaildyke
{

/// Result of a call. Errors: unavailable (not delivered, or refused by the other process), timed_out and io_failure
/// (may have been carried out).
template <typename reply_type>
using peer_done = std::function<void(result<reply_type>)>;

class peer_client
{
public:
    explicit peer_client(event_loop &loop);

    /// Cancels open calls and waits for their end; their results are not delivered.
    ~peer_client();
    peer_client(const peer_client &) = delete;
    peer_client &operator=(const peer_client &) = delete;

    // Each call ends within its timeout.
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
