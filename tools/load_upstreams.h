// Simulated upstreams in virtual time: slots, a priority queue by class, token speed, prefix cache, crashes.
#pragma once

#include "load_experiment.h"
#include "router_core_p.h"

#include <functional>
#include <list>
#include <set>

namespace foxtaildyke::load
{

/// Event queue in virtual time. Events with equal times run in insertion order.
class virtual_clock
{
public:
    void at(instant time, std::function<void()> call);
    void after(milliseconds delay, std::function<void()> call) { at(m_now + delay, std::move(call)); }

    /// Runs all events up to and including a time.
    void runUntil(instant time);
    [[nodiscard]] instant now() const { return m_now; }
    [[nodiscard]] bool isEmpty() const { return m_calls.empty(); }

private:
    std::map<std::pair<instant, std::uint64_t>, std::function<void()>> m_calls;
    std::uint64_t m_sequence = 0;
    instant m_now{};
};

/// An attempt submitted to an upstream.
struct upstream_job {
    std::string id; ///< unique over all hosts
    std::uint64_t prefix = 0; ///< of the prompt; equal prefixes can be cached
    std::uint32_t promptTokens = 0;
    std::uint32_t prefixTokens = 0;
    std::uint32_t completionTokens = 0;
    request_class priority = request_class::standard;
    std::function<void()> onStarted; ///< called when the job gets a slot
    std::function<void()> onDone;
    std::function<void(attempt_failure)> onFailed;
};

class upstream
{
public:
    upstream(virtual_clock &clock, upstream_info info, const pool &settings);

    /// Starts or queues a job; calls job.onFailed at once if the upstream is down or slots and queue are full.
    void submit(upstream_job job);
    /// Removes a queued or running job; neither job.onDone nor job.onFailed is called.
    void cancel(const std::string &id);
    /// Fails all jobs; further ones are rejected as not sent until restart().
    void crash();
    void restart() { m_up = true; }
    void setState(host_state state) { m_info.state = state; }

    [[nodiscard]] const upstream_info &info() const { return m_info; }
    [[nodiscard]] bool isUp() const { return m_up; }
    [[nodiscard]] std::uint32_t running() const { return static_cast<std::uint32_t>(m_running.size()); }
    [[nodiscard]] std::uint32_t queued() const { return static_cast<std::uint32_t>(m_queue.size()); }
    [[nodiscard]] std::uint64_t cacheHits() const { return m_cacheHits; }
    [[nodiscard]] std::uint64_t cacheMisses() const { return m_cacheMisses; }

private:
    void startNext();
    milliseconds serviceTime(const upstream_job &job);
    bool accessPrefixCache(std::uint64_t prefix);
    void end(const std::string &id, std::uint64_t run);

    virtual_clock &m_clock;
    upstream_info m_info;
    pool m_settings;
    bool m_up = true;
    std::uint64_t m_runs = 0; ///< distinguishes a cancelled job from a later one with the same id
    std::map<std::string, std::pair<std::uint64_t, upstream_job>> m_running;
    std::list<upstream_job> m_queue; ///< by class, then by arrival
    std::list<std::uint64_t> m_cache; ///< prefixes, most recently used first
    std::uint64_t m_cacheHits = 0;
    std::uint64_t m_cacheMisses = 0;
};

} // namespace foxtaildyke::load
