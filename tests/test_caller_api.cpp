// Callers' API over real sockets: complete and streamed responses, invalid requests, disconnecting callers and graceful
// shutdown.
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
                       handleInput(input);
                   }};
    http_endpoint endpoint{"127.0.0.1", 0};
    std::vector<http_response> responses;

    harness()
    {
        const auto port = api.listen(endpoint);
        REQUIRE(port.has_value());
        endpoint.port = port.value();
    }

    void handleInput(const core_input &input)
    {
        if (const auto *request = std::get_if<caller_request>(&input)) {
            requests.push_back(*request);
            onRequest(*request);
        } else if (const auto *disconnected = std::get_if<caller_gone>(&input)) {
            gone.push_back(*disconnected);
            net.stopSoon();
        }
    }

    http_request request(std::string body) const
    {
        http_request request;
        request.endpoint = endpoint;
        request.method = http_method::post;
        request.target = "/v1/answers";
        request.headers = {{"Authorization", "Bearer key"}};
        request.body = std::move(body);
        return request;
    }

    http_call_id start(http_request request)
    {
        return net.client.start(std::move(request),
                                {[this](http_response response) {
                                     responses.push_back(std::move(response));
                                     net.stopSoon();
                                 },
                                 {}});
    }

    http_response call(http_request request)
    {
        const auto before = responses.size();
        start(std::move(request));
        REQUIRE(net.run());
        REQUIRE(responses.size() == before + 1);
        return responses.back();
    }

    static finish_request complete(request_token token)
    {
        finish_request response;
        response.request = token;
        response.outcome = outcome_kind::complete;
        response.requestId = "1-a";
        response.text = "rest";
        response.sessionToken = "token";
        return response;
    }
};

} // namespace

TEST_CASE("a delayed response that is not streamed contains all its parts")
{
    harness test;
    test.onRequest = [&](const caller_request &request) {
        test.net.loop.after(std::chrono::milliseconds(5), [&test, token = request.request] {
            test.api.chunk({token, "first "});
            test.api.finish(harness::complete(token));
        });
    };
    for (int round = 0; round < 3; ++round) {
        const auto response = test.call(test.request(kBody));
        CHECK(response.status == 200);
        CHECK(nlohmann::json::parse(response.body)["text"] == "first rest");
    }
    CHECK(test.net.client.idleConnections() == 1);
    CHECK(test.api.isIdle());
    CHECK(test.requests.back().apiKey == "key");
}

TEST_CASE("a stream consists of its parts and a final outcome event")
{
    harness test;
    test.onRequest = [&](const caller_request &request) {
        test.api.chunk({request.request, "first "});
        test.net.loop.after(std::chrono::milliseconds(5),
                            [&test, token = request.request] { test.api.finish(harness::complete(token)); });
    };
    const auto response = test.call(test.request(kStreamBody));
    CHECK(response.end == http_end::complete);
    CHECK(response.status == 200);
    CHECK(response.body.find("data: {\"text\":\"first \"}\n\ndata: {\"text\":\"rest\"}\n\nevent: outcome\n") == 0);
    CHECK(response.body.find(R"("outcome":"complete")") != std::string::npos);
    CHECK(test.api.isIdle());
}

TEST_CASE("a stream that fails after its first part ends with an outcome event for the failure")
{
    harness test;
    test.onRequest = [&](const caller_request &request) {
        test.api.chunk({request.request, "first "});
        finish_request response;
        response.request = request.request;
        response.outcome = outcome_kind::failed_after_run;
        response.reason = reason_code::answer_truncated;
        test.api.finish(response);
    };
    const auto response = test.call(test.request(kStreamBody));
    CHECK(response.status == 200);
    CHECK(response.body.find(R"({"outcome":"failed_after_run","reason":"answer_truncated"})") != std::string::npos);
}

TEST_CASE("a rejected stream has the status of its reason and Retry-After")
{
    harness test;
    test.onRequest = [&](const caller_request &request) {
        finish_request response;
        response.request = request.request;
        response.reason = reason_code::rate_limited;
        response.retryAfter = std::chrono::milliseconds(1500);
        test.api.finish(response);
    };
    const auto response = test.call(test.request(kStreamBody));
    CHECK(response.status == 429);
    CHECK(response.retryAfter == "2");
}

TEST_CASE("invalid requests are rejected without the core")
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
    wrongPath.target = "/v1/other";
    CHECK(test.call(wrongPath).status == 404);
    CHECK(test.requests.empty());
    CHECK(test.api.isIdle());
}

TEST_CASE("a caller that closes its connection is reported once and its response is discarded")
{
    harness test;
    http_call_id call{};
    test.onRequest = [&](const caller_request &) {
        test.net.loop.after(std::chrono::milliseconds(5), [&] { test.net.client.cancel(call); });
    };
    SUBCASE("before the response")
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
    CHECK(test.responses.empty());
}

TEST_CASE("a graceful shutdown fails the health check, finishes open streams and closes connections")
{
    harness test;
    auto health = test.request("");
    health.method = http_method::get;
    health.target = "/healthz";
    CHECK(test.call(health).status == 200);
    test.onRequest = [&](const caller_request &request) {
        test.api.chunk({request.request, "first "});
        test.api.drain();
        CHECK(!test.api.isIdle());
        test.net.loop.after(std::chrono::milliseconds(20),
                            [&test, token = request.request] { test.api.finish(harness::complete(token)); });
    };
    const auto response = test.call(test.request(kStreamBody));
    CHECK(response.end == http_end::complete);
    CHECK(response.body.find(R"("outcome":"complete")") != std::string::npos);
    CHECK(test.api.isIdle());
    CHECK(test.call(health).status == 503);
}
