// Totals, table and JSON output of a load run; see load_report.h.
#include "load_report.h"

#include <cmath>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <ostream>
#include <sstream>

namespace foxtaildyke::load
{

namespace
{

constexpr std::array kPercentiles{50, 95, 99};

double ratio(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

std::uint64_t count(const request_totals &sums, outcome_kind outcome)
{
    return sums.outcomes[static_cast<std::size_t>(outcome)];
}

std::string fixed(double value, int digits)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(digits) << value;
    return text.str();
}

nlohmann::json totalsToJson(const request_totals &sums)
{
    nlohmann::json json{{"requests", sums.requests},
                        {"reasons", sums.reasons},
                        {"met_target", sums.met},
                        {"in_time", sums.inTime},
                        {"cost_micro_units", sums.costMicroUnits},
                        {"cost_per_met_answer", ratio(sums.costMicroUnits, sums.met)},
                        {"share_met", ratio(sums.met, count(sums, outcome_kind::complete))},
                        {"share_in_time", ratio(sums.inTime, sums.requests)},
                        {"refusals", sums.refusalMs.size()},
                        {"refusals_at_once", sums.countFastRefusals()},
                        {"refusal_ms_most", quantile(sums.refusalMs, 1)},
                        {"runs", sums.runs},
                        {"runs_most_per_id", sums.maxRuns},
                        {"bills", sums.bills},
                        {"bills_most_per_id", sums.maxBills},
                        {"rerun_non_idempotent", sums.retriedNonIdempotent}};
    for (std::size_t i = 0; i < sums.outcomes.size(); ++i)
        json["outcomes"][std::string(nameOf(static_cast<outcome_kind>(i)))] = sums.outcomes[i];
    for (const auto percent : kPercentiles)
        json["latency_ms"]["p" + std::to_string(percent)] = quantile(sums.latencyMs, percent / 100.0);
    return json;
}

nlohmann::json incidentToJson(const incident &entry)
{
    return {{"version", entry.version},
            {"bad_at_s", entry.badAtSeconds},
            {"halted_at_s", entry.haltedAtSeconds},
            {"answers_before_halt", entry.responsesBeforeHalt},
            {"wrong_delivered", entry.failingDelivered}};
}

void writeRow(std::ostream &out, const std::string &name, const request_totals &sums, bool hasQualityData)
{
    out << std::left << std::setw(34) << name << std::right << std::setw(8) << sums.requests;
    for (const auto outcome : sums.outcomes)
        out << std::setw(8) << outcome;
    for (const auto percent : kPercentiles)
        out << std::setw(8) << fixed(quantile(sums.latencyMs, percent / 100.0), 0);
    const auto complete = count(sums, outcome_kind::complete);
    out << std::setw(9) << (hasQualityData ? fixed(ratio(sums.costMicroUnits, sums.met), 1) : "-") << std::setw(8)
        << (hasQualityData ? fixed(100 * ratio(sums.met, complete), 1) : "-") << std::setw(8)
        << fixed(100 * ratio(sums.inTime, sums.requests), 1) << std::setw(8)
        << fixed(100 * ratio(sums.countFastRefusals(), sums.refusalMs.size()), 1) << std::setw(9)
        << fixed(quantile(sums.refusalMs, 1), 0) << std::setw(6) << sums.maxRuns << std::setw(6) << sums.maxBills
        << std::setw(7) << sums.retriedNonIdempotent << '\n';
}

void writeIncidents(std::ostream &out, const std::vector<incident> &incidents)
{
    std::map<std::pair<std::string, bool>, std::vector<incident>> byVersion;
    for (const auto &entry : incidents)
        byVersion[{entry.version, entry.badAtSeconds >= 0}].push_back(entry);
    for (const auto &[key, list] : byVersion) {
        if (!key.second) {
            out << "  good version " << key.first << " halted in " << list.size() << " runs\n";
            continue;
        }
        std::vector<double> responses;
        double failing = 0;
        for (const auto &entry : list) {
            responses.push_back(static_cast<double>(entry.responsesBeforeHalt));
            failing += static_cast<double>(entry.failingDelivered);
        }
        const auto halted = std::ranges::count_if(list, [](const auto &entry) { return entry.haltedAtSeconds >= 0; });
        double sum = 0;
        for (const auto value : responses)
            sum += value;
        out << "  bad version " << key.first << ": runs " << list.size() << ", halted everywhere " << halted
            << ", answers before the halt: mean " << fixed(sum / static_cast<double>(list.size()), 1) << ", p95 "
            << fixed(quantile(responses, 0.95), 0) << ", most " << fixed(quantile(responses, 1), 0)
            << "; wrong answers delivered: mean " << fixed(failing / static_cast<double>(list.size()), 1) << '\n';
    }
}

} // namespace

void request_totals::add(const request_totals &other)
{
    requests += other.requests;
    for (std::size_t i = 0; i < outcomes.size(); ++i)
        outcomes[i] += other.outcomes[i];
    for (const auto &[reason, number] : other.reasons)
        reasons[reason] += number;
    latencyMs.insert(latencyMs.end(), other.latencyMs.begin(), other.latencyMs.end());
    refusalMs.insert(refusalMs.end(), other.refusalMs.begin(), other.refusalMs.end());
    met += other.met;
    inTime += other.inTime;
    costMicroUnits += other.costMicroUnits;
    runs += other.runs;
    maxRuns = std::max(maxRuns, other.maxRuns);
    bills += other.bills;
    maxBills = std::max(maxBills, other.maxBills);
    retriedNonIdempotent += other.retriedNonIdempotent;
}

std::uint64_t request_totals::countFastRefusals() const
{
    constexpr double kMaxFastRefusalMs = 50; // latency target for a refusal
    return static_cast<std::uint64_t>(
        std::ranges::count_if(refusalMs, [](double value) { return value <= kMaxFastRefusalMs; }));
}

request_totals arm_report::total() const
{
    request_totals sum;
    for (const auto &[key, entry] : rows)
        sum.add(entry);
    return sum;
}

std::map<std::string, request_totals> arm_report::byWorkload() const
{
    std::map<std::string, request_totals> sums;
    for (const auto &[key, entry] : rows)
        sums[key.first].add(entry);
    return sums;
}

double arm_report::amplification() const
{
    return 1 + ratio(retries, firstAttempts);
}

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    const auto rank = std::ceil(share * static_cast<double>(values.size()));
    const auto index = std::clamp<std::size_t>(static_cast<std::size_t>(rank), 1, values.size()) - 1;
    std::ranges::nth_element(values, values.begin() + static_cast<std::ptrdiff_t>(index));
    return values[index];
}

