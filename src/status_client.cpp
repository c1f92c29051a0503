// Client of the Status method; see status_client_p.h.
#include "status_client_p.h"

#include "peer.grpc.pb.h"

#include <condition_variable>
#include <grpcpp/grpcpp.h>
#include <mutex>

namespace foxtaildyke
{

namespace
{

constexpr int kMostBackoffMs = 1000; ///< gRPC waits up to two minutes by default after a router was restarted

std::string targetOf(const http_endpoint &router)
{
    const bool isV6 = router.address.find(':') != std::string::npos;
    const auto address = isV6 ? '[' + router.address + ']' : router.address;
    return (isV6 ? "ipv6:" : "ipv4:") + address + ':' + std::to_string(router.port);
}

std::shared_ptr<grpc::Channel> openChannel(const http_endpoint &router)
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMostBackoffMs);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    return grpc::CreateCustomChannel(targetOf(router), grpc::InsecureChannelCredentials(), arguments);
}

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

error decodeError(const grpc::Status &failure)
{
    const bool isLate = failure.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED;
    return {isLate ? error_code::timed_out : error_code::unavailable, "router"};
}

/// One call; gRPC refers to its members until the callback has run.
struct status_call {
    grpc::ClientContext context;
    status_request request;
    status_reply reply;
    status_port::status_done done;
};

} // namespace

struct status_client::implementation {
    implementation(event_loop &taskLoop, const http_endpoint &router)
        : loop(taskLoop)
        , stub(peer::NewStub(openChannel(router)))
    {
    }

    event_loop &loop;
    std::unique_ptr<peer::Stub> stub;
    std::mutex lock; ///< guards open
    std::condition_variable closed;
    std::vector<std::shared_ptr<status_call>> open; ///< calls whose callback has not run

    /// Runs on a thread of gRPC.
    void finish(const std::shared_ptr<status_call> &call, const grpc::Status &end)
    {
        auto outcome =
            end.ok() ? result<host_status>(decodeStatus(call->reply)) : result<host_status>(decodeError(end));
        const std::lock_guard guard(lock);
        loop.post([done = std::move(call->done), outcome = std::move(outcome)] { done(outcome); });
        std::erase(open, call);
        closed.notify_all();
    }
};

status_client::status_client(event_loop &loop, const http_endpoint &router)
    : m_impl(std::make_unique<implementation>(loop, router))
{
}

status_client::~status_client()
{
    std::unique_lock guard(m_impl->lock);
    for (const auto &call : m_impl->open)
        call->context.TryCancel();
    m_impl->closed.wait(guard, [this] { return m_impl->open.empty(); });
}

void status_client::status(status_done done)
{
    auto call = std::make_shared<status_call>();
    call->done = std::move(done);
    call->context.set_deadline(std::chrono::system_clock::now() + kDeadline);
    {
        const std::lock_guard guard(m_impl->lock);
        m_impl->open.push_back(call);
    }
    m_impl->stub->async()->Status(&call->context, &call->request, &call->reply,
                                  [impl = m_impl.get(), call](const grpc::Status &end) { impl->finish(call, end); });
}

} // namespace foxtaildyke
