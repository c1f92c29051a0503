// Simulated upstreams; see load_upstreams.h.
#include "load_upstreams.h"

namespace foxtaildyke::load
{

namespace
{

constexpr double kFullLoadSlowdown = 0.5; ///< relative increase in time per token on a full replica

} // namespace

void virtual_clock::at(instant time, std::function<void()> call)
{
    m_calls.emplace(std::pair(std::max(time, m_now), m_sequence++), std::move(call));
}

void virtual_clock::runUntil(instant time)
{
    while (!m_calls.empty() && m_calls.begin()->first.first <= time) {
        auto node = m_calls.extract(m_calls.begin());
        m_now = node.key().first;
        node.mapped()();
    }
    m_now = std::max(m_now, time);
}

upstream::upstream(virtual_clock &clock, upstream_info info, const pool &settings)
    : m_clock(clock)
    , m_info(std::move(info))
    , m_settings(settings)
{
}

void upstream::submit(upstream_job job)
{
    if (!m_up)
        return job.onFailed(attempt_failure::not_sent);
    if (m_running.size() >= m_settings.slots && m_queue.size() >= m_settings.queueLimit)
        return job.onFailed(attempt_failure::overloaded);
    const auto position =
        std::ranges::find_if(m_queue, [&](const upstream_job &other) { return other.priority > job.priority; });
    m_queue.insert(position, std::move(job));
    startNext();
}

void upstream::startNext()
{
    while (!m_queue.empty() && m_running.size() < m_settings.slots) {
        auto job = std::move(m_queue.front());
        m_queue.pop_front();
        const auto id = job.id;
        const auto run = ++m_runs;
        const auto duration = serviceTime(job);
        if (job.onStarted)
            job.onStarted();
        m_running.emplace(id, std::pair(run, std::move(job)));
        m_clock.after(duration, [this, id, run] { end(id, run); });
    }
}

milliseconds upstream::serviceTime(const upstream_job &job)
{
    const bool isCached = job.prefixTokens > 0 && accessPrefixCache(job.prefix);
    const auto uncachedTokens = job.promptTokens - (isCached ? std::min(job.promptTokens, job.prefixTokens) : 0);
    const auto load = static_cast<double>(m_running.size()) / std::max(1U, m_settings.slots);
    const auto msPerToken = m_settings.tokenMs * (1 + kFullLoadSlowdown * load);
    return milliseconds{static_cast<std::int64_t>(uncachedTokens * m_settings.prefillMsPer1k / 1000
                                                  + job.completionTokens * msPerToken)};
}

bool upstream::accessPrefixCache(std::uint64_t prefix)
{
    const auto found = std::ranges::find(m_cache, prefix);
    const bool isCached = found != m_cache.end();
    ++(isCached ? m_cacheHits : m_cacheMisses);
    if (isCached)
        m_cache.erase(found);
    m_cache.push_front(prefix);
    if (m_cache.size() > m_settings.cachedPrefixes)
        m_cache.pop_back();
    return isCached;
}

void upstream::end(const std::string &id, std::uint64_t run)
{
    const auto found = m_running.find(id);
    if (found == m_running.end() || found->second.first != run)
        return;
    const auto job = std::move(found->second.second);
    m_running.erase(found);
    startNext();
    job.onDone();
}

void upstream::cancel(const std::string &id)
{
    std::erase_if(m_queue, [&](const upstream_job &job) { return job.id == id; });
    m_running.erase(id);
    startNext();
}

void upstream::crash()
{
    m_up = false;
    m_cache.clear();
    auto running = std::exchange(m_running, {});
    auto queue = std::exchange(m_queue, {});
    for (auto &[id, entry] : running)
        entry.second.onFailed(attempt_failure::connection_lost);
    for (auto &job : queue)
        job.onFailed(attempt_failure::connection_lost);
}

} // namespace foxtaildyke::load
