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
    bool isPart = false; ///< a prompt part; otherwise the fingerprint of a request
    bool wasAnswered = false; ///< only of a request: replicas have responded to it, so it isn't the cause
    std::size_t limit = 0; ///< number of crashes at which requests with the trait are blocked
    instant expiresAt{};
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
    /// @returns the time until the request may be sent to a replica again; nothing if it isn't blocked.
    [[nodiscard]] std::optional<std::chrono::milliseconds> blockedFor(std::span<const std::uint64_t> traits,
                                                                      instant now) const;

    /// @returns the traits that cause requests to be blocked.
    [[nodiscard]] std::set<std::uint64_t> blocked(instant now) const;

private:
    /// @returns the number of crashes of a trait that no other part explains better.
    /// @param isAlternative whether a part is another explanation than the trait.
    template <typename Predicate>
    [[nodiscard]] std::size_t unexplained(const trait_crashes &trait, Predicate isAlternative) const;
    [[nodiscard]] static bool isSuspect(const trait_crashes &trait, instant now);

    std::unordered_map<std::uint64_t, trait_crashes> m_entries; ///< by trait
    std::set<std::uint64_t> m_suspectParts; ///< parts whose crashes have reached their limit
};

} // namespace foxtaildyke
