// Sums of outstanding requests over hosts; see load_aggregator_p.h.
#include "load_aggregator_p.h"

namespace foxtaildyke
{

void load_aggregator::recordReport(const std::string &host, std::vector<replica_load> loads, instant now)
{
    m_reports.insert_or_assign(host, report{std::move(loads), now});
}

void load_aggregator::recordGroup(const std::string &relay, std::vector<replica_load> loads, instant now)
{
    m_groups.insert_or_assign(relay, report{std::move(loads), now});
}

void load_aggregator::evictExpired(report_map &reports, instant now)
{
    std::erase_if(reports, [now](const auto &entry) { return now - entry.second.at > kReportLifetime; });
}

std::vector<replica_load> load_aggregator::sumOf(const std::vector<const report_map *> &maps)
{
    std::map<std::string, replica_load> sums;
    for (const auto *reports : maps)
        for (const auto &[source, report] : *reports)
            for (const auto &load : report.loads) {
                auto &sum = sums.try_emplace(load.replica, replica_load{load.replica, 0}).first->second;
                sum.running += load.running;
            }
    std::vector<replica_load> totals;
    std::ranges::transform(sums, std::back_inserter(totals), [](const auto &entry) { return entry.second; });
    return totals;
}

std::vector<replica_load> load_aggregator::groupTotals(instant now)
{
    evictExpired(m_reports, now);
    return sumOf({&m_reports});
}

std::vector<replica_load> load_aggregator::totals(instant now)
{
    evictExpired(m_reports, now);
    evictExpired(m_groups, now);
    return sumOf({&m_reports, &m_groups});
}

std::vector<replica_load> othersOf(std::vector<replica_load> totals, const std::vector<replica_load> &own)
{
    for (auto &total : totals) {
        const auto known = std::ranges::find(own, total.replica, &replica_load::replica);
        const auto ownLoad = known == own.end() ? replica_load{} : *known;
        total.running = std::max(0.0, total.running - ownLoad.running);
    }
    return totals;
}

} // namespace foxtaildyke
