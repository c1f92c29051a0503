// Decision on requests that crash replicas; see crash_evidence_p.h.
#include "crash_evidence_p.h"

#include <algorithm>

namespace foxtaildyke
{

void crash_evidence::set(std::uint64_t trait, trait_crashes crashes)
{
    m_suspectParts.erase(trait);
    if (crashes.crashes.empty() && !crashes.wasAnswered) {
        m_entries.erase(trait);
        return;
    }
    if (crashes.isPart && hasReachedLimit(crashes, crashes.crashes.size(), crashes.responding.size()))
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

bool crash_evidence::hasReachedLimit(const trait_crashes &trait, std::size_t crashes, std::size_t responding)
{
    return crashes >= trait.limit || (trait.respondingLimit > 0 && responding >= trait.respondingLimit);
}

bool crash_evidence::isSuspect(const trait_crashes &trait, instant now)
{
    return !trait.wasAnswered && now < trait.expiresAt
        && hasReachedLimit(trait, trait.crashes.size(), trait.responding.size());
}

bool crash_evidence::isLikelier(const trait_crashes &part, const trait_crashes &trait)
{
    if (trait.isPart && part.isProven != trait.isProven)
        return trait.isProven;
    // Many requests wait on a replica when it ends, but it responds to the one that is the cause.
    return std::pair(part.responding.size(), part.crashes.size())
        >= std::pair(trait.responding.size(), trait.crashes.size());
}

/// A crash ends all requests on its replica, though only one of them is the cause.
bool crash_evidence::isCause(const trait_crashes &trait, std::span<const std::uint64_t> traits) const
{
    std::vector<const trait_crashes *> causes;
    for (const auto part : m_suspectParts)
        if (std::ranges::find(traits, part) == traits.end() && isLikelier(m_entries.at(part), trait))
            causes.push_back(&m_entries.at(part));
    const auto unexplained = [&causes](const std::set<std::uint64_t> &crashes) {
        return static_cast<std::size_t>(std::ranges::count_if(crashes, [&causes](std::uint64_t crash) {
            return std::ranges::none_of(causes, [crash](const auto *cause) { return cause->crashes.contains(crash); });
        }));
    };
    return hasReachedLimit(trait, unexplained(trait.crashes), unexplained(trait.responding));
}

std::optional<crash_block> crash_evidence::findBlock(std::span<const std::uint64_t> traits, instant now) const
{
    std::optional<crash_block> longest;
    for (const auto trait : traits) {
        const auto *known = find(trait);
        if (!known || !isSuspect(*known, now) || !isCause(*known, traits))
            continue;
        const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(known->expiresAt - now);
        if (!longest || longest->remaining < remaining)
            longest = {trait, remaining};
    }
    return longest;
}

std::set<std::uint64_t> crash_evidence::blocked(instant now) const
{
    std::set<std::uint64_t> traits;
    for (const auto &[trait, known] : m_entries) {
        // Parts that always occur together are blocked together; see isCause().
        std::vector<std::uint64_t> alike{trait};
        std::ranges::copy_if(m_suspectParts, std::back_inserter(alike), [this, &known = known](std::uint64_t part) {
            return known.isPart && m_entries.at(part).crashes == known.crashes;
        });
        if (isSuspect(known, now) && isCause(known, alike))
            traits.insert(trait);
    }
    return traits;
}

} // namespace foxtaildyke
