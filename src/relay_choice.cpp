// Choice of the configuration source, store or relay; see relay_choice_p.h.
#include "relay_choice_p.h"

#include "text_hash_p.h"

namespace foxtaildyke
{

relay_choice::relay_choice(const std::string &host, std::vector<http_endpoint> relays, const http_endpoint &own)
    : m_isRelay(std::ranges::find(relays, own) != relays.end())
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

std::size_t relay_query_tracker::size(instant now)
{
    std::erase_if(m_queriedAt, [now](const auto &entry) { return now - entry.second > kQuerierLifetime; });
    return m_queriedAt.size();
}

bool relay_query_tracker::mayRespond(std::optional<instant> confirmedAt, bool isComplete, instant now)
{
    return isComplete && confirmedAt && now - *confirmedAt <= kMaxConfirmationAge;
}

} // namespace foxtaildyke
