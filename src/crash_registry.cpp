// Requests that crash replicas; see crash_registry_p.h.
#include "crash_registry_p.h"

#include "text_hash_p.h"

namespace foxtaildyke
{

crash_registry::crash_registry(std::string host)
    : m_host(std::move(host))
{
}

std::uint64_t crash_registry::crashId(const replica_entry &replica)
{
    return hashOf(replica.id, static_cast<std::uint64_t>(replica.startedAtMs));
}

bool crash_registry::isAnswered(std::uint64_t fingerprint) const
{
    return m_answered.contains(fingerprint) || m_answeredBefore.contains(fingerprint);
}

bool crash_registry::isPublished(std::uint64_t fingerprint) const
{
    return std::ranges::binary_search(m_published, fingerprint, {}, &crash_report::fingerprint);
}

/// @returns the report on the fingerprint, which is created if necessary. If there are too many, it replaces the oldest
/// one of those with the fewest crashes.
crash_registry::known_report &crash_registry::addReport(report_map &reports, std::uint64_t fingerprint, instant now)
{
    if (!reports.contains(fingerprint) && reports.size() >= kMaxReports)
        reports.erase(std::ranges::min_element(reports, {}, [](const auto &entry) {
            return std::pair(entry.second.report.crashes.size(), entry.second.since);
        }));
    auto &known = reports[fingerprint];
    known.report.fingerprint = fingerprint;
    known.since = now;
    return known;
}

void crash_registry::applyChange(std::chrono::milliseconds delay, instant now)
{
    const instant due = std::max<instant>(now + delay, m_publishedAt + kPublishInterval);
    m_publishDueAt = std::min(due, m_publishDueAt.value_or(due));
    summarize(now);
}

bool crash_registry::recordCrash(std::uint64_t fingerprint, std::uint64_t crash, instant now)
{
    if (isAnswered(fingerprint))
        return false;
    auto &known = addReport(own(), fingerprint, now);
    auto &crashes = known.report.crashes;
    if (known.report.wasAnswered || crashes.size() >= kCrashLimit || std::ranges::find(crashes, crash) != crashes.end())
        return false;
    crashes.push_back(crash);
    applyChange(kPublishDelay, now);
    return true;
}

void crash_registry::releaseReport(std::uint64_t fingerprint, instant now)
{
    const auto held = m_heldReports.find(fingerprint);
    if (held == m_heldReports.end() || --held->second > 0)
        return;
    m_heldReports.erase(held);
    if (own().contains(fingerprint))
        applyChange(kPublishDelay, now);
}

void crash_registry::recordResponse(std::uint64_t fingerprint, instant now)
{
    if (m_answered.size() >= kMinAnswered)
        m_answeredBefore = std::exchange(m_answered, {});
    m_answered.insert(fingerprint);
    if (m_summaries.contains(fingerprint))
        exonerate(fingerprint, now);
}

/// Withdraws this host's report on an answered request, and contradicts those of other hosts.
void crash_registry::exonerate(std::uint64_t fingerprint, instant now)
{
    const auto known = own().find(fingerprint);
    if (known != own().end() && !known->second.report.wasAnswered) {
        own().erase(known);
        if (isPublished(fingerprint))
            applyChange(kWithdrawDelay, now);
        else
            summarize(now);
    }
    const auto remaining = m_summaries.find(fingerprint);
    if (remaining == m_summaries.end() || remaining->second.wasAnswered)
        return;
    addReport(own(), fingerprint, now).report.wasAnswered = true;
    applyChange(kPublishDelay, now);
}

/// Adds the reports that an earlier process of this host has stored to those of this process.
void crash_registry::adopt(std::vector<crash_report> stored, instant now)
{
    std::ranges::sort(stored, {}, &crash_report::fingerprint);
    for (const auto &earlier : stored) {
        auto &report = addReport(own(), earlier.fingerprint, now).report;
        for (const auto crash : earlier.crashes)
            if (std::ranges::find(report.crashes, crash) == report.crashes.end())
                report.crashes.push_back(crash);
        report.wasAnswered = report.wasAnswered || earlier.wasAnswered;
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
            const auto before = m_reports[host].find(report.fingerprint);
            const bool isUnchanged = before != m_reports[host].end() && before->second.report == report;
            entries.try_emplace(report.fingerprint, known_report{report, isUnchanged ? before->second.since : now});
        }
    }
    m_reports = std::move(next);
    summarize(now);
    std::vector<std::uint64_t> contradicted;
    for (const auto &[fingerprint, combined] : m_summaries)
        if (!combined.wasAnswered && isAnswered(fingerprint))
            contradicted.push_back(fingerprint);
    for (const auto fingerprint : contradicted)
        exonerate(fingerprint, now);
}

void crash_registry::summarize(instant now)
{
    m_summaries.clear();
    for (const auto &[host, reports] : m_reports) {
        for (const auto &[fingerprint, known] : reports) {
            if (now - known.since >= kLifetime)
                continue;
            auto &combined = m_summaries[fingerprint];
            combined.crashes.insert(known.report.crashes.begin(), known.report.crashes.end());
            combined.wasAnswered = combined.wasAnswered || known.report.wasAnswered;
            combined.expiresAt = std::max<instant>(combined.expiresAt, known.since + kLifetime);
        }
    }
}

std::optional<std::chrono::milliseconds> crash_registry::blockedFor(std::uint64_t fingerprint, instant now) const
{
    const auto found = m_summaries.find(fingerprint);
    if (found == m_summaries.end() || found->second.wasAnswered || found->second.crashes.size() < kCrashLimit
        || now >= found->second.expiresAt)
        return std::nullopt;
    return std::chrono::ceil<std::chrono::milliseconds>(found->second.expiresAt - now);
}

std::set<std::uint64_t> crash_registry::blocked(instant now) const
{
    std::set<std::uint64_t> fingerprints;
    for (const auto &[fingerprint, combined] : m_summaries)
        if (blockedFor(fingerprint, now))
            fingerprints.insert(fingerprint);
    return fingerprints;
}

std::size_t crash_registry::crashes(std::uint64_t fingerprint) const
{
    const auto found = m_summaries.find(fingerprint);
    return found == m_summaries.end() ? 0 : found->second.crashes.size();
}

void crash_registry::expire(instant now)
{
    const auto removed =
        std::erase_if(own(), [now](const auto &entry) { return now - entry.second.since >= kLifetime; });
    if (removed > 0)
        applyChange(kWithdrawDelay, now);
    else if (std::ranges::any_of(m_summaries, [now](const auto &entry) { return entry.second.expiresAt <= now; }))
        summarize(now);
}

std::vector<crash_report> crash_registry::ownReports() const
{
    std::vector<crash_report> reports;
    const auto found = m_reports.find(m_host);
    if (found == m_reports.end())
        return reports;
    for (const auto &[fingerprint, known] : found->second)
        if (!m_heldReports.contains(fingerprint) || isPublished(fingerprint))
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
