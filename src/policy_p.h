// Model choice of a cascade: estimates for each version the probability of meeting a kind's quality target, and selects
// the start model with the least expected loss (cost, latency, missed target) within the deadline.
#pragma once

#include "router_config_p.h"

#include <map>
#include <span>
#include <vector>

namespace foxtaildyke
{

/// Beta distribution of a success probability: counts of successes and failures, starting from the prior Beta(1, 1).
struct beta_estimate {
    double successes = 1;
    double failures = 1;
    [[nodiscard]] double mean() const { return successes / (successes + failures); }
};

/// Rated responses of one kind and version, from one host or summed over hosts.
struct estimate_counts {
    std::string kind;
    std::string version;
    std::uint64_t met = 0;
    std::uint64_t missed = 0;
};

/// A version that a request may use, with its expected cost and latency. Candidates are in cascade order.
struct cascade_candidate {
    version_handle version;
    double expectedCostMicroUnits = 0; ///< of one attempt
    std::chrono::milliseconds expectedLatency{}; ///< of one attempt, including queueing
};

/// Where a request starts in its cascade, and why.
struct cascade_decision {
    std::size_t start = 0; ///< index into the candidates
    std::string_view reason; ///< static text for the request's timeline
};

class cascade_policy
{
public:
    /// Adds one rated response to the estimates and to the counts to be shared.
    void recordRating(std::string_view kind, std::string_view version, bool metTarget);

    /// Adds responses rated by other hosts to the estimates; they aren't included in the deltas of this host.
    /// @param counts increments, not totals.
    void mergeRemoteCounts(const std::vector<estimate_counts> &counts);

    /// @returns the local counts since the last call, to be shared with the other hosts.
    [[nodiscard]] std::vector<estimate_counts> takeDeltas();

    /// @returns the estimate for a kind and version; the prior if there are no ratings.
    [[nodiscard]] beta_estimate estimate(std::string_view kind, std::string_view version) const;

    /// Chooses the model at which the cascade starts, or continues after a response below the target.
    /// @param candidates at least one, cheapest model first.
    /// @param remaining time until the request's deadline.
    /// @param ratingAvailable false while the rating service is unavailable; the strongest candidate is chosen then.
    /// @param randomBits random number of the request, the same in all calls for it: a waiting request is decided on
    /// several times, and with new bits each time it would explore more often the longer it waits. 0: no exploration.
    [[nodiscard]] cascade_decision choose(const router_config &config, kind_handle kind,
                                          std::span<const cascade_candidate> candidates,
                                          std::chrono::milliseconds remaining, bool ratingAvailable,
                                          std::uint64_t randomBits = 0) const;

private:
    using estimate_key = std::pair<std::string, std::string>; ///< kind and version name
    void update(const estimate_counts &counts);
    std::map<estimate_key, beta_estimate, std::less<>> m_estimates;
    std::map<estimate_key, estimate_counts, std::less<>> m_pending; ///< counts not yet shared with other hosts
};

} // namespace foxtaildyke
