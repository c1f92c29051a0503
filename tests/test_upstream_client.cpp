// Upstream client: a response must consist of the events of its own attempt only, and must be complete.
#include "loopback_p.h"
#include "upstream_client_p.h"

#include <set>

using namespace foxtaildyke;

namespace
{

constexpr std::string_view kDone = "data: [DONE]\n\n";

std::string textEvent(const std::string &attempt, const std::string &text)
{
    return R"(data: {"attempt":")" + attempt + R"(","text":")" + text + "\"}\n\n";
}

std::string finishEvent(const std::string &attempt)
{
    return R"(data: {"attempt":")" + attempt + R"(","finish":"stop","prompt_tokens":3,"completion_tokens":2})" + "\n\n";
}

struct harness {
    loopback net;
    std::string text;
    std::vector<attempt_done> done;
    std::vector<attempt_failure> failures;
    upstream_client client{net.loop, net.client, "host-1", [this](const core_input &input) {
                               handleInput(input);
                           }};

    void handleInput(const core_input &input)
    {
        if (const auto *chunk = std::get_if<attempt_chunk>(&input)) {
            text += chunk->text;
            return;
        }
        if (const auto *end = std::get_if<attempt_done>(&input))
            done.push_back(*end);
        if (const auto *failed = std::get_if<attempt_failed>(&input))
            failures.push_back(failed->failure);
        net.stopSoon();
    }

    start_attempt attempt(std::uint64_t number = 1) const
    {
        start_attempt start;
        start.attempt = attempt_token{number};
        start.address = net.endpoint.address;
        start.port = net.endpoint.port;
        start.model = "m";
        start.version = "m-1";
        start.prompt = "p";
        start.timeout = std::chrono::seconds(10);
        return start;
    }

    /// Runs one attempt whose stream consists of the parts that `parts` returns for the attempt id.
    void stream(const std::function<std::vector<std::string>(const std::string &)> &parts)
    {
        net.serve = [parts](const http_exchange_ptr &exchange) {
            exchange->startChunks(200, {});
            for (const auto &part : parts(exchange->header("X-Attempt-Id")))
                exchange->chunk(part);
            exchange->endChunks();
        };
        client.start(attempt());
        REQUIRE(net.run());
    }
};

} // namespace

TEST_CASE("a complete stream yields the text and one attempt_done with the token counts")
{
    harness test;
    test.stream([](const std::string &id) {
        return std::vector<std::string>{textEvent(id, "a"), textEvent(id, "b"), finishEvent(id), std::string(kDone)};
    });
    CHECK(test.text == "ab");
    CHECK(test.failures.empty());
    REQUIRE(test.done.size() == 1);
    CHECK(test.done[0].promptTokens == 3);
    CHECK(test.done[0].completionTokens == 2);
}

TEST_CASE("events split at any byte by the transport are reassembled")
{
    harness test;
    test.stream([](const std::string &id) {
        std::vector<std::string> bytes;
        for (const char byte : textEvent(id, "a") + finishEvent(id) + std::string(kDone))
            bytes.emplace_back(1, byte);
        return bytes;
    });
    CHECK(test.text == "a");
    CHECK(test.done.size() == 1);
}

TEST_CASE("events of another attempt or without an id are dropped and counted")
{
    harness test;
    test.stream([](const std::string &id) {
        return std::vector<std::string>{textEvent("other", "x"), textEvent(id, "a"),   "data: {\"text\":\"y\"}\n\n",
                                        finishEvent("other"),    "data: nonsense\n\n", finishEvent(id),
                                        std::string(kDone)};
    });
    CHECK(test.text == "a");
    CHECK(test.done.size() == 1);
    CHECK(test.client.foreignEvents() == 4);
}

TEST_CASE("a foreign finish event does not complete a response")
{
    harness test;
    test.stream([](const std::string &id) {
        return std::vector<std::string>{textEvent(id, "a"), finishEvent("other"), std::string(kDone)};
    });
    CHECK(test.done.empty());
    CHECK(test.failures == std::vector{attempt_failure::truncated});
}

TEST_CASE("a stream that ends without its finish event or without the end marker is truncated")
{
    harness first;
    first.stream([](const std::string &id) { return std::vector<std::string>{textEvent(id, "a")}; });
    CHECK(first.failures == std::vector{attempt_failure::truncated});
    harness second;
    second.stream([](const std::string &id) { return std::vector<std::string>{textEvent(id, "a"), finishEvent(id)}; });
    CHECK(second.done.empty());
    CHECK(second.failures == std::vector{attempt_failure::truncated});
}

