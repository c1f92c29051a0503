// Sums of outstanding requests over hosts; see load_aggregator_p.h.
#include "load_aggregator_p.h"

namespace foxtaildyke
{

void load_aggregator::add(const report_map &reports, const report &added, double sign)
{
    const auto addTo = [sign](load_sums &sums, const replica_load &load) {
        const auto sum = sums.try_emplace(load.replica, 0).first;
        sum->second += sign * load.running;
        if (sum->second <= 0)
            sums.erase(sum);
    };
    for (const auto &load : added.loads) {
        if (load.running <= 0)
            continue;
        addTo(m_sums, load);
        if (&reports == &m_reports)
            addTo(m_groupSums, load);
    }
}

void load_aggregator::replace(report_map &reports, const std::string &source, report next)
{
    auto &known = reports[source];
    add(reports, known, -1);
    known = std::move(next);
    add(reports, known, 1);
}

void load_aggregator::recordReport(const std::string &host, std::vector<replica_load> loads, instant now)
{
    replace(m_reports, host, report{std::move(loads), now});
}

void load_aggregator::recordGroup(const std::string &relay, std::vector<replica_load> loads, instant now)
{
    replace(m_groups, relay, report{std::move(loads), now});
}

void load_aggregator::evictExpired(report_map &reports, instant now)
{
    std::erase_if(reports, [&](const auto &entry) {
        const bool isExpired = now - entry.second.at > kReportLifetime;
        if (isExpired)
            add(reports, entry.second, -1);
        return isExpired;
    });
}

std::vector<replica_load> load_aggregator::listOf(const load_sums &sums)
{
    std::vector<replica_load> totals;
    std::ranges::transform(sums, std::back_inserter(totals), [](const auto &entry) {
        return replica_load{entry.first, entry.second};
    });
    std::ranges::sort(totals, {}, &replica_load::replica);
    return totals;
}

std::vector<replica_load> load_aggregator::groupTotals(instant now)
{
    evictExpired(m_reports, now);
    return listOf(m_groupSums);
}

shared_load load_aggregator::totals(instant now)
{
    evictExpired(m_reports, now);
    evictExpired(m_groups, now);
    return {listOf(m_sums)};
}

shared_load load_aggregator::totalsFor(const std::string &host, const std::vector<std::string> &replicas, instant now)
{
    evictExpired(m_reports, now);
    evictExpired(m_groups, now);
    std::set<std::string_view> ids(replicas.begin(), replicas.end());
    const auto &hot = hotReplicas(now);
    ids.insert(hot.begin(), hot.end());
    if (const auto known = m_reports.find(host); known != m_reports.end())
        for (const auto &load : known->second.loads)
            ids.insert(load.replica);
    shared_load selected{.loads = {}, .isComplete = false};
    for (const auto id : ids)
        if (const auto sum = m_sums.find(std::string(id)); sum != m_sums.end())
            selected.loads.push_back({sum->first, sum->second});
    return selected;
}

const std::vector<std::string> &load_aggregator::hotReplicas(instant now)
{
    if (now < m_nextHotUpdate)
        return m_hotReplicas;
    m_nextHotUpdate = now + kHotInterval;
    double sum = 0;
    for (const auto &[replica, running] : m_sums)
        sum += running;
    const double limit = kHotExcess + kHotRatio * sum / static_cast<double>(std::max<std::size_t>(1, m_sums.size()));
    std::vector<std::pair<double, std::string>> hot;
    for (const auto &[replica, running] : m_sums)
        if (running > limit)
            hot.emplace_back(running, replica);
    std::ranges::sort(hot, std::ranges::greater{});
    hot.resize(std::min(hot.size(), kMaxHotReplicas));
    m_hotReplicas.clear();
    std::ranges::transform(hot, std::back_inserter(m_hotReplicas), [](const auto &entry) { return entry.second; });
    return m_hotReplicas;
}

shared_load othersOf(shared_load totals, const std::vector<replica_load> &own)
{
    std::unordered_map<std::string_view, double> ownByReplica;
    for (const auto &load : own)
        ownByReplica.emplace(load.replica, load.running);
    for (auto &total : totals.loads)
        if (const auto known = ownByReplica.find(total.replica); known != ownByReplica.end())
            total.running = std::max(0.0, total.running - known->second);
    return totals;
}

} // namespace foxtaildyke
