// Property tests of the decision core: random requests, failures, withdrawals, lease losses, duplicate and lost
// responses, checked against the rules in section 1.1 of docs/design.md. The seed is fixed below; set
// RC_PARAMS="seed=N max_success=N" to run others.
#include "core_simulation_p.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <random>
#include <rapidcheck.h>

using namespace foxtaildyke;
using namespace foxtaildyke::test;
using namespace std::chrono_literals;

namespace
{

/// Observes all inputs and actions of a run and records every violation of a rule.
class rule_checker
{
public:
    explicit rule_checker(core_simulation &simulation)
        : m_simulation(simulation)
    {
        simulation.observe = [this](const core_action &action) {
            check(action);
        };
        simulation.observeInput = [this](const core_input &input) {
            recordInput(input);
        };
    }

    void recordRequest(const caller_request &request) { m_requests[request.request] = request; }
    /// Checks the rules that need the complete run.
    void finish();
    [[nodiscard]] const std::vector<std::string> &violations() const { return m_violations; }

private:
    struct attempt_entry {
        request_token request{};
        std::string upstream;
    };
    void recordInput(const core_input &input);
    void recordExecution(attempt_token attempt);
    void recordEnd(attempt_token attempt);
    void recordFailure(const attempt_failed &failed);
    [[nodiscard]] std::string fingerprint(request_token request)
    {
        return m_requests[request].kind + m_requests[request].prompt;
    }
    void check(const core_action &action);
    void check(const start_attempt &action);
    void check(const finish_request &action);
    void expect(bool holds, const std::string &rule, request_token request);
    [[nodiscard]] bool wasSent(attempt_token attempt) const;
    [[nodiscard]] int sentAttempts(request_token request) const;

