// Forecast of the requests that run at the replicas of a service, from a report that is some time old. Addresses large
// fleets whose hosts all read the same reports: the replica that was idle in the report would get the requests of all
// of them until the next one. No I/O, no clock.
//
// Of the reported requests, a part has ended since, and as many others have started, as the total changes little within
// the age of a report. The hosts all place by this forecast, so the new ones are expected to fill the replicas with the
// fewest requests per slot up to a common level. A host that chooses at random in proportion to what is missing up to
// that level does its part of this.
#pragma once

#include "foxtaildyke/foxtaildyke.h"

#include <vector>

namespace foxtaildyke
{

/// Estimates how long requests run at a replica, from those that have ended lately.
class duration_estimator
{
public:
    using milliseconds = std::chrono::duration<double, std::milli>;

    void record(instant duration);

    /// @returns the mean time for which a request runs.
    [[nodiscard]] milliseconds mean() const;

    /// @returns the mean time for which a request that runs at some instant still goes on. Long requests are more
    /// likely to run then, so this exceeds the mean if few requests take most of the time.
    [[nodiscard]] milliseconds meanRest() const;

    static constexpr milliseconds kDefault{500}; ///< until enough requests have ended
    static constexpr double kMinEnded = 5;
    static constexpr double kMemory = 64; ///< number of requests after which one counts 1/e

private:
    double m_ended = 0; ///< decayed, as are the sums
    double m_sum = 0; ///< in ms
    double m_squaresSum = 0;
};

/// Requests at one replica.
struct replica_occupancy {
    double slots = 1;
    double reported = 0; ///< requests of the other hosts, as last reported
    double own = 0; ///< requests of this host, as they are now
};

class load_forecast
{
public:
    /// @param age of the report.
    /// @param meanRest time for which a reported request goes on after the report.
    load_forecast(std::vector<replica_occupancy> replicas, instant age, duration_estimator::milliseconds meanRest);

    /// @returns the expected number of requests at a replica. One that was above the level is expected to stay there:
    /// it gets requests that prefer it.
    [[nodiscard]] double running(std::size_t replica) const;

    /// @returns the requests up to the common level that are missing at a replica; 0 if there are more.
    [[nodiscard]] double missing(std::size_t replica) const;

    /// @param draw uniformly distributed in [0, 1).
    /// @returns a replica, each with a probability in proportion to its missing requests.
    [[nodiscard]] std::size_t draw(double draw) const;

private:
    [[nodiscard]] double remaining(const replica_occupancy &replica) const;

    std::vector<replica_occupancy> m_replicas; ///< at least one
    double m_survival = 1; ///< fraction of the reported requests that still run
    double m_level = 0; ///< in requests per slot, including the request to be placed; so some replica is below it
};

} // namespace foxtaildyke
