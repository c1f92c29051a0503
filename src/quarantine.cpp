// Quarantine of requests that crash their upstreams; see quarantine_p.h.
#include "quarantine_p.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace foxtaildyke
{

std::uint64_t fingerprintOf(std::string_view account, std::string_view kind, std::string_view prompt)
{
    // The hash of each part seeds the next, so that ("ab", "c") and ("a", "bc") differ.
    const auto first = XXH64(account.data(), account.size(), 0);
    const auto second = XXH64(kind.data(), kind.size(), first);
    return XXH64(prompt.data(), prompt.size(), second);
}

quarantine::entry &quarantine::findOrCreateEntry(std::uint64_t fingerprint, instant now)
{
    if (m_entries.size() >= m_purgeAt) {
        std::erase_if(m_entries, [&](const auto &item) { return now >= item.second.expiresAt; });
        m_purgeAt = std::max(kMinPurgeSize, 2 * m_entries.size());
    }
    return m_entries[fingerprint];
}

bool quarantine::recordCrash(std::uint64_t fingerprint, const tuning &tune, instant now)
{
    auto &entry = findOrCreateEntry(fingerprint, now);
    if (now >= entry.expiresAt)
        entry.crashes = 0;
    entry.expiresAt = now + tune.quarantineLifetime;
    return ++entry.crashes >= kCrashLimit;
}

void quarantine::block(std::uint64_t fingerprint, const tuning &tune, instant now)
{
    auto &entry = findOrCreateEntry(fingerprint, now);
    entry.crashes = kCrashLimit;
    entry.expiresAt = std::max<instant>(entry.expiresAt, now + tune.quarantineLifetime);
}

bool quarantine::isBlocked(std::uint64_t fingerprint, instant now) const
{
    return crashes(fingerprint, now) >= kCrashLimit;
}

std::uint32_t quarantine::crashes(std::uint64_t fingerprint, instant now) const
{
    const auto found = m_entries.find(fingerprint);
    return found == m_entries.end() || now >= found->second.expiresAt ? 0 : found->second.crashes;
}

} // namespace foxtaildyke
