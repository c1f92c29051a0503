// Choice of the host that serves a request in place of one that is cut off; see detour_hosts_p.h.
#include "detour_hosts_p.h"

#include <algorithm>

namespace foxtaildyke
{

detour_hosts::detour_hosts(std::string host, std::vector<http_endpoint> first, std::uint64_t seed)
    : m_host(std::move(host))
    , m_first(std::move(first))
    , m_random(seed)
{
    std::ranges::shuffle(m_first, m_random);
}

void detour_hosts::record(const host_statement &statement, instant statedAt)
{
    if (statement.host.empty() || statement.host == m_host || statement.address.port == 0)
        return;
    const auto found = m_hosts.find(statement.host);
    if (found == m_hosts.end() && m_hosts.size() >= kMaxHosts)
        return;
    if (found != m_hosts.end() && found->second.statedAt >= statedAt)
        return;
    m_hosts[statement.host] = {statement, statedAt};
}

void detour_hosts::recordFailure(const http_endpoint &address, instant now, std::chrono::milliseconds pause)
{
    m_pausedUntil[address] = now + pause;
}

void detour_hosts::recordEnd(const http_endpoint &address)
{
    const auto found = m_outstanding.find(address);
    if (found != m_outstanding.end() && --found->second == 0)
        m_outstanding.erase(found);
}

bool detour_hosts::isPaused(const http_endpoint &address, instant now) const
{
    const auto found = m_pausedUntil.find(address);
    return found != m_pausedUntil.end() && found->second > now;
}

std::vector<http_endpoint> detour_hosts::nextContacts(bool isCutOff, instant now)
{
    std::vector<http_endpoint> known;
    for (const auto &[host, entry] : m_hosts)
        if (!isPaused(entry.statement.address, now + kBriefPause)) // a busy host's statement must not grow old
            known.push_back(entry.statement.address);
    std::vector<http_endpoint> contacts;
    const auto most = isCutOff ? kUrgentContacts : std::size_t{1};
    const bool usesFirst =
        !m_first.empty() && (isCutOff || std::exchange(m_isFirstTurn, !m_isFirstTurn) || known.empty());
    if (usesFirst)
        contacts.push_back(m_first[m_nextFirst++ % m_first.size()]);
    std::erase_if(known, [&](const auto &address) { return std::ranges::find(contacts, address) != contacts.end(); });
    std::ranges::sample(known, std::back_inserter(contacts),
                        static_cast<std::ptrdiff_t>(most - std::min(most, contacts.size())), m_random);
    return contacts;
}

std::vector<aged_statement> detour_hosts::sample(std::string_view except, instant now)
{
    std::vector<aged_statement> all;
    for (const auto &[host, entry] : m_hosts)
        if (host != except && now - entry.statedAt < kMaxAge)
            all.push_back({entry.statement, std::chrono::ceil<std::chrono::milliseconds>(now - entry.statedAt)});
    std::vector<aged_statement> chosen;
    std::ranges::sample(all, std::back_inserter(chosen), kSampleSize, m_random);
    return chosen;
}

bool detour_hosts::hasReached(const known_host &host, const std::string &service, instant since, instant now)
{
    if (now - host.statedAt >= kMaxAge)
        return false;
    const auto contact = host.statement.contacts.find(service);
    return contact != host.statement.contacts.end() && host.statedAt - contact->second > since;
}

std::uint32_t detour_hosts::loadOf(const known_host &host) const
{
    const auto outstanding = m_outstanding.find(host.statement.address);
    return std::max(host.statement.detours, outstanding == m_outstanding.end() ? 0 : outstanding->second);
}

std::optional<http_endpoint> detour_hosts::choose(const std::string &service, instant since,
                                                  const std::set<http_endpoint> &excluded, instant now)
{
    std::vector<const known_host *> eligible;
    for (const auto &[name, host] : m_hosts) {
        const auto &address = host.statement.address;
        if (hasReached(host, service, since, now) && !excluded.contains(address) && !isPaused(address, now))
            eligible.push_back(&host);
    }
    std::vector<const known_host *> drawn;
    std::ranges::sample(eligible, std::back_inserter(drawn), 2, m_random);
    const auto least = std::ranges::min_element(drawn, {}, [this](const auto *host) { return loadOf(*host); });
    return least == drawn.end() ? std::nullopt : std::optional((*least)->statement.address);
}

bool detour_hosts::mayChooseSoon(const std::string &service, instant since, instant now) const
{
    return std::ranges::any_of(m_hosts, [&](const auto &entry) {
        return hasReached(entry.second, service, since, now)
            && !isPaused(entry.second.statement.address, now + kBriefPause);
    });
}

bool detour_hosts::isReachedByOthers(const std::string &service, instant since, instant now) const
{
    return std::ranges::any_of(m_hosts,
                               [&](const auto &entry) { return hasReached(entry.second, service, since, now); });
}

void detour_hosts::expire(instant now)
{
    std::erase_if(m_hosts, [now](const auto &entry) { return now - entry.second.statedAt >= kLifetime; });
    std::erase_if(m_pausedUntil, [now](const auto &entry) { return entry.second <= now; });
}

} // namespace foxtaildyke
