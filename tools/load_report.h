// Report of both modes of foxtaildyke-load: outcomes, latency, cost and exposure for each workload and client
// account, as a table, JSON and an SVG plot.
#pragma once

#include "foxtaildyke/foxtaildyke.h"

#include <iosfwd>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <vector>

namespace foxtaildyke::load
{

/// Sums over the requests of one workload and client account.
struct request_totals {
    std::uint64_t requests = 0;
    std::array<std::uint64_t, static_cast<std::size_t>(outcome_kind::count)> outcomes{};
    std::map<std::string, std::uint64_t> reasons; ///< of requests that ended without a complete response
    std::vector<double> latencyMs; ///< of complete responses, from the first submission
    std::vector<double> refusalMs; ///< of each refusal, from the refused submission
    std::uint64_t met = 0; ///< complete responses that meet the quality target
    std::uint64_t inTime = 0; ///< complete responses within the deadline
    std::uint64_t costMicroUnits = 0;
    std::uint64_t runs = 0; ///< attempts started by an upstream
    std::uint64_t maxRuns = 0; ///< of one request id
    std::uint64_t bills = 0; ///< bills written to the ledger
    std::uint64_t maxBills = 0; ///< of one request id
    std::uint64_t retriedNonIdempotent = 0; ///< request ids of non-idempotent kinds that ran more than once

    void add(const request_totals &other);
    [[nodiscard]] std::uint64_t countFastRefusals() const; ///< refusals within 50 ms
};

/// A version whose quality dropped during a run, or that was halted without a drop.
struct incident {
    std::string version;
    double badAtSeconds = -1; ///< -1: no quality drop, so the halt is a false positive
    double haltedAtSeconds = -1; ///< when the last host stopped new sessions; -1: not all hosts did
    std::uint64_t responsesBeforeHalt = 0; ///< responses produced between the two times
    std::uint64_t failingDelivered = 0; ///< responses below the target that callers received, to the end of the run
};

/// Result of one arm, summed over its repeats.
struct arm_report {
    std::string arm;
    std::uint64_t seed = 0;
    std::uint32_t repeats = 0;
    bool hasQualityData = true; ///< false: no data on which responses meet the target
    std::map<std::pair<std::string, std::string>, request_totals> rows; ///< by workload and client account
    std::vector<incident> incidents;
    std::uint64_t firstAttempts = 0; ///< escalations included
    std::uint64_t retries = 0;
    std::uint64_t cacheHits = 0;
    std::uint64_t cacheMisses = 0;

    [[nodiscard]] request_totals total() const;
    [[nodiscard]] std::map<std::string, request_totals> byWorkload() const;
    [[nodiscard]] double amplification() const; ///< attempts per first attempt; 1: no retries
};

/// @returns the given quantile of the values, or 0 if there are none.
[[nodiscard]] double quantile(std::vector<double> values, double share);

/// @param reference arm that costs are compared with; an unknown name selects the first.
/// @param perAccount adds a row for each workload and client account.
void writeTable(std::ostream &out, const std::vector<arm_report> &arms, const std::string &reference, bool perAccount);
[[nodiscard]] nlohmann::json toJson(const std::vector<arm_report> &arms);
/// Bars for each arm: cost per response that met the target, share that met it, 95th percentile of latency.
[[nodiscard]] std::string toSvg(const std::string &title, const std::vector<arm_report> &arms);

} // namespace foxtaildyke::load