TEST_CASE("a finish event without token counts does not complete a response")
{
    harness test;
    test.stream([](const std::string &id) {
        return std::vector<std::string>{R"(data: {"attempt":")" + id + R"(","finish":"stop"})" + "\n\n",
                                        std::string(kDone)};
    });
    CHECK(test.done.empty());
    CHECK(test.failures == std::vector{attempt_failure::truncated});
}

TEST_CASE("failures of an attempt are distinguished")
{
    SUBCASE("refused before running")
    {
        for (const int status : {429, 503}) {
            harness test;
            test.net.serve = [status](const http_exchange_ptr &exchange) {
                exchange->respond(status, {});
            };
            test.client.start(test.attempt());
            REQUIRE(test.net.run());
            CHECK(test.failures == std::vector{attempt_failure::overloaded});
        }
    }
    SUBCASE("another status")
    {
        harness test;
        test.net.serve = [](const http_exchange_ptr &exchange) {
            exchange->respond(404, {});
        };
        test.client.start(test.attempt());
        REQUIRE(test.net.run());
        CHECK(test.failures == std::vector{attempt_failure::rejected});
    }
    SUBCASE("connection lost after sending")
    {
        harness test;
        test.net.serve = [](const http_exchange_ptr &exchange) {
            exchange->drop();
        };
        test.client.start(test.attempt());
        REQUIRE(test.net.run());
        CHECK(test.failures == std::vector{attempt_failure::connection_lost});
    }
    SUBCASE("connection lost in the middle of the stream")
    {
        harness test;
        test.net.serve = [](const http_exchange_ptr &exchange) {
            exchange->startChunks(200, {});
            exchange->chunk(textEvent(exchange->header("X-Attempt-Id"), "a"));
            exchange->drop();
        };
        test.client.start(test.attempt());
        REQUIRE(test.net.run());
        CHECK(test.failures == std::vector{attempt_failure::connection_lost});
    }
    SUBCASE("no response in time")
    {
        harness test;
        std::vector<http_exchange_ptr> kept;
        test.net.serve = [&](const http_exchange_ptr &exchange) {
            kept.push_back(exchange);
        };
        auto attempt = test.attempt();
        attempt.timeout = std::chrono::milliseconds(50);
        test.client.start(attempt);
        REQUIRE(test.net.run());
        CHECK(test.failures == std::vector{attempt_failure::timed_out});
    }
    SUBCASE("nothing listens: not sent")
    {
        harness test;
        auto attempt = test.attempt();
        {
            http_server other(test.net.loop, [](const http_exchange_ptr &) {});
            attempt.port = other.listen({"127.0.0.1", 0}).value();
        }
        test.client.start(attempt);
        REQUIRE(test.net.run());
        CHECK(test.failures == std::vector{attempt_failure::not_sent});
    }
}

TEST_CASE("cancelling an attempt closes its connection and reports nothing")
{
    harness test;
    bool isClosed = false;
    std::vector<http_exchange_ptr> kept;
    test.net.serve = [&](const http_exchange_ptr &exchange) {
        kept.push_back(exchange);
        exchange->onClosed = [&] {
            isClosed = true;
            test.net.stopSoon();
        };
        exchange->watchClose();
        test.client.cancel(attempt_token{1});
    };
    test.client.start(test.attempt());
    REQUIRE(test.net.run());
    CHECK(isClosed);
    CHECK(test.done.empty());
    CHECK(test.failures.empty());
}

TEST_CASE("attempts one after another share a connection and have different ids")
{
    harness test;
    std::set<std::string> ids;
    test.net.serve = [&](const http_exchange_ptr &exchange) {
        const auto id = exchange->header("X-Attempt-Id");
        ids.insert(id);
        exchange->startChunks(200, {});
        exchange->chunk(finishEvent(id) + std::string(kDone));
        exchange->endChunks();
    };
    test.client.start(test.attempt(1));
    REQUIRE(test.net.run());
    test.client.start(test.attempt(2));
    REQUIRE(test.net.run());
    CHECK(test.done.size() == 2);
    CHECK(ids.size() == 2);
    CHECK(test.net.client.idleConnections() == 1);
}
