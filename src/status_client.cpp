// Client of the Status method; see status_client_p.h.
#include "status_client_p.h"

namespace foxtaildyke
{

namespace
{

host_status decodeStatus(const status_reply &response)
{
    host_status status;
    status.generation = response.generation();
    status.recovering = response.recovering();
    status.mayDispatch = response.may_dispatch();
    status.acknowledged.assign(response.acknowledged_hosts().begin(), response.acknowledged_hosts().end());
    status.registered.assign(response.registered_hosts().begin(), response.registered_hosts().end());
    status.halted.assign(response.halted_versions().begin(), response.halted_versions().end());
    return status;
}

/// A Status call changes no state, so it doesn't matter whether a failed call was delivered.
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
    for (auto &[call, done] : m_openCalls)
        m_loop.post([done = std::move(done)] { done(error{error_code::unavailable, "router"}); });
}

void status_client::status(status_done done)
{
    const auto call = ++m_lastCall;
    m_openCalls.emplace(call, std::move(done));
    m_peers.status(m_router, {}, kDeadline, [this, call](const result<status_reply> &response) {
        const auto handler = m_openCalls.extract(call);
        if (response.has_error())
            handler.mapped()(decodeError(response.error()));
        else
            handler.mapped()(decodeStatus(response.value()));
    });
}

} // namespace foxtaildyke
