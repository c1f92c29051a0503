// Quarantine of requests that crash their upstreams: counts lost connections by fingerprint and blocks a fingerprint at
// the second one.
#pragma once

#include "fleet_p.h"

#include <unordered_map>

namespace foxtaildyke
{

/// @returns the fingerprint of a request: client account, kind and prompt.
[[nodiscard]] std::uint64_t fingerprintOf(std::string_view account, std::string_view kind, std::string_view prompt);

class quarantine
{
public:
    /// Number of upstreams that a request may crash.
    static constexpr std::uint32_t kCrashLimit = 2;

    /// Counts a connection lost during a run.
    /// @returns whether the fingerprint is now blocked.
    bool recordCrash(std::uint64_t fingerprint, const tuning &tune, instant now);

    /// Blocks a fingerprint that another host reported.
    void block(std::uint64_t fingerprint, const tuning &tune, instant now);

    [[nodiscard]] bool isBlocked(std::uint64_t fingerprint, instant now) const;

    /// @returns crashes counted so far for the fingerprint.
    [[nodiscard]] std::uint32_t crashes(std::uint64_t fingerprint, instant now) const;

private:
    struct entry {
        std::uint32_t crashes = 0;
        instant expiresAt{};
    };
    entry &entryOf(std::uint64_t fingerprint, instant now);

    static constexpr std::size_t kLeastPurgeSize = 1024; ///< entries; below this expired ones are kept
    std::unordered_map<std::uint64_t, entry> m_entries;
    std::size_t m_purgeAt = kLeastPurgeSize; ///< size at which expired entries are dropped
};

} // namespace foxtaildyke
