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
constexpr double kBadOddsFactor =
    4; ///< least rise of the odds of failure, where 0.5 is near or below the baseline's rate
constexpr double kPriorFailureRate = 0.05;
constexpr double kPriorWeight = 40; ///< answers, of a baseline that has none of its own
constexpr double kPriorFade = 200; ///< answers of its own after which the prior counts nothing
constexpr double kLeastGoodRate =
    0.02; ///< below it a single failure would move the score by more than half the threshold
constexpr double kMostGoodRate = 0.9; ///< a cheap model may fail most requests of a kind by design
constexpr double kLeastOwnPast = 100; ///< answers before a version without a baseline can be compared with its past
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

std::string keyOf(std::string_view version, std::string_view stratum)
{
    std::string key(version);
    if (!stratum.empty())
        key.append("/").append(stratum);
    return key;
}

/// @returns the failure rate that counts as bad against a good one.
double badRate(double good)
{
    const auto odds = kBadOddsFactor * good / (1 - good);
    return std::max(kBadFailureRate, odds / (1 + odds));
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

const evidence_table::counts *evidence_table::find(std::string_view key) const
{
    const auto found = m_counts.find(key);
    return found == m_counts.end() ? nullptr : &found->second;
}

void evidence_table::recordDispatch(std::string_view version)
{
    auto &entry = m_counts[std::string(version)];
    ++entry.local.dispatched;
    ++entry.pending.dispatched;
}

void evidence_table::recordResult(std::string_view version, std::optional<bool> passed, std::string_view stratum)
{
    auto &attempts = m_counts[std::string(version)];
    ++attempts.local.settled;
    ++attempts.pending.settled;
    if (!passed)
        return;
    auto &entry = m_counts[keyOf(version, stratum)];
    for (auto *counts : {&entry.local, &entry.pending})
        ++(*passed ? counts->passed : counts->failed);
    add(entry, *passed ? batch{1, 0} : batch{0, 1});
}

void evidence_table::setTotals(const std::vector<version_evidence> &totals, instant now,
                               const std::vector<version_evidence> &ownContribution)
{
    m_totalsAt = now;
    for (const auto &total : totals) {
        auto &entry = m_counts[total.version];
        const auto *own = findIn(ownContribution, total.version);
        const auto next = own != nullptr ? less(total, *own) : total;
        add(entry, {grownBy(next.passed, entry.others.passed), grownBy(next.failed, entry.others.failed)});
        entry.others = next;
    }
}

std::vector<version_evidence> evidence_table::takeDeltas()
{
    std::vector<version_evidence> deltas;
    for (auto &[name, entry] : m_counts) {
        const auto &pending = entry.pending;
        if (pending.dispatched + pending.settled + pending.passed + pending.failed == 0)
            continue;
        entry.pending.version = name;
        deltas.push_back(std::exchange(entry.pending, {}));
    }
    return deltas;
}

double evidence_table::failureRate(std::string_view version, std::string_view stratum) const
{
    const auto *entry = find(keyOf(version, stratum));
    const auto failed = entry != nullptr ? entry->recentFailed : 0;
    const auto answers = entry != nullptr ? entry->recentFailed + entry->recentPassed : 0;
    // A prior that kept its weight would draw the rate of a cheap model, which fails often by design, too low.
    const auto weight = kPriorWeight * std::max(0.0, 1 - answers / kPriorFade);
    return (failed + kPriorFailureRate * weight) / (answers + weight);
}

double evidence_table::score(std::string_view version) const
{
    const auto found = m_verdicts.find(version);
    return found != m_verdicts.end() ? found->second.score : 0;
}

double evidence_table::scoreNew(counts &entry, std::string_view stratum, std::string_view compared,
                                bool isOwnPast) const
{
    const auto results = std::exchange(entry.unscored, {});
    if (isOwnPast && entry.recentPassed + entry.recentFailed < kLeastOwnPast)
        return 0;
    const auto own = entry.recentFailed / std::max(1.0, entry.recentPassed + entry.recentFailed);
    const auto rate = isOwnPast ? own : failureRate(compared, stratum);
    const auto good = std::clamp(rate, kLeastGoodRate, kMostGoodRate);
    const auto bad = badRate(good);
    return static_cast<double>(results.failed) * std::log(bad / good)
        - static_cast<double>(results.passed) * std::log((1 - good) / (1 - bad));
}

bool evidence_table::isRejected(const fleet &config, version_handle version) const
{
    const std::string_view name = config[version].name;
    auto &verdict = m_verdicts[std::string(name)];
    if (verdict.rejected)
        return true;
    const auto baseline = config[version].baseline;
    const std::string_view compared = baseline.isValid() ? config[baseline].name : name;
    double change = 0;
    for (auto item = m_counts.lower_bound(name); item != m_counts.end() && item->first.starts_with(name); ++item) {
        const auto rest = std::string_view(item->first).substr(name.size());
        const bool isStratum = rest.empty() || rest.front() == '/';
        if (isStratum && item->second.unscored.passed + item->second.unscored.failed > 0)
            change += scoreNew(item->second, rest.empty() ? rest : rest.substr(1), compared, !baseline.isValid());
    }
    verdict.score = std::max(0.0, verdict.score + change);
    verdict.rejected = verdict.score >= kRejectScore;
    return verdict.rejected;
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
        || (settings.baseline.isValid() && score(settings.name) >= kSuspectScore);
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
