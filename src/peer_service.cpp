// gRPC server of the protocol between routers; see peer_service_p.h.
#include "peer_service_p.h"

#include "peer.grpc.pb.h"

#include <grpcpp/grpcpp.h>
#include <mutex>

namespace foxtaildyke
{

namespace
{

constexpr std::chrono::milliseconds kShutdownTimeout{200};

/// The largest valid message contains a complete configuration document (1 MB) and little else.
constexpr int kMaxMessageBytes = 2 << 20;

/// Calls without a response. This is the only state shared by gRPC's threads and the event loop. A call ends with its
/// response or with the stop of the service, whichever comes first.
class open_calls
{
public:
    /// @returns the number of the call, or nothing if the service has stopped.
    std::optional<std::uint64_t> add(grpc::ServerUnaryReactor *reactor)
    {
        const std::lock_guard guard(m_lock);
        if (m_isStopped)
            return std::nullopt;
        m_reactors[++m_lastCall] = reactor;
        return m_lastCall;
    }

    /// Ends a call; does nothing if it has already ended.
    /// @param fill writes the response message, whose memory is valid until the call ends.
    void finish(std::uint64_t call, const grpc::Status &status, const std::function<void()> &fill)
    {
        const std::lock_guard guard(m_lock);
        const auto found = m_reactors.find(call);
        if (found == m_reactors.end())
            return;
        fill();
        found->second->Finish(status);
        m_reactors.erase(found);
    }

    void endAll()
    {
        const std::lock_guard guard(m_lock);
        m_isStopped = true;
        for (const auto &[call, reactor] : m_reactors)
            reactor->Finish({grpc::StatusCode::UNAVAILABLE, "shutting down"});
        m_reactors.clear();
    }

private:
    std::mutex m_lock;
    std::map<std::uint64_t, grpc::ServerUnaryReactor *> m_reactors;
    std::uint64_t m_lastCall = 0;
    bool m_isStopped = false;
};

class service final : public peer::CallbackService
{
public:
    service(event_loop &loop, peer_handlers handlers)
        : m_loop(loop)
        , m_handlers(std::make_shared<const peer_handlers>(std::move(handlers)))
    {
    }

    grpc::ServerUnaryReactor *Exchange(grpc::CallbackServerContext *context, const exchange_request *request,
                                       exchange_reply *response) override
    {
        return dispatch(context, *request, response, &peer_handlers::exchange);
    }
    grpc::ServerUnaryReactor *Recover(grpc::CallbackServerContext *context, const recover_request *request,
                                      recover_reply *response) override
    {
        return dispatch(context, *request, response, &peer_handlers::recover);
    }
    grpc::ServerUnaryReactor *Append(grpc::CallbackServerContext *context, const append_request *request,
                                     append_response *response) override
    {
        return dispatch(context, *request, response, &peer_handlers::append);
    }
    grpc::ServerUnaryReactor *CopyBills(grpc::CallbackServerContext *context, const copy_bills_request *request,
                                        copy_bills_reply *response) override
    {
        return dispatch(context, *request, response, &peer_handlers::copyBills);
    }
    grpc::ServerUnaryReactor *Status(grpc::CallbackServerContext *context, const status_request *request,
                                     status_reply *response) override
    {
        return dispatch(context, *request, response, &peer_handlers::status);
    }

    void endAll() { m_open->endAll(); }

private:
    template <typename request_type, typename response_type>
    grpc::ServerUnaryReactor *dispatch(grpc::CallbackServerContext *context, const request_type &request,
                                       response_type *response,
                                       peer_handler<request_type, response_type> peer_handlers::*member)
    {
        auto *reactor = context->DefaultReactor();
        if (!(*m_handlers.*member)) {
            reactor->Finish({grpc::StatusCode::UNIMPLEMENTED, "no handler"});
            return reactor;
        }
        const auto call = m_open->add(reactor);
        if (!call) {
            reactor->Finish({grpc::StatusCode::UNAVAILABLE, "shutting down"});
            return reactor;
        }
        const auto respond = [open = m_open, number = *call, response](response_type value) {
            open->finish(number, grpc::Status::OK, [&] { *response = std::move(value); });
        };
        m_loop.post([handlers = m_handlers, member, copy = request, respond] { ((*handlers).*member)(copy, respond); });
        return reactor;
    }

    event_loop &m_loop;
    std::shared_ptr<const peer_handlers> m_handlers;
    std::shared_ptr<open_calls> m_open = std::make_shared<open_calls>();
};

} // namespace

struct peer_service::implementation {
    implementation(event_loop &loop, peer_handlers handlers)
        : calls(loop, std::move(handlers))
    {
    }
    service calls;
    std::unique_ptr<grpc::Server> server;
};

peer_service::peer_service(event_loop &loop, peer_handlers handlers)
    : m_impl(std::make_unique<implementation>(loop, std::move(handlers)))
{
}

peer_service::~peer_service()
{
    m_impl->calls.endAll();
    if (m_impl->server)
        m_impl->server->Shutdown(std::chrono::system_clock::now() + kShutdownTimeout);
}

result<std::uint16_t> peer_service::listen(const http_endpoint &address)
{
    const bool isV6 = address.address.find(':') != std::string::npos;
    const auto host = isV6 ? '[' + address.address + ']' : address.address;
    int port = 0;
    grpc::ServerBuilder builder;
    // With port reuse a second process could bind the same port and receive this process's calls.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.SetMaxReceiveMessageSize(kMaxMessageBytes);
    builder.AddListeningPort(host + ':' + std::to_string(address.port), grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(&m_impl->calls);
    m_impl->server = builder.BuildAndStart();
    if (!m_impl->server || port == 0)
        return error{error_code::io_failure, "peer_listen"};
    return static_cast<std::uint16_t>(port);
}

} // namespace foxtaildyke
