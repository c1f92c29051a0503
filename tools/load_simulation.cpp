// Hosts, callers and events of a simulated run; see load_simulation.h.
#include "load_simulation.h"

#include "text_hash_p.h"

namespace foxtaildyke::load
{

namespace
{

constexpr std::int64_t kStartUnixSeconds = 1790000000; ///< wall clock at virtual time 0
constexpr std::chrono::seconds kDrainTime{900}; ///< after the last arrival, for queued requests to finish
/// Time for which load reports continue after the last arrival; exceeds every timeout of the example experiments (120 s
/// at most).
constexpr std::chrono::seconds kReportTail{150};
/// Interval at which each host's share of the account limits is updated.
constexpr std::chrono::seconds kSharePeriod{1};

} // namespace

simulation::simulation(const experiment &settings, std::uint64_t seed)
    : m_settings(settings)
    , m_seed(seed)
{
    auto &config = m_settings.config;
    if (config.tune.sessionKey.empty())
        config.tune.sessionKey = "virtual-time";
    m_config = std::make_shared<const router_config>(config);
    m_requests = planRequests(m_settings, seed, kStartUnixSeconds);
    m_states.resize(m_requests.size());
    buildUpstreams();
    buildHosts();
    scheduleEvents();
    scheduleReports();
}

void simulation::buildUpstreams()
{
    for (const auto &settings : m_settings.pools) {
        for (std::uint32_t i = 0; i < settings.replicas; ++i) {
            upstream_info info{.name = settings.service + "-" + std::to_string(i),
                               .service = settings.service,
                               .versions = settings.versions,
                               .slots = settings.slots};
            if (!settings.failureDomains.empty())
                info.failureDomain = settings.failureDomains[i % settings.failureDomains.size()];
            m_upstreams.push_back(std::make_unique<upstream>(m_clock, info, settings));
            m_upstreamByName[info.name] = m_upstreams.back().get();
        }
    }
}

void simulation::buildHosts()
{
    for (const auto &entry : m_config->hosts) {
        const auto seed = hashOf(entry.name, m_seed);
        m_hosts.push_back(std::make_unique<host>(entry, seed));
        const auto index = m_hosts.size() - 1;
        feed(index, config_changed{m_config});
        feed(index, lease_changed{m_config->generation, instant::max()});
    }
    publishHostList();
}

void simulation::scheduleEvents()
{
    for (const auto &event : m_settings.events) {
        const instant at{static_cast<std::int64_t>(event.atSeconds * 1e6)};
        m_clock.at(at, [this, &event] { applyEvent(event); });
    }
    for (std::size_t i = 0; i < m_requests.size(); ++i)
        m_clock.at(m_requests[i].arrivesAt, [this, i] { send(i); });
}

void simulation::scheduleReports()
{
    const auto last = instant{static_cast<std::int64_t>(m_settings.durationSeconds * 1e6)} + kReportTail;
    const milliseconds period{std::max(1U, m_settings.loadReportMs)};
    for (instant at{}; at <= last; at += period) {
        m_clock.at(at, [this, period] {
            for (const auto &entry : m_upstreams) {
                const load_report report{.upstream = entry->info().name,
                                         .running = entry->running(),
                                         .queued = entry->queued(),
                                         .slots = entry->info().slots,
                                         .measuredAt = m_clock.now()};
                for (std::size_t i = 0; entry->isUp() && i < m_hosts.size(); ++i)
                    feedLater(period / 2, i, report);
            }
        });
    }
    for (instant at{kSharePeriod}; at <= last; at += kSharePeriod)
        m_clock.at(at, [this] { publishShares(); });
}

void simulation::publishShares()
{
    std::map<std::string, std::uint64_t> totals;
    for (const auto &entry : m_hosts) {
        for (const auto &[account, number] : entry->arrivals)
            totals[account] += number;
    }
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        limit_shares shares;
        const auto own = std::exchange(m_hosts[i]->arrivals, {});
        for (const auto &[account, total] : totals) {
            const auto found = own.find(account);
            const auto number = found == own.end() ? 0 : found->second;
            shares.shareByAccount[account] =
                limitShare(static_cast<double>(number), static_cast<double>(total), m_hosts.size());
        }
        feed(i, shares);
    }
}

