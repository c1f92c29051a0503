// What both modes of foxtaildyke-load report: outcomes, latency, cost and exposure for each workload and client
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
struct tally {
    std::uint64_t requests = 0;
    std::array<std::uint64_t, static_cast<std::size_t>(outcome_kind::count)> outcomes{};
    std::map<std::string, std::uint64_t> reasons; ///< of requests that ended without a whole answer
    std::vector<double> latencyMs; ///< of whole answers, from the first sending
    std::vector<double> refusalMs; ///< of each refusal, from the sending that was refused
    std::uint64_t met = 0; ///< whole answers that meet the quality target
    std::uint64_t inTime = 0; ///< whole answers within the deadline
    std::uint64_t costMicroUnits = 0;
    std::uint64_t runs = 0; ///< attempts that an upstream began
    std::uint64_t runsMost = 0; ///< of one request id
    std::uint64_t bills = 0;
    std::uint64_t billsMost = 0; ///< of one request id
    std::uint64_t rerunNonIdempotent = 0; ///< request ids of non-idempotent kinds that ran more than once

    void add(const tally &other);
    [[nodiscard]] std::uint64_t refusedAtOnce() const; ///< refusals within 50 ms
};

/// A version that turned bad during a run, or was halted without turning bad.
struct incident {
    std::string version;
    double badAtSeconds = -1; ///< -1: it was good, and its halt is a false one
    double haltedAtSeconds = -1; ///< the last host stopped new sessions; -1: not all did
    std::uint64_t answersBeforeHalt = 0; ///< given between the two times
    std::uint64_t wrongDelivered = 0; ///< answers below the target that callers received, to the end of the run
};

/// Result of one arm, summed over its repeats.
struct arm_report {
    std::string arm;
    std::uint64_t seed = 0;
    std::uint32_t repeats = 0;
    bool knowsQuality = true; ///< false: no one told which answers meet the target
    std::map<std::pair<std::string, std::string>, tally> rows; ///< by workload and client account
    std::vector<incident> incidents;
    std::uint64_t firstAttempts = 0; ///< escalations included
    std::uint64_t retries = 0;
    std::uint64_t cacheHits = 0;
    std::uint64_t cacheMisses = 0;

    [[nodiscard]] tally total() const;
    [[nodiscard]] std::map<std::string, tally> byWorkload() const;
    [[nodiscard]] double amplification() const;
};

/// @returns the value below which a share of the values lies; 0 where there are none.
[[nodiscard]] double quantile(std::vector<double> values, double share);

/// @param reference arm that costs are compared with; an unknown name stands for the first.
void writeTable(std::ostream &out, const std::vector<arm_report> &arms, const std::string &reference, bool perAccount);
[[nodiscard]] nlohmann::json toJson(const std::vector<arm_report> &arms);
/// Bars for each arm: cost per answer that met the target, share that met it, 95th percentile of latency.
[[nodiscard]] std::string toSvg(const std::string &title, const std::vector<arm_report> &arms);

} // namespace foxtaildyke::load
