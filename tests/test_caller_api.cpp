// Callers' API over real sockets: answers, streams, bad input, a caller that leaves, and the planned stop.
#include "caller_api_p.h"
#include "loopback_p.h"

#include <nlohmann/json.hpp>

using namespace foxtaildyke;

namespace
{

constexpr const char *kBody = R"({"kind":"k","prompt":"p"})";
constexpr const char *kStreamBody = R"({"kind":"k","prompt":"p","stream":true})";

struct harness {
    loopback net;
    std::vector<caller_request> requests;
    std::vector<caller_gone> gone;
    std::function<void(const caller_request &)> onRequest = [](const caller_request &) {
    };
    caller_api api{net.loop, [this](const core_input &input) {
                       take(input);
                   }};
    http_endpoint endpoint{"127.0.0.1", 0};
    std::vector<http_response> replies;

    harness()
    {
        const auto port = api.listen(endpoint);
        REQUIRE(port.has_value());
        endpoint.port = port.value();
    }

    void take(const core_input &input)
    {
        if (const auto *request = std::get_if<caller_request>(&input)) {
            requests.push_back(*request);
            onRequest(*request);
        } else if (const auto *left = std::get_if<caller_gone>(&input)) {
            gone.push_back(*left);
            net.stopSoon();
        }
    }

    http_request request(std::string body) const
    {
        http_request request;
        request.endpoint = endpoint;
        request.method = http_method::post;
        request.path = "/v1/answers";
        request.headers = {{"Authorization", "Bearer key"}};
        request.body = std::move(body);
        return request;
    }

    http_call_id start(http_request request)
    {
        return net.client.start(std::move(request),
                                {[this](http_response reply) {
                                     replies.push_back(std::move(reply));
                                     net.stopSoon();
                                 },
                                 {}});
    }

    http_response call(http_request request)
    {
        const auto before = replies.size();
        start(std::move(request));
        REQUIRE(net.run());
        REQUIRE(replies.size() == before + 1);
        return replies.back();
    }

    static finish_request complete(request_token token)
    {
        finish_request answer;
        answer.request = token;
        answer.outcome = outcome_kind::complete;
        answer.requestId = "1-a";
        answer.text = "rest";
        answer.sessionToken = "token";
        return answer;
    }
};

} // namespace

TEST_CASE("an answer that comes later arrives whole with its parts joined")
{
    harness test;
    test.onRequest = [&](const caller_request &request) {
        test.net.loop.after(std::chrono::milliseconds(5), [&test, token = request.request] {
            test.api.chunk({token, "first "});
            test.api.finish(harness::complete(token));
        });
    };
    for (int round = 0; round < 3; ++round) {
        const auto reply = test.call(test.request(kBody));
        CHECK(reply.status == 200);
        CHECK(nlohmann::json::parse(reply.body)["text"] == "first rest");
    }
    CHECK(test.net.client.idleConnections() == 1);
    CHECK(test.api.isIdle());
    CHECK(test.requests.back().apiKey == "key");
}

TEST_CASE("a stream carries its parts and ends with the outcome")
{
    harness test;
    test.onRequest = [&](const caller_request &request) {
        test.api.chunk({request.request, "first "});
        test.net.loop.after(std::chrono::milliseconds(5),
                            [&test, token = request.request] { test.api.finish(harness::complete(token)); });
    };
    const auto reply = test.call(test.request(kStreamBody));
    CHECK(reply.end == http_end::complete);
    CHECK(reply.status == 200);
    CHECK(reply.body.find("data: {\"text\":\"first \"}\n\ndata: {\"text\":\"rest\"}\n\nevent: outcome\n") == 0);
    CHECK(reply.body.find(R"("outcome":"complete")") != std::string::npos);
    CHECK(test.api.isIdle());
}

TEST_CASE("a stream that fails after its first part ends with the failure")
{
    harness test;
    test.onRequest = [&](const caller_request &request) {
        test.api.chunk({request.request, "first "});
        finish_request answer;
        answer.request = request.request;
        answer.outcome = outcome_kind::failed_after_run;
        answer.reason = reason_code::answer_truncated;
        test.api.finish(answer);
    };
    const auto reply = test.call(test.request(kStreamBody));
    CHECK(reply.status == 200);
    CHECK(reply.body.find(R"({"outcome":"failed_after_run","reason":"answer_truncated"})") != std::string::npos);
}

TEST_CASE("a refused stream has the status of its reason and Retry-After")
{
    harness test;
    test.onRequest = [&](const caller_request &request) {
        finish_request answer;
        answer.request = request.request;
        answer.reason = reason_code::rate_limited;
        answer.retryAfter = std::chrono::milliseconds(1500);
        test.api.finish(answer);
    };
    const auto reply = test.call(test.request(kStreamBody));
    CHECK(reply.status == 429);
    CHECK(reply.retryAfter == "2");
}

TEST_CASE("bad requests are answered without the core")
{
    harness test;
    auto noKey = test.request(kBody);
    noKey.headers.clear();
    CHECK(test.call(noKey).status == 401);
    const auto malformed = test.call(test.request("{"));
    CHECK(malformed.status == 400);
    CHECK(nlohmann::json::parse(malformed.body)["field"] == "body");
    const auto large = test.call(test.request(std::string(kCallerBodyLimitBytes + 1, ' ')));
    CHECK(large.status == 413);
    CHECK(nlohmann::json::parse(large.body)["reason"] == "body_too_large");
    auto wrongMethod = test.request("");
    wrongMethod.method = http_method::get;
    CHECK(test.call(wrongMethod).status == 405);
    auto wrongPath = test.request(kBody);
    wrongPath.path = "/v1/other";
    CHECK(test.call(wrongPath).status == 404);
    CHECK(test.requests.empty());
    CHECK(test.api.isIdle());
}

TEST_CASE("a caller that closes its connection is reported once and its answer is dropped")
{
    harness test;
    http_call_id call{};
    test.onRequest = [&](const caller_request &) {
        test.net.loop.after(std::chrono::milliseconds(5), [&] { test.net.client.cancel(call); });
    };
    SUBCASE("before the answer")
    {
        call = test.start(test.request(kBody));
    }
    SUBCASE("in the middle of a stream")
    {
        test.onRequest = [&](const caller_request &request) {
            test.api.chunk({request.request, "first "});
            test.net.loop.after(std::chrono::milliseconds(5), [&] { test.net.client.cancel(call); });
        };
        call = test.start(test.request(kStreamBody));
    }
    REQUIRE(test.net.run());
    REQUIRE(test.gone.size() == 1);
    CHECK(test.gone[0].request == test.requests[0].request);
    test.api.finish(harness::complete(test.requests[0].request));
    CHECK(test.api.isIdle());
    CHECK(test.replies.empty());
}

TEST_CASE("a planned stop turns the health check, finishes open streams and closes connections")
{
    harness test;
    auto health = test.request("");
    health.method = http_method::get;
    health.path = "/healthz";
    CHECK(test.call(health).status == 200);
    test.onRequest = [&](const caller_request &request) {
        test.api.chunk({request.request, "first "});
        test.api.drain();
        CHECK(!test.api.isIdle());
        test.net.loop.after(std::chrono::milliseconds(20),
                            [&test, token = request.request] { test.api.finish(harness::complete(token)); });
    };
    const auto reply = test.call(test.request(kStreamBody));
    CHECK(reply.end == http_end::complete);
    CHECK(reply.body.find(R"("outcome":"complete")") != std::string::npos);
    CHECK(test.api.isIdle());
    CHECK(test.call(health).status == 503);
}
