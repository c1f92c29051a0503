// Golden tests for operation: roll-out, halt, withdrawal, escalation, upstream faults, limits and planned stop. See
// test_golden.cpp.
#include "golden_p.h"

#include <doctest/doctest.h>

using namespace foxtaildyke;
using namespace foxtaildyke::test;
using namespace std::chrono_literals;

namespace
{

/// Adds a second version of the brush model and grants it to all client accounts.
void addBrush2(router_config &config, version_state state)
{
    const version_handle handle{static_cast<std::uint16_t>(config.versions.size())};
    const auto brush = config.modelByName("brush");
    config.versions.push_back({.name = "brush-2",
                               .model = brush,
                               .state = state,
                               .sharePermille = 500,
                               .exposureBudget = 4,
                               .baseline = config.versionByName("brush-1")});
    config.models[brush.index].versions.push_back(handle);
    for (auto &account : config.accounts)
        account.grants.push_back(handle);
}

/// @returns upstreams of which those of the drafting service have brush-2 loaded.
std::vector<upstream_info> upstreamsWithBrush2()
{
    auto upstreams = linShouUpstreams();
    for (auto &upstream : upstreams) {
        if (upstream.service == "drafting-models")
            upstream.versions.emplace_back("brush-2");
    }
    return upstreams;
}

/// Restricts all cascades to their first model, so that model selection does not mask version selection.
router_config onlyBrush()
{
    auto config = linShou();
    for (auto &kind : config.kinds) {
        if (kind.cascade.size() > 1)
            kind.cascade.resize(1);
    }
    return config;
}

void setState(router_config &config, std::string_view version, version_state state)
{
    config.versions[config.versionByName(version).index].state = state;
}

} // namespace

TEST_CASE("golden session: a roll-out receives its share of new sessions, and existing sessions keep their version")
{
    core_simulation simulation(onlyBrush(), upstreamsWithBrush2());
    const auto submitInSession = [&](milliseconds time, const std::string &session) {
        return simulation.submit(time, "page-tag", [&](caller_request &request) { request.sessionId = session; });
    };
    const auto before = submitInSession(10ms, "a");
    simulation.configure(200ms, [](router_config &config) { addBrush2(config, version_state::rolling_out); });
    std::vector<request_token> requests{submitInSession(300ms, "a"), submitInSession(500ms, "b"),
                                        submitInSession(700ms, "c"), submitInSession(900ms, "d"),
                                        submitInSession(1100ms, "c")};
    simulation.configure(1300ms, [](router_config &config) { setState(config, "brush-2", version_state::active); });
    requests.push_back(submitInSession(1400ms, "a"));
    requests.push_back(submitInSession(1600ms, "e"));
    simulation.run(5s);
    CHECK(simulation.responses(before).front().version == "brush-1");
    for (const auto request : requests)
        checkResponse(simulation, request, outcome_kind::complete);
    CHECK(simulation.responses(requests[5]).front().version == "brush-1");
    CHECK(simulation.responses(requests[6]).front().version == "brush-2");
    checkGolden("roll-out", simulation);
}

TEST_CASE("golden session: a bad version is halted, and its existing sessions continue")
{
    auto config = onlyBrush();
    addBrush2(config, version_state::active);
    core_simulation simulation(config, upstreamsWithBrush2());
    simulation.rating = [](std::string_view version) {
        return std::optional(version == "brush-2" ? 200U : 950U);
    };
    std::vector<request_token> requests;
    const auto submitInSession = [&](milliseconds time, const std::string &session) {
        requests.push_back(
            simulation.submit(time, "page-tag", [&](caller_request &request) { request.sessionId = session; }));
    };
    for (int i = 0; i < 12; ++i)
        submitInSession(milliseconds{10 + 200 * i}, "session-" + std::to_string(i));
    submitInSession(3000ms, "session-0");
    simulation.run(6s);
    for (const auto request : requests)
        checkResponse(simulation, request, outcome_kind::complete);
    CHECK(simulation.responses(requests[0]).front().version == "brush-2");
    CHECK(simulation.responses(requests[11]).front().version == "brush-1");
    CHECK(simulation.responses(requests[12]).front().version == "brush-2");
    checkGolden("halt-of-bad-version", simulation);
}

