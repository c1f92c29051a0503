// Relay tree: what a host takes from its children and answers them, and what a root sums up; see relay_p.h.
#include "relay_p.h"

namespace foxtaildyke
{

namespace
{

/// A child that has not called for this many periods is forgotten: its demand moves with it to another parent.
constexpr int kSilentPeriods = 6;

} // namespace

void relay::handleCall(response_token token, const exchange_call &call, instant now)
{
    if (call.isProbe) {
        answerProbe(token, now);
        return;
    }
    auto &from = m_children[call.host];
    // A newer call of the same child replaces the one that waits.
    if (from.held)
        answerChild(from, now);
    takeFromChild(from, call, now);
    from.held = token;
    from.heldSince = now;
    const bool isNewer = call.generation != m_fresh.generation();
    if (from.isUnknown || isNewer || hasNewsFor(from))
        answerChild(from, now);
    tick(now);
}

void relay::takeFromChild(child_state &from, const exchange_call &call, instant now)
{
    const bool isFirst = from.number == kNoLink;
    const bool echoIsOwn = call.echoedClock != instant{}
        && (call.echoedClock == from.issuedClock || call.echoedClock == from.issuedBefore);
    from.isUnknown = isFirst || !echoIsOwn;
    if (from.isUnknown) {
        from = {.held = from.held, .isUnknown = true};
        from.number = ++m_lastLink;
    } else if (call.echoedClock == from.issuedClock) {
        from.knownAcknowledged = from.sentAcknowledged;
        from.knownTotals = from.sentTotals;
    }
    from.lastCallAt = now;
    from.generation = call.generation;
    from.seenUpdate = from.isUnknown ? 0 : call.seenUpdate;
    takeConfig(call.config, call.generation);
    if (m_shared.merge(call.shared, from.number, now))
        noteUrgent(now);
    for (const auto &[account, demand] : call.demand)
        from.demand[account] = demand;
    if (from.isUnknown)
        return;
    takeVouches(call);
    if (call.deltaSequence > from.takenSequence) {
        from.takenSequence = call.deltaSequence;
        m_deltas.add(call.delta);
    }
}

void relay::takeConfig(const config_content &config, generation_number generation)
{
    if (!config.isEmpty() && generation > m_fresh.generation())
        m_hooks.adoptConfig(config);
    m_fresh.recordGeneration(generation);
}

void relay::takeVouches(const exchange_call &call)
{
    if (call.generation != m_fresh.generation())
        return;
    for (const auto &group : call.acknowledgements) {
        const auto count = std::min(group.members.size(), m_vouchedAt.size());
        for (std::size_t i = 0; i < count; ++i)
            if (group.members[i])
                m_vouchedAt[i] = std::max(m_vouchedAt[i], call.echoedClock - group.lag);
    }
}

bool relay::hasNewsFor(const child_state &to) const
{
    return to.generation != m_fresh.generation() || to.seenUpdate < m_urgentNews;
}

void relay::answerProbe(response_token token, instant now)
{
    exchange_response reply;
    reply.generation = m_fresh.generation();
    reply.clock = now;
    const auto &stamp = m_fresh.currentStamp();
    if (stamp.generation != 0 && stamp.generation == reply.generation)
        reply.stampAge = now - stamp.currentAt;
    m_actions.emplace_back(respond_to_exchange{token, std::move(reply)});
}

void relay::answerChild(child_state &to, instant now)
{
    const auto token = *std::exchange(to.held, std::nullopt);
    m_actions.emplace_back(respond_to_exchange{token, makeAnswer(to, now)});
}

exchange_response relay::makeAnswer(child_state &to, instant now)
{
    exchange_response reply;
    reply.generation = m_fresh.generation();
    // Each answer needs a clock value of its own, or the echo would not tell which one the child has.
    to.issuedBefore = to.issuedClock;
    to.issuedClock = std::max(now, to.issuedBefore + instant(1));
    reply.clock = to.issuedClock;
    reply.waitTime = now - to.heldSince;
    const auto &stamp = m_fresh.currentStamp();
    if (stamp.generation != 0 && stamp.generation == reply.generation)
        reply.stampAge = now - stamp.currentAt;
    if (to.generation < reply.generation)
        reply.config = m_hooks.configAfter(to.generation);
    reply.appliedDeltaSequence = to.takenSequence;
    reply.shared = m_shared.newsAfter(to.seenUpdate, to.number);
    reply.lastUpdate = m_shared.lastUpdate();
    reply.demandTotals = changedDemand(m_totals, to.knownTotals, demandDivisor());
    to.sentTotals = to.knownTotals;
    for (const auto &[account, demand] : reply.demandTotals)
        to.sentTotals[account] = demand;
    if (to.knownAcknowledged != m_acknowledgedNews)
        reply.acknowledged = m_acknowledged;
    to.sentAcknowledged = m_acknowledgedNews;
    reply.isUnknownChild = to.isUnknown;
    return reply;
}

void relay::driveChildren(instant now)
{
    std::erase_if(m_children, [&](const auto &pair) {
        return !pair.second.held && now - pair.second.lastCallAt > kSilentPeriods * period();
    });
    bool isComplete = m_reportsSubtree && m_fresh.mayAcknowledge();
    for (auto &[name, from] : m_children) {
        isComplete = isComplete && from.generation == m_fresh.generation();
        if (from.held && (hasNewsFor(from) || now >= from.heldSince + period()))
            answerChild(from, now);
    }
    if (!isComplete)
        return;
    m_reportsSubtree = false;
    m_wantsCall = true;
}

void relay::releaseAll(instant now)
{
    for (auto &[name, from] : m_children)
        if (from.held)
            answerChild(from, now);
}

demand_map relay::subtreeDemand() const
{
    auto sum = m_demand;
    for (const auto &[name, from] : m_children)
        for (const auto &[account, demand] : from.demand)
            sum[account] += demand;
    return sum;
}

void relay::settleAsRoot(instant now)
{
    if (m_state != tree_state::root)
        return;
    m_shared.addToOwnTally(m_deltas.takeAll());
    m_totals = subtreeDemand();
    if (m_self && m_fresh.mayAcknowledge())
        m_vouchedAt[*m_self] = now;
    if (const auto stamp = m_fresh.quorumStamp(m_vouchedAt))
        m_fresh.stamp(*stamp);
    updateAcknowledged(now);
}

void relay::updateAcknowledged(instant now)
{
    const auto before = acknowledgedCount();
    host_bits bits(m_vouchedAt.size());
    for (std::size_t i = 0; i < bits.size(); ++i)
        bits[i] = m_fresh.isAcknowledgementValid(m_vouchedAt[i], now);
    if (bits == m_acknowledged)
        return;
    m_acknowledged = std::move(bits);
    ++m_acknowledgedNews;
    // Acceptance waits for these two: more than half, and all.
    const auto count = acknowledgedCount();
    const auto all = m_members.hosts.size();
    const bool isMajority = 2 * before <= all && 2 * count > all;
    if (isMajority || (before < all && count == all))
        releaseAll(now);
}

} // namespace foxtaildyke
