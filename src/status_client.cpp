// Client of the Status method; see status_client_p.h.
#include "status_client_p.h"

namespace foxtaildyke
{

namespace
{

host_status decodeStatus(const status_reply &reply)
{
    host_status status;
    status.generation = reply.generation();
    status.recovering = reply.recovering();
    status.mayDispatch = reply.may_dispatch();
    status.acknowledged.assign(reply.acknowledged_hosts().begin(), reply.acknowledged_hosts().end());
    status.registered.assign(reply.registered_hosts().begin(), reply.registered_hosts().end());
    status.halted.assign(reply.halted_versions().begin(), reply.halted_versions().end());
    return status;
}

/// A status changes nothing, so that it doesn't matter whether the call was delivered.
error decodeError(const error &failure)
{
    return {failure.code == error_code::timed_out ? error_code::timed_out : error_code::unavailable, "router"};
}

} // namespace

status_client::status_client(event_loop &loop, http_endpoint router)
    : m_loop(loop)
    , m_peers(loop)
    , m_router(std::move(router))
{
}

status_client::~status_client()
{
    for (auto &[call, done] : m_open)
        m_loop.post([done = std::move(done)] { done(error{error_code::unavailable, "router"}); });
}

void status_client::status(status_done done)
{
    const auto call = ++m_lastCall;
    m_open.emplace(call, std::move(done));
    m_peers.status(m_router, {}, kDeadline, [this, call](const result<status_reply> &reply) {
        const auto answered = m_open.extract(call);
        if (reply.has_error())
            answered.mapped()(decodeError(reply.error()));
        else
            answered.mapped()(decodeStatus(reply.value()));
    });
}

} // namespace foxtaildyke
