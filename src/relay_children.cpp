// Relay tree: the exchange of a host with its children, and the aggregation at a root; see relay_p.h.
#include "relay_p.h"

namespace foxtaildyke
{

namespace
{

/// A child that has not called for this many periods is removed. It may have another parent, which then reports its
/// demand.
constexpr int kChildExpiryPeriods = 6;

} // namespace

void relay::handleCall(response_token token, const exchange_call &call, instant now)
{
    if (call.isProbe) {
        respondToProbe(token, now);
        return;
    }
    auto &from = m_children[call.host];
    // A newer call of the same child replaces the waiting one.
    if (from.waitingCall)
        respondToChild(from, now);
    applyChildCall(from, call, now);
    from.waitingCall = token;
    from.waitingSince = now;
    const bool isNewer = call.generation != m_fresh.generation();
    if (from.isUnknown || isNewer || needsEarlyResponse(from))
        respondToChild(from, now);
    tick(now);
}

void relay::applyChildCall(child_state &from, const exchange_call &call, instant now)
{
    const bool isFirst = from.number == kNoLink;
    const bool echoIsOwn = call.echoedClock != instant{}
        && (call.echoedClock == from.issuedClock || call.echoedClock == from.issuedBefore);
    from.isUnknown = isFirst || !echoIsOwn;
    if (from.isUnknown) {
        from = {.waitingCall = from.waitingCall, .isUnknown = true};
        from.number = ++m_lastLink;
    } else if (call.echoedClock == from.issuedClock) {
        from.knownAcknowledgedRevision = from.sentAcknowledgedRevision;
        from.knownTotals = from.sentTotals;
    }
    from.lastCallAt = now;
    from.generation = call.generation;
    from.seenUpdate = from.isUnknown ? 0 : call.seenUpdate;
    applyConfig(call.config, call.generation);
    if (m_shared.merge(call.shared, from.number, now))
        propagateUrgentUpdate(now);
    for (const auto &[account, demand] : call.demand)
        from.demand[account] = demand;
    if (from.isUnknown)
        return;
    applyAcknowledgements(call);
    if (call.deltaSequence > from.appliedSequence) {
        from.appliedSequence = call.deltaSequence;
        m_deltas.add(call.delta);
    }
}

void relay::applyConfig(const config_content &config, generation_number generation)
{
    if (!config.isEmpty() && generation > m_fresh.generation())
        m_hooks.adoptConfig(config);
    m_fresh.recordGeneration(generation);
}

void relay::applyAcknowledgements(const exchange_call &call)
{
    if (call.generation != m_fresh.generation())
        return;
    for (const auto &group : call.acknowledgements) {
        const auto count = std::min(group.members.size(), m_acknowledgedAt.size());
        for (std::size_t i = 0; i < count; ++i)
            if (group.members[i])
                m_acknowledgedAt[i] = std::max(m_acknowledgedAt[i], call.echoedClock - group.lag);
    }
}

bool relay::needsEarlyResponse(const child_state &to) const
{
    return to.generation != m_fresh.generation() || to.seenUpdate < m_urgentUpdate;
}

void relay::respondToProbe(response_token token, instant now)
{
    exchange_response response;
    response.generation = m_fresh.generation();
    response.clock = now;
    const auto &stamp = m_fresh.currentStamp();
    if (stamp.generation != 0 && stamp.generation == response.generation)
        response.stampAge = now - stamp.currentAt;
    m_actions.emplace_back(respond_to_exchange{token, std::move(response)});
}

void relay::respondToChild(child_state &to, instant now)
{
    const auto token = *std::exchange(to.waitingCall, std::nullopt);
    m_actions.emplace_back(respond_to_exchange{token, makeResponse(to, now)});
}

exchange_response relay::makeResponse(child_state &to, instant now)
{
    exchange_response response;
    response.generation = m_fresh.generation();
    // Each response needs a unique clock value, so that the echo identifies the latest one that the child received.
    to.issuedBefore = to.issuedClock;
    to.issuedClock = std::max(now, to.issuedBefore + instant(1));
    response.clock = to.issuedClock;
    response.waitTime = now - to.waitingSince;
    const auto &stamp = m_fresh.currentStamp();
    if (stamp.generation != 0 && stamp.generation == response.generation)
        response.stampAge = now - stamp.currentAt;
    if (to.generation < response.generation)
        response.config = m_hooks.configAfter(to.generation);
    response.appliedDeltaSequence = to.appliedSequence;
    response.shared = m_shared.updatesAfter(to.seenUpdate, to.number);
    response.lastUpdate = m_shared.lastUpdate();
    response.demandTotals = changedDemand(m_demandTotals, to.knownTotals, demandDivisor());
    to.sentTotals = to.knownTotals;
    for (const auto &[account, demand] : response.demandTotals)
        to.sentTotals[account] = demand;
    if (to.knownAcknowledgedRevision != m_acknowledgedRevision)
        response.acknowledged = m_acknowledged;
    to.sentAcknowledgedRevision = m_acknowledgedRevision;
    response.isUnknownChild = to.isUnknown;
    return response;
}

void relay::respondToDueChildren(instant now)
{
    std::erase_if(m_children, [&](const auto &pair) {
        return !pair.second.waitingCall && now - pair.second.lastCallAt > kChildExpiryPeriods * period();
    });
    bool isComplete = m_isSubtreeReportDue && m_fresh.mayAcknowledge();
    for (auto &[name, from] : m_children) {
        isComplete = isComplete && from.generation == m_fresh.generation();
        if (from.waitingCall && (needsEarlyResponse(from) || now >= from.waitingSince + period()))
            respondToChild(from, now);
    }
    if (!isComplete)
        return;
    m_isSubtreeReportDue = false;
    m_isCallDue = true;
}

void relay::respondToAllChildren(instant now)
{
    for (auto &[name, from] : m_children)
        if (from.waitingCall)
            respondToChild(from, now);
}

demand_map relay::subtreeDemand() const
{
    auto sum = m_demand;
    for (const auto &[name, from] : m_children)
        for (const auto &[account, demand] : from.demand)
            sum[account] += demand;
    return sum;
}

void relay::updateAsRoot(instant now)
{
    if (m_state != tree_state::root)
        return;
    m_shared.addToOwnTally(m_deltas.takeAll());
    m_demandTotals = subtreeDemand();
    if (m_selfIndex && m_fresh.mayAcknowledge())
        m_acknowledgedAt[*m_selfIndex] = now;
    if (const auto stamp = m_fresh.quorumStamp(m_acknowledgedAt))
        m_fresh.stamp(*stamp);
    updateAcknowledged(now);
}

void relay::updateAcknowledged(instant now)
{
    const auto before = acknowledgedCount();
    host_bits bits(m_acknowledgedAt.size());
    for (std::size_t i = 0; i < bits.size(); ++i)
        bits[i] = m_fresh.isAcknowledgementValid(m_acknowledgedAt[i], now);
    if (bits == m_acknowledged)
        return;
    m_acknowledged = std::move(bits);
    ++m_acknowledgedRevision;
    // Acceptance waits for these two thresholds: more than half of the hosts, and all of them.
    const auto count = acknowledgedCount();
    const auto all = m_members.hosts.size();
    const bool isMajority = 2 * before <= all && 2 * count > all;
    if (isMajority || (before < all && count == all))
        respondToAllChildren(now);
}

} // namespace foxtaildyke
