// Choice of the configuration source, store or relay; see relay_choice_p.h.
#include "relay_choice_p.h"

#include "text_hash_p.h"

namespace foxtaildyke
{

relay_choice::relay_choice(const std::string &host, std::vector<http_endpoint> relays, const http_endpoint &own)
    : m_own(own)
    , m_hostHash(hashOf(host))
    , m_isRelay(std::ranges::find(relays, own) != relays.end())
{
    const auto rank = [&host](const relay &entry) {
        return hashOf(host + '@' + entry.address.address + ':' + std::to_string(entry.address.port));
    };
    std::ranges::transform(relays, std::back_inserter(m_relays), [](auto &address) { return relay{address, {}}; });
    std::ranges::sort(m_relays, {}, rank);
}

const http_endpoint *relay_choice::next(instant now) const
{
    if (m_isRelay)
        return nullptr;
    const auto isAvailable = [now](const relay &entry) {
        return entry.skippedUntil <= now;
    };
    const auto found = std::ranges::find_if(m_relays, isAvailable);
    return found == m_relays.end() ? nullptr : &found->address;
}

void relay_choice::recordFailure(const http_endpoint &failed, bool isStoreUnreachable, instant now)
{
    const auto found = std::ranges::find(m_relays, failed, &relay::address);
    if (found != m_relays.end())
        found->skippedUntil = now + (isStoreUnreachable ? std::chrono::milliseconds{0} : kFailureBackoff);
}

void relay_choice::setDeputies(const http_endpoint &source, std::vector<http_endpoint> deputies)
{
    if (std::ranges::find(m_relays, source, &relay::address) == m_relays.end())
        return;
    std::erase(deputies, m_own);
    m_deputies = std::move(deputies);
}

std::vector<http_endpoint> relay_choice::contacts(std::uint32_t round, const std::optional<http_endpoint> &lost) const
{
    std::vector<http_endpoint> addresses;
    for (const auto &entry : m_relays)
        if (round > 0 || entry.address != lost)
            addresses.push_back(entry.address);
    if (round == 0 && !lost)
        addresses.resize(std::min<std::size_t>(addresses.size(), 1));
    if (round < kDeputyRound || addresses.empty())
        return addresses;
    const auto turn = m_hostHash + round; // differs between hosts, so that they spread over relays and deputies
    addresses = {addresses[turn % addresses.size()]};
    // At the start of a fleet, the relays need some time; until then they have no deputies that could do better.
    if (!lost)
        return addresses;
    for (std::size_t index = 0; index < std::min(kDeputiesPerRound, m_deputies.size()); ++index)
        addresses.push_back(m_deputies[(turn * kDeputiesPerRound + index) % m_deputies.size()]);
    return addresses;
}

void relay_query_tracker::evictExpired(instant now)
{
    std::erase_if(m_queriers, [now](const auto &entry) { return now - entry.second.queriedAt > kQuerierLifetime; });
}

std::size_t relay_query_tracker::size(instant now)
{
    evictExpired(now);
    return m_queriers.size();
}

std::vector<http_endpoint> relay_choice::readers() const
{
    std::vector<http_endpoint> addresses;
    for (const auto &entry : m_relays)
        if (entry.address != m_own)
            addresses.push_back(entry.address);
    if (!m_isRelay)
        addresses.insert(addresses.end(), m_deputies.begin(), m_deputies.end());
    return addresses;
}

bool relay_query_tracker::hasFollowers(instant now)
{
    evictExpired(now);
    return std::ranges::any_of(m_queriers, [](const auto &entry) { return entry.second.isFollowing; });
}

std::vector<http_endpoint> relay_query_tracker::deputies(instant now)
{
    evictExpired(now);
    std::vector<std::pair<std::uint64_t, http_endpoint>> ranked;
    for (const auto &[host, known] : m_queriers)
        if (known.address)
            ranked.emplace_back(hashOf(host), *known.address);
    std::ranges::sort(ranked);
    ranked.resize(std::min(ranked.size(), kDeputies));
    std::vector<http_endpoint> addresses;
    std::ranges::transform(ranked, std::back_inserter(addresses), &std::pair<std::uint64_t, http_endpoint>::second);
    return addresses;
}

bool relay_query_tracker::mayRespond(std::optional<instant> confirmedAt, bool isComplete, instant now)
{
    return isComplete && confirmedAt && now - *confirmedAt <= kMaxConfirmationAge;
}

} // namespace foxtaildyke
