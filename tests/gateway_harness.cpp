// Test harness for the gateway; see gateway_harness.h.
#include "gateway_harness.h"

#include "wire_names.h"

#include <arpa/inet.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <numeric>

namespace foxtaildyke
{

namespace
{

constexpr const char *kLoopback = "127.0.0.1";
constexpr std::chrono::seconds kTestTimeout{20};

http_endpoint anyPort()
{
    return {kLoopback, 0};
}

gateway_route makeRoute(const std::string &prefix, retry_rule retryRule, std::uint32_t attempts)
{
    gateway_route route;
    route.name = prefix;
    route.host = "h.example";
    route.pathPrefix = prefix;
    route.retryRule = retryRule;
    route.isResumable = retryRule == retry_rule::stream;
    route.timeout = std::chrono::milliseconds{1000};
    route.objective = std::chrono::milliseconds{500};
    route.maxAttempts = attempts;
    route.targets.push_back({"s", 1});
    return route;
}

} // namespace

struct scripted_replica::connection {
    connection(event_loop &loop, int socket, scripted_replica &owner)
        : replica(owner)
        , timer(loop, [this] { respond(); })
        , resetTimer(loop, [this] { reset(); })
        , laterTimer(loop, [this] { sendLater(); })
        , stream(loop, socket,
                 stream_socket::handlers{.onConnected = {},
                                         .onReadable = [this] { onReadable(); },
                                         .onDrained = [this] { onDrained(); },
                                         .onEnd =
                                             [this](socket_end) {
                                                 if (hasOpenRequest)
                                                     ++replica.connectionsLost;
                                                 hasOpenRequest = false;
                                                 isOpen = false;
                                             }})
    {
    }

    void onReadable()
    {
        const auto onBody = [this](std::string_view bytes) {
            body.append(bytes);
        };
        while (!stream.received().empty() && !hasOpenRequest) {
            const bool wasHead = parser.state() == parse_state::head;
            stream.consume(parser.feed(stream.received(), onBody, wasHead));
            if (wasHead && parser.state() == parse_state::body && replica.respondsAfterHead)
                stream.write(replica.m_script({parser.head(), {}}).bytes);
            if (wasHead && parser.state() == parse_state::body)
                continue;
            if (parser.state() != parse_state::complete)
                return;
            if (replica.respondsAfterHead) {
                replica.requests.push_back({parser.head(), std::exchange(body, {})});
                parser.reset();
                continue;
            }
            hasOpenRequest = true;
            replica.requests.push_back({parser.head(), std::exchange(body, {})});
            parser.reset();
            script = replica.m_script(replica.requests.back());
            if (script.crashes)
                return replica.m_crashTimer.start(script.delay);
            timer.start(script.delay);
        }
    }

    void respond()
    {
        if (!hasOpenRequest)
            return;
        stream.write(script.bytes);
        if (!script.later.empty()) {
            later.assign(script.later.begin(), script.later.end());
            laterDelay = script.laterDelay;
            laterTimer.start(laterDelay);
        }
        hasOpenRequest = !script.closes && !script.resets && script.bytes.empty();
        if (script.bytes.empty())
            onDrained();
    }

    void sendLater()
    {
        stream.write(later.front());
        later.pop_front();
        if (!later.empty() && isOpen)
            laterTimer.start(laterDelay);
    }

    void onDrained()
    {
        // A new connection reports once that its buffer is drained, before anything was written.
        if (hasOpenRequest)
            return;
        if (script.resets)
            resetTimer.start(std::chrono::milliseconds(5));
        else if (script.closes)
            stream.shutdownWrite();
    }

    void reset()
    {
        std::erase_if(replica.m_connections, [this](const auto &entry) { return entry.get() == this; });
    }

