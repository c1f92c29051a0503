// A planned stop of the gateway process under load: connections in every phase when SIGTERM arrives, requests that wait
// in the kernel when the listener closes, and what is still running when the grace period ends.
#include "gateway_process.h"

#include <csignal>

using namespace foxtaildyke;
using namespace std::chrono_literals;

namespace
{

/// Phase of a caller's connection when the stop begins.
enum class connection_phase : std::uint8_t { connected, in_head, in_body, waiting_for_response, in_stream, count };

constexpr std::size_t kConnectionsPerPhase = 40;

std::string idOf(const received_request &request)
{
    return std::string(request.head.header("Foxtaildyke-Request-Id"));
}

replica_script respond(const received_request &request, std::chrono::milliseconds delay)
{
    if (!request.head.target.starts_with("/stream/"))
        return {.bytes = responseText(200, idOf(request), "whole body"), .delay = delay};
    return {.bytes = streamText(idOf(request), 1, 1, false),
            .later = {chunkText(eventsText(2, 2)) + "0\r\n\r\n"},
            .laterDelay = delay};
}

struct stopping_host : gateway_process {
    /// @param delay of each response; of a stream, between its first and its last event.
    explicit stopping_host(const std::string &settings = {}, std::chrono::milliseconds delay = 400ms)
        : gateway_process(settings)
        , replica(loop, "r1", [delay](const received_request &request) { return respond(request, delay); })
    {
        publish(1);
        registerReplica(replica);
        REQUIRE(startReady());
    }

    scripted_caller &connect()
    {
        callers.push_back(std::make_unique<scripted_caller>(loop, callerPort));
        return *callers.back();
    }

    /// @returns the request of the caller that connected last.
    [[nodiscard]] std::string nextRequest(const std::string &method, const std::string &target,
                                          const std::string &body = {}) const
    {
        return requestText(method, target, "id-" + std::to_string(callers.size()), {}, body);
    }

    [[nodiscard]] std::size_t completeCount(int status) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(callers, [status](const auto &caller) {
            return caller->responses.size() == 1 && caller->responses[0].isComplete
                && caller->responses[0].head.status == status;
        }));
    }

    [[nodiscard]] bool allEnded() const
    {
        return std::ranges::all_of(callers, [](const auto &caller) { return caller->isClosed; });
    }

    scripted_replica replica;
    std::vector<std::unique_ptr<scripted_caller>> callers;
};

} // namespace

TEST_CASE("planned stop: 200 connections in all phases get complete responses")
{
    stopping_host host;
    std::vector<std::pair<scripted_caller *, std::string>> rests; ///< what is sent after the stop has begun
    for (std::size_t index = 0; index < kConnectionsPerPhase; ++index)
        for (std::size_t phase = 0; phase < static_cast<std::size_t>(connection_phase::count); ++phase) {
            auto &caller = host.connect();
            const bool isStream = phase == static_cast<std::size_t>(connection_phase::in_stream);
            const auto text = isStream ? host.nextRequest("POST", "/stream/x", "the body")
                                       : host.nextRequest("POST", "/once/x", "the body");
            std::size_t sent = text.size();
            if (phase == static_cast<std::size_t>(connection_phase::connected))
                sent = 0;
            if (phase == static_cast<std::size_t>(connection_phase::in_head))
                sent = text.size() / 2;
            if (phase == static_cast<std::size_t>(connection_phase::in_body))
                sent = text.size() - 3;
            caller.send(text.substr(0, sent));
            if (sent < text.size())
                rests.emplace_back(&caller, text.substr(sent));
        }
    REQUIRE(host.runUntil([&] { return host.replica.requests.size() == 2 * kConnectionsPerPhase; }));
    host.signal(SIGTERM);
    REQUIRE(host.waitForLog("\"event\":\"stop_begun\"", "connections"));
    for (const auto &[caller, rest] : rests)
        caller->send(rest);
    CHECK(host.waitExit() == 0);
    REQUIRE(host.runUntil([&] { return host.allEnded(); }));
    CHECK(host.completeCount(200) == host.callers.size());
}

