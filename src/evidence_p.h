// Detection of bad versions: a cumulative sequential test on failed ratings and errors of a version against its
// baseline's measured failure rate, and the exposure budget of a version that is being rolled out.
#pragma once

#include "fleet_p.h"

#include <map>
#include <vector>

namespace foxtaildyke
{

/// Counts for one version, of one host or summed over hosts.
struct version_evidence {
    std::string version; ///< or "version/stratum": rated answers of one stratum, see evidence_table
    std::uint64_t passed = 0; ///< answers that met the target
    std::uint64_t failed = 0; ///< answers below the target, and failed attempts
    std::uint64_t dispatched = 0; ///< attempts started
    std::uint64_t settled = 0; ///< attempts that were rated, failed, or will never be rated
};

/// @remarks Each result counts once: local results when they are noted, those of other hosts when the totals grow.
/// Rated answers are compared within a stratum (request kind, escalated or not): a shift towards harder requests, as
/// when a cascade starts to send a strong model only what weaker ones failed, must not look like a bad version.
class evidence_table
{
public:
    /// @param hostName decides which hosts get the remainder of an exposure budget; empty: none of it.
    explicit evidence_table(std::string hostName = {});

    /// Counts an attempt that goes out.
    void recordDispatch(std::string_view version);

    /// Counts a settled attempt.
    /// @param passed nothing: it will not be rated.
    /// @param stratum population of requests within which failure rates can be compared.
    void recordResult(std::string_view version, std::optional<bool> passed, std::string_view stratum = {});

    /// Replaces the counts of the other hosts by the totals of the relay.
    /// @param totals sums since the version's first answer; a sum that shrinks (relay restarted) is a new start.
    /// @param ownContribution what `totals` holds of this host's deltas; empty where it holds only other hosts'
    /// results.
    void setTotals(const std::vector<version_evidence> &totals, instant now,
                   const std::vector<version_evidence> &ownContribution = {});

    /// @returns local counts since the last call, to be shared.
    [[nodiscard]] std::vector<version_evidence> takeDeltas();

    /// @returns whether the test rejects the version against its baseline, or against its own past where it has none.
    /// Once true it stays true.
    /// @remarks Scores what has arrived since the last call as one batch, so call it after each result.
    [[nodiscard]] bool isRejected(const fleet &config, version_handle version) const;

    /// @returns whether the version may take one more unrated answer: limited while it is rolled out, and while the
    /// test suspects it.
    [[nodiscard]] bool hasExposureLeft(const fleet &config, version_handle version, instant now) const;

    /// @returns failure rate of a version in a stratum over about the last kRateWindow answers, drawn towards the
    /// prior.
    [[nodiscard]] double failureRate(std::string_view version, std::string_view stratum = {}) const;

    /// @returns log likelihood ratio of the version being bad, as of the last isRejected().
    [[nodiscard]] double score(std::string_view version) const;

    /// At a baseline failure rate of 0.05: 2.0 to 2.7 false halts in 1000 roll-outs of 2000 answers (12: 2.7 to 4.8)
    /// and 15 answers on average until a version that fails half of the time is rejected.
    static constexpr double kRejectScore = 12.5;
    /// Two failures in a row at a failure rate of 0.05; one alone is no reason for suspicion.
    static constexpr double kSuspectScore = kRejectScore / 4;
    static constexpr double kRateWindow = 500; ///< answers

private:
    struct batch {
        std::uint64_t passed = 0;
        std::uint64_t failed = 0;
    };
    /// Of a version, or of one of its strata.
    struct counts {
        version_evidence local; ///< of this host, since its start
        version_evidence pending; ///< part of `local` not yet shared
        version_evidence others; ///< of the other hosts
        batch unscored; ///< arrived since the last isRejected()
        double recentPassed = 0; ///< aged by kRateWindow
        double recentFailed = 0;
    };
    struct verdict {
        double score = 0; ///< CUSUM, never below 0
        bool rejected = false;
    };
    static void add(counts &entry, const batch &results);
    [[nodiscard]] const counts *find(std::string_view key) const;
    [[nodiscard]] double scoreNew(counts &entry, std::string_view stratum, std::string_view compared,
                                  bool isOwnPast) const;
    [[nodiscard]] std::uint64_t budgetPart(const fleet &config, version_handle version) const;

    std::string m_host;
    std::optional<instant> m_totalsAt; ///< last totals of the relay
    using counts_map = std::map<std::string, counts, std::less<>>;
    mutable counts_map m_counts; ///< by version name or "version/stratum"; isRejected() scores what is new
    mutable std::map<std::string, verdict, std::less<>> m_verdicts; ///< by version name
};

} // namespace foxtaildyke
