// Detection of bad versions; see evidence_p.h.
#include "evidence_p.h"

#include <cmath>
#include <utility>
#include <xxhash.h>

namespace foxtaildyke
{

namespace
{

constexpr double kBadFailureRate = 0.5; ///< failure rate that must be found
constexpr double kPriorFailureRate = 0.05;
constexpr double kPriorWeight = 40; ///< answers; a baseline with fewer has no rate of its own yet
constexpr double kLeastGoodRate =
    0.02; ///< below it a single failure would move the score by more than half the threshold
constexpr double kMostGoodRate = 0.35; ///< above it the two hypotheses are too close to be told apart
constexpr int kTotalsLifetimePeriods = 6; ///< exchange periods after which the relay counts as lost

std::uint64_t outstanding(const version_evidence &counts)
{
    return counts.dispatched > counts.settled ? counts.dispatched - counts.settled : 0;
}

std::uint64_t grownBy(std::uint64_t next, std::uint64_t previous)
{
    return next > previous ? next - previous : 0;
}

const version_evidence *findIn(const std::vector<version_evidence> &list, std::string_view version)
{
    const auto found = std::ranges::find(list, version, &version_evidence::version);
    return found == list.end() ? nullptr : &*found;
}

version_evidence less(const version_evidence &total, const version_evidence &part)
{
    return {total.version, grownBy(total.passed, part.passed), grownBy(total.failed, part.failed),
            grownBy(total.dispatched, part.dispatched), grownBy(total.settled, part.settled)};
}

} // namespace

evidence_table::evidence_table(std::string hostName)
    : m_host(std::move(hostName))
{
}

void evidence_table::add(counts &entry, const batch &results)
{
    entry.unscored.passed += results.passed;
    entry.unscored.failed += results.failed;
    const auto answers = static_cast<double>(results.passed + results.failed);
    const auto keep = std::exp(-answers / kRateWindow);
    entry.recentPassed = entry.recentPassed * keep + static_cast<double>(results.passed);
    entry.recentFailed = entry.recentFailed * keep + static_cast<double>(results.failed);
}

const evidence_table::counts *evidence_table::find(std::string_view version) const
{
    const auto found = m_counts.find(version);
    return found == m_counts.end() ? nullptr : &found->second;
}

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
    if (passed)
        add(entry, *passed ? batch{1, 0} : batch{0, 1});
}

void evidence_table::setTotals(const std::vector<version_evidence> &totals, instant now,
                               const std::vector<version_evidence> &ownPart)
{
    m_totalsAt = now;
    for (const auto &total : totals) {
        auto &entry = m_counts[total.version];
        const auto *own = findIn(ownPart, total.version);
        const auto next = own != nullptr ? less(total, *own) : total;
        add(entry, {grownBy(next.passed, entry.others.passed), grownBy(next.failed, entry.others.failed)});
        entry.others = next;
    }
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

double evidence_table::failureRate(std::string_view version) const
{
    const auto *entry = find(version);
    const auto failed = entry != nullptr ? entry->recentFailed : 0;
    const auto answers = entry != nullptr ? entry->recentFailed + entry->recentPassed : 0;
    return (failed + kPriorFailureRate * kPriorWeight) / (answers + kPriorWeight);
}

double evidence_table::score(std::string_view version) const
{
    const auto *entry = find(version);
    return entry != nullptr ? entry->score : 0;
}

bool evidence_table::isRejected(const fleet &config, version_handle version) const
{
    const auto found = m_counts.find(config[version].name);
    if (found == m_counts.end())
        return false;
    auto &entry = found->second;
    if (entry.rejected || (entry.unscored.passed == 0 && entry.unscored.failed == 0))
        return entry.rejected;
    // A version without a baseline is compared with its own past.
    const auto baseline = config[version].baseline;
    const auto &compared = baseline.isValid() ? config[baseline].name : config[version].name;
    const auto good = std::clamp(failureRate(compared), kLeastGoodRate, kMostGoodRate);
    const auto results = std::exchange(entry.unscored, {});
    const auto rise = static_cast<double>(results.failed) * std::log(kBadFailureRate / good);
    const auto fall = static_cast<double>(results.passed) * std::log((1 - good) / (1 - kBadFailureRate));
    entry.score = std::max(0.0, entry.score + rise - fall);
    entry.rejected = entry.score >= kRejectScore;
    return entry.rejected;
}

std::uint64_t evidence_table::budgetPart(const fleet &config, version_handle version) const
{
    const std::uint64_t budget = config[version].exposureBudget;
    const auto hosts = std::max<std::uint64_t>(1, config.hosts.size());
    const auto self = config.hostByName(m_host);
    if (!self.isValid())
        return budget / hosts;
    // The remainder goes to different hosts for each version, so that no host carries every roll-out.
    const auto &name = config[version].name;
    const auto rank = (self.index + XXH64(name.data(), name.size(), 0)) % hosts;
    return budget / hosts + (rank < budget % hosts ? 1 : 0);
}

bool evidence_table::hasExposureLeft(const fleet &config, version_handle version, instant now) const
{
    const auto &settings = config[version];
    const auto *entry = find(settings.name);
    const bool isLimited = settings.state == version_state::rolling_out
        || (entry != nullptr && settings.baseline.isValid() && entry->score >= kSuspectScore);
    if (!isLimited)
        return true;
    const auto part = budgetPart(config, version);
    const auto own = entry != nullptr ? outstanding(entry->local) : 0;
    if (own < part)
        return true;
    if (!m_totalsAt || now - *m_totalsAt > kTotalsLifetimePeriods * config.tune.exchangePeriod)
        return false;
    // Half of what the others leave unused: two hosts that borrow before they hear of each other stay within the
    // budget.
    const auto othersUse = entry != nullptr ? outstanding(entry->others) : 0;
    const auto unused = grownBy(settings.exposureBudget, part + othersUse);
    return own < part + unused / 2;
}

} // namespace foxtaildyke
