// Counters and histograms of the gateway in the text format of Prometheus.
#pragma once

#include "foxtaildyke/foxtaildyke.h"

#include <memory>

namespace foxtaildyke
{

/// @remarks Used on one task.
class gateway_metrics
{
public:
    gateway_metrics();
    ~gateway_metrics();

    /// Counts a finished request. @param duration from its arrival.
    void recordRequest(std::string_view route, int status, std::string_view reason, std::chrono::microseconds duration);

    /// Takes the time from a request's arrival to the first event of its stream.
    void recordFirstEvent(std::string_view route, std::chrono::microseconds duration);

    /// Counts an ended attempt at a replica.
    void recordAttempt(std::string_view service, std::string_view version, std::string_view result);

    /// Counts a feed event: a dependency lost or regained, an entry that can't be used.
    void recordFeedEvent(std::string_view type);

    void setConfigVersion(generation_number version);
    void setConfigAge(std::chrono::microseconds age);
    void setReplicas(std::size_t count);

    /// @returns all metrics in the text format.
    [[nodiscard]] std::string text() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace foxtaildyke