void simulation::publishHostList()
{
    std::vector<upstream_info> list;
    for (const auto &entry : m_upstreams)
        list.push_back(entry->info());
    for (std::size_t i = 0; i < m_hosts.size(); ++i)
        feed(i, upstreams_changed{list});
}

void simulation::applyEvent(const timed_event &event)
{
    const auto found = m_upstreamByName.find(event.upstream);
    auto *target = found == m_upstreamByName.end() ? nullptr : found->second;
    if (event.type == "quality") {
        if (event.kind.empty())
            std::erase_if(m_settings.quality, [&](const auto &item) { return item.first.first == event.version; });
        m_settings.quality[{event.version, event.kind}] = event.meetsPermille;
        auto &entry = m_incidents[event.version];
        entry.version = event.version;
        entry.badAtSeconds = std::chrono::duration<double>(m_clock.now()).count();
    } else if (event.type == "rating") {
        m_ratingUp = event.up;
    } else if (event.type == "version") {
        applyVersion(event);
    } else if (event.type == "crash" && target != nullptr) {
        target->crash();
    } else if (event.type == "leave" && target != nullptr) {
        target->setState(host_state::leaving);
        m_clock.after(milliseconds{m_settings.hostListMs}, [this] { publishHostList(); });
    } else if (event.type == "return" && target != nullptr) {
        target->restart();
        target->setState(host_state::live);
        m_clock.after(milliseconds{m_settings.hostListMs}, [this] { publishHostList(); });
    }
}

void simulation::applyVersion(const timed_event &event)
{
    auto next = std::make_shared<router_config>(*m_config);
    ++next->generation;
    const auto handle = next->versionByName(event.version);
    if (!handle.isValid())
        return;
    auto &entry = next->versions[handle.index];
    entry.state = valueOf<version_state>(event.state).value_or(entry.state);
    entry.sharePermille = event.sharePermille > 0 ? event.sharePermille : entry.sharePermille;
    m_config = next;
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        feed(i, config_changed{m_config});
        feed(i, lease_changed{m_config->generation, instant::max()});
    }
}

void simulation::send(std::size_t request)
{
    const auto &planned = m_requests[request];
    const auto first = hashOf(planned.requestId, m_seed + m_states[request].submitCount) % m_hosts.size();
    sendTo(request, first);
    if (planned.isDuplicated && m_states[request].submitCount == 1)
        sendTo(request, (first + 1) % m_hosts.size());
}

void simulation::sendTo(std::size_t request, std::size_t hostIndex)
{
    const auto &planned = m_requests[request];
    const auto &source = m_settings.workloads[planned.workload];
    ++m_states[request].submitCount;
    ++m_states[request].open;
    m_submissions.push_back({.request = request, .host = hostIndex, .at = m_clock.now()});
    ++m_hosts[hostIndex]->arrivals[planned.account];
    caller_request input{.request = request_token{m_submissions.size()},
                         .apiKey = (*m_config)[m_config->accountByName(planned.account)].apiKey,
                         .requestId = planned.requestId,
                         .sessionId = planned.sessionId,
                         .kind = source.kind,
                         .prompt = makePrompt(source, planned, m_settings.affinity),
                         .maxTokens = 0,
                         .unixSeconds = kStartUnixSeconds
                             + std::chrono::duration_cast<std::chrono::seconds>(m_clock.now()).count()};
    if (source.timeoutMs > 0)
        input.timeout = milliseconds{source.timeoutMs};
    const auto token = m_sessionTokens.find(planned.sessionId);
    if (!planned.sessionId.empty() && token != m_sessionTokens.end())
        input.sessionToken = token->second;
    feed(hostIndex, input);
}

