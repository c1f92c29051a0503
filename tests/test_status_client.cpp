// Status client with a real gRPC server: a router that is down must result in an error, and results must be delivered
// on the thread of the event loop.
#include "peer.grpc.pb.h"
#include "status_client_p.h"

#include <doctest/doctest.h>
#include <grpcpp/grpcpp.h>
#include <thread>

using namespace foxtaildyke;

namespace
{

class router_standin : public peer::Service
{
public:
    grpc::Status Status(grpc::ServerContext *, const status_request *, status_reply *response) override
    {
        response->set_generation(7);
        response->set_may_dispatch(true);
        response->add_acknowledged_hosts("h1");
        response->add_registered_hosts("h1");
        response->add_registered_hosts("h2");
        response->add_halted_versions("v2");
        return grpc::Status::OK;
    }
};

result<host_status> requestStatus(event_loop &loop, status_client &client)
{
    std::optional<result<host_status>> response;
    std::thread::id callbackThread;
    client.status([&](const result<host_status> &status) {
        response = status;
        callbackThread = std::this_thread::get_id();
        loop.stop();
    });
    loop.run();
    CHECK(callbackThread == std::this_thread::get_id());
    return response.value();
}

} // namespace

TEST_CASE("the status of a router is read over gRPC, also after the router was restarted")
{
    router_standin service;
    const auto start = [&service](int &port) {
        grpc::ServerBuilder builder;
        builder.AddListeningPort("127.0.0.1:" + std::to_string(port), grpc::InsecureServerCredentials(), &port);
        builder.RegisterService(&service);
        return builder.BuildAndStart();
    };
    int port = 0;
    auto server = start(port);
    REQUIRE(port != 0);
    event_loop loop;
    status_client client(loop, {"127.0.0.1", static_cast<std::uint16_t>(port)});
    const auto first = requestStatus(loop, client);
    REQUIRE(first.has_value());
    CHECK(first.value().generation == 7);
    CHECK(first.value().acknowledged == std::vector<std::string>{"h1"});
    CHECK(first.value().registered == std::vector<std::string>{"h1", "h2"});
    CHECK(first.value().halted == std::vector<std::string>{"v2"});

    server->Shutdown();
    const auto down = requestStatus(loop, client);
    REQUIRE(down.has_error());
    server = start(port);
    bool isBack = false;
    for (int tries = 0; tries < 100 && !isBack; ++tries) {
        isBack = requestStatus(loop, client).has_value();
        if (!isBack)
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    CHECK(isBack);
    server->Shutdown();
}

TEST_CASE("a result that arrives just before its client is destroyed is not delivered afterwards")
{
    event_loop loop;
    bool isDelivered = false;
    {
        peer_client client(loop);
        client.status({"127.0.0.1", 1}, {}, std::chrono::seconds(5),
                      [&](const result<status_reply> &) { isDelivered = true; });
        std::this_thread::sleep_for(std::chrono::milliseconds(500)); // the refusal arrives, the loop doesn't run yet
    }
    loop.post([&loop] { loop.stop(); });
    loop.run();
    CHECK_FALSE(isDelivered);
}

TEST_CASE("a client destroyed with an open call reports an error for that call")
{
    event_loop loop;
    bool hasFailed = false;
    {
        status_client client(loop, {"127.0.0.1", 1});
        client.status([&](const result<host_status> &status) { hasFailed = status.has_error(); });
    }
    // The destructor has already posted the callback, so it runs before the loop stops.
    loop.post([&loop] { loop.stop(); });
    loop.run();
    CHECK(hasFailed);
}