TEST_CASE("golden session: a version is withdrawn in the middle of a session")
{
    auto config = onlyBrush();
    addBrush2(config, version_state::active);
    core_simulation simulation(config, upstreamsWithBrush2());
    simulation.upstream = [](const start_attempt &) {
        return attempt_script{.chunks = {"tag"}, .first = 100ms};
    };
    const auto submitInSession = [&](milliseconds time) {
        return simulation.submit(time, "page-tag", [&](caller_request &request) { request.sessionId = "s"; });
    };
    const auto before = submitInSession(10ms);
    const auto during = submitInSession(350ms);
    const auto alone = simulation.submit(360ms, "page-tag");
    simulation.configure(400ms, [](router_config &next) { setState(next, "brush-2", version_state::withdrawn); });
    const auto after = submitInSession(500ms);
    const auto fresh = simulation.submit(600ms, "page-tag");
    simulation.run(6s);
    checkResponse(simulation, before, outcome_kind::complete);
    checkResponse(simulation, during, outcome_kind::failed_after_run, reason_code::session_version_withdrawn);
    checkResponse(simulation, alone, outcome_kind::complete);
    checkResponse(simulation, after, outcome_kind::not_run, reason_code::session_version_withdrawn);
    checkResponse(simulation, fresh, outcome_kind::complete);
    CHECK(simulation.responses(alone).front().version == "brush-1");
    CHECK(simulation.responses(fresh).front().version == "brush-1");
    checkGolden("withdrawal-in-session", simulation);
}

TEST_CASE("golden session: a response below the quality target escalates, and is returned if the escalation fails")
{
    core_simulation simulation(linShou(), linShouUpstreams());
    simulation.rating = [](std::string_view version) {
        return std::optional(version == "brush-1" ? 600U : 960U);
    };
    simulation.upstream = [](const start_attempt &attempt) -> attempt_script {
        if (attempt.version == "brush-1")
            return {.chunks = {"short draft"}};
        if (attempt.request == request_token{2})
            return failing(attempt_failure::rejected);
        return {.chunks = {"long ", "draft"}};
    };
    const auto better = simulation.submit(10ms, "appeal-draft", [](caller_request &request) { request.stream = true; });
    const auto kept = simulation.submit(20ms, "appeal-draft");
    simulation.run(10s);
    checkResponse(simulation, better, outcome_kind::complete);
    checkResponse(simulation, kept, outcome_kind::complete);
    CHECK(simulation.responses(better).front().version == "scroll-1");
    CHECK(simulation.responses(kept).front().text == "short draft");
    checkGolden("escalation", simulation);
}

TEST_CASE("golden session: late and misdirected responses reach no caller")
{
    core_simulation simulation(sollecitiPadani(), sollecitiPadaniUpstreams());
    simulation.upstream = [](const start_attempt &attempt) -> attempt_script {
        if (attempt.request == request_token{1})
            return {.chunks = {"late"}, .first = 1600ms, .ignoresCancel = true};
        return {.chunks = {"own"}, .first = 100ms};
    };
    const auto late = simulation.submit(10ms, "ledger-lookup");
    const auto other = simulation.submit(1580ms, "ledger-lookup");
    simulation.at(1600ms, attempt_chunk{attempt_token{77}, "text of another process"});
    simulation.at(1601ms, attempt_done{attempt_token{77}, 1, 1});
    simulation.at(1602ms,
                  ledger_response{.request = other, .step = ledger_step::claim, .status = ledger_status::written});
    simulation.run(10s);
    checkResponse(simulation, late, outcome_kind::failed_after_run, reason_code::deadline_exceeded);
    checkResponse(simulation, other, outcome_kind::complete);
    CHECK(simulation.responses(other).front().text == "own");
    checkGolden("late-and-crossed-answers", simulation);
}

