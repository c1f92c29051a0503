// Detection of bad versions; see evidence_p.h.
#include "evidence_p.h"

#include <cmath>
#include <utility>
#include <xxhash.h>

namespace foxtaildyke
{

namespace
{

constexpr double kBadFailureRate = 0.5; ///< failure rate that must be detected
constexpr double kBadOddsRatio = 4; ///< minimum odds ratio of failure, for baselines whose rate is near or above 0.5
constexpr double kPriorFailureRate = 0.05;
constexpr double kPriorWeight = 40; ///< responses; weight of the prior for a baseline without own responses
constexpr double kPriorFade = 200; ///< own responses after which the prior no longer counts
constexpr double kMinGoodRate =
    0.02; ///< with a lower rate, a single failure would raise the score by more than half the threshold
constexpr double kMaxGoodRate = 0.9; ///< a cheap model may fail most requests of a kind by design
constexpr double kMinOwnHistory = 100; ///< responses before a version without a baseline is compared with its history
constexpr int kTotalsLifetimePeriods = 6; ///< exchange periods without totals after which the relay counts as lost

std::uint64_t outstanding(const version_evidence &counts)
{
    return counts.dispatched > counts.settled ? counts.dispatched - counts.settled : 0;
}

std::uint64_t increase(std::uint64_t next, std::uint64_t previous)
{
    return next > previous ? next - previous : 0;
}

const version_evidence *findIn(const std::vector<version_evidence> &list, std::string_view version)
{
    const auto found = std::ranges::find(list, version, &version_evidence::version);
    return found == list.end() ? nullptr : &*found;
}

version_evidence subtract(const version_evidence &total, const version_evidence &share)
{
    return {total.version, increase(total.passed, share.passed), increase(total.failed, share.failed),
            increase(total.dispatched, share.dispatched), increase(total.settled, share.settled)};
}

std::string keyOf(std::string_view version, std::string_view stratum)
{
    std::string key(version);
    if (!stratum.empty())
        key.append("/").append(stratum);
    return key;
}

/// @returns the failure rate that must be detected for a baseline with the failure rate `good`.
double badRate(double good)
{
    const auto odds = kBadOddsRatio * good / (1 - good);
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
    const auto responses = static_cast<double>(results.passed + results.failed);
    const auto keep = std::exp(-responses / kRateWindow);
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
        const auto next = own != nullptr ? subtract(total, *own) : total;
        add(entry, {increase(next.passed, entry.others.passed), increase(next.failed, entry.others.failed)});
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

double evidence_table::estimatedFailureRate(std::string_view version, std::string_view stratum) const
{
    const auto *entry = find(keyOf(version, stratum));
    const auto failed = entry != nullptr ? entry->recentFailed : 0;
    const auto responses = entry != nullptr ? entry->recentFailed + entry->recentPassed : 0;
    // With a constant weight the prior would make the rate of a cheap model, which fails often by design, too low.
    const auto weight = kPriorWeight * std::max(0.0, 1 - responses / kPriorFade);
    return (failed + kPriorFailureRate * weight) / (responses + weight);
}

double evidence_table::score(std::string_view version) const
{
    const auto found = m_tests.find(version);
    return found != m_tests.end() ? found->second.score : 0;
}

double evidence_table::scoreBatch(counts &entry, std::string_view stratum, std::string_view reference,
                                  bool usesOwnHistory) const
{
    const auto results = std::exchange(entry.unscored, {});
    if (usesOwnHistory && entry.recentPassed + entry.recentFailed < kMinOwnHistory)
        return 0;
    const auto own = entry.recentFailed / std::max(1.0, entry.recentPassed + entry.recentFailed);
    const auto rate = usesOwnHistory ? own : estimatedFailureRate(reference, stratum);
    const auto good = std::clamp(rate, kMinGoodRate, kMaxGoodRate);
    const auto bad = badRate(good);
    return static_cast<double>(results.failed) * std::log(bad / good)
        - static_cast<double>(results.passed) * std::log((1 - good) / (1 - bad));
}

bool evidence_table::isRejected(const router_config &config, version_handle version) const
{
    const std::string_view name = config[version].name;
    auto &test = m_tests[std::string(name)];
    if (test.rejected)
        return true;
    const auto baseline = config[version].baseline;
    const std::string_view reference = baseline.isValid() ? config[baseline].name : name;
    double change = 0;
    for (auto item = m_counts.lower_bound(name); item != m_counts.end() && item->first.starts_with(name); ++item) {
        const auto rest = std::string_view(item->first).substr(name.size());
        const bool isStratum = rest.empty() || rest.front() == '/';
        if (isStratum && item->second.unscored.passed + item->second.unscored.failed > 0)
            change += scoreBatch(item->second, rest.empty() ? rest : rest.substr(1), reference, !baseline.isValid());
    }
    test.score = std::max(0.0, test.score + change);
    test.rejected = test.score >= kRejectScore;
    return test.rejected;
}

std::uint64_t evidence_table::budgetShare(const router_config &config, version_handle version) const
{
    const std::uint64_t budget = config[version].exposureBudget;
    const auto hosts = std::max<std::uint64_t>(1, config.hosts.size());
    const auto self = config.hostByName(m_host);
    if (!self.isValid())
        return budget / hosts;
    // The remainder goes to different hosts for each version, so that no host takes part in every roll-out.
    const auto &name = config[version].name;
    const auto rank = (self.index + XXH64(name.data(), name.size(), 0)) % hosts;
    return budget / hosts + (rank < budget % hosts ? 1 : 0);
}

bool evidence_table::hasExposureLeft(const router_config &config, version_handle version, instant now) const
{
    const auto &settings = config[version];
    const auto *entry = find(settings.name);
    const bool isLimited = settings.state == version_state::rolling_out
        || (settings.baseline.isValid() && score(settings.name) >= kSuspectScore);
    if (!isLimited)
        return true;
    const auto share = budgetShare(config, version);
    const auto own = entry != nullptr ? outstanding(entry->local) : 0;
    if (own < share)
        return true;
    if (!m_totalsAt || now - *m_totalsAt > kTotalsLifetimePeriods * config.tune.exchangePeriod)
        return false;
    // Half of what other hosts leave unused, so that two hosts that borrow before their counts reach each other stay
    // within the budget.
    const auto othersUse = entry != nullptr ? outstanding(entry->others) : 0;
    const auto unused = increase(settings.exposureBudget, share + othersUse);
    return own < share + unused / 2;
}

} // namespace foxtaildyke
