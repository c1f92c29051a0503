// Callers' protocol: a malformed request must be rejected with the offending field, and every outcome must map to the
// HTTP status that the protocol specifies.
#include "caller_protocol_p.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace foxtaildyke;

namespace
{

const caller_headers kHeaders{"Bearer key", "1-a", "s", "t", "250"};

caller_refusal refusalOf(const caller_headers &headers, std::string_view body)
{
    const auto decoded = decodeCallerRequest(headers, body);
    REQUIRE(std::holds_alternative<caller_refusal>(decoded));
    return std::get<caller_refusal>(decoded);
}

} // namespace

TEST_CASE("a complete request is decoded with all its headers")
{
    const auto decoded =
        decodeCallerRequest(kHeaders, R"({"kind":"k","prompt":"p","max_tokens":7,"stream":true,"extra":1})");
    REQUIRE(std::holds_alternative<caller_request>(decoded));
    const auto &request = std::get<caller_request>(decoded);
    CHECK(request.apiKey == "key");
    CHECK(request.requestId == "1-a");
    CHECK(request.sessionId == "s");
    CHECK(request.sessionToken == "t");
    CHECK(request.timeout == std::chrono::milliseconds(250));
    CHECK(request.kind == "k");
    CHECK(request.prompt == "p");
    CHECK(request.maxTokens == 7);
    CHECK(request.stream);
}

TEST_CASE("an invalid body is rejected with the offending field")
{
    struct bad_input {
        const char *body;
        const char *field;
    };
    const std::vector<bad_input> inputs{
        {"", "body"},
        {"{", "body"},
        {"[]", "body"},
        {R"({"prompt":"p"})", "kind"},
        {R"({"kind":1,"prompt":"p"})", "kind"},
        {R"({"kind":"k"})", "prompt"},
        {R"({"kind":"k","prompt":""})", "prompt"},
        {R"({"kind":"k","prompt":"p","max_tokens":0})", "max_tokens"},
        {R"({"kind":"k","prompt":"p","max_tokens":-1})", "max_tokens"},
        {R"({"kind":"k","prompt":"p","max_tokens":4294967296})", "max_tokens"},
        {R"({"kind":"k","prompt":"p","stream":"yes"})", "stream"},
    };
    for (const auto &input : inputs) {
        CAPTURE(input.body);
        const auto refusal = refusalOf(kHeaders, input.body);
        CHECK(refusal.reason == reason_code::malformed_body);
        CHECK(refusal.field == input.field);
    }
}

TEST_CASE("a missing key, an invalid deadline and an oversized body are rejected")
{
    constexpr const char *kBody = R"({"kind":"k","prompt":"p"})";
    for (const char *authorization : {"", "key", "Basic key", "Bearer "}) {
        auto headers = kHeaders;
        headers.authorization = authorization;
        CHECK(refusalOf(headers, kBody).reason == reason_code::unknown_account);
    }
    for (const char *deadline : {"x", "-1", "0", "1.5", "99999999999999999999"}) {
        auto headers = kHeaders;
        headers.deadlineMs = deadline;
        CHECK(refusalOf(headers, kBody).field == "Foxtaildyke-Deadline-Ms");
    }
    CHECK(refusalOf(kHeaders, std::string(kCallerBodyLimitBytes + 1, ' ')).reason == reason_code::body_too_large);
}

TEST_CASE("outcomes and reasons map to the specified HTTP statuses")
{
    using enum outcome_kind;
    CHECK(httpStatusOf(complete, reason_code::none) == 200);
    CHECK(httpStatusOf(invalid, reason_code::malformed_body) == 400);
    CHECK(httpStatusOf(invalid, reason_code::unknown_account) == 401);
    CHECK(httpStatusOf(invalid, reason_code::body_too_large) == 413);
    CHECK(httpStatusOf(not_run, reason_code::not_allowed) == 403);
    CHECK(httpStatusOf(not_run, reason_code::session_version_withdrawn) == 409);
    CHECK(httpStatusOf(not_run, reason_code::rate_limited) == 429);
    CHECK(httpStatusOf(not_run, reason_code::draining) == 503);
    CHECK(httpStatusOf(may_have_run, reason_code::duplicate_in_progress) == 409);
    CHECK(httpStatusOf(failed_after_run, reason_code::answer_truncated) == 502);
    CHECK(httpStatusOf(failed_after_run, reason_code::deadline_exceeded) == 504);
}

TEST_CASE("only a complete response carries model, tokens and cost")
{
    finish_request response;
    response.outcome = outcome_kind::failed_after_run;
    response.reason = reason_code::answer_truncated;
    response.model = "m";
    const auto failed = nlohmann::json::parse(encodeResponse(response, "part", true));
    CHECK(failed["outcome"] == "failed_after_run");
    CHECK(failed["reason"] == "answer_truncated");
    CHECK(!failed.contains("text"));
    CHECK(!failed.contains("model"));
    response.outcome = outcome_kind::complete;
    response.reason = reason_code::none;
    response.costMicroUnits = 12;
    const auto complete = nlohmann::json::parse(encodeResponse(response, "whole", true));
    CHECK(complete["text"] == "whole");
    CHECK(complete["cost_micro_units"] == 12);
    CHECK(!complete.contains("reason"));
}

TEST_CASE("Retry-After is rounded up to whole seconds")
{
    finish_request response;
    CHECK(retryAfterOf(response).empty());
    response.retryAfter = std::chrono::milliseconds(1);
    CHECK(retryAfterOf(response) == "1");
    response.retryAfter = std::chrono::milliseconds(2001);
    CHECK(retryAfterOf(response) == "3");
}
