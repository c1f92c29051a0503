// Model choice of a cascade: estimates the chance of each version to meet a kind's quality target and picks the start
// model with the least expected loss (cost, latency, missed target) within the deadline.
#pragma once

#include "fleet_p.h"

#include <map>
#include <span>
#include <vector>

namespace foxtaildyke
{

/// Beta estimate of a chance: counts of successes and failures over a prior.
struct beta_estimate {
    double successes = 1;
    double failures = 1;
    [[nodiscard]] double mean() const { return successes / (successes + failures); }
};

/// Rated answers of one kind and version, of one host or summed over hosts.
struct estimate_counts {
    std::string kind;
    std::string version;
    std::uint64_t met = 0;
    std::uint64_t missed = 0;
};

/// What the policy decides on: the versions a request may use, in the order of the cascade.
struct cascade_candidate {
    version_handle version;
    double expectedCostMicroUnits = 0; ///< of one attempt
    std::chrono::milliseconds expectedLatency{}; ///< of one attempt, queueing included
};

/// What the policy wants done with a request.
struct cascade_decision {
    std::size_t start = 0; ///< index into the candidates
    std::string_view reason; ///< static text for the time line
};

class cascade_policy
{
public:
    /// Takes one rated answer into account.
    void recordRating(std::string_view kind, std::string_view version, bool metTarget);

    /// Takes answers that other hosts had rated into account; they are not in the deltas of this host.
    /// @param counts new answers only, not sums.
    void mergeRemoteCounts(const std::vector<estimate_counts> &counts);

    /// @returns local counts since the last call, to be shared.
    [[nodiscard]] std::vector<estimate_counts> takeDeltas();

    /// @returns the estimate for a kind and version; the prior where nothing was learnt.
    [[nodiscard]] beta_estimate estimate(std::string_view kind, std::string_view version) const;

    /// Chooses where the cascade starts, also for the rest of a cascade after an answer below the target.
    /// @param candidates at least one, cheapest model first.
    /// @param remaining time until the request's deadline.
    /// @param ratingAvailable false while the rating service does not answer: then the strongest candidate is taken.
    /// @param draw random bits of the request, the same each time it is decided on; a waiting request would otherwise
    /// explore more often the longer it waits. 0: no exploration.
    [[nodiscard]] cascade_decision choose(const fleet &config, kind_handle kind,
                                          std::span<const cascade_candidate> candidates,
                                          std::chrono::milliseconds remaining, bool ratingAvailable,
                                          std::uint64_t draw = 0) const;

private:
    using estimate_key = std::pair<std::string, std::string>; ///< kind and version name
    void update(const estimate_counts &counts);
    std::map<estimate_key, beta_estimate, std::less<>> m_estimates;
    std::map<estimate_key, estimate_counts, std::less<>> m_pending; ///< not yet shared
};

} // namespace foxtaildyke
