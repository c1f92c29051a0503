// Detection of bad versions: a cumulative sum (CUSUM) test of a version's failed ratings and errors against the
// measured failure rate of its baseline, and the exposure budget of a version that is being rolled out.
#pragma once

#include "router_config_p.h"

#include <map>
#include <vector>

namespace foxtaildyke
{

/// Counts for one version, of one host or summed over hosts.
struct version_evidence {
    std::string version; ///< or "version/stratum": rated responses of one stratum, see evidence_table
    std::uint64_t passed = 0; ///< responses that met the target
    std::uint64_t failed = 0; ///< responses below the target, and failed attempts
    std::uint64_t dispatched = 0; ///< attempts started
    std::uint64_t settled = 0; ///< attempts that were rated, failed, or will never be rated
};

/// @remarks Each result counts once: local results when they are recorded, those of other hosts when the totals
/// increase. Rated responses are compared within a stratum (request kind, escalated or not), so that a shift towards
/// harder requests does not look like a bad version. Such a shift occurs when a cascade starts to send a strong model
/// only the requests at which weaker models failed.
class evidence_table
{
public:
    /// @param hostName name of this host. An exposure budget is divided evenly among the hosts; the name decides which
    /// of them get one more unit if the division leaves a remainder. Empty: this host gets none of the remainder.
    explicit evidence_table(std::string hostName = {});

    /// Counts an attempt that is dispatched.
    void recordDispatch(std::string_view version);

    /// Counts a settled attempt.
    /// @param passed empty: the attempt will not be rated.
    /// @param stratum group of requests within which failure rates can be compared.
    void recordResult(std::string_view version, std::optional<bool> passed, std::string_view stratum = {});

    /// Replaces the counts of the other hosts with the totals of the relay.
    /// @param totals sums since the version's first response. A sum that decreases (the relay has restarted) becomes
    /// the new base for later increases.
    /// @param ownContribution this host's deltas that are included in `totals`; empty if `totals` contains only
    /// results of other hosts.
    void setTotals(const std::vector<version_evidence> &totals, instant now,
                   const std::vector<version_evidence> &ownContribution = {});

    /// @returns local counts since the last call, to be sent to the relay.
    [[nodiscard]] std::vector<version_evidence> takeDeltas();

    /// @returns whether the test rejects the version compared with its baseline, or with its own history if it has no
    /// baseline. Once true, it stays true.
    /// @remarks Scores all results since the last call as one batch, so call it after each result.
    [[nodiscard]] bool isRejected(const router_config &config, version_handle version) const;

    /// @returns whether one more request may be sent to the version before earlier ones are rated. The number is
    /// limited while the version is rolled out, and while its score is at or above kSuspectScore.
    [[nodiscard]] bool hasExposureLeft(const router_config &config, version_handle version, instant now) const;

    /// @returns failure rate of a version in a stratum over about the last kRateWindow responses, weighted with the
    /// prior.
    [[nodiscard]] double estimatedFailureRate(std::string_view version, std::string_view stratum = {}) const;

    /// @returns log likelihood ratio of the version being bad, as of the last isRejected().
    [[nodiscard]] double score(std::string_view version) const;

    /// Score at which a version is rejected. At a baseline failure rate of 0.05 this gives 2.0 to 2.7 false halts in
    /// 1000 roll-outs of 2000 responses (a threshold of 12: 2.7 to 4.8), and on average 15 responses until a version
    /// that fails half of the time is rejected.
    static constexpr double kRejectScore = 12.5;
    /// Score from which the exposure of a version is limited. Reached by two consecutive failures at a failure rate of
    /// 0.05, but not by a single one.
    static constexpr double kSuspectScore = kRejectScore / 4;
    static constexpr double kRateWindow = 500; ///< responses

private:
    struct batch {
        std::uint64_t passed = 0;
        std::uint64_t failed = 0;
    };
    /// Counts of a version, or of one of its strata.
    struct counts {
        version_evidence local; ///< of this host, since it started
        version_evidence pending; ///< part of `local` not yet sent to the relay
        version_evidence others; ///< of the other hosts
        batch unscored; ///< recorded since the last isRejected()
        double recentPassed = 0; ///< decays exponentially over kRateWindow responses
        double recentFailed = 0;
    };
    struct test_state {
        double score = 0; ///< cumulative sum of log likelihood ratios, never below 0
        bool rejected = false;
    };
    static void add(counts &entry, const batch &results);
    [[nodiscard]] const counts *find(std::string_view key) const;
    [[nodiscard]] double scoreBatch(counts &entry, std::string_view stratum, std::string_view reference,
                                    bool usesOwnHistory) const;
    [[nodiscard]] std::uint64_t budgetShare(const router_config &config, version_handle version) const;

    std::string m_host;
    std::optional<instant> m_totalsAt; ///< when the last totals of the relay arrived
    using counts_map = std::map<std::string, counts, std::less<>>;
    mutable counts_map m_counts; ///< by version name or "version/stratum"; isRejected() scores new results
    mutable std::map<std::string, test_state, std::less<>> m_tests; ///< by version name
};

} // namespace foxtaildyke
