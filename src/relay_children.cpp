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
    auto &child = m_children[call.host];
    // A newer call of the same child replaces the waiting one.
    if (child.waitingCall)
        respondToChild(child, now);
    applyChildCall(child, call, now);
    child.waitingCall = token;
    child.waitingSince = now;
    const bool hasOtherGeneration = call.generation != m_fresh.generation();
    if (child.isUnknown || hasOtherGeneration || needsEarlyResponse(child))
        respondToChild(child, now);
    tick(now);
}

void relay::applyChildCall(child_state &child, const exchange_call &call, instant now)
{
    const bool isFirst = child.number == kNoLink;
    const bool echoIsOwn = call.echoedClock != instant{}
        && (call.echoedClock == child.issuedClock || call.echoedClock == child.issuedBefore);
    child.isUnknown = isFirst || !echoIsOwn;
    if (child.isUnknown) {
        child = {.waitingCall = child.waitingCall, .isUnknown = true};
        child.number = ++m_lastLink;
    } else if (call.echoedClock == child.issuedClock) {
        child.knownAcknowledgedRevision = child.sentAcknowledgedRevision;
        child.knownTotals = child.sentTotals;
    }
    child.lastCallAt = now;
    child.generation = call.generation;
    child.seenUpdate = child.isUnknown ? 0 : call.seenUpdate;
    applyConfig(call.config, call.generation);
    if (m_shared.merge(call.shared, child.number, now))
        propagateUrgentUpdate(now);
    for (const auto &[account, demand] : call.demand)
        child.demand[account] = demand;
    if (child.isUnknown)
        return;
    applyAcknowledgements(call);
    if (call.deltaSequence > child.appliedSequence) {
        child.appliedSequence = call.deltaSequence;
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

bool relay::needsEarlyResponse(const child_state &child) const
{
    return child.generation != m_fresh.generation() || child.seenUpdate < m_urgentUpdate;
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

void relay::respondToChild(child_state &child, instant now)
{
    const auto token = *std::exchange(child.waitingCall, std::nullopt);
    m_actions.emplace_back(respond_to_exchange{token, makeResponse(child, now)});
}

exchange_response relay::makeResponse(child_state &child, instant now)
{
    exchange_response response;
    response.generation = m_fresh.generation();
    // Each response needs a unique clock value, so that the echo identifies the latest one that the child received.
    child.issuedBefore = child.issuedClock;
    child.issuedClock = std::max(now, child.issuedBefore + instant(1));
    response.clock = child.issuedClock;
    response.waitTime = now - child.waitingSince;
    const auto &stamp = m_fresh.currentStamp();
    if (stamp.generation != 0 && stamp.generation == response.generation)
        response.stampAge = now - stamp.currentAt;
    if (child.generation < response.generation)
        response.config = m_hooks.configAfter(child.generation);
    response.appliedDeltaSequence = child.appliedSequence;
    response.shared = m_shared.updatesAfter(child.seenUpdate, child.number);
    response.lastUpdate = m_shared.lastUpdate();
    response.demandTotals = changedDemand(m_demandTotals, child.knownTotals, demandDivisor());
    child.sentTotals = child.knownTotals;
    for (const auto &[account, demand] : response.demandTotals)
        child.sentTotals[account] = demand;
    if (child.knownAcknowledgedRevision != m_acknowledgedRevision)
        response.acknowledged = m_acknowledged;
    child.sentAcknowledgedRevision = m_acknowledgedRevision;
    response.isUnknownChild = child.isUnknown;
    return response;
}

void relay::respondToDueChildren(instant now)
{
    std::erase_if(m_children, [&](const auto &pair) {
        return !pair.second.waitingCall && now - pair.second.lastCallAt > kChildExpiryPeriods * period();
    });
    bool isComplete = m_isSubtreeReportDue && m_fresh.mayAcknowledge();
    for (auto &[name, child] : m_children) {
        isComplete = isComplete && child.generation == m_fresh.generation();
        if (child.waitingCall && (needsEarlyResponse(child) || now >= child.waitingSince + period()))
            respondToChild(child, now);
    }
    if (!isComplete)
        return;
    m_isSubtreeReportDue = false;
    m_isCallDue = true;
}

void relay::respondToAllChildren(instant now)
{
    for (auto &[name, child] : m_children)
        if (child.waitingCall)
            respondToChild(child, now);
}

demand_map relay::subtreeDemand() const
{
    auto sum = m_demand;
    for (const auto &[name, child] : m_children)
        for (const auto &[account, demand] : child.demand)
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
        m_fresh.applyStamp(*stamp);
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
