// Test harness: a gateway on the loopback address between scripted replicas and scripted callers, with a feed that the
// test controls.
#pragma once

#include "gateway_task_p.h"

#include <doctest/doctest.h>

struct evconnlistener;

namespace foxtaildyke
{

/// Feed whose content is set by the test.
struct scripted_feed : fleet_feed {
    fleet_listener *listener = nullptr;
    std::vector<rollout_order> written;
    host_report writtenReport; ///< last written

    void start(fleet_listener &target) override { listener = &target; }
    void writeRollout(const rollout_order &order) override { written.push_back(order); }
    void writeHostReport(const host_report &report) override { writtenReport = report; }
    void removeHostReport(const std::string &) override { }
    [[nodiscard]] bool readsStore() const override { return true; }
};

/// A request as received by a replica.
struct received_request {
    message_head head;
    std::string body;
};

/// Scripted reaction of a replica to a request.
struct replica_script {
    std::string bytes; ///< response as sent on the wire
    bool closes = false; ///< closes the connection gracefully after the bytes
    bool resets = false; ///< resets the connection after the bytes
    bool crashes = false; ///< sends nothing and ends the replica; see scripted_replica::crash()
    std::chrono::milliseconds delay{0}; ///< before the bytes or the crash
    /// Sent on the same connection one after the other, whatever has been received meanwhile.
    std::vector<std::string> later;
    std::chrono::milliseconds laterDelay{0}; ///< before each of them
};

/// A replica that responds to each request as scripted.
class scripted_replica
{
public:
    using script = std::function<replica_script(const received_request &)>;

    scripted_replica(event_loop &loop, std::string id, script respond);
    ~scripted_replica();

    /// Resets all connections and refuses new ones until restart().
    void crash();
    /// Accepts connections again, at the same address.
    void restart();
    /// The same as another replica, which has taken over the address.
    void restartAs(std::string id);
    void setScript(script respond) { m_script = std::move(respond); }
    [[nodiscard]] bool isRunning() const { return m_listener != nullptr; }
    /// @returns whether a request has been received whose response is not yet written.
    [[nodiscard]] bool hasOpenRequest() const;
    /// @returns the number of connections that the gateway has not closed.
    [[nodiscard]] std::size_t openConnections() const;

    std::vector<received_request> requests; ///< all requests received
    std::size_t crashCount = 0;
    std::size_t connectionsLost = 0; ///< closed by the gateway while a request was open
    bool respondsAfterHead = false; ///< responds before the request body has arrived, and continues reading
    /// @returns the number of response bytes that the gateway has not yet received.
    [[nodiscard]] std::size_t pendingBytes() const;
    [[nodiscard]] replica_entry entry(const std::string &service, const std::string &version = "v1") const;

private:
    struct connection;
    void listen();
    void accept(int socket);
    void serve(connection &open);

    event_loop &m_loop;
    std::string m_id;
    script m_script;
    evconnlistener *m_listener = nullptr; ///< null after a crash
    std::uint16_t m_port = 0; ///< 0 until the first listen()
    loop_timer m_crashTimer; ///< crashes outside of a connection's handler
    std::vector<std::unique_ptr<connection>> m_connections;
};

/// @returns how often the replicas have crashed, in all.
[[nodiscard]] std::size_t crashesOf(const std::vector<std::unique_ptr<scripted_replica>> &replicas);

/// A response as received by a caller.
struct received_response {
    message_head head;
    std::string body;
    bool isComplete = false;
};

/// Connection of a caller.
class scripted_caller
{
public:
    scripted_caller(event_loop &loop, std::uint16_t port);

    void send(std::string_view bytes) { m_socket->write(bytes); }
    void close() { m_socket.reset(); }
    /// Stops or resumes reading.
    void setReading(bool isOn) { m_socket->setReading(isOn); }

    std::vector<received_response> responses; ///< the last one may be incomplete
    bool isClosed = false; ///< by the gateway
    [[nodiscard]] bool hasMalformed() const { return m_parser.state() == parse_state::malformed; }

private:
    void onReadable();

    http_parser m_parser{message_type::response};
    std::unique_ptr<stream_socket> m_socket;
};

/// An event loop that a test runs until a condition is met.
struct test_loop {
    event_loop loop;

    /// Runs the loop until the condition is met. @returns false on timeout; the timeout exists only to end a hanging
    /// test.
    bool runUntil(const std::function<bool()> &condition);

    /// Runs the loop for the given time.
    void runFor(std::chrono::milliseconds time);
};

struct gateway_harness : test_loop {
    explicit gateway_harness(gateway_settings settings = makeSettings());

    scripted_feed feed;
    gateway_task task;
    bool publishesRollouts = true; ///< none are published with the first replicas; if unset, the test publishes them

    static gateway_settings makeSettings();

    /// @returns a configuration with one route of each kind to service "s": /safe/, /once/, /stream/ and /sized/.
    static std::shared_ptr<gateway_config> makeConfig(generation_number version = 1);
    void publish(const std::shared_ptr<gateway_config> &config);
    void publishReplicas(std::vector<replica_entry> replicas);
};

/// @returns a request with API key, id and deadline.
[[nodiscard]] std::string requestText(const std::string &method, const std::string &target, const std::string &id,
                                      const std::string &moreHeaders = {}, const std::string &body = {});

/// @returns a response with stamp and Content-Length.
[[nodiscard]] std::string responseText(int status, const std::string &id, const std::string &body,
                                       const std::string &moreHeaders = {});

/// @returns a refusal stating that the request has not run.
[[nodiscard]] std::string notRunText(int status = 503);

/// @returns a stamped event stream in chunked encoding with the events first to last; without the last chunk if not
/// complete.
[[nodiscard]] std::string streamText(const std::string &id, int first, int last, bool isComplete = true,
                                     const std::string &moreHeaders = {});

/// @returns a chunk of a body in chunked encoding.
[[nodiscard]] std::string chunkText(const std::string &bytes);

/// @returns the text of the events first to last.
[[nodiscard]] std::string eventsText(int first, int last);

} // namespace foxtaildyke
