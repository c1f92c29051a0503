// Metrics of the gateway in the Prometheus text format.
#pragma once

#include "foxtaildyke/foxtaildyke.h"

#include <memory>

namespace foxtaildyke
{

/// @remarks Not thread-safe: used by a single task.
class gateway_metrics
{
public:
    gateway_metrics();
    ~gateway_metrics();

    /// Records a finished request. @param duration time since its arrival.
    void recordRequest(std::string_view route, int status, std::string_view reason, std::chrono::microseconds duration);

    /// Records the time from a request's arrival to the first event of its stream.
    void recordFirstEvent(std::string_view route, std::chrono::microseconds duration);

    /// Counts an ended attempt at a replica.
    void recordAttempt(std::string_view service, std::string_view version, std::string_view result);

    /// Counts an ended stream of a replica. @param endsInsideEvent whether bytes followed its last complete event.
    void recordStreamEnd(std::string_view framing, std::string_view result, bool endsInsideEvent);

    /// Counts a retry that the budget allowed or denied.
    void recordRetry(std::string_view service, std::string_view reason, bool isAllowed);

    /// Counts a request that was sent through another host.
    void recordDetour(std::string_view result);

    /// Counts failures that say nothing about replicas, because the host was cut off from them.
    void recordDiscardedFailures(std::size_t count);

    /// Counts an attempt during which its replica ended. @param isNew whether it counts towards a quarantine.
    void recordCrash(bool isNew);

    /// Counts a feed event, such as a lost or restored dependency or an unusable entry.
    void recordFeedEvent(std::string_view type);

    /// Counts a call to the platform's store.
    void recordStoreCall(std::string_view kind, std::string_view cause);

    void setConfigVersion(generation_number version);
    void setConfigAge(std::chrono::microseconds age);
    void setReplicas(std::size_t count);
    void setQuarantined(std::size_t requests);
    void setLimitedReplicas(std::size_t count);
    void setLeavingReplicas(std::size_t count);
    void setPausedReplicas(std::size_t count);
    void setBrittleReplicas(std::size_t count);
    void setCutOffServices(std::size_t count);
    void setDetoursServed(std::size_t count);
    void setDetourHosts(std::size_t count);

    /// @returns all metrics in the Prometheus text format.
    [[nodiscard]] std::string text() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace foxtaildyke