    scripted_replica &replica;
    http_parser parser{message_type::request};
    std::string body;
    replica_script script;
    bool hasOpenRequest = false; ///< a request was received and its response is not yet written
    bool isOpen = true; ///< the gateway has not closed it
    loop_timer timer;
    loop_timer resetTimer;
    std::deque<std::string> later; ///< of the last script that had any
    std::chrono::milliseconds laterDelay{0};
    loop_timer laterTimer; ///< sends the next of them
    stream_socket stream;
};

scripted_replica::scripted_replica(event_loop &loop, std::string id, script respond)
    : m_loop(loop)
    , m_id(std::move(id))
    , m_script(std::move(respond))
    , m_crashTimer(loop, [this] { crash(); })
{
    listen();
}

void scripted_replica::crash()
{
    if (!m_listener)
        return;
    ++crashCount;
    evconnlistener_free(std::exchange(m_listener, nullptr));
    m_connections.clear();
}

void scripted_replica::restart()
{
    if (!m_listener)
        listen();
}

void scripted_replica::restartAs(std::string id)
{
    m_id = std::move(id);
    restart();
}

void scripted_replica::listen()
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(m_port);
    inet_pton(AF_INET, kLoopback, &address.sin_addr);
    const auto onAccept = [](evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *self) {
        static_cast<scripted_replica *>(self)->accept(socket);
    };
    m_listener = evconnlistener_new_bind(m_loop.base(), onAccept, this,
                                         LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, -1,
                                         reinterpret_cast<sockaddr *>(&address), sizeof(address));
    REQUIRE(m_listener);
    socklen_t size = sizeof(address);
    getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr *>(&address), &size);
    m_port = ntohs(address.sin_port);
}

scripted_replica::~scripted_replica()
{
    if (m_listener)
        evconnlistener_free(m_listener);
}

std::size_t scripted_replica::pendingBytes() const
{
    std::size_t sum = 0;
    for (const auto &open : m_connections)
        sum += open->stream.pendingBytes();
    return sum;
}

bool scripted_replica::hasOpenRequest() const
{
    return std::ranges::any_of(m_connections, [](const auto &open) { return open->hasOpenRequest; });
}

std::size_t scripted_replica::openConnections() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_connections, [](const auto &open) { return open->isOpen; }));
}

