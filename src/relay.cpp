// Relay tree: what a host tells its parent and takes from it; see relay_p.h.
#include "relay_p.h"

namespace foxtaildyke
{

namespace
{

/// A call is given up this many periods after the parent should have answered it.
constexpr int kTimeoutPeriods = 2;

/// One call waits at the parent; a second one may bring news, which makes the parent answer the first.
constexpr std::size_t kMaxCallsToParent = 2;

/// Fleets up to this size share every growth at once; larger ones hold back what changes a sum by little.
constexpr std::size_t kSmallFleet = 16;
constexpr std::uint32_t kDampingDivisor = 16;

/// Demand is sent when it changed by more than this part.
constexpr std::uint64_t kDemandDivisor = 8;

/// Stands for "not in this period".
constexpr std::uint64_t kNoDemand = UINT64_MAX;

/// What was held back is sent after this many periods, so that a sum that stopped growing becomes exact.
constexpr std::uint64_t kFlushPeriods = 64;

/// Counts that change a sum by little go to the parent after this many periods.
constexpr std::uint64_t kDeltaPeriods = 32;

/// Demand is compared with what the other side knows in each of this many periods only.
constexpr std::uint64_t kDemandPeriods = 8;

/// After an answer that came early, because of news, the next call waits for this part of a period only: until then the
/// parent has no call that it could answer with the next news.
constexpr int kEarlyCallDivisor = 10;

} // namespace

demand_map changedDemand(const demand_map &current, const demand_map &known, std::uint64_t divisor)
{
    demand_map changed;
    if (divisor == kNoDemand)
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
    // Two periods, so that each link has a call in this time.
    if (m_ticks % kDemandPeriods >= 2)
        return kNoDemand;
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
    m_self.reset();
    if (self != hosts.end())
        m_self = static_cast<std::size_t>(self - hosts.begin());
    m_shared.setDamping(hosts.size() > kSmallFleet ? kDampingDivisor : 0);
    m_vouchedAt.assign(hosts.size(), kNotAcknowledged);
    m_acknowledged.assign(hosts.size(), false);
    ++m_acknowledgedNews;
    m_reportsSubtree = true;
    const auto possible = candidates();
    if (m_state == tree_state::child && std::ranges::find(possible, m_parent) == possible.end())
        loseParent(now);
    else if (m_state == tree_state::root && !possible.empty() && m_openProbes == 0)
        m_nextSearchAt = now;
    if (possible.empty())
        m_state = tree_state::root;
    releaseAll(now);
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
        noteUrgent(now);
}

void relay::addQuarantined(std::uint64_t fingerprint, instant now)
{
    if (m_shared.addQuarantined(fingerprint, now))
        noteUrgent(now);
}

void relay::noteUrgent(instant now)
{
    m_urgentNews = m_shared.lastUpdate();
    m_wantsCall = true;
    driveCalls(now);
    driveChildren(now);
}

bool relay::lacksFreshStamp(instant now) const
{
    const auto &stamp = m_fresh.currentStamp();
    const bool isHeld = stamp.generation != 0 && stamp.generation == m_fresh.generation();
    return !isHeld || now - stamp.currentAt > 3 * m_fresh.lease() / 4;
}

void relay::tick(instant now)
{
    if (now >= m_nextPeriodAt) {
        m_nextPeriodAt = now + period();
        if (++m_ticks % kFlushPeriods == 0)
            m_shared.announceAll();
        m_shared.expireQuarantined(now - m_members.quarantineLifetime);
    }
    driveSearch(now);
    driveCalls(now);
    settleAsRoot(now);
    driveChildren(now);
}

instant relay::nextTimer() const
{
    auto next = m_nextPeriodAt;
    const bool maySearch = m_self && *m_self != 0 && m_openProbes == 0;
    if (maySearch)
        next = std::min(next, m_nextSearchAt);
    if (m_state == tree_state::child && callsToParent() == 0)
        next = std::min(next, m_nextCallAt);
    for (const auto &[name, from] : m_children)
        if (from.held)
            next = std::min(next, from.heldSince + period());
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

void relay::driveCalls(instant now)
{
    if (m_state != tree_state::child)
        return;
    const auto open = callsToParent();
    // Before its first answer the parent cannot tell two calls of one child apart from two starts of it.
    const auto limit = m_link.echo == instant{} ? 1 : kMaxCallsToParent;
    if ((open == 0 && now >= m_nextCallAt) || (m_wantsCall && open < limit))
        startCall(now);
}

void relay::startCall(instant now)
{
    m_wantsCall = false;
    m_nextCallAt = now + period();
    const call_token token{++m_lastCall};
    auto request = makeCall(now);
    auto &sent = m_calls[token];
    sent = {.host = m_parent, .number = m_link.number, .sentAt = now, .sentNews = m_shared.lastUpdate()};
    sent.sentDemand = m_link.knownDemand;
    for (const auto &[account, demand] : request.demand)
        sent.sentDemand[account] = demand;
    sent.hadConfig = !request.config.isEmpty();
    const auto timeout = m_members.exchangePeriod * (1 + kTimeoutPeriods);
    m_actions.emplace_back(start_exchange{token, m_parent, std::move(request), timeout});
}

exchange_call relay::makeCall(instant now)
{
    exchange_call call;
    call.host = m_host;
    call.generation = m_fresh.generation();
    call.echoedClock = m_link.echo;
    // A parent that does not know this host answers at once and takes nothing; see takeFromChild().
    if (m_link.echo == instant{})
        return call;
    call.seenUpdate = m_link.seenUpdate;
    call.shared = m_shared.newsAfter(m_link.confirmedNews, m_link.number);
    call.demand = changedDemand(subtreeDemand(), m_link.knownDemand, demandDivisor());
    call.acknowledgements = makeVouches(now);
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
    if (hosts <= kSmallFleet || m_ticks % kDeltaPeriods == 0)
        return m_deltas.next([](const shared_count &) { return true; });
    // All hosts together may hold back one part in kDampingDivisor of a sum.
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

std::vector<acknowledgement_set> relay::makeVouches(instant now) const
{
    // Two groups, so that one slow subtree does not make the vouches of the others old.
    acknowledgement_set recent{host_bits(m_vouchedAt.size())};
    acknowledgement_set old = recent;
    const auto add = [&](std::size_t member, instant vouchedAt) {
        const auto lag = std::max(instant{}, m_link.echoReceivedAt - vouchedAt);
        auto &group = lag <= 2 * period() ? recent : old;
        group.members[member] = true;
        group.lag = std::max(group.lag, lag);
    };
    for (std::size_t i = 0; i < m_vouchedAt.size(); ++i)
        if (m_fresh.isAcknowledgementValid(m_vouchedAt[i], now))
            add(i, m_vouchedAt[i]);
    if (m_self && m_fresh.mayAcknowledge())
        add(*m_self, now);
    std::vector<acknowledgement_set> groups;
    for (auto *group : {&recent, &old})
        if (std::ranges::find(group->members, true) != group->members.end())
            groups.push_back(std::move(*group));
    return groups;
}

void relay::handleResponse(call_token token, const result<exchange_response> &answer, instant now)
{
    const auto found = m_calls.find(token);
    if (found == m_calls.end())
        return;
    const auto sent = std::move(found->second);
    m_calls.erase(found);
    if (sent.isProbe) {
        const bool isAlive = answer.has_value();
        const bool isFresh = isAlive && answer.value().generation >= m_fresh.generation() && answer.value().stampAge
            && *answer.value().stampAge < 3 * m_fresh.lease() / 4;
        takeProbeReply(sent.host, isAlive && (isFresh || m_state != tree_state::child), now);
    } else if (sent.number == m_link.number && m_state == tree_state::child) {
        if (answer.has_value())
            takeReply(sent, answer.value(), now);
        else
            loseParent(now);
    }
    tick(now);
}

void relay::takeReply(const outgoing_call &sent, const exchange_response &answer, instant now)
{
    if (answer.isUnknownChild)
        restartLink();
    if (answer.clock > m_link.echo) {
        m_link.echo = answer.clock;
        m_link.echoReceivedAt = now;
    }
    if (!answer.isUnknownChild) {
        m_link.confirmedNews = std::max(m_link.confirmedNews, sent.sentNews);
        m_link.knownDemand = sent.sentDemand;
        m_deltas.confirm(answer.appliedDeltaSequence);
    }
    m_nextCallAt = std::min(m_nextCallAt, now + period() / kEarlyCallDivisor);
    m_link.seenUpdate = std::max(m_link.seenUpdate, answer.lastUpdate);
    m_link.generation = answer.generation;
    // The stamp first: a host that adopts a generation passes it on at once, and dispatches under it from then on.
    takeStamp(sent, answer);
    takeConfig(answer.config, answer.generation);
    takeAcknowledged(answer);
    if (m_shared.merge(answer.shared, m_link.number, now)) {
        m_urgentNews = m_shared.lastUpdate();
        releaseAll(now);
    }
    for (const auto &[account, demand] : answer.demandTotals)
        m_totals[account] = demand;
    // The parent does not know this host yet, or lacks a configuration that was not in the call.
    const bool isBehind = answer.generation < m_fresh.generation() && !sent.hadConfig;
    if (answer.isUnknownChild || isBehind)
        m_wantsCall = true;
    if (!m_betterParent.empty() && !m_deltas.hasUnconfirmed())
        changeParent(std::exchange(m_betterParent, {}), now);
}

void relay::takeStamp(const outgoing_call &sent, const exchange_response &answer)
{
    if (!answer.stampAge)
        return;
    // The parent cannot have received the call before it was sent.
    m_fresh.stamp({answer.generation, sent.sentAt + answer.waitTime - *answer.stampAge});
}

void relay::takeAcknowledged(const exchange_response &answer)
{
    if (!answer.acknowledged || answer.generation != m_fresh.generation())
        return;
    auto bits = *answer.acknowledged;
    bits.resize(m_members.hosts.size());
    if (bits == m_acknowledged)
        return;
    m_acknowledged = std::move(bits);
    ++m_acknowledgedNews;
}

void relay::restartLink()
{
    m_link = {};
    m_link.number = ++m_lastLink;
    m_deltas.changeParent();
    m_wantsCall = true;
}

const std::map<count_key, count_values> &relay::countsOfOthers()
{
    for (const auto &[key, total] : m_shared.totals()) {
        auto &others = m_others[key];
        const auto own = m_contributed.find(key);
        for (std::size_t i = 0; i < total.size(); ++i) {
            const auto part = own == m_contributed.end() ? 0 : own->second[i];
            others[i] = std::max(others[i], total[i] > part ? total[i] - part : 0);
        }
    }
    return m_others;
}

std::map<std::string, double> relay::limitShares() const
{
    std::map<std::string, double> shares;
    const auto hosts = static_cast<double>(std::max<std::size_t>(m_members.hosts.size(), 1));
    auto totals = m_totals;
    for (const auto &[account, demand] : m_demand)
        totals[account] = std::max(totals[account], demand);
    for (const auto &[account, total] : totals) {
        const auto found = m_demand.find(account);
        const auto own = found == m_demand.end() ? 0.0 : static_cast<double>(found->second);
        // A fifth of the limit is spread evenly, so that a host without demand so far can admit its first requests.
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
