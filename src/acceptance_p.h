// When a generation is accepted: no host can dispatch under an older one any more. Pure: no I/O, no clock. Section 5 of
// docs/design.md states the rule.
#pragma once

#include "settings_p.h"

#include <set>

namespace foxtaildyke
{

/// What the router of a host says about the configuration.
struct host_status {
    generation_number generation = 0;
    bool recovering = false;
    bool mayDispatch = false;
    std::vector<std::string> acknowledged; ///< registered hosts that hold `generation`
    std::vector<std::string> registered; ///< registered hosts of `generation`
    std::vector<std::string> halted; ///< versions that the evidence halts
};

/// Counts acknowledgements of the generations that this process knows.
/// @remarks Invariant: m_accepted never goes down.
class acceptance
{
public:
    /// Takes a configuration that was read or written.
    void recordConfiguration(const config_document &document);

    /// Takes the answer of a router, received at `now`.
    void recordStatus(const host_status &status, instant now);

    /// Ends waiting periods.
    /// @returns whether a generation became accepted.
    bool tick(instant now);

    [[nodiscard]] generation_number accepted() const { return m_accepted; }
    [[nodiscard]] generation_number newest() const;

    /// @returns whether more than half of its registered hosts hold the generation or a later one.
    [[nodiscard]] bool hasMajority(generation_number generation) const;

    /// @returns registered hosts that have not acknowledged the generation, sorted.
    [[nodiscard]] std::vector<std::string> unacknowledged(generation_number generation) const;

private:
    struct known_generation {
        std::set<std::string> hosts; ///< registered in it
        std::chrono::milliseconds lease{};
        std::optional<instant> majorityAt; ///< when a majority was first observed
    };

    /// What a change means for hosts that have not acknowledged it.
    struct change_effect {
        bool replacesHosts = false; ///< a host that it removes is in no list any more, but may hold a lease
        bool changesLease = false; ///< the lease before it may have been longer
    };

    [[nodiscard]] static change_effect effectOf(const config_change &change);
    [[nodiscard]] std::chrono::milliseconds longestLease(generation_number generation) const;
    [[nodiscard]] bool isWaitOver(const known_generation &known, generation_number generation, instant now) const;
    [[nodiscard]] bool holdsEverywhere(generation_number generation) const;
    void accept(generation_number generation);

    std::map<generation_number, known_generation> m_known; ///< m_accepted, where it is known, and later ones
    std::map<generation_number, change_effect> m_changes; ///< of generations after m_accepted
    /// Generation that each host held in the last status. Acknowledgements of earlier ones don't count: a host that has
    /// restarted in an outage since then may hold an older generation, so that two majorities would not intersect.
    std::map<std::string, generation_number> m_held;
    generation_number m_accepted = 0;
};

} // namespace foxtaildyke
