// Gateway of one host: what it receives from the platform's store, and what it shares there with the other hosts; see
// gateway_task_p.h.
#include "gateway_task_p.h"

#include "text_hash_p.h"

#include <nlohmann/json.hpp>

namespace foxtaildyke
{

namespace
{

/// Interval between checks of roll-outs that aren't decided.
constexpr std::chrono::milliseconds kRolloutCheckInterval{50};
/// Longest random delay until a host writes the next state of a roll-out, so that few hosts write the same state.
constexpr std::chrono::milliseconds kRolloutWriteSpread{200};
/// Delay of hosts that follow a relay, in which they learn of the write of one that reads the store.
constexpr std::chrono::milliseconds kFollowerWriteDelay{500};
/// Time after a write in which the state is not written again: its result is to arrive from the store first.
constexpr std::chrono::milliseconds kRolloutWritePause{500};
/// Shortest interval between writes of this host's evidence on roll-outs.
constexpr std::chrono::milliseconds kEvidenceShareInterval{1000};
/// Interval between searches for crash reports of hosts that are gone. Hosts add a random delay of up to the same
/// length, so that few of them remove the same reports.
constexpr std::chrono::seconds kCrashReportPurgeInterval{60};

} // namespace

void gateway_task::onConfig(gateway_config_ptr config)
{
    if (m_state.config && m_state.config->version >= config->version)
        return;
    m_log.write("config_in_force",
                {{"generation", config->version},
                 {"before", m_state.config ? m_state.config->version : 0},
                 {"routes", config->routes.size()},
                 {"keys", config->accountsByKey.size()}});
    m_metrics.setConfigVersion(config->version);
    m_state.config = std::move(config);
    resumeStarting();
}

void gateway_task::resumeStarting()
{
    // The configuration is confirmed, and the other kinds are delivered, in the same iteration of the loop.
    if (m_state.hasStarted())
        m_startTimer.start(std::chrono::microseconds{0});
}

void gateway_task::onConfigConfirmed(instant at)
{
    m_state.configConfirmedAt = std::max(at, m_state.configConfirmedAt.value_or(at));
}

void gateway_task::onReplicaList(std::vector<replica_entry> replicas)
{
    m_log.write("replicas_listed", {{"count", replicas.size()}});
    m_registry.replaceAll(std::move(replicas), suspendAwareNow());
    m_state.hasReplicas = true;
    applyReplicas();
    resumeStarting();
}

void gateway_task::onReplicaChanged(replica_entry replica)
{
    m_log.write("replica_changed",
                {{"upstream", replica.id},
                 {"version", replica.version},
                 {"draining", replica.isDraining},
                 {"address", replica.address.address + ':' + std::to_string(replica.address.port)}});
    const auto now = suspendAwareNow();
    const auto service = replica.service;
    m_state.replicas.setReplica(replica);
    m_state.gate.setReplica(replica, now);
    m_state.reach.recordReplicaStarted(service, replica.id);
    m_registry.upsert(std::move(replica), now);
    judgeReachability(service);
    m_metrics.setReplicas(m_state.replicas.size());
}

void gateway_task::onReplicaRemoved(const std::string &id)
{
    m_log.write("replica_removed", {{"upstream", id}});
    const auto now = suspendAwareNow();
    if (!m_registry.remove(id, now))
        return;
    m_state.replicas.removeReplica(id);
    m_state.gate.removeReplica(id, now);
    m_metrics.setReplicas(m_state.replicas.size());
}

void gateway_task::applyReplicas()
{
    m_state.replicas.setReplicas(m_registry.entries());
    m_state.gate.setReplicas(m_registry.entries(), suspendAwareNow());
    m_metrics.setReplicas(m_state.replicas.size());
}

void gateway_task::onRollouts(const std::vector<rollout_order> &orders)
{
    for (const auto &order : orders)
        m_log.write("rollout_state",
                    {{"service", order.service},
                     {"target", order.target},
                     {"state", nameOf(order.state)},
                     {"stage", order.stage},
                     {"revision", order.revision}});
    m_state.rollouts.setOrders(orders, suspendAwareNow());
    m_state.hasRollouts = true;
    applyPeerEvidence();
    m_rolloutTimer.start(std::chrono::milliseconds{0});
    resumeStarting();
}

void gateway_task::onHostReports(const host_reports &reports)
{
    const auto now = suspendAwareNow();
    m_hostReports = reports;
    m_state.gate.limits().setReports(reports, now);
    crash_reports_by_host crashes;
    for (const auto &[host, report] : reports) {
        const bool hasOpenEvidence = std::ranges::any_of(
            report.rollouts, [this](const rollout_report &entry) { return m_state.rollouts.isUndecided(entry); });
        // Without crashes and anything else in use, the registry treats the report as that of a host that is gone.
        if (!report.crashes.empty() || !(hasOpenEvidence || m_state.gate.limits().hasLiveClaim(host, now)))
            crashes.emplace(host, report.crashes);
    }
    applyPeerEvidence();
    m_state.crashes.setStoredReports(crashes, now);
}

/// Passes the other hosts' evidence to the orders that it belongs to; the store may deliver it before the order.
void gateway_task::applyPeerEvidence()
{
    for (const auto &[host, report] : m_hostReports)
        if (host != m_settings.host)
            m_state.rollouts.setPeerReports(host, report.rollouts);
}

void gateway_task::onHostReportWritten(bool isWritten)
{
    if (isWritten)
        return;
    m_state.crashes.recordPublishFailure();
    m_state.gate.limits().recordPublishFailure();
    m_sharedEvidence.clear(); // shared again at the next interval
}

/// Crashes count at once, since the request may be sent again within a millisecond. A host that is cut off is refused
/// by replicas that run; confirmCutOffs() withdraws what it has counted.
void gateway_task::recordCrash(const broken_attempt &attempt)
{
    const auto now = suspendAwareNow();
    m_state.reach.recordConnectFailure(attempt.service, attempt.replica, now, now);
    m_state.requestProbe();
    m_unconfirmedCrashes.push_back({attempt.service, attempt.crashId, now});
    const bool isNew = m_state.crashes.recordCrash(attempt.fingerprint, attempt.crashId, now);
    m_state.crashes.recordPartCrash(attempt.parts, attempt.crashId, attempt.isResponding, now);
    m_metrics.recordCrash(isNew);
    m_log.write("replica_crashed",
                {{"request_id", attempt.requestId},
                 {"fingerprint", hexText(attempt.fingerprint)},
                 {"upstream", attempt.replica},
                 {"counted", isNew},
                 {"crashes", m_state.crashes.crashes(attempt.fingerprint)},
                 {"prompt_parts", hexTexts(attempt.parts)},
                 {"quarantined", m_state.crashes.findBlock(attempt.traits, now).has_value()}},
                log_subject::request);
}

/// Stores this host's report after a change, and removes those of hosts that are gone.
void gateway_task::shareHostReport(instant now)
{
    m_state.crashes.expire(now);
    logQuarantines(now);
    if (!m_feed)
        return;
    const bool hasCrashes = m_state.crashes.takeUnpublished(now).has_value();
    auto evidence = m_state.rollouts.reports();
    const bool hasEvidence = now >= m_nextEvidenceShare && m_state.crashes.hasAdopted() && evidence != m_sharedEvidence;
    const bool hasClaims = m_state.crashes.hasAdopted() && m_state.gate.limits().isPublishDue(now);
    if (hasCrashes || hasEvidence || hasClaims) {
        m_nextEvidenceShare = now + kEvidenceShareInterval;
        m_sharedEvidence = evidence;
        const host_report report{m_state.crashes.ownReports(), std::move(evidence), m_state.gate.limits().publish(now)};
        m_log.write("host_report_shared",
                    {{"crashes", report.crashes.size()},
                     {"rollouts", report.rollouts.size()},
                     {"limits", report.limits.size()}});
        m_feed->writeHostReport(report);
    }
    if (now < m_nextCrashReportPurge)
        return;
    std::uniform_int_distribution<std::int64_t> spread(0, kCrashReportPurgeInterval.count());
    m_nextCrashReportPurge = now + kCrashReportPurgeInterval + std::chrono::seconds{spread(m_state.random)};
    for (const auto &host : m_state.crashes.abandonedHosts(now))
        m_feed->removeHostReport(host);
}

void gateway_task::advanceLimits(instant now)
{
    m_state.gate.limits().advance(now);
    m_metrics.setLimitedReplicas(m_state.gate.limits().count(now));
    m_metrics.setLeavingReplicas(m_state.gate.notices().leavingCount());
    m_metrics.setPausedReplicas(m_state.gate.notices().pausedCount(now));
    for (const auto &changed : m_state.gate.limits().takeChangedShares())
        m_log.write("replica_limit_share",
                    {{"upstream", changed.replica},
                     {"per_second", changed.perSecond},
                     {"share", changed.share},
                     {"sharers", changed.sharers}});
}

/// Logs the traits for which requests are blocked, or no longer blocked, by this host's reports or by those of others.
void gateway_task::logQuarantines(instant now)
{
    auto blocked = m_state.crashes.blocked(now);
    for (const auto trait : blocked)
        if (!m_loggedQuarantines.contains(trait))
            m_log.write("quarantine_begun",
                        {{m_state.crashes.isPart(trait) ? "prompt_part" : "fingerprint", hexText(trait)},
                         {"crashes", m_state.crashes.crashes(trait)}});
    for (const auto trait : m_loggedQuarantines)
        if (!blocked.contains(trait))
            m_log.write("quarantine_ended", {{"trait", hexText(trait)}});
    m_metrics.setQuarantined(blocked.size());
    m_loggedQuarantines = std::move(blocked);
}

void gateway_task::onRolloutWritten(const rollout_order &order, bool isConflict)
{
    if (isConflict)
        m_staleRollouts.insert_or_assign(order.service, order.revision);
}

void gateway_task::onStoreRewound()
{
    m_staleRollouts.clear(); // revisions are given out again
    m_registry.recordRewind(suspendAwareNow());
    m_state.rollouts.recordRewind(suspendAwareNow());
    // This host's report may be gone; it is written again.
    m_state.crashes.recordPublishFailure();
    m_state.gate.limits().recordPublishFailure();
    m_sharedEvidence.clear();
}

void gateway_task::onFeedReachable(bool isReachable)
{
    m_registry.setStoreReachable(isReachable, suspendAwareNow());
    m_state.gate.limits().setStoreReachable(isReachable, suspendAwareNow());
}

void gateway_task::onStoreCall(std::string_view kind, store_call_cause cause)
{
    const auto name = nameOf(cause);
    m_metrics.recordStoreCall(kind, name);
    ++m_storeCalls[std::string(kind).append("/").append(name)];
}

void gateway_task::onFeedEvent(std::string_view type, const std::string &subject, const std::string &detail)
{
    m_metrics.recordFeedEvent(type);
    m_log.write(type, {{"subject", subject}, {"detail", detail}});
}

void gateway_task::advanceRollouts()
{
    if (!m_state.rollouts.hasUndecided())
        return;
    m_rolloutTimer.start(kRolloutCheckInterval);
    const auto now = suspendAwareNow();
    const auto next = m_state.rollouts.nextState(now);
    // Another host has written; the new state is on its way.
    const auto stale = next ? m_staleRollouts.find(next->service) : m_staleRollouts.end();
    const bool isStale = stale != m_staleRollouts.end() && stale->second == next->revision;
    if (!next || isStale || !m_feed) {
        m_rolloutWriteAt.reset();
        return;
    }
    if (!m_rolloutWriteAt) {
        std::uniform_int_distribution<std::int64_t> spread(0, kRolloutWriteSpread.count());
        m_rolloutWriteAt = now + std::chrono::milliseconds{spread(m_state.random)};
        if (!m_feed->readsStore())
            *m_rolloutWriteAt += kFollowerWriteDelay;
    }
    if (now < *m_rolloutWriteAt)
        return;
    m_rolloutWriteAt = now + kRolloutWritePause;
    const auto &known = *m_state.rollouts.find(next->service);
    m_log.write("rollout_decision",
                {{"service", next->service},
                 {"target", next->target},
                 {"state", nameOf(next->state)},
                 {"stage", next->stage},
                 {"revision", next->revision},
                 {"verdict", nameOf(known.evidence.verdict())},
                 {"responses", known.evidence.responses()},
                 {"bad_responses", known.evidence.badResponses()},
                 {"peer_responses", known.evidence.peerResponses()},
                 {"exposed", known.budget.exposed()},
                 {"requests", known.budget.requests()}});
    m_feed->writeRollout(*next);
}

} // namespace foxtaildyke