    core_simulation &m_simulation;
    lease_changed m_lease;
    generation_number m_generation = 0;
    std::map<request_token, caller_request> m_requests;
    std::map<attempt_token, attempt_entry> m_attempts;
    std::map<attempt_token, attempt_failure>
        m_failures; ///< reported failures; no entry for attempts in flight or completed
    std::set<attempt_token> m_inFlight; ///< started, and neither ended nor cancelled
    std::map<std::string, std::uint32_t> m_crashes; ///< number of lost connections, by fingerprint
    std::set<attempt_token> m_executed; ///< attempts that sent text or completed
    std::map<request_token, int> m_finishes;
    std::map<request_token, int> m_bills;
    std::vector<std::string> m_violations;
};

void rule_checker::expect(bool holds, const std::string &rule, request_token request)
{
    if (!holds)
        m_violations.push_back(rule + ", request " + std::to_string(static_cast<std::uint64_t>(request)));
}

void rule_checker::recordInput(const core_input &input)
{
    if (const auto *lease = std::get_if<lease_changed>(&input))
        m_lease = *lease;
    else if (const auto *config = std::get_if<config_changed>(&input))
        m_generation = config->config->generation;
    else if (const auto *chunk = std::get_if<attempt_chunk>(&input))
        recordExecution(chunk->attempt);
    else if (const auto *done = std::get_if<attempt_done>(&input))
        recordEnd(done->attempt);
    else if (const auto *failed = std::get_if<attempt_failed>(&input))
        recordFailure(*failed);
}

void rule_checker::recordExecution(attempt_token attempt)
{
    if (m_attempts.contains(attempt)) // Injected events may refer to an attempt that starts later.
        m_executed.insert(attempt);
}

void rule_checker::recordEnd(attempt_token attempt)
{
    recordExecution(attempt);
    m_inFlight.erase(attempt);
}

void rule_checker::recordFailure(const attempt_failed &failed)
{
    if (!m_executed.contains(failed.attempt))
        m_failures.try_emplace(failed.attempt, failed.failure);
    if (m_inFlight.erase(failed.attempt) > 0 && failed.failure == attempt_failure::connection_lost)
        ++m_crashes[fingerprint(m_attempts[failed.attempt].request)];
}

bool rule_checker::wasSent(attempt_token attempt) const
{
    const auto failure = m_failures.find(attempt);
    return failure == m_failures.end()
        || (failure->second != attempt_failure::not_sent && failure->second != attempt_failure::overloaded);
}

int rule_checker::sentAttempts(request_token request) const
{
    return static_cast<int>(std::ranges::count_if(
        m_attempts, [&](const auto &item) { return item.second.request == request && wasSent(item.first); }));
}

void rule_checker::check(const core_action &action)
{
    if (const auto *start = std::get_if<start_attempt>(&action))
        check(*start);
    else if (const auto *finished = std::get_if<finish_request>(&action))
        check(*finished);
    else if (const auto *cancel = std::get_if<cancel_attempt>(&action))
        m_inFlight.erase(cancel->attempt);
    else if (const auto *bill = std::get_if<write_bill>(&action))
        expect(++m_bills[bill->request] == 1, "at most one bill", bill->request);
}

void rule_checker::check(const start_attempt &action)
{
    const auto &config = m_simulation.config();
    const auto &request = m_requests[action.request];
    const auto version = config.versionByName(action.version);
    const auto account = config.accountByKey(request.apiKey);
    const bool hasLease = m_lease.generation == m_generation && m_simulation.now() < m_lease.expiresAt;
    expect(hasLease && action.generation == m_generation, "dispatch only under a lease", action.request);
    expect(account.isValid() && config.isGranted(account, version), "dispatch only under a grant", action.request);
    expect(config[version].state != version_state::withdrawn, "no dispatch of a withdrawn version", action.request);
    if (!request.sessionId.empty()) {
        const auto &pins = m_simulation.ledger.entries[{"wanhua-legal", "session " + request.sessionId}].pins;
        expect(std::ranges::find(pins, action.version) != pins.end(), "dispatch only as pinned", action.request);
    }
    const auto kind = config.kindByName(request.kind);
    if (!config[kind].idempotent) {
        const auto &record = m_simulation.ledger.entries[{"wanhua-legal", request.requestId}];
        expect(record.claimed, "no non-idempotent dispatch before a claim", action.request);
        expect(sentAttempts(action.request) == 0, "one non-idempotent attempt that was sent", action.request);
    }
    m_attempts[action.attempt] = {action.request, action.upstream};
    const auto requestFingerprint = fingerprint(action.request);
    const auto crashes = m_crashes[requestFingerprint];
    const auto copiesInFlight = std::ranges::count_if(
        m_inFlight, [&](attempt_token open) { return fingerprint(m_attempts[open].request) == requestFingerprint; });
    expect(crashes == 0 || crashes + copiesInFlight < quarantine::kCrashLimit, "no dispatch in quarantine",
           action.request);
    m_inFlight.insert(action.attempt);
    std::set<std::string> crashed;
    for (const auto &[attempt, entry] : m_attempts) {
        const auto failure = m_failures.find(attempt);
        if (entry.request == action.request && failure != m_failures.end()
            && failure->second == attempt_failure::connection_lost)
            crashed.insert(entry.upstream);
    }
    expect(crashed.size() < quarantine::kCrashLimit, "no third upstream after two crashes", action.request);
}

void rule_checker::check(const finish_request &action)
{
    expect(++m_finishes[action.request] == 1, "one final response", action.request);
    const bool notRun = action.outcome == outcome_kind::not_run || action.outcome == outcome_kind::invalid;
    expect(!notRun || sentAttempts(action.request) == 0, "not_run only if nothing was sent", action.request);
    const bool isNewResponse = action.outcome == outcome_kind::complete && action.storedResponse.empty();
    expect(!isNewResponse || m_bills[action.request] == 1, "bill before a complete response", action.request);
}

void rule_checker::finish()
{
    for (const auto &[token, request] : m_requests)
        expect(m_finishes[token] == 1, "one final response", token);
    // The ledger treats submissions with the same account and id as one request.
    std::map<std::string, int> sentById;
    for (const auto &[token, request] : m_requests) {
        const auto kind = m_simulation.config().kindByName(request.kind);
        if (!m_simulation.config()[kind].idempotent)
            sentById[request.requestId] += sentAttempts(token);
    }
    for (const auto &[id, count] : sentById) {
        if (count > 1)
            m_violations.push_back("one non-idempotent attempt that was sent, id " + id);
    }
}

/// One random run. All choices derive from one seed, so the seed reproduces a failing case.
class random_run
{
public:
    explicit random_run(std::uint64_t seed)
        : m_random(seed)
        , m_simulation(makeConfig(), makeUpstreams(), seed)
        , m_checker(m_simulation)
    {
        scriptPorts();
        scriptRequests();
        scriptOperators();
        scriptHosts();
    }

