// The retry budget of several hosts together, counted as their users do: over all hosts, in every window.
#include "retry_budget_p.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>
#include <vector>

using namespace foxtaildyke;
using namespace std::chrono_literals;

namespace
{

constexpr retry_budget_limits kLimits{.ratio = 0.9, .window = 10s, .slack = 52};

struct fleet_load {
    std::size_t hosts = 6;
    int perSecond = 100; ///< requests to all hosts
    std::uint32_t maxSends = 3;
    instant failingFrom = 12s; ///< all attempts fail from then on
    instant end = 40s;
    std::vector<instant> kills; ///< times at which some hosts are killed
    double killedShare = 1;
    std::chrono::milliseconds downTime = 1s;
};

/// Hosts that retry all failed attempts at once. A host that is down receives no requests, and starts without memory.
class fleet_simulation
{
public:
    fleet_simulation(fleet_load load, std::uint64_t seed)
        : m_load(std::move(load))
        , m_random(seed)
        , m_hosts(m_load.hosts, newBudget())
        , m_upFrom(m_load.hosts, instant{0})
    {
    }

    /// @returns the most retries in a window beyond the users' limit.
    double run()
    {
        const instant gap = std::chrono::duration_cast<instant>(1s) / m_load.perSecond;
        auto kill = m_load.kills.begin();
        for (instant now{0}; now < m_load.end; now += gap) {
            for (; kill != m_load.kills.end() && *kill <= now; ++kill)
                killHosts(now);
            serve(now);
        }
        return mostBeyondLimit();
    }

    [[nodiscard]] std::size_t retries() const { return m_retries.size(); }

private:
    [[nodiscard]] retry_budget newBudget() const
    {
        retry_budget budget(kLimits);
        budget.setHosts(m_load.hosts);
        return budget;
    }

    void killHosts(instant now)
    {
        const auto count = static_cast<std::size_t>(m_load.killedShare * static_cast<double>(m_hosts.size()));
        for (std::size_t host = 0; host < count; ++host) {
            m_hosts[host] = newBudget();
            m_upFrom[host] = now + m_load.downTime;
        }
    }

    void serve(instant now)
    {
        m_requests.push_back(now);
        const auto host = m_random() % m_hosts.size();
        if (now < m_upFrom[host])
            return;
        m_hosts[host].recordRequest("s", now);
        if (now < m_load.failingFrom)
            return;
        for (std::uint32_t sends = 1; sends < m_load.maxSends; ++sends)
            if (m_hosts[host].tryConsumeRetry("s", retry_reason::failure, now))
                m_retries.push_back(now);
    }

    [[nodiscard]] static double countFrom(const std::vector<instant> &times, instant begin)
    {
        const auto first = std::ranges::lower_bound(times, begin);
        return static_cast<double>(std::ranges::lower_bound(times, begin + kLimits.window) - first);
    }

    [[nodiscard]] double mostBeyondLimit() const
    {
        double most = -kLimits.slack;
        for (const auto begin : m_retries) {
            double requests = 0;
            for (const auto earlier : {instant{0}, instant{kLimits.window} / 2, instant{kLimits.window}})
                requests = std::max(requests, countFrom(m_requests, begin - earlier));
            most = std::max(most, countFrom(m_retries, begin) - kLimits.ratio * requests - kLimits.slack);
        }
        return most;
    }

    fleet_load m_load;
    std::mt19937_64 m_random;
    std::vector<retry_budget> m_hosts;
    std::vector<instant> m_upFrom;
    std::vector<instant> m_requests; ///< of all hosts, ascending, as are the retries
    std::vector<instant> m_retries;
};

} // namespace

TEST_CASE("retry budget: hosts killed after a burst of failures don't exceed the limit of all hosts")
{
    for (const std::size_t hosts : {6U, 9U, 88U})
        for (const std::uint32_t maxSends : {2U, 3U, 4U})
            for (const double share : {0.55, 1.0}) {
                CAPTURE(hosts);
                CAPTURE(maxSends);
                CAPTURE(share);
                fleet_load load{.hosts = hosts, .maxSends = maxSends, .kills = {15s}, .killedShare = share};
                CHECK(fleet_simulation(load, hosts).run() <= 0);
            }
}

TEST_CASE("retry budget: hosts that are killed again and again don't exceed the limit of all hosts")
{
    for (const std::size_t hosts : {6U, 9U, 88U}) {
        CAPTURE(hosts);
        fleet_load load{.hosts = hosts, .kills = {15s, 18s, 21s, 24s, 27s}};
        CHECK(fleet_simulation(load, hosts).run() <= 0);
    }
}

TEST_CASE("retry budget: a burst of failures is retried, and a service that fails for long gets most of its budget")
{
    for (const std::size_t hosts : {6U, 88U}) {
        CAPTURE(hosts);
        fleet_load burst{.hosts = hosts, .maxSends = 2, .failingFrom = 12s, .end = 13s};
        fleet_simulation brief(burst, 1);
        CHECK(brief.run() <= 0);
        CHECK(brief.retries() >= 95); // of 100
        fleet_simulation lasting({.hosts = hosts}, 1);
        CHECK(lasting.run() <= 0);
        CHECK(lasting.retries() >= 0.75 * 2800);
    }
}
