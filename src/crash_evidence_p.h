// Decides which requests are blocked because they crash replicas. A request is described by its traits: its
// fingerprint, which recurs when the caller sends it again, and the prompt parts that it shares with others. No I/O, no
// clock.
#pragma once

#include "gateway_clock_p.h"

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace foxtaildyke
{

/// Crashes of replicas while they ran requests with one trait, combined over all hosts.
struct trait_crashes {
    std::set<std::uint64_t> crashes; ///< see crash_registry::crashId(); without those that a later response rules out
    std::set<std::uint64_t>
        responding; ///< those of crashes before which the replica had begun to respond to the request
    bool isPart = false; ///< a prompt part; otherwise the fingerprint of a request
    bool isProven = false; ///< only of a part: replicas have responded to requests with it before the crashes
    bool wasAnswered = false; ///< only of a request: replicas have responded to it, so it isn't the cause
    std::size_t limit = 0; ///< number of crashes at which requests with the trait are blocked
    std::size_t respondingLimit = 0; ///< the same for responding; 0: none
    instant expiresAt{};
};

/// Reason for which a request isn't sent to replicas.
struct crash_block {
    std::uint64_t trait = 0;
    std::chrono::milliseconds remaining{};
};

class crash_evidence
{
public:
    /// Replaces what is known of a trait; without crashes, and if it wasn't answered, the trait is removed.
    void set(std::uint64_t trait, trait_crashes crashes);
    void clear();

    /// @returns what is known of a trait, or null.
    [[nodiscard]] const trait_crashes *find(std::uint64_t trait) const;
    [[nodiscard]] const std::unordered_map<std::uint64_t, trait_crashes> &entries() const { return m_entries; }

    /// @param traits of one request.
    /// @returns the trait for which the request is blocked; nothing if it may be sent to a replica.
    [[nodiscard]] std::optional<crash_block> findBlock(std::span<const std::uint64_t> traits, instant now) const;

    /// @returns the traits that cause requests to be blocked.
    [[nodiscard]] std::set<std::uint64_t> blocked(instant now) const;

private:
    [[nodiscard]] static bool hasReachedLimit(const trait_crashes &trait, std::size_t crashes, std::size_t responding);
    [[nodiscard]] static bool isSuspect(const trait_crashes &trait, instant now);
    /// @returns whether a part is at least as likely a cause of the crashes that it shares with a trait.
    [[nodiscard]] static bool isLikelier(const trait_crashes &part, const trait_crashes &trait);
    /// @returns whether the crashes of a trait that no other part explains are enough to block requests with it.
    /// @param traits of the request; its own parts don't explain each other's crashes.
    [[nodiscard]] bool isCause(const trait_crashes &trait, std::span<const std::uint64_t> traits) const;

    std::unordered_map<std::uint64_t, trait_crashes> m_entries; ///< by trait
    std::set<std::uint64_t> m_suspectParts; ///< parts whose crashes have reached their limit
};

} // namespace foxtaildyke