    [[nodiscard]] std::vector<std::string> run()
    {
        m_simulation.run(120s);
        m_checker.finish();
        auto violations = m_checker.violations();
        if (m_simulation.openRequests() != 0)
            violations.push_back("requests left open: " + std::to_string(m_simulation.openRequests()));
        return violations;
    }
    [[nodiscard]] std::string transcript() const { return m_simulation.transcript(); }

private:
    [[nodiscard]] static router_config makeConfig();
    [[nodiscard]] static std::vector<upstream_info> makeUpstreams();
    [[nodiscard]] std::uint64_t below(std::uint64_t limit) { return m_random() % limit; }
    [[nodiscard]] bool chance(unsigned percent) { return below(100) < percent; }
    [[nodiscard]] milliseconds randomTime() { return milliseconds{10 + below(20000)}; }
    [[nodiscard]] attempt_script randomScript(const start_attempt &attempt);
    void scriptPorts();
    void scriptRequests();
    void scriptOperators();
    void scriptHosts();
    void setLease(milliseconds time, milliseconds length);

    std::mt19937_64 m_random;
    core_simulation m_simulation;
    rule_checker m_checker;
};

router_config random_run::makeConfig()
{
    auto config = linShou();
    const auto add = [&](std::string name, std::string_view model, version_state state) {
        const version_handle handle{static_cast<std::uint16_t>(config.versions.size())};
        const auto owner = config.modelByName(model);
        const auto baseline = config.models[owner.index].versions.back();
        config.versions.push_back({.name = std::move(name), .model = owner, .state = state, .baseline = baseline});
        config.models[owner.index].versions.push_back(handle);
        config.accounts[0].grants.push_back(handle);
    };
    add("brush-2", "brush", version_state::active);
    add("scroll-2", "scroll", version_state::rolling_out);
    add("clerk-desk-2", "clerk-desk", version_state::active);
    config.tune.retryBudgetPercent = 100; // allows more retries than in production, to exercise their rules
    return config;
}

std::vector<upstream_info> random_run::makeUpstreams()
{
    auto upstreams = linShouUpstreams();
    upstreams.push_back(upstreams[0]);
    upstreams.back().name = "draft-3";
    for (auto &upstream : upstreams) {
        upstream.slots = 2;
        if (upstream.service == "clerk-desk")
            upstream.versions.emplace_back("clerk-desk-2");
        else
            upstream.versions.insert(upstream.versions.end(), {"brush-2", "scroll-2"});
    }
    return upstreams;
}

attempt_script random_run::randomScript(const start_attempt &attempt)
{
    attempt_script script{.chunks = {"one ", "two"}, .first = milliseconds{5 + below(600)}};
    script.silent = chance(4);
    script.ignoresCancel = chance(50);
    if (script.silent || !chance(45))
        return script;
    const auto failure = static_cast<attempt_failure>(below(static_cast<std::uint64_t>(attempt_failure::count)));
    const bool ran = failure != attempt_failure::not_sent && failure != attempt_failure::overloaded;
    script.chunks.resize(ran ? below(2) : 0);
    script.failure = attempt.prompt == "poison" ? attempt_failure::connection_lost : failure;
    return script;
}

void random_run::scriptPorts()
{
    m_simulation.upstream = [this](const start_attempt &attempt) {
        return randomScript(attempt);
    };
    m_simulation.rating = [this](std::string_view) {
        return chance(10) ? std::nullopt : std::optional(static_cast<std::uint32_t>(500 + below(500)));
    };
    m_simulation.copies = [this](const core_input &) {
        return chance(5) ? 0 : chance(10) ? 2 : 1;
    };
    m_simulation.call(randomTime(), "store down", [this] { m_simulation.ledger.down = true; });
    m_simulation.call(randomTime(), "store up", [this] { m_simulation.ledger.down = false; });
}

void random_run::scriptRequests()
{
    static constexpr std::array kKinds{"appeal-draft", "page-tag", "docket-status", "receipt-check", "page-tag"};
    const auto count = 20 + below(60);
    for (std::uint64_t i = 0; i < count; ++i) {
        const auto time = randomTime();
        const auto token = m_simulation.submit(time, kKinds[below(kKinds.size())], [&](caller_request &request) {
            if (chance(25))
                request.requestId = "1790000000-shared" + std::to_string(below(4)) + request.kind;
            if (chance(30))
                request.sessionId = "s" + std::to_string(below(5));
            if (chance(10))
                request.prompt = "poison";
            if (chance(20))
                request.timeout = milliseconds{100 + below(2000)};
            request.stream = chance(50);
            m_checker.recordRequest(request);
        });
        if (chance(15))
            m_simulation.at(time + milliseconds{below(800)}, caller_gone{token});
    }
    if (chance(20))
        m_simulation.at(randomTime(), drain_request{});
}

void random_run::scriptOperators()
{
    for (std::uint64_t i = 0; i < below(6); ++i) {
        const auto version = below(6);
        const auto state = static_cast<version_state>(below(4));
        const auto time = randomTime();
        m_simulation.configure(time, [version, state](router_config &config) {
            auto &entry = config.versions[version];
            if (entry.state != version_state::withdrawn)
                entry.state = state;
        });
    }
    if (chance(40)) {
        m_simulation.configure(randomTime(), [this](router_config &config) {
            auto &grants = config.accounts[0].grants;
            grants.erase(grants.begin() + static_cast<std::ptrdiff_t>(below(grants.size())));
        });
    }
}

void random_run::setLease(milliseconds time, milliseconds length)
{
    m_simulation.call(time, "lease", [this, time, length] {
        m_simulation.at(time, lease_changed{m_simulation.config().generation, time + length});
    });
}

void random_run::scriptHosts()
{
    for (std::uint64_t i = 0; i < below(4); ++i) {
        const auto time = randomTime();
        setLease(time, milliseconds{below(500)});
        setLease(time + milliseconds{below(4000)}, std::chrono::hours{1});
    }
    for (std::uint64_t i = 0; i < below(4); ++i) {
        auto upstreams = makeUpstreams();
        upstreams[below(upstreams.size())].state = host_state::leaving;
        m_simulation.at(randomTime(), upstreams_changed{upstreams});
    }
    for (int i = 0; i < 10; ++i)
        m_simulation.at(randomTime(), attempt_done{attempt_token{1 + below(40)}, 1, 1});
}

} // namespace

TEST_CASE("the rules of a request hold under random failures")
{
    // Fixed seed for CI; RC_PARAMS overrides it for manual runs.
    if (!std::getenv("RC_PARAMS")) // NOLINT(concurrency-mt-unsafe): single-threaded test
        setenv("RC_PARAMS", "seed=20260 max_success=300", 0); // NOLINT(concurrency-mt-unsafe)
    const bool holds = rc::check("rules of a request", [] {
        // Shrinking a seed gives an unrelated run, so it is generated at nominal size and not shrunk.
        const auto seed = *rc::gen::noShrink(rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()));
        random_run run(seed);
        const auto violations = run.run();
        if (!violations.empty())
            RC_FAIL("seed " + std::to_string(seed) + ": " + violations.front() + "\n" + run.transcript());
    });
    CHECK(holds);
}
