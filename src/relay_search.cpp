// Relay tree: how a host finds its parent, and finds another when the parent fails; see relay_p.h.
#include "relay_p.h"

#include <bit>

namespace foxtaildyke
{

namespace
{

constexpr int kProbeTimeoutPeriods = 2;

/// A root asks this many further members in each period.
constexpr std::size_t kFurtherRound = 4;

/// Periods between two attempts to return to a better parent.
constexpr int kReturnPeriods = 10;

} // namespace

parent_candidates parentCandidates(std::size_t index, std::size_t fanOut)
{
    parent_candidates list;
    std::vector<bool> isListed(index);
    const auto add = [&](std::size_t i) {
        if (!isListed[i])
            list.order.push_back(i);
        isListed[i] = true;
    };
    for (auto i = index; i != 0;)
        add(i = (i - 1) / fanOut);
    for (auto jump = std::bit_floor(index); jump != 0; jump /= 2)
        add(index - jump);
    list.firstRound = list.order.size();
    for (auto i = index; i-- > 0;)
        add(i);
    return list;
}

std::vector<std::string> relay::candidates() const
{
    std::vector<std::string> names;
    if (!m_self)
        return names;
    for (const auto i : parentCandidates(*m_self, m_fanOut).order)
        names.push_back(m_members.hosts[i]);
    return names;
}

std::size_t relay::firstRound() const
{
    return parentCandidates(m_self.value_or(0), m_fanOut).firstRound;
}

void relay::driveSearch(instant now)
{
    if (!m_self || *m_self == 0 || m_openProbes != 0 || now < m_nextSearchAt)
        return;
    m_nextSearchAt = now + period() * (m_state == tree_state::child ? kReturnPeriods : 1);
    const auto possible = candidates();
    if (m_state != tree_state::child) {
        if (m_searchPosition >= possible.size())
            m_searchPosition = 0;
        const auto first = m_searchPosition;
        const auto count = first == 0 ? firstRound() : kFurtherRound;
        m_searchPosition += count;
        startProbes(first, count, now);
        return;
    }
    const auto position = static_cast<std::size_t>(std::ranges::find(possible, m_parent) - possible.begin());
    // A parent without a fresh stamp may be cut off while others are not.
    if (lacksFreshStamp(now))
        startProbes(0, std::max(firstRound(), position), now);
    else if (position > 0)
        startProbes(0, std::min(firstRound(), position), now);
}

void relay::startProbes(std::size_t first, std::size_t count, instant now)
{
    const auto possible = candidates();
    m_probeResults.clear();
    for (auto i = first; i < std::min(first + count, possible.size()); ++i) {
        if (possible[i] == m_parent)
            continue;
        const call_token token{++m_lastCall};
        m_calls[token] = {.host = possible[i], .isProbe = true, .sentAt = now};
        exchange_call request;
        request.host = m_host;
        request.isProbe = true;
        const auto timeout = m_members.exchangePeriod * kProbeTimeoutPeriods;
        m_actions.emplace_back(start_exchange{token, possible[i], std::move(request), timeout});
        ++m_openProbes;
    }
}

void relay::takeProbeReply(const std::string &host, bool isEligible, instant now)
{
    m_openProbes -= m_openProbes > 0 ? 1 : 0;
    m_probeResults[host] = isEligible;
    // The best candidate is known once all before it have answered or failed.
    for (const auto &name : candidates()) {
        const auto found = m_probeResults.find(name);
        const bool isPending = std::ranges::any_of(
            m_calls, [&](const auto &pair) { return pair.second.isProbe && pair.second.host == name; });
        if (isPending)
            return;
        if (found == m_probeResults.end() || !found->second)
            continue;
        if (m_state == tree_state::child)
            m_betterParent = name;
        else
            changeParent(name, now);
        break;
    }
    if (m_openProbes == 0)
        endProbes(now);
}

void relay::endProbes(instant now)
{
    m_probeResults.clear();
    if (m_state == tree_state::searching) {
        m_state = tree_state::root;
        m_nextSearchAt = now + period();
    }
    // Counts that the present parent may have taken are lost in a change; takeReply() changes when it has confirmed
    // them.
    if (m_state != tree_state::child || m_betterParent.empty() || m_deltas.hasUnconfirmed())
        return;
    changeParent(std::exchange(m_betterParent, {}), now);
}

void relay::changeParent(const std::string &parent, instant now)
{
    m_state = tree_state::child;
    m_parent = parent;
    m_betterParent.clear();
    m_searchPosition = 0;
    m_totals.clear();
    restartLink();
    m_nextCallAt = now;
    m_nextSearchAt = now + period() * kReturnPeriods;
}

void relay::loseParent(instant now)
{
    m_parent.clear();
    m_betterParent.clear();
    m_searchPosition = 0;
    m_state = tree_state::searching;
    restartLink();
    m_nextSearchAt = now;
    if (candidates().empty())
        m_state = tree_state::root;
}

} // namespace foxtaildyke
