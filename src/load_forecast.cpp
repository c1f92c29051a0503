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

void duration_estimator::record(instant duration)
{
    const double ms = milliseconds(duration).count();
    const double decay = std::exp(-1 / kMemory);
    m_ended = m_ended * decay + 1;
    m_sum = m_sum * decay + ms;
    m_squaresSum = m_squaresSum * decay + ms * ms;
}

duration_estimator::milliseconds duration_estimator::mean() const
{
    return m_ended < kMinEnded ? kDefault : milliseconds(m_sum / m_ended);
}

duration_estimator::milliseconds duration_estimator::meanRest() const
{
    return m_ended < kMinEnded || m_sum <= 0 ? kDefault : milliseconds(m_squaresSum / (2 * m_sum));
}

load_forecast::load_forecast(std::vector<replica_occupancy> replicas, instant age,
                             duration_estimator::milliseconds meanRest)
    : m_replicas(std::move(replicas))
{
    const duration_estimator::milliseconds elapsed = std::max(age, instant::zero());
    m_survival = meanRest.count() > 0 ? std::exp(-(elapsed / meanRest)) : 0.0;
    double requests = 1; // the one to be placed
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
        const auto above = std::partition(below.begin(), below.end(), [this](const auto *replica) {
            return remaining(*replica) <= m_level * replica->slots;
        });
        if (above == below.end() || above == below.begin())
            return;
        std::for_each(above, below.end(), [&](const auto *replica) {
            requests -= remaining(*replica);
            slots -= replica->slots;
        });
        below.erase(above, below.end());
        m_level = requests / slots;
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
    const auto found = std::ranges::upper_bound(sums, draw * sum);
    return std::min(static_cast<std::size_t>(found - sums.begin()), sums.size() - 1);
}

} // namespace foxtaildyke
