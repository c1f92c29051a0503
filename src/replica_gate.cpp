// Admission of requests to replicas by what these state about themselves; see replica_gate_p.h.
#include "replica_gate_p.h"

namespace foxtaildyke
{

replica_gate::replica_gate(const std::string &host, std::uint64_t seed)
    : m_random(seed)
    , m_limits(host, m_random())
    , m_brittle(m_random())
{
}

void replica_gate::setReplicas(const std::vector<replica_entry> &replicas, instant now)
{
    m_notices.setReplicas(replicas, now);
    m_limits.setReplicas(replicas, now);
    for (const auto &entry : replicas)
        m_brittle.setReplica(entry);
}

void replica_gate::setReplica(const replica_entry &entry, instant now)
{
    m_notices.setReplica(entry);
    m_limits.setReplica(entry, now);
    m_brittle.setReplica(entry);
}

void replica_gate::removeReplica(const std::string &id, instant now)
{
    m_notices.removeReplica(id, now);
    m_limits.removeReplica(id, now);
    m_brittle.removeReplica(id);
}

std::chrono::milliseconds replica_gate::drawPause(double seconds)
{
    const std::chrono::duration<double> stated(seconds);
    const auto most = std::min<std::chrono::duration<double>>(stated * kPauseSpread, kMaxPauseSpread);
    std::uniform_real_distribution<double> spread(0, 1);
    return std::chrono::ceil<std::chrono::milliseconds>(stated + most * spread(m_random));
}

statement_effect replica_gate::recordStatement(const replica_run &replica, const replica_statement &statement,
                                               instant sentAt, instant now)
{
    statement_effect effect;
    if (statement.isLeaving)
        effect.isNewlyLeaving = m_notices.recordLeaving(replica, now);
    if (statement.retryAfterSeconds.value_or(0) > 0) {
        const auto most = std::chrono::duration<double>(kMaxPause).count();
        effect.isPauseBounded = *statement.retryAfterSeconds > most;
        effect.pause = drawPause(std::min(*statement.retryAfterSeconds, most));
        m_notices.recordPause(replica, now + *effect.pause, now);
    }
    // Without the header, only a response that is certain to be the replica's ends its brittleness.
    const bool isBrittlenessKnown = !statement.isUnusable(statement_field::bearable_rejections)
        && (statement.bearableRejections || statement.isStamped);
    if (isBrittlenessKnown)
        effect.hasBrittlenessChanged = m_brittle.recordStatement(replica, statement.bearableRejections, now);
    if (statement.hasNotRun)
        m_brittle.recordRejection(replica.id, now);
    // Without a limit, only a response that is certain to be the replica's ends one.
    if (statement.isUnusable(statement_field::rate_limit) || (!statement.rateLimit && !statement.isStamped))
        return effect;
    effect.limitBefore = m_limits.advertisedLimit(replica.id);
    effect.hasLimitChanged = m_limits.recordResponse(replica.id, statement.rateLimit, sentAt, now);
    return effect;
}

send_exclusion replica_gate::check(const std::string &replica, const slot_usage &usage, instant now)
{
    if (m_notices.isLeaving(replica))
        return send_exclusion::leaving;
    if (m_notices.pausedUntil(replica, now))
        return send_exclusion::paused;
    if (!m_brittle.hasRoom(replica, usage, now))
        return send_exclusion::full;
    return m_limits.hasRoom(replica, now) ? send_exclusion::none : send_exclusion::limited;
}

std::chrono::milliseconds replica_gate::returnDelay(const std::string &service, send_exclusion exclusion, instant now)
{
    std::uniform_int_distribution<std::int64_t> spread(0, kReturnSpread.count());
    const auto end = m_notices.earliestEnd(service, now);
    const auto rest = end ? std::chrono::ceil<std::chrono::milliseconds>(*end - now) : std::chrono::milliseconds{0};
    const auto afterPause = std::max(kMinReturnDelay, rest + std::chrono::milliseconds{spread(m_random)});
    if (exclusion != send_exclusion::limited)
        return afterPause;
    const auto afterLimit = m_limits.returnDelay(service, now);
    return end ? std::min(afterPause, afterLimit) : afterLimit;
}

} // namespace foxtaildyke
