// Upstreams of the router that send a second copy of a response, late, on a connection that may be in use again.
#include "gateway_harness.h"
#include "upstream_client_p.h"

using namespace foxtaildyke;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::milliseconds kCopyDelay{40};
constexpr std::chrono::milliseconds kResponseDelay{100};

std::string attemptOf(const received_request &request)
{
    return std::string(request.head.header("X-Attempt-Id"));
}

std::string rejectionText(int status, const std::string &attempt)
{
    const std::string echo = attempt.empty() ? std::string() : "X-Attempt-Id: " + attempt + "\r\n";
    return "HTTP/1.1 " + std::to_string(status) + " Busy\r\n" + echo + "Content-Length: 0\r\n\r\n";
}

std::string completionText(const std::string &attempt, const std::string &text)
{
    const std::string events = R"(data: {"attempt":")" + attempt + R"(","text":")" + text + "\"}\n\n"
        + R"(data: {"attempt":")" + attempt + R"(","finish":"stop","prompt_tokens":3,"completion_tokens":2})"
        + "\n\ndata: [DONE]\n\n";
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(events.size()) + "\r\n\r\n" + events;
}

/// An upstream that responds to the first attempt, repeats that response later, and runs all further attempts.
struct copying_upstream : test_loop {
    copying_upstream(const std::function<std::string(const std::string &attempt)> &first,
                     std::chrono::milliseconds copyDelay)
        : upstream(loop, "u1", [=, count = 0](const received_request &request) mutable {
            const auto attempt = attemptOf(request);
            if (++count > 1)
                return replica_script{.bytes = completionText(attempt, "own"), .delay = kResponseDelay};
            return replica_script{.bytes = first(attempt), .later = {first(attempt)}, .laterDelay = copyDelay};
        })
    {
    }

    void runAttempt(std::uint64_t number)
    {
        start_attempt attempt;
        attempt.attempt = attempt_token{number};
        const auto address = upstream.entry("s").address;
        attempt.address = address.address;
        attempt.port = address.port;
        attempt.timeout = 10s;
        const auto ended = done.size() + failures.size();
        upstreams.start(attempt);
        REQUIRE(runUntil([&] { return done.size() + failures.size() > ended; }));
    }

    std::string text;
    std::vector<attempt_done> done;
    std::vector<attempt_failure> failures;
    scripted_replica upstream;
    http_client client{loop};
    upstream_client upstreams{loop, client, "host-1", [this](const core_input &input) {
                                  if (const auto *chunk = std::get_if<attempt_chunk>(&input))
                                      text += chunk->text;
                                  if (const auto *end = std::get_if<attempt_done>(&input))
                                      done.push_back(*end);
                                  if (const auto *failed = std::get_if<attempt_failed>(&input))
                                      failures.push_back(failed->failure);
                              }};
};

} // namespace

TEST_CASE("second copy, router: a repeated rejection never says that the next attempt hasn't run")
{
    for (const int status : {429, 503, 404})
        for (const bool hasId : {true, false})
            // The copy arrives while the connection is idle, or after the next attempt has been sent on it.
            for (const auto copyDelay : {0ms, kCopyDelay}) {
                CAPTURE(status);
                CAPTURE(hasId);
                CAPTURE(copyDelay.count());
                copying_upstream net(
                    [=](const std::string &attempt) { return rejectionText(status, hasId ? attempt : std::string()); },
                    copyDelay);
                net.runAttempt(1);
                REQUIRE(net.failures.size() == 1);
                CHECK(net.failures[0] == (status == 404 ? attempt_failure::rejected : attempt_failure::overloaded));
                net.runFor(10ms);
                net.runAttempt(2);
                // The second attempt has run. A response that isn't its own leaves that open.
                if (net.failures.size() > 1)
                    CHECK(net.failures[1] == attempt_failure::connection_lost);
                else
                    CHECK(net.text == "own");
                // A connection on which a copy has arrived before isn't used again.
                CHECK((copyDelay == kCopyDelay || net.text == "own"));
                net.runFor(2 * kResponseDelay);
                CHECK(net.client.idleConnections() <= 1);
                net.runAttempt(3);
                CHECK(net.done.size() >= 1);
                CHECK(net.text.ends_with("own"));
            }
}

TEST_CASE("second copy, router: events of a repeated response don't reach the next attempt")
{
    for (const auto copyDelay : {0ms, kCopyDelay}) {
        CAPTURE(copyDelay.count());
        copying_upstream net([](const std::string &attempt) { return completionText(attempt, "first"); }, copyDelay);
        net.runAttempt(1);
        CHECK(net.text == "first");
        net.runFor(10ms);
        net.runAttempt(2);
        CHECK((net.text == "firstown" || net.text == "first"));
        if (net.text == "first")
            CHECK(net.failures == std::vector{attempt_failure::truncated});
    }
}

TEST_CASE("second copy, router: a rejection of a connection's first attempt needs no id")
{
    copying_upstream net([](const std::string &) { return rejectionText(503, {}); }, 1h);
    net.runAttempt(1);
    CHECK(net.failures == std::vector{attempt_failure::overloaded});
}

TEST_CASE("second copy, router: a rejection with the attempt's id is believed on any connection")
{
    test_loop test;
    scripted_replica upstream(test.loop, "u1", [](const received_request &request) {
        return replica_script{.bytes = rejectionText(503, attemptOf(request))};
    });
    std::vector<attempt_failure> failures;
    http_client client(test.loop);
    upstream_client upstreams(test.loop, client, "host-1", [&](const core_input &input) {
        if (const auto *failed = std::get_if<attempt_failed>(&input))
            failures.push_back(failed->failure);
    });
    const auto address = upstream.entry("s").address;
    for (const std::uint64_t number : {1, 2, 3}) {
        start_attempt attempt;
        attempt.attempt = attempt_token{number};
        attempt.address = address.address;
        attempt.port = address.port;
        attempt.timeout = 10s;
        upstreams.start(attempt);
        REQUIRE(test.runUntil([&] { return failures.size() == number; }));
    }
    CHECK(failures == std::vector(3, attempt_failure::overloaded));
    CHECK(client.idleConnections() == 1);
}
