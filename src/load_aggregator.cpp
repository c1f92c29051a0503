// Sums of outstanding requests over hosts; see load_aggregator_p.h.
#include "load_aggregator_p.h"

namespace foxtaildyke
{

void load_aggregator::recordReport(const std::string &host, std::vector<replica_load> loads, instant now)
{
    m_reports.insert_or_assign(host, report{std::move(loads), now});
}

std::vector<replica_load> load_aggregator::totals(instant now)
{
    std::erase_if(m_reports, [now](const auto &entry) { return now - entry.second.at > kReportLifetime; });
    std::map<std::string, replica_load> sums;
    for (const auto &[host, report] : m_reports) {
        for (const auto &load : report.loads) {
            auto &sum = sums.try_emplace(load.replica, replica_load{load.replica, 0, 0}).first->second;
            sum.running += load.running;
            sum.backlogMs += load.backlogMs;
        }
    }
    std::vector<replica_load> totals;
    std::ranges::transform(sums, std::back_inserter(totals), [](const auto &entry) { return entry.second; });
    return totals;
}

std::vector<replica_load> estimateOthers(std::vector<replica_load> totals, const std::vector<replica_load> &own,
                                         std::size_t relays)
{
    for (auto &total : totals) {
        const auto known = std::ranges::find(own, total.replica, &replica_load::replica);
        const auto ownLoad = known == own.end() ? replica_load{} : *known;
        const auto factor = static_cast<double>(relays);
        total.running = std::max(0.0, total.running * factor - ownLoad.running);
        total.backlogMs = std::max(0.0, total.backlogMs * factor - ownLoad.backlogMs);
    }
    return totals;
}

} // namespace foxtaildyke
