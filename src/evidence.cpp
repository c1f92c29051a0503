// Detection of bad versions; see evidence_p.h.
#include "evidence_p.h"

#include <cmath>

namespace foxtaildyke
{

namespace
{

constexpr double kGoodFailureRate = 0.05; ///< failure rate of a good version
constexpr double kBadFailureRate = 0.5; ///< failure rate that must be found
constexpr double kRejectScore = 5.8; ///< log likelihood ratio of 330 to 1, for 3 false halts in 1000

} // namespace

void evidence_table::noteDispatch(std::string_view version)
{
    auto &entry = m_counts[std::string(version)];
    ++entry.local.dispatched;
    ++entry.pending.dispatched;
}

void evidence_table::noteResult(std::string_view version, std::optional<bool> passed)
{
    auto &entry = m_counts[std::string(version)];
    for (auto *counts : {&entry.local, &entry.pending}) {
        ++counts->settled;
        if (passed)
            ++(*passed ? counts->passed : counts->failed);
    }
    if (!passed)
        return;
    const auto step = *passed ? std::log((1 - kBadFailureRate) / (1 - kGoodFailureRate))
                              : std::log(kBadFailureRate / kGoodFailureRate);
    entry.score = entry.score >= kRejectScore ? entry.score : std::max(0.0, entry.score + step);
}

void evidence_table::setTotals(const std::vector<version_evidence> &totals)
{
    for (const auto &total : totals)
        m_counts[total.version].others = total;
}

std::vector<version_evidence> evidence_table::takeDeltas()
{
    std::vector<version_evidence> deltas;
    for (auto &[name, entry] : m_counts) {
        if (entry.pending.dispatched == 0 && entry.pending.settled == 0)
            continue;
        entry.pending.version = name;
        deltas.push_back(std::exchange(entry.pending, {}));
    }
    return deltas;
}

bool evidence_table::isRejected(const fleet &config, version_handle version) const
{
    const auto found = m_counts.find(config[version].name);
    return found != m_counts.end() && found->second.score >= kRejectScore;
}

bool evidence_table::hasExposureLeft(const fleet &config, version_handle version) const
{
    const auto found = m_counts.find(config[version].name);
    if (found == m_counts.end())
        return true;
    const auto &local = found->second.local;
    return local.dispatched - local.settled < config[version].exposureBudget;
}

} // namespace foxtaildyke
