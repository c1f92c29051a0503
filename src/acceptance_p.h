// Decides when a configuration generation is accepted, that is, when no host can dispatch under an older one any more.
// Does no I/O and reads no clock; callers pass the time. Section 5 of docs/design.md states the rule.
#pragma once

#include "settings_p.h"

#include <set>

namespace foxtaildyke
{

/// Configuration status that the router of a host reports.
struct host_status {
    generation_number generation = 0;
    bool recovering = false;
    bool mayDispatch = false;
    std::vector<std::string> acknowledged; ///< registered hosts that have acknowledged `generation`
    std::vector<std::string> registered; ///< registered hosts of `generation`
    std::vector<std::string> halted; ///< versions that are halted because of failed requests
};

/// Tracks the acknowledgements of the generations that this process has read or written, and determines the newest
/// accepted one.
/// @remarks Invariant: m_accepted never decreases.
class acceptance
{
public:
    /// Records a configuration that was read from the store or written to it.
    void recordConfiguration(const config_document &document);

    /// Records a router's status response, received at `now`.
    void recordStatus(const host_status &status, instant now);

    /// Accepts generations whose waiting period has ended.
    /// @returns whether a generation became accepted.
    bool tick(instant now);

    [[nodiscard]] generation_number accepted() const { return m_accepted; }

    /// @returns the newest recorded generation, or 0 if there is none.
    [[nodiscard]] generation_number newest() const;

    /// @returns whether more than half of the generation's registered hosts have acknowledged it or a later one.
    [[nodiscard]] bool hasMajority(generation_number generation) const;

    /// @returns registered hosts that have not acknowledged the generation, sorted.
    [[nodiscard]] std::vector<std::string> unacknowledged(generation_number generation) const;

private:
    struct known_generation {
        std::set<std::string> hosts; ///< registered in this generation
        std::chrono::milliseconds lease{}; ///< freshness lease that this generation sets
        std::optional<instant> majorityAt; ///< when a majority was first observed
    };

    /// Effect of a change on hosts that have not acknowledged it.
    struct change_effect {
        bool replacesHosts = false; ///< removes or replaces a registered host, which may still hold a freshness lease
        bool changesLease = false; ///< changes the freshness lease; the previous one may have been longer
    };

    [[nodiscard]] static change_effect effectOf(const config_change &change);
    [[nodiscard]] std::chrono::milliseconds longestLease(generation_number generation) const;
    [[nodiscard]] bool isWaitOver(const known_generation &known, generation_number generation, instant now) const;
    [[nodiscard]] bool isAcknowledgedByAll(generation_number generation) const;
    void accept(generation_number generation);

    std::map<generation_number, known_generation> m_known; ///< recorded generations from m_accepted on
    std::map<generation_number, change_effect> m_changes; ///< by generation; only those after m_accepted
    /// Generation that each host acknowledged in the last status. Acknowledgements from earlier statuses don't count: a
    /// host that has restarted during an outage since then may hold an older generation, so two majorities might
    /// not intersect.
    std::map<std::string, generation_number> m_acknowledged;
    generation_number m_accepted = 0;
};

} // namespace foxtaildyke
