// Forecast of the replicas' load from old reports; see load_forecast_p.h.
#include "load_forecast_p.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace foxtaildyke
{

namespace
{

/// Smallest number of slots that is divided by; an entry may state none.
constexpr double kMinSlots = 1;

} // namespace

void duration_estimator::advance(instant now)
{
    if (m_updatedAt && now > *m_updatedAt) {
        const std::chrono::duration<double, std::milli> elapsed = now - *m_updatedAt;
        const double decay = std::exp(-(elapsed / kMemory));
        m_runningMs = m_runningMs * decay + m_running * elapsed.count();
        m_ended *= decay;
    }
    m_updatedAt = now;
}

void duration_estimator::recordStart(instant now)
{
    advance(now);
    ++m_running;
}

void duration_estimator::recordEnd(instant now)
{
    advance(now);
    m_running = std::max(0.0, m_running - 1);
    ++m_ended;
}

std::chrono::duration<double, std::milli> duration_estimator::mean() const
{
    return m_ended < kMinEnded ? kDefault : std::chrono::duration<double, std::milli>(m_runningMs / m_ended);
}

load_forecast::load_forecast(std::vector<replica_occupancy> replicas, instant age,
                             std::chrono::duration<double, std::milli> meanDuration)
    : m_replicas(std::move(replicas))
{
    const std::chrono::duration<double, std::milli> elapsed = std::max(age, instant::zero());
    m_survival = meanDuration.count() > 0 ? std::exp(-(elapsed / meanDuration)) : 0.0;
    double requests = 0;
    double slots = 0;
    for (auto &replica : m_replicas) {
        replica.slots = std::max(replica.slots, kMinSlots);
        requests += replica.reported + replica.own;
        slots += replica.slots;
    }
    // The level is the mean over all replicas that are below it.
    m_level = requests / slots;
    std::vector<const replica_occupancy *> below;
    std::ranges::transform(m_replicas, std::back_inserter(below), [](const auto &replica) { return &replica; });
    while (true) {
        const auto above = std::ranges::partition(below, [this](const auto *replica) {
            return remaining(*replica) <= m_level * replica->slots;
        });
        if (above.empty() || above.size() == below.size())
            return;
        for (const auto *replica : above) {
            requests -= remaining(*replica);
            slots -= replica->slots;
        }
        below.resize(below.size() - above.size());
        m_level = std::max(0.0, requests / slots);
    }
}

double load_forecast::remaining(const replica_occupancy &replica) const
{
    return m_survival * replica.reported + replica.own;
}

double load_forecast::running(std::size_t replica) const
{
    const auto &known = m_replicas[replica];
    return std::max(known.reported + known.own, m_level * known.slots);
}

double load_forecast::missing(std::size_t replica) const
{
    const auto &known = m_replicas[replica];
    return std::max(0.0, m_level * known.slots - remaining(known));
}

std::size_t load_forecast::draw(double draw) const
{
    std::vector<double> sums(m_replicas.size());
    double sum = 0;
    for (std::size_t index = 0; index < sums.size(); ++index)
        sums[index] = sum += missing(index);
    // Without missing requests, all replicas are at the level.
    if (sum <= 0)
        return std::min(static_cast<std::size_t>(draw * static_cast<double>(sums.size())), sums.size() - 1);
    const auto found = std::ranges::upper_bound(sums, draw * sum);
    return std::min(static_cast<std::size_t>(found - sums.begin()), sums.size() - 1);
}

} // namespace foxtaildyke
