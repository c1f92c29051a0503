// Decision on requests that crash replicas; see crash_evidence_p.h.
#include "crash_evidence_p.h"

#include <algorithm>
#include <ranges>

namespace foxtaildyke
{

void crash_evidence::set(std::uint64_t trait, trait_crashes crashes)
{
    m_suspectParts.erase(trait);
    if (crashes.crashes.empty() && !crashes.wasAnswered) {
        m_entries.erase(trait);
        return;
    }
    if (crashes.isPart && crashes.crashes.size() >= crashes.limit)
        m_suspectParts.insert(trait);
    m_entries.insert_or_assign(trait, std::move(crashes));
}

void crash_evidence::clear()
{
    m_entries.clear();
    m_suspectParts.clear();
}

const trait_crashes *crash_evidence::find(std::uint64_t trait) const
{
    const auto found = m_entries.find(trait);
    return found == m_entries.end() ? nullptr : &found->second;
}

bool crash_evidence::isSuspect(const trait_crashes &trait, instant now)
{
    return !trait.wasAnswered && trait.crashes.size() >= trait.limit && now < trait.expiresAt;
}

/// A crash ends all requests on its replica, though only one of them is the cause. A part with at least as many crashes
/// explains those that it shares with the trait.
template <typename Predicate>
std::size_t crash_evidence::unexplained(const trait_crashes &trait, Predicate isAlternative) const
{
    std::vector<const trait_crashes *> alternatives;
    for (const auto part : m_suspectParts) {
        const auto &other = m_entries.at(part);
        if (other.crashes.size() >= trait.crashes.size() && isAlternative(part, other))
            alternatives.push_back(&other);
    }
    return static_cast<std::size_t>(std::ranges::count_if(trait.crashes, [&alternatives](std::uint64_t crash) {
        return std::ranges::none_of(alternatives,
                                    [crash](const auto *other) { return other->crashes.contains(crash); });
    }));
}

std::optional<std::chrono::milliseconds> crash_evidence::blockedFor(std::span<const std::uint64_t> traits,
                                                                    instant now) const
{
    std::optional<std::chrono::milliseconds> longest;
    for (const auto trait : traits) {
        const auto *known = find(trait);
        if (!known || !isSuspect(*known, now))
            continue;
        // Parts of the same request aren't told apart: requests that have only some of them are still sent, and show
        // which of them is the cause.
        const auto isElsewhere = [traits](std::uint64_t part, const trait_crashes &) {
            return std::ranges::find(traits, part) == traits.end();
        };
        if (unexplained(*known, isElsewhere) < known->limit)
            continue;
        const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(known->expiresAt - now);
        longest = std::max(remaining, longest.value_or(remaining));
    }
    return longest;
}

std::set<std::uint64_t> crash_evidence::blocked(instant now) const
{
    std::set<std::uint64_t> traits;
    for (const auto &[trait, known] : m_entries) {
        const auto hasMore = [&known](std::uint64_t, const trait_crashes &other) {
            return other.crashes.size() > known.crashes.size();
        };
        if (isSuspect(known, now) && unexplained(known, hasMore) >= known.limit)
            traits.insert(trait);
    }
    return traits;
}

} // namespace foxtaildyke
