// Metrics of a process in the Prometheus text format.
#pragma once

#include "foxtaildyke/foxtaildyke.h"

#include <memory>

namespace foxtaildyke
{

/// Counters, gauges and histograms. Metric names end in their unit.
/// @remarks Not thread-safe; all calls come from one event loop.
class metrics
{
public:
    metrics();
    ~metrics();

    /// Counts a finished request.
    /// @param duration time from arrival to the final response.
    void recordRequest(outcome_kind outcome, reason_code reason, std::chrono::microseconds duration);

    /// Records the time from arrival to the first chunk of a streamed response.
    void recordFirstToken(std::chrono::microseconds duration);

    /// Counts a finished attempt. @param failure empty if the response was complete.
    void recordAttempt(std::string_view version, std::optional<attempt_failure> failure);

    /// Counts tokens and cost of a billed response.
    void recordBill(std::uint32_t promptTokens, std::uint32_t completionTokens, std::uint64_t costMicroUnits);

    /// Counts an upstream event that carried the id of another attempt and was dropped.
    void recordForeignEvent();

    /// Counts a call to the platform. @param name name of the call, e.g. "read". @param end "ok" or an error name.
    void recordPlatformCall(std::string_view name, std::string_view end);

    void setOpenRequests(std::size_t count);
    void setGeneration(generation_number generation);
    void setLeaseRemaining(std::chrono::microseconds remaining);

    /// @returns all metrics in the Prometheus text format.
    [[nodiscard]] std::string text() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace foxtaildyke
