// Ports of the decision cores in a simulated run: upstreams, ledger, rating service, relay; see load_simulation.h.
#include "load_simulation.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace foxtaildyke::load
{

namespace
{

constexpr milliseconds kNetworkDelay{1}; ///< one-way delay between a host and an upstream
constexpr milliseconds kMinResendDelay{10}; ///< minimum retry delay of a caller, if the response requests less
constexpr std::uint32_t kPassingScore = 980; ///< permille; above every target
constexpr std::uint32_t kFailingScore = 200;

/// @returns a uniform value in [0, 1) derived from random bits and a name.
double uniform(std::uint64_t bits, std::string_view name)
{
    constexpr double kRange = 9007199254740992.0; // 2^53
    return static_cast<double>(XXH64(name.data(), name.size(), bits) >> 11) / kRange;
}

} // namespace

bool simulation::meetsTarget(const planned_request &request, const std::string &version) const
{
    const auto &kind = m_settings.workloads[request.workload].kind;
    auto found = m_settings.quality.find({version, kind});
    if (found == m_settings.quality.end())
        found = m_settings.quality.find({version, ""});
    const double chance = found == m_settings.quality.end() ? 1 : found->second / 1000.0;
    const bool isSharedDifficulty = uniform(request.difficulty, "equal") < m_settings.correlation;
    return uniform(request.difficulty, isSharedDifficulty ? "all" : version) < chance;
}

void simulation::on(std::size_t hostIndex, const start_attempt &action)
{
    const auto index = static_cast<std::size_t>(action.request) - 1;
    const auto &planned = m_requests[m_submissions[index].request];
    const auto &source = m_settings.workloads[planned.workload];
    const attempt_key key{hostIndex, action.attempt};
    m_attempts[key] = {action.upstream, action.version, index, m_clock.now()};
    const auto &group = m_settings.affinity ? std::to_string(planned.prefixGroup) : planned.requestId;
    upstream_job job{
        .id = m_hosts[hostIndex]->name + ":" + std::to_string(static_cast<std::uint64_t>(action.attempt)),
        .prefix = XXH64(group.data(), group.size(), planned.workload),
        .promptTokens = source.promptTokens,
        .prefixTokens = source.prefixTokens,
        .completionTokens = std::min(source.completionTokens, action.maxTokens),
        .priority = action.priority,
        .onStarted = [this, request = m_submissions[index].request] { ++m_states[request].runs; },
        .onDone = [this, key] { m_clock.after(kNetworkDelay, [this, key] { endAttempt(key, std::nullopt); }); },
        .onFailed =
            [this, key](attempt_failure failure) {
                m_clock.after(kNetworkDelay, [this, key, failure] { endAttempt(key, failure); });
            }};
    m_clock.after(kNetworkDelay, [this, key, upstream = action.upstream, job = std::move(job)]() mutable {
        if (m_attempts.contains(key))
            m_upstreamByName.at(upstream)->submit(std::move(job));
    });
    m_clock.after(
        action.timeout,
        [this, key, id = m_hosts[hostIndex]->name + ":" + std::to_string(static_cast<std::uint64_t>(action.attempt))] {
            const auto found = m_attempts.find(key);
            if (found == m_attempts.end())
                return;
            m_upstreamByName.at(found->second.upstream)->cancel(id);
            endAttempt(key, attempt_failure::timed_out);
        });
}

void simulation::on(std::size_t hostIndex, const cancel_attempt &action)
{
    const auto found = m_attempts.find({hostIndex, action.attempt});
    if (found == m_attempts.end())
        return;
    const auto upstream = found->second.upstream;
    m_attempts.erase(found);
    m_upstreamByName.at(upstream)->cancel(m_hosts[hostIndex]->name + ":"
                                          + std::to_string(static_cast<std::uint64_t>(action.attempt)));
}

void simulation::endAttempt(const attempt_key &key, std::optional<attempt_failure> failure)
{
    const auto found = m_attempts.find(key);
    if (found == m_attempts.end())
        return;
    const auto attempt = found->second;
    m_attempts.erase(found);
    if (failure)
        return feed(key.first, attempt_failed{key.second, *failure});
    auto &entry = m_submissions[attempt.submission];
    const auto &planned = m_requests[entry.request];
    const auto &source = m_settings.workloads[planned.workload];
    entry.verdicts[attempt.version] = meetsTarget(planned, attempt.version);
    recordResponse(attempt);
    m_unrated[key] = attempt.version;
    feed(key.first,
         attempt_done{
             .attempt = key.second, .promptTokens = source.promptTokens, .completionTokens = source.completionTokens});
}

void simulation::recordResponse(const open_attempt &attempt)
{
    const auto found = m_incidents.find(attempt.version);
    if (found == m_incidents.end() || found->second.badAtSeconds < 0 || found->second.haltedAtSeconds >= 0)
        return;
    const auto started = std::chrono::duration<double>(attempt.startedAt).count();
    found->second.responsesBeforeHalt += started >= found->second.badAtSeconds ? 1 : 0;
}

void simulation::on(std::size_t /*host*/, const finish_request &action)
{
    const auto &entry = m_submissions[static_cast<std::size_t>(action.request) - 1];
    auto &state = m_states[entry.request];
    const auto &planned = m_requests[entry.request];
    const auto &source = m_settings.workloads[planned.workload];
    --state.open;
    if (action.outcome == outcome_kind::not_run)
        state.refusalMs.push_back(std::chrono::duration<double, std::milli>(m_clock.now() - entry.at).count());
    if (!action.sessionToken.empty() && !planned.sessionId.empty())
        m_sessionTokens[planned.sessionId] = action.sessionToken;
    if (state.best && state.best->outcome == outcome_kind::complete)
        return;
    state.best = action;
    state.endedAt = m_clock.now();
    if (action.outcome == outcome_kind::complete) {
        const auto verdict = entry.verdicts.find(action.version);
        state.met = verdict != entry.verdicts.end() && verdict->second;
        const auto bad = m_incidents.find(action.version);
        if (bad != m_incidents.end() && !state.met)
            ++bad->second.failingDelivered;
        return;
    }
    if (mayResend(state, source, action))
        m_clock.after(std::max(kMinResendDelay, action.retryAfter), [this, request = entry.request] { send(request); });
}

void simulation::on(std::size_t hostIndex, const write_claim &action)
{
    auto &entry = m_ledger[{action.account, action.requestId}];
    ledger_response response{.request = action.request, .step = ledger_step::claim, .status = ledger_status::written};
    if (entry.claimed) {
        response.status = entry.billed ? ledger_status::exists_billed : ledger_status::exists_open;
        response.answer = entry.answer;
    }
    entry.claimed = true;
    feedLater(milliseconds{m_settings.ledgerMs}, hostIndex, response);
}

void simulation::on(std::size_t hostIndex, const write_bill &action)
{
    auto &entry = m_ledger[{action.account, action.requestId}];
    auto &state = m_states[m_submissions[static_cast<std::size_t>(action.request) - 1].request];
    ledger_response response{.request = action.request, .step = ledger_step::bill, .status = ledger_status::written};
    if (entry.billed) {
        response.status = ledger_status::exists_billed;
    } else {
        ++state.bills;
        state.costMicroUnits += action.costMicroUnits;
    }
    entry.billed = true;
    entry.answer = action.answer;
    feedLater(milliseconds{m_settings.ledgerMs}, hostIndex, response);
}

void simulation::on(std::size_t hostIndex, const write_pin &action)
{
    auto &entry = m_ledger[{action.account, "session " + action.sessionId}];
    ledger_response response{.request = action.request, .step = ledger_step::pin, .status = ledger_status::written};
    if (entry.pins.empty())
        entry.pins = action.versions;
    else
        response.status = ledger_status::exists_pinned;
    response.pins = entry.pins;
    feedLater(milliseconds{m_settings.ledgerMs}, hostIndex, response);
}

void simulation::on(std::size_t hostIndex, const request_rating &action)
{
    const auto &entry = m_submissions[static_cast<std::size_t>(action.request) - 1];
    rating_response response{.request = action.request, .attempt = action.attempt};
    const auto verdict = entry.verdicts.find(m_unrated[{hostIndex, action.attempt}]);
    m_unrated.erase({hostIndex, action.attempt});
    if (m_ratingUp && verdict != entry.verdicts.end())
        response.scorePermille = verdict->second ? kPassingScore : kFailingScore;
    feedLater(milliseconds{m_settings.ratingMs}, hostIndex, response);
}

void simulation::on(std::size_t /*host*/, const record_event &action)
{
    const auto index = static_cast<std::size_t>(action.request);
    const bool isCounted = index > 0 && isReported(m_submissions[index - 1].request);
    if (action.type == "dispatched" && isCounted)
        ++m_report.firstAttempts;
    if (action.type == "queued" && action.reason.starts_with("retry") && isCounted) {
        ++m_report.retries;
        // Offsets the increment at the dispatch of the retry, which is not a first attempt.
        --m_report.firstAttempts;
    }
}

void simulation::on(std::size_t hostIndex, const share_evidence &action)
{
    auto &sum = m_unpublished[{hostIndex, action.delta.version}];
    sum.passed += action.delta.passed;
    sum.failed += action.delta.failed;
    sum.dispatched += action.delta.dispatched;
    sum.settled += action.delta.settled;
    scheduleRelay();
}

void simulation::on(std::size_t hostIndex, const share_halt &action)
{
    m_halts.insert(action.version);
    recordHalt(hostIndex, action.version);
    scheduleRelay();
}

void simulation::scheduleRelay()
{
    if (!m_settings.shareEvidence || std::exchange(m_relayScheduled, true))
        return;
    m_clock.after(milliseconds{m_settings.relayMs}, [this] {
        m_relayScheduled = false;
        runRelay();
    });
}

void simulation::runRelay()
{
    for (auto &[key, delta] : std::exchange(m_unpublished, {})) {
        auto &sum = m_hosts[key.first]->shared[key.second];
        sum.passed += delta.passed;
        sum.failed += delta.failed;
        sum.dispatched += delta.dispatched;
        sum.settled += delta.settled;
    }
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        std::map<std::string, version_evidence> others;
        for (std::size_t j = 0; j < m_hosts.size(); ++j) {
            for (const auto &[version, part] : m_hosts[j]->shared) {
                auto &sum = others[version];
                sum.version = version;
                sum.passed += j == i ? 0 : part.passed;
                sum.failed += j == i ? 0 : part.failed;
                sum.dispatched += j == i ? 0 : part.dispatched;
                sum.settled += j == i ? 0 : part.settled;
            }
        }
        evidence_update update;
        for (auto &[version, sum] : others)
            update.totals.push_back(std::move(sum));
        update.haltedVersions.assign(m_halts.begin(), m_halts.end());
        feed(i, update);
        for (const auto &version : update.haltedVersions)
            recordHalt(i, version);
    }
}

void simulation::recordHalt(std::size_t hostIndex, const std::string &version)
{
    auto &hosts = m_haltedOn[version];
    hosts.insert(hostIndex);
    auto &entry = m_incidents[version];
    entry.version = version;
    if (hosts.size() == m_hosts.size() && entry.haltedAtSeconds < 0)
        entry.haltedAtSeconds = std::chrono::duration<double>(m_clock.now()).count();
}

} // namespace foxtaildyke::load
