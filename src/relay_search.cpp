// Relay tree: search for a parent at the start and after a parent has failed; see relay_p.h.
#include "relay_p.h"

#include <bit>

namespace foxtaildyke
{

namespace
{

constexpr int kProbeTimeoutPeriods = 2;

/// A root probes this many further members per period after its first round.
constexpr std::size_t kProbesPerRound = 4;

/// Periods between two attempts to move to a preferred parent.
constexpr int kReparentPeriods = 10;

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
    list.firstRoundSize = list.order.size();
    for (auto i = index; i-- > 0;)
        add(i);
    return list;
}

std::vector<std::string> relay::candidates() const
{
    std::vector<std::string> names;
    if (!m_selfIndex)
        return names;
    for (const auto i : parentCandidates(*m_selfIndex, m_fanOut).order)
        names.push_back(m_members.hosts[i]);
    return names;
}

std::size_t relay::firstRoundSize() const
{
    return parentCandidates(m_selfIndex.value_or(0), m_fanOut).firstRoundSize;
}

void relay::startDueProbes(instant now)
{
    if (!m_selfIndex || *m_selfIndex == 0 || m_openProbes != 0 || now < m_nextSearchAt)
        return;
    m_nextSearchAt = now + period() * (m_state == tree_state::child ? kReparentPeriods : 1);
    const auto candidateHosts = candidates();
    if (m_state != tree_state::child) {
        if (m_nextCandidate >= candidateHosts.size())
            m_nextCandidate = 0;
        const auto first = m_nextCandidate;
        const auto count = first == 0 ? firstRoundSize() : kProbesPerRound;
        m_nextCandidate += count;
        startProbes(first, count, now);
        return;
    }
    const auto position =
        static_cast<std::size_t>(std::ranges::find(candidateHosts, m_parent) - candidateHosts.begin());
    // A parent without a fresh stamp may be partitioned while other members are not.
    if (lacksFreshStamp(now))
        startProbes(0, std::max(firstRoundSize(), position), now);
    else if (position > 0)
        startProbes(0, std::min(firstRoundSize(), position), now);
}

void relay::startProbes(std::size_t first, std::size_t count, instant now)
{
    const auto candidateHosts = candidates();
    m_probeResults.clear();
    for (auto i = first; i < std::min(first + count, candidateHosts.size()); ++i) {
        if (candidateHosts[i] == m_parent)
            continue;
        const call_token token{++m_lastCallToken};
        m_calls[token] = {.host = candidateHosts[i], .isProbe = true, .sentAt = now};
        exchange_call request;
        request.host = m_host;
        request.isProbe = true;
        const auto timeout = m_members.exchangePeriod * kProbeTimeoutPeriods;
        m_actions.emplace_back(start_exchange{token, candidateHosts[i], std::move(request), timeout});
        ++m_openProbes;
    }
}

void relay::handleProbeResponse(const std::string &host, bool isEligible, instant now)
{
    m_openProbes -= m_openProbes > 0 ? 1 : 0;
    m_probeResults[host] = isEligible;
    // A candidate can be chosen once all those before it have responded or failed.
    for (const auto &name : candidates()) {
        const auto found = m_probeResults.find(name);
        const bool isPending = std::ranges::any_of(
            m_calls, [&](const auto &pair) { return pair.second.isProbe && pair.second.host == name; });
        if (isPending)
            return;
        if (found == m_probeResults.end() || !found->second)
            continue;
        if (m_state == tree_state::child)
            m_preferredParent = name;
        else
            changeParent(name, now);
        break;
    }
    if (m_openProbes == 0)
        finishProbeRound(now);
}

void relay::finishProbeRound(instant now)
{
    m_probeResults.clear();
    if (m_state == tree_state::searching) {
        m_state = tree_state::root;
        m_nextSearchAt = now + period();
    }
    // Changing the parent drops unconfirmed counts, as the present parent may have applied them.
    // handleParentResponse() changes it once they are confirmed.
    if (m_state != tree_state::child || m_preferredParent.empty() || m_deltas.hasUnconfirmed())
        return;
    changeParent(std::exchange(m_preferredParent, {}), now);
}

void relay::changeParent(const std::string &parent, instant now)
{
    m_state = tree_state::child;
    m_parent = parent;
    m_preferredParent.clear();
    m_nextCandidate = 0;
    m_demandTotals.clear();
    restartLink();
    m_nextCallAt = now;
    m_nextSearchAt = now + period() * kReparentPeriods;
}

void relay::dropParent(instant now)
{
    m_parent.clear();
    m_preferredParent.clear();
    m_nextCandidate = 0;
    m_state = tree_state::searching;
    restartLink();
    m_nextSearchAt = now;
    if (candidates().empty())
        m_state = tree_state::root;
}

} // namespace foxtaildyke