TEST_CASE("golden session: a request that crashes its upstreams is quarantined after two crashes")
{
    auto upstreams = linShouUpstreams();
    upstreams.push_back(upstreams[0]);
    upstreams.back().name = "draft-3";
    core_simulation simulation(linShou(), upstreams);
    simulation.upstream = [](const start_attempt &attempt) -> attempt_script {
        if (attempt.prompt == "poison")
            return failing(attempt_failure::connection_lost);
        return {};
    };
    const auto poison = [](caller_request &request) {
        request.prompt = "poison";
    };
    const auto first = simulation.submit(10ms, "page-tag", poison);
    const auto repeated = simulation.submit(500ms, "page-tag", poison);
    const auto healthy = simulation.submit(600ms, "page-tag");
    const auto later = simulation.submit(700s, "page-tag", poison);
    simulation.run(720s);
    checkResponse(simulation, first, outcome_kind::failed_after_run, reason_code::quarantined);
    checkResponse(simulation, repeated, outcome_kind::not_run, reason_code::quarantined);
    checkResponse(simulation, healthy, outcome_kind::complete);
    checkResponse(simulation, later, outcome_kind::failed_after_run, reason_code::upstream_failed);
    checkGolden("quarantine", simulation);
}

TEST_CASE("golden session: an account that exceeds its quota is refused with a retry delay")
{
    auto config = sollecitiPadani();
    config.accounts[0].burst = 2;
    config.accounts[0].requestsPerSecond = 1;
    core_simulation simulation(config, sollecitiPadaniUpstreams());
    const auto first = simulation.submit(10ms, "ledger-lookup");
    const auto second = simulation.submit(20ms, "ledger-lookup");
    const auto third = simulation.submit(30ms, "ledger-lookup");
    const auto later = simulation.submit(3000ms, "ledger-lookup");
    simulation.run(10s);
    checkResponse(simulation, first, outcome_kind::complete);
    checkResponse(simulation, second, outcome_kind::complete);
    checkResponse(simulation, third, outcome_kind::not_run, reason_code::rate_limited);
    checkResponse(simulation, later, outcome_kind::complete);
    checkGolden("quota-exhaustion", simulation);
}

TEST_CASE("golden session: a planned stop refuses new requests and finishes queued and running ones")
{
    auto upstreams = linShouUpstreams();
    for (auto &upstream : upstreams)
        upstream.slots = 1;
    upstreams[1].state = host_state::leaving;
    core_simulation simulation(linShou(), upstreams);
    const auto running = simulation.submit(10ms, "appeal-draft");
    const auto queued = simulation.submit(20ms, "appeal-draft");
    simulation.at(30ms, drain_request{});
    const auto refused = simulation.submit(40ms, "appeal-draft");
    simulation.run(10s);
    checkResponse(simulation, running, outcome_kind::complete);
    checkResponse(simulation, queued, outcome_kind::complete);
    checkResponse(simulation, refused, outcome_kind::not_run, reason_code::draining);
    checkGolden("planned-stop", simulation);
}

TEST_CASE("golden session: no dispatch without a lease, and a cut-off host refuses")
{
    core_simulation simulation(linShou(), linShouUpstreams());
    simulation.at(5ms, lease_changed{1, 1s});
    simulation.upstream = [](const start_attempt &attempt) -> attempt_script {
        if (attempt.request == request_token{1})
            return {.chunks = {}, .failure = attempt_failure::connection_lost, .first = 1200ms};
        return {};
    };
    const auto retried = simulation.submit(10ms, "appeal-draft");
    const auto refused = simulation.submit(1500ms, "appeal-draft");
    simulation.at(2500ms, lease_changed{1, 60s});
    const auto served = simulation.submit(2600ms, "appeal-draft");
    simulation.run(10s);
    checkResponse(simulation, retried, outcome_kind::failed_after_run, reason_code::no_fresh_configuration);
    checkResponse(simulation, refused, outcome_kind::not_run, reason_code::no_fresh_configuration);
    checkResponse(simulation, served, outcome_kind::complete);
    checkGolden("lease-lost", simulation);
}
