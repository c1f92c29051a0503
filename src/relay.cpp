// Relay tree: the exchange of a host with its parent; see relay_p.h.
#include "relay_p.h"

namespace foxtaildyke
{

namespace
{

/// Periods after which a call fails, counted from the time at which the parent should have responded.
constexpr int kResponseGracePeriods = 2;

/// One call waits at the parent. A second one may be sent to deliver updates; the parent then responds to the first.
constexpr std::size_t kMaxCallsToParent = 2;

/// Fleets up to this size propagate every growth of a count at once; larger ones delay small relative changes.
constexpr std::size_t kMaxUndampedHosts = 16;
constexpr std::uint32_t kDampingDivisor = 16;

/// Demand is sent when it has changed by more than 1/kDemandDivisor.
constexpr std::uint64_t kDemandDivisor = 8;

/// Divisor that suppresses demand updates in this period.
constexpr std::uint64_t kSuppressDemand = UINT64_MAX;

/// Delayed changes are sent after this many periods, so that a sum that has stopped growing becomes exact.
constexpr std::uint64_t kFlushPeriods = 64;

/// Counts that change a sum by little are sent to the parent once in this many periods.
constexpr std::uint64_t kDeltaPeriods = 32;

/// Demand is compared with the values that the other side has received once in this many periods.
constexpr std::uint64_t kDemandPeriods = 8;

/// After a response the next call starts within period / kEarlyCallDivisor. Responses come early when there are
/// updates, and until the next call arrives the parent has no open call on which to send the following ones.
constexpr int kEarlyCallDivisor = 10;

} // namespace

demand_map changedDemand(const demand_map &current, const demand_map &known, std::uint64_t divisor)
{
    demand_map changed;
    if (divisor == kSuppressDemand)
        return changed;
    for (const auto &[account, demand] : current) {
        const auto found = known.find(account);
        const auto before = found == known.end() ? 0 : found->second;
        const auto difference = demand > before ? demand - before : before - demand;
        if (divisor == 0 ? difference != 0 : difference > before / divisor)
            changed[account] = demand;
    }
    for (const auto &[account, demand] : known)
        if (demand != 0 && !current.contains(account))
            changed[account] = 0;
    return changed;
}

std::uint64_t relay::demandDivisor() const
{
    // Two periods, so that every link has a call within them.
    if (m_ticks % kDemandPeriods >= 2)
        return kSuppressDemand;
    return m_ticks % kFlushPeriods < 2 ? 0 : kDemandDivisor;
}

relay::relay(std::string hostName, tally_id ownTally, freshness &fresh, relay_hooks hooks, std::size_t fanOut)
    : m_host(std::move(hostName))
    , m_fresh(fresh)
    , m_hooks(std::move(hooks))
    , m_fanOut(fanOut)
    , m_shared(ownTally)
{
}

void relay::setMembers(relay_members members, instant now)
{
    m_members = std::move(members);
    const auto &hosts = m_members.hosts;
    const auto self = std::ranges::find(hosts, m_host);
    m_selfIndex.reset();
    if (self != hosts.end())
        m_selfIndex = static_cast<std::size_t>(self - hosts.begin());
    m_shared.setDamping(hosts.size() > kMaxUndampedHosts ? kDampingDivisor : 0);
    m_acknowledgedAt.assign(hosts.size(), kNotAcknowledged);
    m_acknowledged.assign(hosts.size(), false);
    ++m_acknowledgedRevision;
    m_isSubtreeReportDue = true;
    const auto candidateHosts = candidates();
    if (m_state == tree_state::child && std::ranges::find(candidateHosts, m_parent) == candidateHosts.end())
        dropParent(now);
    else if (m_state == tree_state::root && !candidateHosts.empty() && m_openProbes == 0)
        m_nextSearchAt = now;
    if (candidateHosts.empty())
        m_state = tree_state::root;
    respondToAllChildren(now);
}

void relay::addEvidence(const std::vector<shared_count> &delta)
{
    m_deltas.add(delta);
    for (const auto &count : delta)
        std::ranges::transform(m_contributed[count.key], count.values, m_contributed[count.key].begin(), std::plus{});
}

void relay::setDemand(demand_map demand)
{
    m_demand = std::move(demand);
}

void relay::halt(const std::string &version, instant now)
{
    if (m_shared.halt(version))
        propagateUrgentUpdate(now);
}

void relay::addQuarantined(std::uint64_t fingerprint, instant now)
{
    if (m_shared.addQuarantined(fingerprint, now))
        propagateUrgentUpdate(now);
}

void relay::propagateUrgentUpdate(instant now)
{
    m_urgentUpdate = m_shared.lastUpdate();
    m_isCallDue = true;
    startDueCalls(now);
    respondToDueChildren(now);
}

bool relay::lacksFreshStamp(instant now) const
{
    const auto &stamp = m_fresh.currentStamp();
    const bool hasStamp = stamp.generation != 0 && stamp.generation == m_fresh.generation();
    return !hasStamp || now - stamp.currentAt > 3 * m_fresh.lease() / 4;
}

void relay::tick(instant now)
{
    if (now >= m_nextPeriodAt) {
        m_nextPeriodAt = now + period();
        if (++m_ticks % kFlushPeriods == 0)
            m_shared.publishAll();
        m_shared.expireQuarantined(now - m_members.quarantineLifetime);
    }
    startDueProbes(now);
    startDueCalls(now);
    updateAsRoot(now);
    respondToDueChildren(now);
}

instant relay::nextTimer() const
{
    auto next = m_nextPeriodAt;
    const bool maySearch = m_selfIndex && *m_selfIndex != 0 && m_openProbes == 0;
    if (maySearch)
        next = std::min(next, m_nextSearchAt);
    if (m_state == tree_state::child && callsToParent() == 0)
        next = std::min(next, m_nextCallAt);
    for (const auto &[name, child] : m_children)
        if (child.waitingCall)
            next = std::min(next, child.waitingSince + period());
    return next;
}

std::vector<relay_action> relay::takeActions()
{
    return std::exchange(m_actions, {});
}

std::size_t relay::callsToParent() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_calls, [this](const auto &pair) { return !pair.second.isProbe && pair.second.number == m_link.number; }));
}

