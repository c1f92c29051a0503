// Metrics based on prometheus-cpp; see metrics_p.h.
#include "metrics_p.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace foxtaildyke
{

namespace
{

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;
using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Histogram;
using prometheus::Registry;

/// Bucket bounds in seconds, from a refusal (a few ms) to a batch response (minutes).
const Histogram::BucketBoundaries kDurationBounds{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25,
                                                  0.5,   1.2,    2.5,   5,    10,    30,   120, 600};

double seconds(std::chrono::microseconds time)
{
    return std::chrono::duration<double>(time).count();
}

Family<Counter> &counter(Registry &registry, const char *name, const char *help)
{
    return BuildCounter().Name(name).Help(help).Register(registry);
}

Gauge &gauge(Registry &registry, const char *name, const char *help)
{
    return BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

Histogram &histogram(Registry &registry, const char *name, const char *help)
{
    return BuildHistogram().Name(name).Help(help).Register(registry).Add({}, kDurationBounds);
}

} // namespace

struct metrics::implementation {
    Registry registry;
    Family<Counter> &requests =
        counter(registry, "foxtaildyke_requests_total", "Finished requests by outcome and reason");
    Family<Counter> &attempts = counter(registry, "foxtaildyke_attempts_total", "Ended attempts by version and end");
    Family<Counter> &tokens = counter(registry, "foxtaildyke_billed_tokens_total", "Billed tokens by type");
    Counter &cost = counter(registry, "foxtaildyke_billed_cost_microunits_total", "Billed cost in micro-units").Add({});
    Counter &foreignEvents = counter(registry, "foxtaildyke_foreign_events_total",
                                     "Upstream events dropped for a foreign or missing attempt id")
                                 .Add({});
    Family<Counter> &platformCalls =
        counter(registry, "foxtaildyke_platform_calls_total", "Calls to the platform by name and end");
    Histogram &duration =
        histogram(registry, "foxtaildyke_request_duration_seconds", "Time from arrival to the final answer");
    Histogram &firstToken =
        histogram(registry, "foxtaildyke_first_token_seconds", "Time from arrival to the first part of a stream");
    Gauge &openRequests = gauge(registry, "foxtaildyke_open_requests", "Requests without a final answer");
    Gauge &generation = gauge(registry, "foxtaildyke_config_generation", "Generation of the configuration in force");
    Gauge &leaseRemaining =
        gauge(registry, "foxtaildyke_freshness_lease_remaining_seconds", "Time until the freshness lease ends");
};

metrics::metrics()
    : m_impl(std::make_unique<implementation>())
{
}

metrics::~metrics() = default;

void metrics::recordRequest(outcome_kind outcome, reason_code reason, std::chrono::microseconds duration)
{
    const prometheus::Labels labels{{"outcome", std::string(nameOf(outcome))}, {"reason", std::string(nameOf(reason))}};
    m_impl->requests.Add(labels).Increment();
    m_impl->duration.Observe(seconds(duration));
}

void metrics::recordFirstToken(std::chrono::microseconds duration)
{
    m_impl->firstToken.Observe(seconds(duration));
}

void metrics::recordAttempt(std::string_view version, std::optional<attempt_failure> failure)
{
    const std::string end(failure ? nameOf(*failure) : "complete");
    m_impl->attempts.Add({{"version", std::string(version)}, {"end", end}}).Increment();
}

void metrics::recordBill(std::uint32_t promptTokens, std::uint32_t completionTokens, std::uint64_t costMicroUnits)
{
    m_impl->tokens.Add({{"type", "prompt"}}).Increment(promptTokens);
    m_impl->tokens.Add({{"type", "completion"}}).Increment(completionTokens);
    m_impl->cost.Increment(static_cast<double>(costMicroUnits));
}

void metrics::recordForeignEvent()
{
    m_impl->foreignEvents.Increment();
}

void metrics::recordPlatformCall(std::string_view name, std::string_view end)
{
    m_impl->platformCalls.Add({{"call", std::string(name)}, {"end", std::string(end)}}).Increment();
}

void metrics::setOpenRequests(std::size_t count)
{
    m_impl->openRequests.Set(static_cast<double>(count));
}

void metrics::setGeneration(generation_number generation)
{
    m_impl->generation.Set(static_cast<double>(generation));
}

void metrics::setLeaseRemaining(std::chrono::microseconds remaining)
{
    m_impl->leaseRemaining.Set(seconds(remaining));
}

std::string metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_impl->registry.Collect());
}

} // namespace foxtaildyke