TEST_CASE("planned stop: requests that wait in the kernel when the listener closes are answered")
{
    stopping_host host;
    // A response on each connection before the stop, so that they are kept and idle.
    std::vector<scripted_caller *> kept;
    for (std::size_t index = 0; index < kConnectionsPerPhase; ++index) {
        kept.push_back(&host.connect());
        kept.back()->send(host.nextRequest("GET", "/safe/x"));
    }
    REQUIRE(host.runUntil([&] { return host.completeCount(200) == kept.size(); }));
    host.signal(SIGTERM);
    REQUIRE(host.waitForLog("\"event\":\"stop_begun\"", "connections"));
    host.runFor(500ms);
    // The process stands still beyond the moment at which it stops to listen.
    host.signal(SIGSTOP);
    for (auto *caller : kept)
        caller->send(requestText("GET", "/safe/x", "kept"));
    for (std::size_t index = 0; index < kConnectionsPerPhase; ++index)
        host.connect().send(host.nextRequest("POST", "/once/x"));
    host.runFor(2500ms);
    host.signal(SIGCONT);
    CHECK(host.waitExit() == 0);
    REQUIRE(host.runUntil([&] { return host.allEnded(); }));
    CHECK(host.completeCount(200) == kConnectionsPerPhase);
    const auto answered = std::ranges::count_if(
        kept, [](const auto *caller) { return caller->responses.size() == 2 && caller->responses[1].isComplete; });
    CHECK(static_cast<std::size_t>(answered) == kept.size());
}

TEST_CASE("planned stop: connections accepted just before the listener closes have time to send their request")
{
    stopping_host host;
    host.signal(SIGTERM);
    REQUIRE(host.waitForLog("\"event\":\"stop_begun\"", "connections"));
    std::vector<scripted_caller *> late;
    host.runFor(2300ms);
    for (std::size_t index = 0; index < kConnectionsPerPhase; ++index)
        host.connect();
    REQUIRE(host.waitForLog("\"event\":\"stop_listening\"", "accepted"));
    for (std::size_t index = 0; index < host.callers.size(); ++index)
        host.callers[index]->send(requestText("POST", "/once/x", "id-" + std::to_string(index)));
    CHECK(host.waitExit() == 0);
    REQUIRE(host.runUntil([&] { return host.allEnded(); }));
    CHECK(host.completeCount(200) == host.callers.size());
}

TEST_CASE("planned stop: what can't end within the grace period is answered before the process ends")
{
    stopping_host host("grace_s = 4\n", 60s);
    auto &plain = host.connect();
    plain.send(host.nextRequest("POST", "/once/x"));
    auto &stream = host.connect();
    stream.send(host.nextRequest("POST", "/stream/x"));
    REQUIRE(host.runUntil([&] { return host.replica.requests.size() == 2 && !stream.responses.empty(); }));
    host.signal(SIGTERM);
    REQUIRE(host.waitForLog("\"event\":\"stop_begun\"", "connections"));
    host.runFor(2s);
    // A request sent too late to end in time, and one that isn't received completely. The route's timeout is 3 s.
    auto &late = host.connect();
    late.send(host.nextRequest("POST", "/once/x"));
    auto &partial = host.connect();
    const auto text = host.nextRequest("POST", "/once/x", "the body");
    partial.send(text.substr(0, text.size() - 3));
    CHECK(host.waitExit() == 0);
    REQUIRE(host.runUntil([&] { return host.allEnded(); }));
    REQUIRE(plain.responses.size() == 1);
    CHECK(plain.responses[0].head.status == 504);
    REQUIRE(late.responses.size() == 1);
    CHECK(late.responses[0].isComplete);
    CHECK(late.responses[0].head.status == 502); // it may have run
    REQUIRE(partial.responses.size() == 1);
    CHECK(partial.responses[0].head.status == 503); // it hasn't run
    REQUIRE(stream.responses.size() == 1);
    CHECK_FALSE(stream.responses[0].isComplete);
}