void relay::startDueCalls(instant now)
{
    if (m_state != tree_state::child)
        return;
    const auto open = callsToParent();
    // Until this host has echoed a clock value, the parent can't distinguish a second call from one after a restart.
    const auto limit = m_link.echo == instant{} ? 1 : kMaxCallsToParent;
    if ((open == 0 && now >= m_nextCallAt) || (m_isCallDue && open < limit))
        startCall(now);
}

void relay::startCall(instant now)
{
    m_isCallDue = false;
    m_nextCallAt = now + period();
    const call_token token{++m_lastCallToken};
    auto request = makeCall(now);
    auto &sent = m_calls[token];
    sent = {.host = m_parent, .number = m_link.number, .sentAt = now, .sentUpdate = m_shared.lastUpdate()};
    sent.sentDemand = m_link.knownDemand;
    for (const auto &[account, demand] : request.demand)
        sent.sentDemand[account] = demand;
    sent.hadConfig = !request.config.isEmpty();
    const auto timeout = m_members.exchangePeriod * (1 + kResponseGracePeriods);
    m_actions.emplace_back(start_exchange{token, m_parent, std::move(request), timeout});
}

exchange_call relay::makeCall(instant now)
{
    exchange_call call;
    call.host = m_host;
    call.generation = m_fresh.generation();
    call.echoedClock = m_link.echo;
    // A parent that does not know this host responds at once; it would ignore acknowledgements and deltas, see
    // applyChildCall().
    if (m_link.echo == instant{})
        return call;
    call.seenUpdate = m_link.seenUpdate;
    call.shared = m_shared.updatesAfter(m_link.confirmedUpdate, m_link.number);
    call.demand = changedDemand(subtreeDemand(), m_link.knownDemand, demandDivisor());
    call.acknowledgements = makeAcknowledgements(now);
    auto delta = nextDelta();
    call.deltaSequence = delta.sequence;
    call.delta = std::move(delta.counts);
    if (m_link.generation < m_fresh.generation())
        call.config = m_hooks.configAfter(m_link.generation);
    return call;
}

delta_queue::delta relay::nextDelta()
{
    const auto hosts = m_members.hosts.size();
    if (hosts <= kMaxUndampedHosts || m_ticks % kDeltaPeriods == 0)
        return m_deltas.next([](const shared_count &) { return true; });
    // All hosts together may delay 1/kDampingDivisor of a sum.
    const auto totals = m_shared.totals();
    return m_deltas.next([&](const shared_count &count) {
        const auto found = totals.find(count.key);
        if (found == totals.end())
            return true;
        const auto isLarge = [hosts](std::uint64_t part, std::uint64_t total) {
            return part != 0 && part * hosts * kDampingDivisor >= total;
        };
        return !std::ranges::equal(count.values, found->second, std::not_fn(isLarge));
    });
}

std::vector<acknowledgement_set> relay::makeAcknowledgements(instant now) const
{
    // Two groups, as a group has the lag of its oldest acknowledgement: a slow subtree must not increase the lag of all
    // the others.
    acknowledgement_set recent{host_bits(m_acknowledgedAt.size())};
    acknowledgement_set old = recent;
    const auto add = [&](std::size_t member, instant acknowledgedAt) {
        const auto lag = std::max(instant{}, m_link.echoReceivedAt - acknowledgedAt);
        auto &group = lag <= 2 * period() ? recent : old;
        group.members[member] = true;
        group.lag = std::max(group.lag, lag);
    };
    for (std::size_t i = 0; i < m_acknowledgedAt.size(); ++i)
        if (m_fresh.isAcknowledgementValid(m_acknowledgedAt[i], now))
            add(i, m_acknowledgedAt[i]);
    if (m_selfIndex && m_fresh.mayAcknowledge())
        add(*m_selfIndex, now);
    std::vector<acknowledgement_set> groups;
    for (auto *group : {&recent, &old})
        if (std::ranges::find(group->members, true) != group->members.end())
            groups.push_back(std::move(*group));
    return groups;
}

