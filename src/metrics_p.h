// Metrics of a process in the text format of Prometheus.
#pragma once

#include "foxtaildyke/foxtaildyke.h"

#include <memory>

namespace foxtaildyke
{

/// Counters, gauges and histograms. Names end in their unit.
/// @remarks Used on one task.
class metrics
{
public:
    metrics();
    ~metrics();

    /// Counts a finished request.
    /// @param duration from arrival to the final answer.
    void recordRequest(outcome_kind outcome, reason_code reason, std::chrono::microseconds duration);

    /// Takes the time from arrival to the first part of a streamed answer.
    void recordFirstToken(std::chrono::microseconds duration);

    /// Counts an ended attempt. @param failure nothing: whole answer.
    void recordAttempt(std::string_view version, std::optional<attempt_failure> failure);

    /// Counts tokens and cost of a billed answer.
    void recordBill(std::uint32_t promptTokens, std::uint32_t completionTokens, std::uint64_t costMicroUnits);

    /// Counts an event of another attempt that an upstream sent.
    void recordForeignEvent();

    /// Counts a call to the platform. @param name of the call, for example "read". @param end "ok" or an error name.
    void recordPlatformCall(std::string_view name, std::string_view end);

    void setOpenRequests(std::size_t count);
    void setGeneration(generation_number generation);
    void setLeaseRemaining(std::chrono::microseconds remaining);

    /// @returns all metrics in the text format.
    [[nodiscard]] std::string text() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace foxtaildyke
