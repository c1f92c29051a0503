// Quarantine of requests that crash their upstreams: counts lost connections per request fingerprint and blocks a
// fingerprint at the second one.
#pragma once

#include "router_config_p.h"

#include <unordered_map>

namespace foxtaildyke
{

/// @returns the fingerprint of a request, a hash of client account, kind and prompt.
[[nodiscard]] std::uint64_t fingerprintOf(std::string_view account, std::string_view kind, std::string_view prompt);

class quarantine
{
public:
    /// Number of crashes at which a fingerprint is blocked.
    static constexpr std::uint32_t kCrashLimit = 2;

    /// Counts an upstream connection lost while the request was running.
    /// @returns whether the fingerprint is now blocked.
    bool recordCrash(std::uint64_t fingerprint, const tuning &tune, instant now);

    /// Blocks a fingerprint that another host reported.
    void block(std::uint64_t fingerprint, const tuning &tune, instant now);

    [[nodiscard]] bool isBlocked(std::uint64_t fingerprint, instant now) const;

    /// @returns the crashes counted for the fingerprint, 0 after its lifetime.
    [[nodiscard]] std::uint32_t crashes(std::uint64_t fingerprint, instant now) const;

private:
    struct entry {
        std::uint32_t crashes = 0;
        instant expiresAt{};
    };
    entry &findOrCreateEntry(std::uint64_t fingerprint, instant now);

    static constexpr std::size_t kMinPurgeSize = 1024; ///< entries; below this size expired ones aren't purged
    std::unordered_map<std::uint64_t, entry> m_entries;
    std::size_t m_purgeAt = kMinPurgeSize; ///< size at which expired entries are purged
};

} // namespace foxtaildyke