void relay::handleResponse(call_token token, const result<exchange_response> &response, instant now)
{
    const auto found = m_calls.find(token);
    if (found == m_calls.end())
        return;
    const auto sent = std::move(found->second);
    m_calls.erase(found);
    if (sent.isProbe) {
        const bool isAlive = response.has_value();
        const bool isFresh = isAlive && response.value().generation >= m_fresh.generation() && response.value().stampAge
            && *response.value().stampAge < 3 * m_fresh.lease() / 4;
        handleProbeResponse(sent.host, isAlive && (isFresh || m_state != tree_state::child), now);
    } else if (sent.number == m_link.number && m_state == tree_state::child) {
        if (response.has_value())
            handleParentResponse(sent, response.value(), now);
        else
            dropParent(now);
    }
    tick(now);
}

void relay::handleParentResponse(const outgoing_call &sent, const exchange_response &response, instant now)
{
    if (response.isUnknownChild)
        restartLink();
    if (response.clock > m_link.echo) {
        m_link.echo = response.clock;
        m_link.echoReceivedAt = now;
    }
    if (!response.isUnknownChild) {
        m_link.confirmedUpdate = std::max(m_link.confirmedUpdate, sent.sentUpdate);
        m_link.knownDemand = sent.sentDemand;
        m_deltas.confirm(response.appliedDeltaSequence);
    }
    m_nextCallAt = std::min(m_nextCallAt, now + period() / kEarlyCallDivisor);
    m_link.seenUpdate = std::max(m_link.seenUpdate, response.lastUpdate);
    m_link.generation = response.generation;
    // The stamp must come first, because a host forwards a generation and dispatches under it as soon as it adopts it.
    applyStamp(sent, response);
    applyConfig(response.config, response.generation);
    applyAcknowledged(response);
    if (m_shared.merge(response.shared, m_link.number, now)) {
        m_urgentUpdate = m_shared.lastUpdate();
        respondToAllChildren(now);
    }
    for (const auto &[account, demand] : response.demandTotals)
        m_demandTotals[account] = demand;
    // Call again if the parent does not know this host yet, or lacks a configuration that was not in the call.
    const bool isBehind = response.generation < m_fresh.generation() && !sent.hadConfig;
    if (response.isUnknownChild || isBehind)
        m_isCallDue = true;
    if (!m_preferredParent.empty() && !m_deltas.hasUnconfirmed())
        changeParent(std::exchange(m_preferredParent, {}), now);
}

void relay::applyStamp(const outgoing_call &sent, const exchange_response &response)
{
    if (!response.stampAge)
        return;
    // The parent can't have received the call before it was sent, so this bound never overestimates the freshness.
    m_fresh.applyStamp({response.generation, sent.sentAt + response.waitTime - *response.stampAge});
}

void relay::applyAcknowledged(const exchange_response &response)
{
    if (!response.acknowledged || response.generation != m_fresh.generation())
        return;
    auto bits = *response.acknowledged;
    bits.resize(m_members.hosts.size());
    if (bits == m_acknowledged)
        return;
    m_acknowledged = std::move(bits);
    ++m_acknowledgedRevision;
}

void relay::restartLink()
{
    m_link = {};
    m_link.number = ++m_lastLink;
    m_deltas.dropUnconfirmed();
    m_isCallDue = true;
}

const std::map<count_key, count_values> &relay::countsOfOthers()
{
    for (const auto &[key, total] : m_shared.totals()) {
        auto &others = m_countsOfOthers[key];
        const auto own = m_contributed.find(key);
        for (std::size_t i = 0; i < total.size(); ++i) {
            const auto part = own == m_contributed.end() ? 0 : own->second[i];
            others[i] = std::max(others[i], total[i] > part ? total[i] - part : 0);
        }
    }
    return m_countsOfOthers;
}

std::map<std::string, double> relay::limitShares() const
{
    std::map<std::string, double> shares;
    const auto hosts = static_cast<double>(std::max<std::size_t>(m_members.hosts.size(), 1));
    auto totals = m_demandTotals;
    for (const auto &[account, demand] : m_demand)
        totals[account] = std::max(totals[account], demand);
    for (const auto &[account, total] : totals) {
        const auto found = m_demand.find(account);
        const auto own = found == m_demand.end() ? 0.0 : static_cast<double>(found->second);
        // A fifth of the limit is divided evenly, so that a host without demand so far can admit its first requests.
        const auto spread = static_cast<double>(total) / 4;
        shares[account] = total == 0 ? 1 / hosts : (own + spread / hosts) / (static_cast<double>(total) + spread);
    }
    return shares;
}

std::vector<std::string> relay::acknowledgedHosts() const
{
    std::vector<std::string> names;
    for (std::size_t i = 0; i < m_acknowledged.size(); ++i)
        if (m_acknowledged[i])
            names.push_back(m_members.hosts[i]);
    return names;
}

std::size_t relay::acknowledgedCount() const
{
    return static_cast<std::size_t>(std::ranges::count(m_acknowledged, true));
}

} // namespace foxtaildyke