void simulation::feedLater(milliseconds delay, std::size_t hostIndex, core_input input)
{
    m_clock.after(delay, [this, hostIndex, input = std::move(input)] { feed(hostIndex, input); });
}

void simulation::feed(std::size_t hostIndex, const core_input &input)
{
    auto &target = *m_hosts[hostIndex];
    target.core.handle(input, m_clock.now());
    for (const auto &action : target.core.takeActions())
        std::visit([&](const auto &value) { on(hostIndex, value); }, action);
    armTimer(hostIndex);
}

void simulation::armTimer(std::size_t hostIndex)
{
    auto &target = *m_hosts[hostIndex];
    const auto next = target.core.nextTimer();
    if (!next || (target.timerAt && *target.timerAt <= *next))
        return;
    target.timerAt = std::max(*next, m_clock.now());
    m_clock.at(*target.timerAt, [this, hostIndex, at = *target.timerAt] {
        auto &entry = *m_hosts[hostIndex];
        if (entry.timerAt != at)
            return;
        entry.timerAt.reset();
        feed(hostIndex, timer_tick{});
    });
}

bool simulation::mayResend(const request_state &state, const workload &source, const finish_request &answer) const
{
    const auto kind = m_config->kindByName(source.kind);
    const bool isSafe = answer.outcome == outcome_kind::not_run
        || (answer.outcome == outcome_kind::failed_after_run && (*m_config)[kind].idempotent);
    return isSafe && state.open == 0 && state.submitCount <= source.maxRetries;
}

bool simulation::isReported(std::size_t request) const
{
    return std::chrono::duration<double>(m_requests[request].arrivesAt).count() >= m_settings.warmupSeconds;
}

void simulation::countRequest(std::size_t request)
{
    const auto &planned = m_requests[request];
    const auto &state = m_states[request];
    const auto &source = m_settings.workloads[planned.workload];
    const auto &kind = (*m_config)[m_config->kindByName(source.kind)];
    auto &row = m_report.rows[{source.name, planned.account}];
    ++row.requests;
    row.runs += state.runs;
    row.maxRuns = std::max(row.maxRuns, state.runs);
    row.bills += state.bills;
    row.maxBills = std::max(row.maxBills, state.bills);
    row.retriedNonIdempotent += !kind.idempotent && state.runs > 1 ? 1 : 0;
    row.costMicroUnits += state.costMicroUnits;
    row.refusalMs.insert(row.refusalMs.end(), state.refusalMs.begin(), state.refusalMs.end());
    if (!state.best) {
        ++row.reasons["no answer"];
        return;
    }
    ++row.outcomes[static_cast<std::size_t>(state.best->outcome)];
    if (state.best->outcome != outcome_kind::complete) {
        ++row.reasons[std::string(nameOf(state.best->reason))];
        return;
    }
    const auto latency = std::chrono::duration<double, std::milli>(state.endedAt - planned.arrivesAt).count();
    const auto timeout =
        source.timeoutMs > 0 ? static_cast<double>(source.timeoutMs) : static_cast<double>(kind.maxTimeout.count());
    row.latencyMs.push_back(latency);
    row.inTime += latency <= timeout ? 1 : 0;
    row.met += state.met ? 1 : 0;
}

arm_report simulation::run()
{
    m_clock.runUntil(instant{static_cast<std::int64_t>(m_settings.durationSeconds * 1e6)} + kDrainTime);
    for (std::size_t i = 0; i < m_requests.size(); ++i) {
        if (isReported(i))
            countRequest(i);
    }
    for (const auto &entry : m_upstreams) {
        m_report.cacheHits += entry->cacheHits();
        m_report.cacheMisses += entry->cacheMisses();
    }
    for (const auto &[version, entry] : m_incidents)
        m_report.incidents.push_back(entry);
    m_report.repeats = 1;
    m_report.seed = m_seed;
    return m_report;
}

} // namespace foxtaildyke::load
