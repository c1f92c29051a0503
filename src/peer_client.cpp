// gRPC client of the protocol between routers; see peer_client_p.h.
#include "peer_client_p.h"

#include "peer.grpc.pb.h"

#include <condition_variable>
#include <grpcpp/grpcpp.h>
#include <mutex>
#include <set>

namespace foxtaildyke
{

namespace
{

/// A restarted host must be reachable again within one or two exchange periods; gRPC's default backoff grows to 2
/// minutes.
constexpr int kMinReconnectBackoffMs = 100;
constexpr int kMaxReconnectBackoffMs = 500;
constexpr std::chrono::seconds kCancelTimeout{2};
constexpr int kMaxMessageBytes = 2 << 20;

std::string targetOf(const http_endpoint &to)
{
    const auto port = std::to_string(to.port);
    return to.address.find(':') == std::string::npos ? "ipv4:" + to.address + ':' + port
                                                     : "ipv6:[" + to.address + "]:" + port;
}

error toError(const grpc::Status &status)
{
    switch (status.error_code()) {
    case grpc::StatusCode::DEADLINE_EXCEEDED:
        return {error_code::timed_out, "peer"};
    case grpc::StatusCode::UNIMPLEMENTED:
        return {error_code::unavailable, "peer"};
    case grpc::StatusCode::UNAVAILABLE:
        // The call is known to be undelivered only if no connection was made; a lost connection may have delivered it.
        return {status.error_message().find("failed to connect") != std::string::npos ? error_code::unavailable
                                                                                      : error_code::io_failure,
                "peer"};
    default:
        return {error_code::io_failure, "peer"};
    }
}

template <typename request_type, typename response_type>
struct open_call {
    grpc::ClientContext context;
    request_type request;
    response_type response;
};

template <typename state_type>
std::shared_ptr<grpc::ClientContext> contextOf(const std::shared_ptr<state_type> &state)
{
    return {state, &state->context};
}

} // namespace

struct peer_client::implementation : std::enable_shared_from_this<implementation> {
    explicit implementation(event_loop &eventLoop)
        : loop(eventLoop)
    {
    }

    peer::Stub &stubOf(const http_endpoint &to);

    template <typename request_type, typename response_type>
    using method = void (peer::Stub::async::*)(grpc::ClientContext *, const request_type *, response_type *,
                                               std::function<void(grpc::Status)>);

    template <typename request_type, typename response_type>
    void start(const http_endpoint &to, request_type request, std::chrono::milliseconds timeout,
               peer_done<response_type> done, method<request_type, response_type> call);

    void end(std::shared_ptr<grpc::ClientContext> context, std::function<void()> deliver);
    [[nodiscard]] bool hasStopped();

    event_loop &loop;
    std::map<std::string, std::unique_ptr<peer::Stub>> stubs; ///< by target; on the event loop only
    std::mutex lock; ///< guards the members below, which gRPC's threads access
    std::condition_variable callEnded;
    std::set<std::shared_ptr<grpc::ClientContext>> open;
    std::vector<std::function<void()>> undelivered; ///< results that arrive after the stop; released by the destructor
    bool isStopped = false;
};

peer::Stub &peer_client::implementation::stubOf(const http_endpoint &to)
{
    auto &stub = stubs[targetOf(to)];
    if (!stub) {
        grpc::ChannelArguments options;
        options.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kMinReconnectBackoffMs);
        options.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kMinReconnectBackoffMs);
        options.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxReconnectBackoffMs);
        options.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
        // Only the code that makes a call may retry it.
        options.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
        options.SetMaxReceiveMessageSize(kMaxMessageBytes);
        stub = peer::NewStub(grpc::CreateCustomChannel(targetOf(to), grpc::InsecureChannelCredentials(), options));
    }
    return *stub;
}

template <typename request_type, typename response_type>
void peer_client::implementation::start(const http_endpoint &to, request_type request,
                                        std::chrono::milliseconds timeout, peer_done<response_type> done,
                                        method<request_type, response_type> call)
{
    auto state = std::make_shared<open_call<request_type, response_type>>();
    state->request = std::move(request);
    state->context.set_deadline(std::chrono::system_clock::now() + timeout);
    {
        const std::lock_guard guard(lock);
        open.insert(contextOf(state));
    }
    // A call's context references its channel, and the last reference to a channel must not be released on a gRPC
    // thread. The callback therefore moves its reference to the state over to the event loop.
    const auto holder = std::make_shared<decltype(state)>(state);
    const auto finish = [self = shared_from_this(), holder, done = std::move(done)](const grpc::Status &status) {
        auto ended = std::move(*holder);
        auto context = contextOf(ended);
        self->end(std::move(context), [ended = std::move(ended), done, status] {
            done(status.ok() ? result<response_type>(std::move(ended->response))
                             : result<response_type>(toError(status)));
        });
    };
    (stubOf(to).async()->*call)(&state->context, &state->request, &state->response, finish);
}

void peer_client::implementation::end(std::shared_ptr<grpc::ClientContext> context, std::function<void()> deliver)
{
    const std::lock_guard guard(lock);
    open.erase(context);
    context.reset(); // must precede the release of the call's state on the event loop
    // The event loop may already be destroyed once the client has stopped.
    if (isStopped)
        undelivered.push_back(std::move(deliver));
    else
        loop.post([self = shared_from_this(), deliver = std::move(deliver)] {
            if (!self->hasStopped()) // the client may have been destroyed since
                deliver();
        });
    callEnded.notify_all();
}

bool peer_client::implementation::hasStopped()
{
    const std::lock_guard guard(lock);
    return isStopped;
}

peer_client::peer_client(event_loop &loop)
    : m_impl(std::make_shared<implementation>(loop))
{
}

peer_client::~peer_client()
{
    std::unique_lock guard(m_impl->lock);
    m_impl->isStopped = true;
    auto open = m_impl->open;
    guard.unlock(); // TryCancel() may run a call's callback on this thread, which takes the lock
    for (const auto &context : open)
        context->TryCancel();
    guard.lock();
    m_impl->callEnded.wait_for(guard, kCancelTimeout, [this] { return m_impl->open.empty(); });
    const auto undelivered = std::exchange(m_impl->undelivered, {});
    const auto stubs = std::exchange(m_impl->stubs, {});
    guard.unlock();
}

void peer_client::exchange(const http_endpoint &to, exchange_request request, std::chrono::milliseconds timeout,
                           peer_done<exchange_reply> done)
{
    m_impl->start(to, std::move(request), timeout, std::move(done), &peer::Stub::async::Exchange);
}

void peer_client::recover(const http_endpoint &to, recover_request request, std::chrono::milliseconds timeout,
                          peer_done<recover_reply> done)
{
    m_impl->start(to, std::move(request), timeout, std::move(done), &peer::Stub::async::Recover);
}

void peer_client::append(const http_endpoint &to, append_request request, std::chrono::milliseconds timeout,
                         peer_done<append_response> done)
{
    m_impl->start(to, std::move(request), timeout, std::move(done), &peer::Stub::async::Append);
}

void peer_client::copyBills(const http_endpoint &to, copy_bills_request request, std::chrono::milliseconds timeout,
                            peer_done<copy_bills_reply> done)
{
    m_impl->start(to, std::move(request), timeout, std::move(done), &peer::Stub::async::CopyBills);
}

void peer_client::status(const http_endpoint &to, status_request request, std::chrono::milliseconds timeout,
                         peer_done<status_reply> done)
{
    m_impl->start(to, std::move(request), timeout, std::move(done), &peer::Stub::async::Status);
}

} // namespace foxtaildyke
