// Model choice of a cascade: estimates the chance of each version to meet a kind's quality target and picks the start
// model with the least expected cost that meets the target within the deadline.
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
    void learn(std::string_view kind, std::string_view version, bool metTarget);

    /// @returns the estimate for a kind and version; the prior where nothing was learnt.
    [[nodiscard]] beta_estimate estimate(std::string_view kind, std::string_view version) const;

    /// Chooses where the cascade starts.
    /// @param candidates at least one, cheapest model first.
    /// @param remaining time until the request's deadline.
    /// @param ratingAvailable false while the rating service does not answer: then the strongest candidate is taken.
    [[nodiscard]] cascade_decision choose(const fleet &config, kind_handle kind,
                                          std::span<const cascade_candidate> candidates,
                                          std::chrono::milliseconds remaining, bool ratingAvailable) const;

private:
    std::map<std::pair<std::string, std::string>, beta_estimate, std::less<>> m_estimates; ///< by kind and version name
};

} // namespace foxtaildyke
