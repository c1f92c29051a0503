// Ends of connections that coincide with other events: a request with an idle timeout or a replica's close, a response
// with a reset. Callers and replicas use plain sockets, so that they act while the loop of the gateway is not running.
#include "gateway_harness.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace foxtaildyke;
using namespace std::chrono_literals;

namespace
{

/// More than the socket buffers between gateway and replica hold, so that a part waits in the gateway.
constexpr std::size_t kLongBody = 12U << 20U;
/// More than is read from a socket at once.
constexpr std::size_t kLongResponse = 100'000;

sockaddr_in loopbackAddress(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// A connected socket, and all that has been received on it.
struct plain_connection {
    explicit plain_connection(int descriptor = -1)
        : socket(descriptor)
    {
    }
    plain_connection(const plain_connection &) = delete;
    plain_connection &operator=(const plain_connection &) = delete;
    ~plain_connection() { close(); }

    void connect(std::uint16_t port)
    {
        socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto address = loopbackAddress(port);
        REQUIRE(::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0);
    }

    void send(const std::string &bytes) const
    {
        REQUIRE(::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
    }

    /// Sends bytes while a loop runs that receives them.
    void sendWhile(test_loop &loop, const std::string &bytes) const
    {
        std::size_t sent = 0;
        REQUIRE(loop.runUntil([&] {
            const auto count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
            sent += count > 0 ? static_cast<std::size_t>(count) : 0U;
            return sent == bytes.size();
        }));
    }

    /// Reads at most a few kB. @returns all bytes received so far.
    const std::string &receiveOnce()
    {
        std::array<char, 4096> bytes{};
        const auto count = ::recv(socket, bytes.data(), bytes.size(), MSG_DONTWAIT);
        if (count > 0)
            text.append(bytes.data(), static_cast<std::size_t>(count));
        return text;
    }

    /// @returns all bytes received so far.
    const std::string &receive()
    {
        for (auto before = text.size() + 1; before != text.size();) {
            before = text.size();
            receiveOnce();
        }
        return text;
    }

    /// Closes the connection by a reset.
    void reset()
    {
        const linger atOnce{.l_onoff = 1, .l_linger = 0};
        REQUIRE(::setsockopt(socket, SOL_SOCKET, SO_LINGER, &atOnce, sizeof(atOnce)) == 0);
        close();
    }

    void close()
    {
        if (socket >= 0)
            ::close(std::exchange(socket, -1));
    }

    int socket;
    std::string text;
};

/// A replica that accepts connections and answers requests when the test says so.
struct plain_replica {
    plain_replica()
    {
        auto address = loopbackAddress(0);
        socklen_t size = sizeof(address);
        REQUIRE(::bind(listening, reinterpret_cast<const sockaddr *>(&address), size) == 0);
        REQUIRE(::listen(listening, 8) == 0);
        REQUIRE(::getsockname(listening, reinterpret_cast<sockaddr *>(&address), &size) == 0);
        entry.id = "r1";
        entry.service = "s";
        entry.failureDomain = "d1";
        entry.version = "v1";
        entry.slots = 8;
        entry.address = {"127.0.0.1", ntohs(address.sin_port)};
    }
    plain_replica(const plain_replica &) = delete;
    plain_replica &operator=(const plain_replica &) = delete;
    ~plain_replica() { ::close(listening); }

    /// @returns the connection on which a request has been received, or null.
    plain_connection *takeHead(const std::string &id)
    {
        const int socket = ::accept4(listening, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (socket >= 0)
            connections.push_back(std::make_unique<plain_connection>(socket));
        const auto found = std::ranges::find_if(connections, [&id](const auto &open) {
            return open->socket >= 0 && open->receiveOnce().find(id) != std::string::npos;
        });
        return found == connections.end() ? nullptr : found->get();
    }

    /// Answers a request once it has been received on any connection. @returns whether it has.
    bool answer(const std::string &id)
    {
        auto *connection = takeHead(id);
        if (connection)
            connection->send(responseText(200, id, "body of " + id));
        return connection != nullptr;
    }

    int listening = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    replica_entry entry;
    std::vector<std::unique_ptr<plain_connection>> connections;
};

struct kept_connections : gateway_harness {
    kept_connections()
    {
        auto config = makeConfig();
        config->limits.idleTimeout = 600ms;
        config->limits.bodyBytes = kLongBody;
        publish(config);
        publishReplicas({replica.entry});
        caller.connect(task.callerPort());
    }

    bool isAnswered(const std::string &id)
    {
        return runUntil([&] { return isReplicaDone = isReplicaDone || replica.answer(id), hasBody(id) || isClosed(); })
            && hasBody(id);
    }

    bool hasBody(const std::string &id) { return caller.receive().find("body of " + id) != std::string::npos; }

    /// @returns whether the gateway has sent another answer than the replica's, or has closed the caller's connection.
    bool isClosed()
    {
        std::array<char, 1> next{};
        const auto count = ::recv(caller.socket, next.data(), next.size(), MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN) || caller.text.find(" 502 ") != std::string::npos;
    }

    bool isReplicaDone = false;
    plain_replica replica;
    plain_connection caller;
};

} // namespace

TEST_CASE("kept connection: a request that arrived before the idle timeout is answered, also if it is read after it")
{
    kept_connections net;
    net.caller.send(requestText("POST", "/once/x", "id-1"));
    REQUIRE(net.isAnswered("id-1"));
    net.isReplicaDone = false;
    net.caller.send(requestText("POST", "/once/x", "id-2"));
    std::this_thread::sleep_for(700ms);
    const bool isAnswered = net.isAnswered("id-2");
    CAPTURE(net.caller.text);
    CHECK(isAnswered);
}

TEST_CASE("kept connection: a request isn't sent on a connection that its replica has closed already")
{
    kept_connections net;
    net.caller.send(requestText("POST", "/once/x", "id-1"));
    REQUIRE(net.isAnswered("id-1"));
    net.isReplicaDone = false;
    net.caller.send(requestText("POST", "/once/x", "id-2"));
    REQUIRE(net.replica.connections.size() == 1);
    net.replica.connections.front()->close();
    const bool isAnswered = net.isAnswered("id-2");
    CAPTURE(net.caller.text);
    CHECK(isAnswered);
}

TEST_CASE("reset by a replica: a response without a length isn't taken as complete while the request is being sent")
{
    kept_connections net;
    net.caller.sendWhile(net, requestText("POST", "/once/x", "id-1", "", std::string(kLongBody, 'b')));
    REQUIRE(net.runUntil([&] { return net.replica.takeHead("id-1") != nullptr; }));
    auto *connection = net.replica.takeHead("id-1");
    connection->send("HTTP/1.1 200 OK\r\nFoxtaildyke-Request-Id: id-1\r\nFoxtaildyke-Server-Stamp: s\r\n\r\nbegin");
    net.runFor(100ms);
    connection->reset();
    net.runUntil([&] { return net.caller.receive().find("\r\n\r\n") != std::string::npos; });
    CAPTURE(net.caller.text.substr(0, 400));
    CHECK(net.caller.text.starts_with("HTTP/1.1 502"));
}

/// How a replica ends a connection on which a request is still being sent.
enum class replica_close : std::uint8_t {
    reset, ///< at once
    unread, ///< closes while bytes wait to be read, so that its kernel resets the connection
    drained, ///< closes with nothing to read; its kernel resets the connection when more of the request arrives
    count
};

struct early_response {
    std::size_t uploadBytes;
    std::size_t responseBytes;
    std::chrono::milliseconds pause; ///< before the end, in which the gateway runs
};

std::vector<early_response> earlyResponses()
{
    std::vector<early_response> samples;
    for (const std::size_t uploadBytes : {std::size_t{1} << 20U, std::size_t{6} << 20U, kLongBody})
        for (const std::size_t responseBytes : {std::size_t{5}, kLongResponse})
            for (const auto pause : {0ms, 1ms, 20ms})
                samples.push_back({uploadBytes, responseBytes, pause});
    return samples;
}

/// Sends a long request, and a response without a length to it once it has begun to arrive.
plain_connection *respondEarly(kept_connections &net, const early_response &sample)
{
    net.caller.sendWhile(net, requestText("POST", "/once/x", "id-1", "", std::string(sample.uploadBytes, 'b')));
    plain_connection *connection = nullptr;
    REQUIRE(net.runUntil([&] { return (connection = net.replica.takeHead("id-1")) != nullptr; }));
    connection->sendWhile(net,
                          "HTTP/1.1 200 OK\r\nFoxtaildyke-Request-Id: id-1\r\nFoxtaildyke-Server-Stamp: s\r\n\r\n"
                              + std::string(sample.responseBytes, 'x'));
    net.runFor(sample.pause);
    return connection;
}

// Guards against a part of a response that is taken for all of it, whichever end of the connection is noticed first.
TEST_CASE("reset by a replica: no part of a response without a length is complete at any moment of a long upload")
{
    for (std::uint8_t end = 0; end < static_cast<std::uint8_t>(replica_close::count); ++end)
        for (const auto &sample : earlyResponses()) {
            CAPTURE(static_cast<int>(end));
            CAPTURE(sample.uploadBytes);
            CAPTURE(sample.responseBytes);
            CAPTURE(sample.pause.count());
            kept_connections net;
            auto *connection = respondEarly(net, sample);
            if (static_cast<replica_close>(end) == replica_close::drained)
                connection->receive();
            if (connection->text.size() >= sample.uploadBytes)
                continue; // nothing is left that could arrive after the end
            if (static_cast<replica_close>(end) == replica_close::reset)
                connection->reset();
            else
                connection->close();
            net.runUntil([&] { return net.caller.receive().find("\r\n\r\n") != std::string::npos; });
            CAPTURE(net.caller.text.substr(0, 200));
            CHECK(net.caller.text.starts_with("HTTP/1.1 502"));
        }
}

// Guards against a whole response that is taken for a part because it ended before the request.
TEST_CASE("early response: one without a length is complete if its replica ends it in order and reads on")
{
    for (const auto &sample : earlyResponses()) {
        CAPTURE(sample.uploadBytes);
        CAPTURE(sample.responseBytes);
        CAPTURE(sample.pause.count());
        kept_connections net;
        auto *connection = respondEarly(net, sample);
        REQUIRE(::shutdown(connection->socket, SHUT_WR) == 0);
        REQUIRE(net.runUntil([&] {
            connection->receive();
            return net.caller.receive().find("\r\n\r\n") != std::string::npos;
        }));
        CAPTURE(net.caller.text.substr(0, 200));
        CHECK(net.caller.text.starts_with("HTTP/1.1 200"));
        CHECK(net.runUntil([&] { return net.caller.receive().ends_with(std::string(sample.responseBytes, 'x')); }));
        CHECK(connection->text.size() > sample.uploadBytes);
    }
}

TEST_CASE("reset by a replica: a whole response that came before it is passed on")
{
    kept_connections net;
    net.caller.sendWhile(net, requestText("POST", "/once/x", "id-1", "", std::string(kLongBody, 'b')));
    REQUIRE(net.runUntil([&] { return net.replica.takeHead("id-1") != nullptr; }));
    auto *connection = net.replica.takeHead("id-1");
    const std::string body(kLongResponse, 'x');
    connection->send(responseText(200, "id-1", body));
    connection->close();
    net.runUntil([&] { return net.caller.receive().size() > kLongResponse || net.isClosed(); });
    CAPTURE(net.caller.text.substr(0, 400));
    CHECK(net.caller.text.starts_with("HTTP/1.1 200"));
    CHECK(net.caller.text.ends_with(body));
}
