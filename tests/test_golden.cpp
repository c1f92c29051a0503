// Golden tests, one for each request kind of both deployments. Each runs a complete session through the decision core
// in virtual time and compares its transcript with tests/golden/NAME.txt. They detect unintended changes to what
// callers, upstreams, the ledger or the timeline receive. FOXTAILDYKE_GOLDEN_UPDATE=1 writes the files instead; see
// scripts/golden.
#include "golden_p.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <fstream>
#include <iterator>

using namespace foxtaildyke;
using namespace foxtaildyke::test;
using namespace std::chrono_literals;

void foxtaildyke::test::checkGolden(const std::string &name, const core_simulation &simulation)
{
    CHECK(simulation.openRequests() == 0);
    const auto path = std::string(FOXTAILDYKE_SOURCE_DIR) + "/tests/golden/" + name + ".txt";
    if (std::getenv("FOXTAILDYKE_GOLDEN_UPDATE")) { // NOLINT(concurrency-mt-unsafe): single-threaded test
        std::ofstream(path) << simulation.transcript();
        return;
    }
    std::ifstream file(path);
    const std::string expected{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    CHECK_MESSAGE(simulation.transcript() == expected, "differs from ", path, "\n", simulation.transcript());
}

void foxtaildyke::test::checkResponse(core_simulation &simulation, request_token request, outcome_kind outcome,
                                      reason_code reason)
{
    const auto &responses = simulation.responses(request);
    REQUIRE(responses.size() == 1);
    CHECK(nameOf(responses.front().outcome) == nameOf(outcome));
    CHECK(nameOf(responses.front().reason) == nameOf(reason));
}

TEST_CASE("golden session: appeal-draft survives a lost upstream")
{
    // A lost draft misses a statutory deadline.
    core_simulation simulation(linShou(), linShouUpstreams());
    simulation.upstream = [](const start_attempt &attempt) -> attempt_script {
        if (attempt.attempt == attempt_token{1})
            return failing(attempt_failure::connection_lost);
        return {.chunks = {"To the ", "agency"}};
    };
    const auto draft = simulation.submit(10ms, "appeal-draft");
    simulation.run(5s);
    checkResponse(simulation, draft, outcome_kind::complete);
    checkGolden("appeal-draft", simulation);
}

TEST_CASE("golden session: docket-status runs once and a resend returns the stored response")
{
    core_simulation simulation(linShou(), linShouUpstreams());
    const auto first = simulation.submit(10ms, "docket-status");
    const auto resend = simulation.submit(200ms, "docket-status", [](caller_request &request) {
        request.requestId = "1790000000-r1";
        request.prompt = "prompt 1";
    });
    simulation.run(5s);
    checkResponse(simulation, first, outcome_kind::complete);
    checkResponse(simulation, resend, outcome_kind::complete);
    CHECK(!simulation.responses(resend).front().storedResponse.empty());
    checkGolden("docket-status", simulation);
}

TEST_CASE("golden session: receipt-check is not retried after a lost connection")
{
    core_simulation simulation(linShou(), linShouUpstreams());
    simulation.upstream = [](const start_attempt &) {
        return failing(attempt_failure::connection_lost);
    };
    const auto first = simulation.submit(10ms, "receipt-check");
    const auto resend =
        simulation.submit(200ms, "receipt-check", [](caller_request &request) { request.requestId = "1790000000-r1"; });
    simulation.run(5s);
    checkResponse(simulation, first, outcome_kind::failed_after_run, reason_code::upstream_failed);
    checkResponse(simulation, resend, outcome_kind::may_have_run, reason_code::duplicate_in_progress);
    checkGolden("receipt-check", simulation);
}

TEST_CASE("golden session: release-summary keeps the versions of its session by means of the session token")
{
    core_simulation simulation(linShou(), linShouUpstreams());
    const auto first =
        simulation.submit(10ms, "release-summary", [](caller_request &request) { request.sessionId = "release-7"; });
    simulation.run(200ms);
    checkResponse(simulation, first, outcome_kind::complete);
    const auto token = simulation.responses(first).front().sessionToken;
    const auto second = simulation.submit(300ms, "release-summary", [&](caller_request &request) {
        request.sessionId = "release-7";
        request.sessionToken = token;
    });
    const auto forged = simulation.submit(600ms, "release-summary", [&](caller_request &request) {
        request.sessionId = "release-8";
        request.sessionToken = token;
    });
    simulation.run(5s);
    checkResponse(simulation, second, outcome_kind::complete);
    checkResponse(simulation, forged, outcome_kind::invalid, reason_code::invalid_session_token);
    checkGolden("release-summary", simulation);
}

TEST_CASE("golden session: page-tag is refused when it can't start before its deadline")
{
    // A late tag makes a story miss its news cycle.
    auto upstreams = linShouUpstreams();
    for (auto &upstream : upstreams)
        upstream.slots = 1;
    core_simulation simulation(linShou(), upstreams);
    simulation.upstream = [](const start_attempt &) {
        return attempt_script{.chunks = {"tag"}, .first = 3s};
    };
    const auto first = simulation.submit(10ms, "page-tag");
    const auto second = simulation.submit(11ms, "page-tag");
    const auto third = simulation.submit(12ms, "page-tag");
    const auto fourth = simulation.submit(13ms, "page-tag");
    const auto late = simulation.submit(3500ms, "page-tag", [](caller_request &request) { request.timeout = 1s; });
    simulation.run(20s);
    checkResponse(simulation, first, outcome_kind::complete);
    checkResponse(simulation, second, outcome_kind::failed_after_run, reason_code::deadline_exceeded);
    checkResponse(simulation, third, outcome_kind::not_run, reason_code::deadline_unreachable);
    checkResponse(simulation, fourth, outcome_kind::not_run, reason_code::deadline_unreachable);
    checkResponse(simulation, late, outcome_kind::not_run, reason_code::deadline_unreachable);
    checkGolden("page-tag", simulation);
}

TEST_CASE("golden session: dossier-summary waits for an upstream and completes late")
{
    auto upstreams = sollecitiPadaniUpstreams();
    upstreams[0].slots = 1;
    upstreams[1].state = host_state::leaving;
    core_simulation simulation(sollecitiPadani(), upstreams);
    simulation.upstream = [](const start_attempt &) {
        return attempt_script{.chunks = {"dossier"}, .first = 8s};
    };
    const auto first = simulation.submit(10ms, "dossier-summary");
    const auto second = simulation.submit(20ms, "dossier-summary");
    simulation.run(60s);
    checkResponse(simulation, first, outcome_kind::complete);
    checkResponse(simulation, second, outcome_kind::complete);
    checkGolden("dossier-summary", simulation);
}

TEST_CASE("golden session: reminder-draft is retried on another upstream only if nothing was sent")
{
    core_simulation simulation(sollecitiPadani(), sollecitiPadaniUpstreams());
    simulation.upstream = [](const start_attempt &attempt) -> attempt_script {
        if (attempt.attempt == attempt_token{1})
            return failing(attempt_failure::not_sent);
        if (attempt.attempt == attempt_token{3})
            return {.chunks = {"Gentile "}, .failure = attempt_failure::truncated};
        return {.chunks = {"Gentile socio"}};
    };
    const auto draft = simulation.submit(10ms, "reminder-draft");
    const auto interrupted = simulation.submit(500ms, "reminder-draft");
    simulation.run(60s);
    checkResponse(simulation, draft, outcome_kind::complete);
    checkResponse(simulation, interrupted, outcome_kind::failed_after_run, reason_code::answer_truncated);
    checkGolden("reminder-draft", simulation);
}

TEST_CASE("golden session: tone-check uses the strongest model while the rating service is unavailable")
{
    core_simulation simulation(sollecitiPadani(), sollecitiPadaniUpstreams());
    bool isDown = true;
    simulation.rating = [&](std::string_view) {
        return isDown ? std::nullopt : std::optional(950U);
    };
    const auto first = simulation.submit(10ms, "tone-check");
    const auto second = simulation.submit(500ms, "tone-check", [](caller_request &request) { request.stream = true; });
    simulation.call(800ms, "the rating service is back", [&] { isDown = false; });
    const auto third = simulation.submit(1000ms, "tone-check");
    const auto fourth = simulation.submit(1500ms, "tone-check");
    simulation.run(10s);
    for (const auto request : {first, second, third, fourth})
        checkResponse(simulation, request, outcome_kind::complete);
    checkGolden("tone-check", simulation);
}

TEST_CASE("golden session: ledger-lookup streams immediately and fails at its deadline")
{
    core_simulation simulation(sollecitiPadani(), sollecitiPadaniUpstreams());
    simulation.upstream = [](const start_attempt &attempt) -> attempt_script {
        if (attempt.attempt == attempt_token{1})
            return {.chunks = {"saldo ", "12,50"}};
        return {.chunks = {"saldo "}, .silent = true};
    };
    const auto completed =
        simulation.submit(10ms, "ledger-lookup", [](caller_request &request) { request.stream = true; });
    const auto hanging =
        simulation.submit(500ms, "ledger-lookup", [](caller_request &request) { request.stream = true; });
    simulation.run(10s);
    checkResponse(simulation, completed, outcome_kind::complete);
    checkResponse(simulation, hanging, outcome_kind::failed_after_run, reason_code::deadline_exceeded);
    checkGolden("ledger-lookup", simulation);
}

TEST_CASE("golden session: payment-promise completes and is billed after the caller has disconnected")
{
    core_simulation simulation(sollecitiPadani(), sollecitiPadaniUpstreams());
    const auto abandoned = simulation.submit(10ms, "payment-promise");
    simulation.at(20ms, caller_gone{abandoned});
    const auto duplicate = simulation.submit(30ms, "payment-promise",
                                             [](caller_request &request) { request.requestId = "1790000000-r1"; });
    const auto resend = simulation.submit(500ms, "payment-promise",
                                          [](caller_request &request) { request.requestId = "1790000000-r1"; });
    simulation.call(1000ms, "the store is down", [&] { simulation.ledger.down = true; });
    const auto refused = simulation.submit(1100ms, "payment-promise");
    simulation.run(10s);
    checkResponse(simulation, abandoned, outcome_kind::complete);
    checkResponse(simulation, duplicate, outcome_kind::may_have_run, reason_code::duplicate_in_progress);
    checkResponse(simulation, resend, outcome_kind::complete);
    checkResponse(simulation, refused, outcome_kind::not_run, reason_code::store_unavailable);
    CHECK(simulation.ledger.billsAccepted == 1);
    checkGolden("payment-promise", simulation);
}
