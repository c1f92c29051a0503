// Metrics of the gateway, implemented with prometheus-cpp; see gateway_metrics_p.h.
#include "gateway_metrics_p.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace foxtaildyke
{

namespace
{

using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Histogram;
using prometheus::Registry;

/// Bucket bounds in seconds, from a non-streamed call to the longest stream.
const Histogram::BucketBoundaries kDurationBounds{0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10, 25};

Family<Counter> &counter(Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

Gauge &gauge(Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

Family<Histogram> &histogram(Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

double seconds(std::chrono::microseconds time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

struct gateway_metrics::implementation {
    Registry registry;
    Family<Counter> &requests =
        counter(registry, "foxtaildyke_gateway_requests_total", "Finished requests by route, status and reason");
    Family<Counter> &attempts =
        counter(registry, "foxtaildyke_gateway_attempts_total", "Ended attempts by service, version and result");
    Family<Counter> &streamEnds =
        counter(registry, "foxtaildyke_gateway_stream_ends_total",
                "Ended streams of replicas by framing, result, and whether they ended inside an event");
    Family<Counter> &retries = counter(registry, "foxtaildyke_gateway_retries_total",
                                       "Retries by service, reason, and whether the retry budget allowed them");
    Family<Counter> &storeCalls =
        counter(registry, "foxtaildyke_gateway_store_calls_total", "Calls to the platform's store by kind and cause");
    Family<Counter> &crashes =
        counter(registry, "foxtaildyke_gateway_crashed_attempts_total",
                "Attempts during which the replica ended, by whether they count towards a quarantine of the request");
    Family<Counter> &detours =
        counter(registry, "foxtaildyke_gateway_detours_total", "Requests sent through another host, by result");
    Family<Counter> &discardedFailures =
        counter(registry, "foxtaildyke_gateway_discarded_failures_total",
                "Failed attempts that aren't attributed to replicas, because the host was cut off from them");
    Family<Counter> &feed = counter(registry, "foxtaildyke_gateway_feed_events_total", "Events of the store by type");
    Family<Histogram> &duration =
        histogram(registry, "foxtaildyke_gateway_request_duration_seconds", "Time from arrival to the final answer");
    Family<Histogram> &firstEvent =
        histogram(registry, "foxtaildyke_gateway_first_event_seconds", "Time from arrival to a stream's first event");
    Gauge &configVersion = gauge(registry, "foxtaildyke_gateway_config_version", "Configuration in force");
    Gauge &configAge = gauge(registry, "foxtaildyke_gateway_config_age_seconds",
                             "Time since the configuration was known to be the newest");
    Gauge &quarantined = gauge(registry, "foxtaildyke_gateway_quarantined_requests",
                               "Requests that are refused because they have crashed several replicas");
    Gauge &limitedReplicas =
        gauge(registry, "foxtaildyke_gateway_limited_replicas", "Replicas that advertise a rate limit");
    Gauge &leavingReplicas =
        gauge(registry, "foxtaildyke_gateway_leaving_replicas", "Replicas that have stated that they leave");
    Gauge &pausedReplicas = gauge(registry, "foxtaildyke_gateway_paused_replicas",
                                  "Replicas that have stated that they want no requests for some time");
    Gauge &brittleReplicas = gauge(registry, "foxtaildyke_gateway_brittle_replicas",
                                   "Replicas that have stated that they fall over if they reject too many requests");
    Gauge &cutOffServices =
        gauge(registry, "foxtaildyke_gateway_cut_off_services", "Services of which this host reaches no replica");
    Gauge &detoursServed = gauge(registry, "foxtaildyke_gateway_detours_served", "Requests of other hosts in progress");
    Gauge &detourHosts = gauge(registry, "foxtaildyke_gateway_detour_hosts", "Other hosts that this host knows");
    Gauge &replicas = gauge(registry, "foxtaildyke_gateway_replicas", "Registered replicas");
};

gateway_metrics::gateway_metrics()
    : m_impl(std::make_unique<implementation>())
{
}

gateway_metrics::~gateway_metrics() = default;

void gateway_metrics::recordRequest(std::string_view route, int status, std::string_view reason,
                                    std::chrono::microseconds duration)
{
    const std::string name(route);
    m_impl->requests.Add({{"route", name}, {"status", std::to_string(status)}, {"reason", std::string(reason)}})
        .Increment();
    m_impl->duration.Add({{"route", name}}, kDurationBounds).Observe(seconds(duration));
}

void gateway_metrics::recordFirstEvent(std::string_view route, std::chrono::microseconds duration)
{
    m_impl->firstEvent.Add({{"route", std::string(route)}}, kDurationBounds).Observe(seconds(duration));
}

void gateway_metrics::recordAttempt(std::string_view service, std::string_view version, std::string_view result)
{
    m_impl->attempts
        .Add({{"service", std::string(service)}, {"version", std::string(version)}, {"result", std::string(result)}})
        .Increment();
}

void gateway_metrics::recordStreamEnd(std::string_view framing, std::string_view result, bool endsInsideEvent)
{
    m_impl->streamEnds
        .Add({{"framing", std::string(framing)},
              {"result", std::string(result)},
              {"inside_event", endsInsideEvent ? "true" : "false"}})
        .Increment();
}

void gateway_metrics::recordRetry(std::string_view service, std::string_view reason, bool isAllowed)
{
    m_impl->retries
        .Add({{"service", std::string(service)},
              {"reason", std::string(reason)},
              {"outcome", isAllowed ? "allowed" : "denied"}})
        .Increment();
}

void gateway_metrics::recordDetour(std::string_view result)
{
    m_impl->detours.Add({{"result", std::string(result)}}).Increment();
}

void gateway_metrics::recordDiscardedFailures(std::size_t count)
{
    m_impl->discardedFailures.Add({}).Increment(static_cast<double>(count));
}

void gateway_metrics::recordCrash(bool isNew)
{
    m_impl->crashes.Add({{"counted", isNew ? "true" : "false"}}).Increment();
}

void gateway_metrics::recordFeedEvent(std::string_view type)
{
    m_impl->feed.Add({{"type", std::string(type)}}).Increment();
}

void gateway_metrics::recordStoreCall(std::string_view kind, std::string_view cause)
{
    m_impl->storeCalls.Add({{"kind", std::string(kind)}, {"cause", std::string(cause)}}).Increment();
}

void gateway_metrics::setConfigVersion(generation_number version)
{
    m_impl->configVersion.Set(static_cast<double>(version));
}

void gateway_metrics::setConfigAge(std::chrono::microseconds age)
{
    m_impl->configAge.Set(seconds(age));
}

void gateway_metrics::setReplicas(std::size_t count)
{
    m_impl->replicas.Set(static_cast<double>(count));
}

void gateway_metrics::setQuarantined(std::size_t requests)
{
    m_impl->quarantined.Set(static_cast<double>(requests));
}

void gateway_metrics::setLimitedReplicas(std::size_t count)
{
    m_impl->limitedReplicas.Set(static_cast<double>(count));
}

void gateway_metrics::setLeavingReplicas(std::size_t count)
{
    m_impl->leavingReplicas.Set(static_cast<double>(count));
}

void gateway_metrics::setPausedReplicas(std::size_t count)
{
    m_impl->pausedReplicas.Set(static_cast<double>(count));
}

void gateway_metrics::setBrittleReplicas(std::size_t count)
{
    m_impl->brittleReplicas.Set(static_cast<double>(count));
}

void gateway_metrics::setCutOffServices(std::size_t count)
{
    m_impl->cutOffServices.Set(static_cast<double>(count));
}

void gateway_metrics::setDetoursServed(std::size_t count)
{
    m_impl->detoursServed.Set(static_cast<double>(count));
}

void gateway_metrics::setDetourHosts(std::size_t count)
{
    m_impl->detourHosts.Set(static_cast<double>(count));
}

std::string gateway_metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_impl->registry.Collect());
}

} // namespace foxtaildyke
