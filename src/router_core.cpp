// Decision core of the router: inputs, timers and the event log; see router_core_p.h.
#include "router_core_state_p.h"

namespace foxtaildyke
{

namespace
{

/// Maximum time between two dispatch passes over the queue.
constexpr std::chrono::milliseconds kQueuePollIntervalMs{50};
/// Plans depend on the remaining time, so they are renewed this often.
constexpr std::chrono::milliseconds kReplanIntervalMs{500};

} // namespace

router_core::router_core(std::string hostName, std::string failureDomain, std::uint64_t seed)
    : m_impl(std::make_unique<implementation>(std::move(hostName), std::move(failureDomain), seed))
{
}

router_core::~router_core() = default;

void router_core::handle(const core_input &input, instant now)
{
    auto &core = *m_impl;
    core.m_now = std::max(core.m_now, now);
    core.recordLeaseState();
    std::visit([&](const auto &value) { core.on(value); }, input);
    if (!std::exchange(core.m_evidenceChanged, false))
        return;
    for (auto &delta : core.m_evidence.takeDeltas())
        core.m_actions.emplace_back(share_evidence{std::move(delta)});
    if (auto delta = core.m_policy.takeDeltas(); !delta.empty())
        core.m_actions.emplace_back(share_estimates{std::move(delta)});
}

std::vector<core_action> router_core::takeActions()
{
    return std::exchange(m_impl->m_actions, {});
}

std::vector<account_arrivals> router_core::takeArrivals()
{
    return m_impl->m_admission.takeArrivals();
}

std::vector<estimate_counts> router_core::takeEstimates()
{
    return m_impl->m_policy.takeDeltas();
}

void router_core::learnEstimates(const std::vector<estimate_counts> &counts)
{
    m_impl->m_policy.mergeRemoteCounts(counts);
    ++m_impl->m_planEpoch;
}

std::optional<instant> router_core::nextTimer() const
{
    const auto &core = *m_impl;
    std::optional<instant> next;
    const auto consider = [&](instant time) {
        next = next ? std::min(*next, time) : time;
    };
    if (!core.m_timers.empty())
        consider(core.m_timers.begin()->first);
    if (!core.m_admission.order(1).empty())
        consider(core.m_lastTickAt + kQueuePollIntervalMs);
    for (const auto &[attempt, entry] : core.m_attempts)
        consider(entry.stopAt);
    for (const auto &[attempt, entry] : core.m_ratings)
        consider(entry.timesOutAt);
    return next;
}

std::size_t router_core::openRequests() const
{
    return m_impl->m_requests.size();
}

router_core::implementation::implementation(std::string hostName, std::string failureDomain, std::uint64_t seed)
    : m_hostName(std::move(hostName))
    , m_random(seed)
    , m_admission(seed)
    , m_balancer(std::move(failureDomain), seed)
    , m_evidence(m_hostName)
{
}

void router_core::implementation::on(const config_changed &input)
{
    const bool isNewer = input.config && (!m_config || input.config->generation > m_config->generation);
    if (!isNewer)
        return;
    m_config = input.config;
    recordLeaseState();
    ++m_planEpoch;
    record("configured", "newer generation");
    std::vector<request_token> open;
    for (const auto &[token, request] : m_requests)
        open.push_back(token);
    std::ranges::sort(open);
    for (const auto token : open) {
        if (auto *request = findRequest(token))
            cancelIfWithdrawn(*request);
    }
    dispatchQueued();
}

void router_core::implementation::on(const lease_changed &input)
{
    m_lease = input;
    recordLeaseState();
    ++m_planEpoch;
    dispatchQueued();
}

void router_core::implementation::on(const upstreams_changed &input)
{
    m_upstreams = input.upstreams;
    m_balancer.setUpstreams(input.upstreams);
    ++m_planEpoch;
    dispatchQueued();
}

void router_core::implementation::on(const load_report &input)
{
    m_balancer.recordLoadReport(input.upstream, input.running, input.queued, input.slots, input.measuredAt);
    dispatchQueued();
}

void router_core::implementation::on(const evidence_update &input)
{
    m_evidence.setTotals(input.totals, m_now, input.ownContribution);
    ++m_planEpoch;
    for (const auto &version : input.haltedVersions) {
        if (m_haltedVersions.insert(version).second)
            record("halted", "reported by another host: " + version);
    }
    for (const auto &total : input.totals)
        checkEvidence(total.version);
    dispatchQueued();
}

void router_core::implementation::on(const estimates_update &input)
{
    m_policy.mergeRemoteCounts(input.counts);
}

void router_core::implementation::on(const quarantine_update &input)
{
    if (!m_config)
        return;
    for (const auto fingerprint : input.crashed)
        m_quarantine.recordCrash(fingerprint, m_config->tune, m_now);
    for (const auto fingerprint : input.fingerprints)
        m_quarantine.block(fingerprint, m_config->tune, m_now);
    ++m_planEpoch;
    dispatchQueued();
}

void router_core::implementation::on(const limit_shares &input)
{
    for (const auto &[account, share] : input.shareByAccount)
        m_admission.setShare(account, share);
}

void router_core::implementation::on(const timer_tick &)
{
    while (!m_timers.empty() && m_timers.begin()->first <= m_now) {
        const auto token = m_timers.begin()->second;
        m_timers.erase(m_timers.begin());
        if (auto *request = findRequest(token))
            onDeadline(*request);
    }
    std::vector<request_token> overdue;
    for (const auto &[attempt, entry] : m_attempts) {
        if (entry.stopAt <= m_now)
            overdue.push_back(entry.request);
    }
    std::ranges::sort(overdue);
    for (const auto token : overdue) {
        auto &request = *m_requests.at(token);
        cancelAttempt(request, "no event of the attempt before its time limit");
        fail(request, reason_code::deadline_exceeded);
    }
    expireRatings();
    m_lastTickAt = m_now;
    if (m_now >= m_replannedAt + kReplanIntervalMs) {
        m_replannedAt = m_now;
        ++m_planEpoch;
    }
    dispatchQueued();
    failUnreachable();
}

void router_core::implementation::on(const drain_request &)
{
    if (std::exchange(m_draining, true))
        return;
    record("draining", "planned stop; " + std::to_string(m_requests.size()) + " requests are open");
}

void router_core::implementation::recordLeaseState()
{
    if (hasLease())
        m_noLeaseSince.reset();
    else if (!m_noLeaseSince)
        m_noLeaseSince = m_now;
}

open_request *router_core::implementation::findRequest(request_token request)
{
    const auto found = m_requests.find(request);
    return found == m_requests.end() ? nullptr : found->second.get();
}

void router_core::implementation::record(std::string type, const open_request &request, std::string reason)
{
    record_event event{.type = std::move(type),
                       .request = request.input.request,
                       .requestId = request.requestId,
                       .sessionId = request.input.sessionId,
                       .account = request.account,
                       .version = request.response.version,
                       .generation = m_config ? m_config->generation : 0,
                       .reason = std::move(reason)};
    if (request.attempt)
        event.upstream = m_attempts.at(*request.attempt).upstream;
    m_actions.emplace_back(std::move(event));
}

void router_core::implementation::record(std::string type, std::string reason)
{
    m_actions.emplace_back(record_event{
        .type = std::move(type), .generation = m_config ? m_config->generation : 0, .reason = std::move(reason)});
}

} // namespace foxtaildyke
