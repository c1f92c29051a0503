// Requests that crash replicas; see crash_registry_p.h.
#include "crash_registry_p.h"

#include "text_hash_p.h"

#include <algorithm>

namespace foxtaildyke
{

namespace
{

bool isListed(const std::vector<std::uint64_t> &crashes, std::uint64_t crash)
{
    return std::ranges::find(crashes, crash) != crashes.end();
}

} // namespace

crash_registry::crash_registry(std::string host)
    : m_host(std::move(host))
{
}

std::uint64_t crash_registry::crashId(const replica_entry &replica)
{
    return hashOf(replica.id, static_cast<std::uint64_t>(replica.startedAtMs));
}

bool crash_registry::isAnswered(std::uint64_t trait) const
{
    return m_answered.contains(trait) || m_answeredBefore.contains(trait);
}

void crash_registry::rememberAnswered(std::uint64_t trait)
{
    if (m_answered.size() >= kMinAnswered)
        m_answeredBefore = std::exchange(m_answered, {});
    m_answered.insert(trait);
}

bool crash_registry::isPublished(std::uint64_t trait) const
{
    return std::ranges::binary_search(m_published, trait, {}, &crash_report::trait);
}

bool crash_registry::isPart(std::uint64_t trait) const
{
    const auto *known = m_evidence.find(trait);
    return known && known->isPart;
}

bool crash_registry::tryConsumeTrial(std::uint64_t part, instant now)
{
    const auto *known = m_evidence.find(part);
    if (!known || !known->isPart || known->crashes.empty() || known->responding.size() >= kCertainCrashes)
        return false;
    auto last = m_seenAt.at(
        *std::ranges::max_element(known->crashes, {}, [this](std::uint64_t crash) { return m_seenAt.at(crash); }));
    if (const auto trial = m_trialAt.find(part); trial != m_trialAt.end())
        last = std::max(last, trial->second);
    const auto ownTurn = hashOf(m_host, part);
    const auto turn = std::ranges::count_if(
        m_reports, [ownTurn, part](const auto &entry) { return hashOf(entry.first, part) < ownTurn; });
    if (now - last < kTrialDelay + turn * kTrialSpacing)
        return false;
    m_trialAt.insert_or_assign(part, now);
    return true;
}

std::size_t crash_registry::crashes(std::uint64_t trait) const
{
    const auto *known = m_evidence.find(trait);
    return known ? known->crashes.size() : 0;
}

/// @returns this host's report on the trait, which is created if necessary. If there are too many, it replaces the
/// oldest one of those with the fewest crashes.
crash_registry::known_report &crash_registry::addReport(std::uint64_t trait, instant now)
{
    auto &reports = own();
    if (!reports.contains(trait) && reports.size() >= kMaxReports) {
        const auto least = std::ranges::min_element(reports, {}, [](const auto &entry) {
            return std::pair(entry.second.report.crashes.size(), entry.second.since);
        });
        const auto evicted = least->first;
        reports.erase(least);
        combine(evicted, now);
    }
    auto &known = reports[trait];
    known.report.trait = trait;
    known.since = now;
    return known;
}

void crash_registry::schedulePublish(std::chrono::milliseconds delay, instant now)
{
    const instant due = std::max<instant>(now + delay, m_publishedAt + kPublishInterval);
    m_publishDueAt = std::min(due, m_publishDueAt.value_or(due));
}

bool crash_registry::addCrash(known_report &known, std::uint64_t crash, instant now)
{
    auto &report = known.report;
    if (report.wasAnswered || report.crashes.size() >= kMaxCrashesPerTrait || isListed(report.crashes, crash))
        return false;
    report.crashes.push_back(crash);
    m_seenAt.try_emplace(crash, now);
    schedulePublish(kPublishDelay, now);
    return true;
}

bool crash_registry::recordCrash(std::uint64_t fingerprint, std::uint64_t crash, instant now)
{
    if (isAnswered(fingerprint) || !addCrash(addReport(fingerprint, now), crash, now))
        return false;
    combine(fingerprint, now);
    return true;
}

void crash_registry::recordPartCrash(std::span<const std::uint64_t> parts, std::uint64_t crash, bool isResponding,
                                     instant now)
{
    for (const auto part : parts) {
        auto &known = addReport(part, now);
        auto &report = known.report;
        report.isPart = true;
        static_cast<void>(addCrash(known, crash, now));
        if (isResponding && isListed(report.crashes, crash) && !isListed(report.responding, crash))
            report.responding.push_back(crash);
        combine(part, now);
    }
}

void crash_registry::withdrawCrashes(const std::set<std::uint64_t> &crashes, instant now)
{
    const auto isWithdrawn = [&crashes](std::uint64_t crash) {
        return crashes.contains(crash);
    };
    std::vector<std::uint64_t> changed;
    for (auto &[trait, known] : own())
        if (std::erase_if(known.report.crashes, isWithdrawn) > 0) {
            std::erase_if(known.report.responding, isWithdrawn);
            changed.push_back(trait);
        }
    std::erase_if(own(), [](const auto &entry) {
        const auto &report = entry.second.report;
        return report.crashes.empty() && report.ruledOut.empty() && !report.wasAnswered;
    });
    for (const auto trait : changed)
        combine(trait, now);
    if (!changed.empty())
        schedulePublish(kPublishDelay, now);
}

void crash_registry::releaseReport(std::uint64_t fingerprint, instant now)
{
    const auto held = m_heldReports.find(fingerprint);
    if (held == m_heldReports.end() || --held->second > 0)
        return;
    m_heldReports.erase(held);
    if (own().contains(fingerprint))
        schedulePublish(kPublishDelay, now);
}

void crash_registry::recordResponse(std::uint64_t fingerprint, instant now)
{
    rememberAnswered(fingerprint);
    if (m_evidence.find(fingerprint))
        exonerate(fingerprint, now);
}

void crash_registry::recordBegun(std::span<const std::uint64_t> parts, instant now)
{
    for (const auto part : parts) {
        rememberAnswered(part);
        if (m_evidence.find(part))
            ruleOut(part, now);
    }
}

/// Withdraws this host's report on an answered request, and contradicts those of other hosts.
void crash_registry::exonerate(std::uint64_t fingerprint, instant now)
{
    const auto known = own().find(fingerprint);
    if (known != own().end() && !known->second.report.wasAnswered) {
        own().erase(known);
        if (isPublished(fingerprint))
            schedulePublish(kWithdrawDelay, now);
        combine(fingerprint, now);
    }
    const auto *remaining = m_evidence.find(fingerprint);
    if (!remaining || remaining->wasAnswered)
        return;
    addReport(fingerprint, now).report.wasAnswered = true;
    combine(fingerprint, now);
    schedulePublish(kPublishDelay, now);
}

/// Withdraws this host's crashes of a part. Those of other hosts are contradicted if the part would soon be blocked.
void crash_registry::ruleOut(std::uint64_t part, instant now)
{
    const bool isNearLimit = m_evidence.find(part)->crashes.size() + 1 >= kCrashLimit;
    if (const auto known = own().find(part); known != own().end()) {
        if (isPublished(part))
            schedulePublish(isNearLimit ? kPublishDelay : kWithdrawDelay, now);
        known->second.report.crashes.clear();
        known->second.report.responding.clear();
        if (known->second.report.ruledOut.empty())
            own().erase(known);
    }
    combine(part, now);
    const auto *remaining = m_evidence.find(part); // what other hosts report, also of the crashes withdrawn here
    if (!remaining)
        return;
    const auto others = remaining->crashes;
    m_ruledOut[part].insert(others.begin(), others.end());
    if (isNearLimit) {
        auto &report = addReport(part, now).report;
        report.isPart = true;
        report.ruledOut.insert(report.ruledOut.end(), others.begin(), others.end());
        const auto excess = report.ruledOut.size() - std::min(report.ruledOut.size(), kMaxRuledOut);
        report.ruledOut.erase(report.ruledOut.begin(), report.ruledOut.begin() + static_cast<std::ptrdiff_t>(excess));
        schedulePublish(kPublishDelay, now);
    }
    combine(part, now);
}

/// Adds the reports that an earlier process of this host has stored to those of this process.
void crash_registry::adopt(std::vector<crash_report> stored, instant now)
{
    std::ranges::sort(stored, {}, &crash_report::trait);
    const auto addAll = [](std::vector<std::uint64_t> &crashes, const std::vector<std::uint64_t> &more) {
        std::ranges::copy_if(more, std::back_inserter(crashes),
                             [&crashes](std::uint64_t crash) { return !isListed(crashes, crash); });
    };
    for (const auto &earlier : stored) {
        auto &report = addReport(earlier.trait, now).report;
        addAll(report.crashes, earlier.crashes);
        addAll(report.responding, earlier.responding);
        addAll(report.ruledOut, earlier.ruledOut);
        report.wasAnswered = report.wasAnswered || earlier.wasAnswered;
        report.isPart = earlier.isPart;
    }
    m_published = std::move(stored);
}

void crash_registry::setStoredReports(const crash_reports_by_host &reports, instant now)
{
    if (!m_hasAdopted && reports.contains(m_host))
        adopt(reports.at(m_host), now);
    m_hasAdopted = true;
    std::map<std::string, report_map> next;
    next[m_host] = std::move(own());
    for (const auto &[host, stored] : reports) {
        if (host == m_host)
            continue;
        auto &entries = next[host];
        for (const auto &report : stored) {
            const auto before = m_reports[host].find(report.trait);
            const bool isUnchanged = before != m_reports[host].end() && before->second.report == report;
            entries.try_emplace(report.trait, known_report{report, isUnchanged ? before->second.since : now});
        }
    }
    m_reports = std::move(next);
    combineAll(now);
    std::vector<std::uint64_t> contradicted;
    for (const auto &[trait, combined] : m_evidence.entries())
        if (!combined.isPart && !combined.wasAnswered && isAnswered(trait))
            contradicted.push_back(trait);
    for (const auto fingerprint : contradicted)
        exonerate(fingerprint, now);
}

void crash_registry::setLimits(trait_crashes &combined) const
{
    combined.limit = kCrashLimit;
    combined.respondingLimit = combined.isPart ? kRespondingCrashLimit : 0;
    if (!combined.isProven || combined.crashes.empty())
        return;
    const auto seenAt = [this](std::uint64_t crash) {
        return m_seenAt.at(crash);
    };
    const auto [first, last] = std::ranges::minmax_element(combined.crashes, {}, seenAt);
    combined.respondingLimit = 0;
    // A part that isn't blocked for lack of time is blocked at its next crash.
    combined.limit = seenAt(*last) - seenAt(*first) >= kProvenMinSpan
        ? kProvenCrashLimit
        : std::max(kProvenCrashLimit, combined.crashes.size() + 1);
}

void crash_registry::combine(std::uint64_t trait, instant now)
{
    trait_crashes combined;
    std::set<std::uint64_t> ruledOut;
    if (const auto found = m_ruledOut.find(trait); found != m_ruledOut.end())
        ruledOut.insert(found->second.begin(), found->second.end());
    for (const auto &[host, reports] : m_reports) {
        const auto found = reports.find(trait);
        if (found == reports.end() || now - found->second.since >= kLifetime)
            continue;
        const auto &report = found->second.report;
        combined.crashes.insert(report.crashes.begin(), report.crashes.end());
        combined.responding.insert(report.responding.begin(), report.responding.end());
        ruledOut.insert(report.ruledOut.begin(), report.ruledOut.end());
        combined.wasAnswered = combined.wasAnswered || report.wasAnswered;
        combined.isPart = combined.isPart || report.isPart;
        combined.expiresAt = std::max<instant>(combined.expiresAt, found->second.since + kLifetime);
    }
    for (const auto crash : ruledOut) {
        combined.crashes.erase(crash);
        combined.responding.erase(crash);
    }
    for (const auto crash : combined.crashes)
        m_seenAt.try_emplace(crash, now);
    combined.isProven = combined.isPart && isAnswered(trait);
    setLimits(combined);
    m_evidence.set(trait, std::move(combined));
}

void crash_registry::combineAll(instant now)
{
    std::set<std::uint64_t> traits;
    std::unordered_map<std::uint64_t, trait_set> reported; // crashes by trait
    for (const auto &[host, reports] : m_reports)
        for (const auto &[trait, known] : reports) {
            traits.insert(trait);
            reported[trait].insert(known.report.crashes.begin(), known.report.crashes.end());
        }
    trait_set crashes;
    for (const auto &[trait, ids] : reported)
        crashes.insert(ids.begin(), ids.end());
    std::erase_if(m_seenAt, [&crashes](const auto &entry) { return !crashes.contains(entry.first); });
    for (auto &[part, ids] : m_ruledOut)
        std::erase_if(ids, [&, &part = part](std::uint64_t crash) { return !reported[part].contains(crash); });
    std::erase_if(m_ruledOut, [](const auto &entry) { return entry.second.empty(); });
    std::erase_if(m_trialAt, [&traits](const auto &entry) { return !traits.contains(entry.first); });
    m_evidence.clear();
    for (const auto trait : traits)
        combine(trait, now);
}

void crash_registry::expire(instant now)
{
    const auto removed =
        std::erase_if(own(), [now](const auto &entry) { return now - entry.second.since >= kLifetime; });
    if (removed > 0)
        schedulePublish(kWithdrawDelay, now);
    const bool hasExpired =
        std::ranges::any_of(m_evidence.entries(), [now](const auto &entry) { return entry.second.expiresAt <= now; });
    if (removed > 0 || hasExpired)
        combineAll(now);
}

std::vector<crash_report> crash_registry::ownReports() const
{
    std::vector<crash_report> reports;
    const auto found = m_reports.find(m_host);
    if (found == m_reports.end())
        return reports;
    for (const auto &[trait, known] : found->second)
        if (!m_heldReports.contains(trait) || isPublished(trait))
            reports.push_back(known.report);
    return reports;
}

std::optional<std::vector<crash_report>> crash_registry::takeUnpublished(instant now)
{
    // Until the stored reports have been read, storing new ones would replace them.
    if (!m_publishDueAt || now < *m_publishDueAt || !m_hasAdopted)
        return std::nullopt;
    m_publishDueAt.reset();
    auto reports = ownReports();
    if (reports == m_published && !m_hasPublishFailed)
        return std::nullopt;
    m_publishedAt = now;
    m_hasPublishFailed = false;
    m_published = reports;
    return reports;
}

void crash_registry::recordPublishFailure()
{
    m_hasPublishFailed = true;
    m_publishDueAt = m_publishedAt + kPublishInterval;
}

std::vector<std::string> crash_registry::abandonedHosts(instant now) const
{
    std::vector<std::string> hosts;
    for (const auto &[host, reports] : m_reports) {
        const bool isOld = std::ranges::all_of(
            reports, [now](const auto &entry) { return now - entry.second.since >= 2 * kLifetime; });
        if (host != m_host && isOld)
            hosts.push_back(host);
    }
    return hosts;
}

} // namespace foxtaildyke
