// Detection of bad versions: a cumulative sequential test on failed ratings and errors of a version against its
// baseline, and the exposure budget of a version that is being rolled out.
#pragma once

#include "fleet_p.h"

#include <map>
#include <vector>

namespace foxtaildyke
{

/// Counts for one version, of one host or summed over hosts.
struct version_evidence {
    std::string version;
    std::uint64_t passed = 0; ///< answers that met the target
    std::uint64_t failed = 0; ///< answers below the target, and failed attempts
    std::uint64_t dispatched = 0; ///< attempts started
    std::uint64_t settled = 0; ///< attempts that were rated, failed, or will never be rated
};

class evidence_table
{
public:
    /// Counts an attempt that goes out.
    void noteDispatch(std::string_view version);

    /// Counts a settled attempt.
    /// @param passed nothing: it will not be rated.
    void noteResult(std::string_view version, std::optional<bool> passed);

    /// Replaces the counts of the other hosts by the totals of the relay.
    void setTotals(const std::vector<version_evidence> &totals);

    /// @returns local counts since the last call, to be shared.
    [[nodiscard]] std::vector<version_evidence> takeDeltas();

    /// @returns whether the test rejects the version against its baseline. Once true it stays true.
    [[nodiscard]] bool isRejected(const fleet &config, version_handle version) const;

    /// @returns whether a version in a roll-out may take one more unrated answer.
    [[nodiscard]] bool hasExposureLeft(const fleet &config, version_handle version) const;

private:
    struct counts {
        version_evidence local; ///< of this host, not yet in the totals
        version_evidence pending; ///< not yet shared
        version_evidence others; ///< totals of the relay
        double score = 0; ///< CUSUM, never below 0
    };
    std::map<std::string, counts, std::less<>> m_counts; ///< by version name
};

} // namespace foxtaildyke