void scripted_replica::accept(int socket)
{
    // With a linger time of zero, closing resets the connection.
    const linger reset{1, 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    m_connections.push_back(std::make_unique<connection>(m_loop, socket, *this));
}

replica_entry scripted_replica::entry(const std::string &service, const std::string &version) const
{
    replica_entry entry;
    entry.id = m_id;
    entry.service = service;
    entry.address = {kLoopback, m_port};
    entry.failureDomain = "d1";
    entry.version = version;
    entry.slots = 8;
    return entry;
}

std::size_t crashesOf(const std::vector<std::unique_ptr<scripted_replica>> &replicas)
{
    return std::accumulate(replicas.begin(), replicas.end(), std::size_t{0},
                           [](std::size_t sum, const auto &replica) { return sum + replica->crashCount; });
}

scripted_caller::scripted_caller(event_loop &loop, std::uint16_t port)
    : m_socket(std::make_unique<stream_socket>(loop, http_endpoint{kLoopback, port},
                                               stream_socket::handlers{.onConnected = {},
                                                                       .onReadable = [this] { onReadable(); },
                                                                       .onDrained = {},
                                                                       .onEnd =
                                                                           [this](socket_end) {
                                                                               isClosed = true;
                                                                           }}))
{
}

void scripted_caller::onReadable()
{
    const auto onBody = [this](std::string_view bytes) {
        responses.back().body.append(bytes);
    };
    // Bytes that are not HTTP stay in the buffer; the last response then remains incomplete.
    while (!m_socket->received().empty() && m_parser.state() != parse_state::malformed) {
        const bool wasHead = m_parser.state() == parse_state::head;
        m_socket->consume(m_parser.feed(m_socket->received(), onBody, wasHead));
        if (wasHead && m_parser.state() != parse_state::head)
            responses.push_back({m_parser.head(), {}, false});
        if (m_parser.state() != parse_state::complete)
            continue;
        responses.back().isComplete = true;
        m_parser.reset();
    }
}

gateway_settings gateway_harness::makeSettings()
{
    gateway_settings settings;
    settings.host = "host-1";
    settings.failureDomain = "d1";
    settings.listen = anyPort();
    settings.readiness = anyPort();
    settings.log = "/dev/null";
    settings.retrySlack = 160; // 10 retries for this host
    return settings;
}

gateway_harness::gateway_harness(gateway_settings settings)
    : task(loop, std::move(settings), platform::makeHeaderNames(), platform::kReadinessPath)
{
    REQUIRE(task.start(feed).has_value());
}

std::shared_ptr<gateway_config> gateway_harness::makeConfig(generation_number version)
{
    auto config = std::make_shared<gateway_config>();
    config->version = version;
    config->routes = {makeRoute("/safe/", retry_rule::safe, 2), makeRoute("/once/", retry_rule::at_most_once, 2),
                      makeRoute("/stream/", retry_rule::stream, 3), makeRoute("/sized/", retry_rule::stream, 3)};
    config->routes.back().models = {"small", "medium", "large"};
    config->services["s"].name = "s";
    config->accountsByKey["key-1"] = {"account-1", std::nullopt};
    config->needsKeys = true;
    return config;
}

void gateway_harness::publish(const std::shared_ptr<gateway_config> &config)
{
    feed.listener->onConfig(config);
    feed.listener->onConfigConfirmed(suspendAwareNow());
}

void gateway_harness::publishReplicas(std::vector<replica_entry> replicas)
{
    if (publishesRollouts)
        feed.listener->onRollouts({});
    publishesRollouts = false;
    feed.listener->onReplicaList(std::move(replicas));
}

bool test_loop::runUntil(const std::function<bool()> &condition)
{
    const auto limit = suspendAwareNow() + kTestTimeout;
    loop_timer wakeup(loop, [] {});
    while (!condition()) {
        if (suspendAwareNow() > limit)
            return false;
        wakeup.start(std::chrono::milliseconds(5));
        event_base_loop(loop.base(), EVLOOP_ONCE);
    }
    return true;
}

void test_loop::runFor(std::chrono::milliseconds time)
{
    const auto end = suspendAwareNow() + time;
    runUntil([end] { return suspendAwareNow() >= end; });
}

std::string requestText(const std::string &method, const std::string &target, const std::string &id,
                        const std::string &moreHeaders, const std::string &body)
{
    return method + ' ' + target + " HTTP/1.1\r\nHost: h.example\r\nFoxtaildyke-Request-Id: " + id
        + "\r\nFoxtaildyke-Deadline-Ms: 5000\r\nAuthorization: Bearer key-1\r\n" + moreHeaders
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string responseText(int status, const std::string &id, const std::string &body, const std::string &moreHeaders)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nFoxtaildyke-Request-Id: " + id
        + "\r\nFoxtaildyke-Server-Stamp: stamp\r\n" + moreHeaders + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

std::string notRunText(int status)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nFoxtaildyke-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

std::string chunkText(const std::string &bytes)
{
    std::array<char, 16> digits{};
    std::snprintf(digits.data(), digits.size(), "%zx", bytes.size());
    return std::string(digits.data()) + "\r\n" + bytes + "\r\n";
}

std::string eventsText(int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id)
        text += "id: " + std::to_string(id) + "\ndata: piece " + std::to_string(id) + "\n\n";
    return text;
}

std::string streamText(const std::string &id, int first, int last, bool isComplete, const std::string &moreHeaders)
{
    std::string text = "HTTP/1.1 200 OK\r\nFoxtaildyke-Request-Id: " + id + "\r\nFoxtaildyke-Server-Stamp: stamp-" + id
        + "\r\nContent-Type: text/event-stream\r\n" + moreHeaders + "Transfer-Encoding: chunked\r\n\r\n";
    for (int event = first; event <= last; ++event)
        text += chunkText(eventsText(event, event));
    return isComplete ? text + "0\r\n\r\n" : text;
}

} // namespace foxtaildyke
