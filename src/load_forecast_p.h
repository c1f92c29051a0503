// Forecast of the requests that run at the replicas of a service, from a report that is some time old. Addresses large
// fleets whose hosts all read the same reports: the replica that was idle in the report would get the requests of all of
// them until the next one. No I/O, no clock.
//
// Of the reported requests, a part has ended since, and as many others have started, as the total changes little within
// the age of a report. The hosts all place by this forecast, so the new ones are expected to fill the replicas with the
// fewest requests per slot up to a common level. A host that chooses at random in proportion to what is missing up to
// that level does its part of this.
#pragma once

#include "foxtaildyke/foxtaildyke.h"

#include <unordered_map>
#include <vector>

namespace foxtaildyke
{

/// Estimates how long a request runs from the numbers of requests that run and end (Little's law).
class duration_estimator
{
public:
    void recordStart(instant now);
    void recordEnd(instant now);

    /// @returns the mean time for which a request runs at a replica; a default until enough requests have ended.
    [[nodiscard]] std::chrono::duration<double, std::milli> mean() const;

    static constexpr std::chrono::duration<double, std::milli> kDefault{500};
    /// Number of ended requests below which the default is used.
    static constexpr double kMinEnded = 5;
    /// Time after which a past request counts 1/e.
    static constexpr std::chrono::duration<double> kMemory{10};

private:
    void advance(instant now);

    std::optional<instant> m_updatedAt;
    double m_running = 0;
    double m_runningMs = 0; ///< integral of the running requests over time, decayed
    double m_ended = 0; ///< decayed
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
    /// @param meanDuration of a request.
    load_forecast(std::vector<replica_occupancy> replicas, instant age,
                  std::chrono::duration<double, std::milli> meanDuration);

    /// @returns the expected number of requests at a replica. One that was above the level is expected to stay there: it
    /// gets requests that prefer it.
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
    double m_level = 0; ///< in requests per slot
};

} // namespace foxtaildyke