void writeTable(std::ostream &out, const std::vector<arm_report> &arms, const std::string &reference, bool perAccount)
{
    if (arms.empty())
        return;
    const auto found = std::ranges::find(arms, reference, &arm_report::arm);
    const auto &referenceArm = found == arms.end() ? arms.front() : *found;
    const auto referenceTotal = referenceArm.total();
    for (const auto &entry : arms) {
        const auto total = entry.total();
        out << "arm " << entry.arm << " (seed " << entry.seed << ", runs " << entry.repeats << ")\n";
        out << std::left << std::setw(34) << "workload" << std::right;
        for (const auto *column :
             {"requests", "complete", "invalid", "not_run", "may_run", "failed", "p50 ms", "p95 ms", "p99 ms",
              "cost/met", "met %", "time %", "at once %", "refuse ms", "runs", "bills", "rerun"})
            out << ' ' << column;
        out << '\n';
        for (const auto &[name, sums] : entry.byWorkload())
            writeRow(out, name, sums, entry.hasQualityData);
        if (perAccount) {
            for (const auto &[key, sums] : entry.rows)
                writeRow(out, key.first + " / " + key.second, sums, entry.hasQualityData);
        }
        writeRow(out, "all", total, entry.hasQualityData);
        const auto cost = ratio(total.costMicroUnits, total.met);
        const auto referenceCost = ratio(referenceTotal.costMicroUnits, referenceTotal.met);
        out << "  cost per answer at the target relative to " << referenceArm.arm << ": "
            << (referenceCost > 0 ? fixed(cost / referenceCost, 3) : "-") << "; retry amplification "
            << fixed(entry.amplification(), 3) << "; prefix cache hits "
            << fixed(100 * ratio(entry.cacheHits, entry.cacheHits + entry.cacheMisses), 1) << " %\n";
        for (const auto &[reason, number] : total.reasons)
            out << "  reason " << reason << ": " << number << '\n';
        writeIncidents(out, entry.incidents);
    }
}

nlohmann::json toJson(const std::vector<arm_report> &arms)
{
    auto list = nlohmann::json::array();
    for (const auto &entry : arms) {
        nlohmann::json json{{"arm", entry.arm},
                            {"seed", entry.seed},
                            {"repeats", entry.repeats},
                            {"knows_quality", entry.hasQualityData},
                            {"total", totalsToJson(entry.total())},
                            {"retry_amplification", entry.amplification()},
                            {"cache_hits", entry.cacheHits},
                            {"cache_misses", entry.cacheMisses},
                            {"rows", nlohmann::json::array()},
                            {"incidents", nlohmann::json::array()}};
        for (const auto &[key, sums] : entry.rows) {
            auto row = totalsToJson(sums);
            row["workload"] = key.first;
            row["account"] = key.second;
            json["rows"].push_back(std::move(row));
        }
        for (const auto &item : entry.incidents)
            json["incidents"].push_back(incidentToJson(item));
        list.push_back(std::move(json));
    }
    return list;
}

} // namespace foxtaildyke::load
