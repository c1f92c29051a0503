// Model cascade under a retry budget that failures use up: many hosts with few requests each, in virtual time.
#include "model_cascade_p.h"
#include "retry_budget_p.h"

#include <doctest/doctest.h>
#include <random>
#include <vector>

using namespace foxtaildyke;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t kMaxSends = 3;
constexpr std::uint64_t kLowConfidence = 20;
constexpr std::uint64_t kHighConfidence = 90;

struct cascade_load {
    std::size_t hosts = 195;
    double perSecond = 2.3; ///< requests of each host
    double hardShare = 0.5; ///< requests that are too hard for the smallest model, which states a low confidence
    instant failuresFrom = 10s; ///< a part of the attempts fail between these
    instant failuresTo = 16s;
    double failureShare = 0.3;
    instant length = 30s;
};

/// What the callers get.
struct cascade_result {
    std::size_t requests = 0;
    std::size_t answeredWell = 0; ///< by a model that is large enough
    std::size_t answeredBadly = 0; ///< by a model that is too small, with a low confidence
    std::size_t largestRuns = 0;
    double budgetUsed = 0; ///< largest sum of retries in a window over all hosts, as a fraction of what is allowed
};

class cascade_simulation
{
public:
    /// @param isBudgetAsked whether the first model depends on the retry budget.
    cascade_simulation(const cascade_load &load, bool isBudgetAsked, std::uint64_t seed)
        : m_load(load)
        , m_isBudgetAsked(isBudgetAsked)
        , m_random(seed)
        , m_hosts(load.hosts, retry_budget(kLimits))
    {
        for (auto &host : m_hosts)
            host.setHosts(load.hosts);
    }

    cascade_result run()
    {
        std::exponential_distribution<double> gap(m_load.perSecond * static_cast<double>(m_load.hosts));
        double seconds = 0;
        while ((seconds += gap(m_random)) < std::chrono::duration<double>(m_load.length).count()) {
            const auto now = std::chrono::duration_cast<instant>(std::chrono::duration<double>(seconds));
            m_arrivals.push_back(now);
            serve(m_hosts[m_random() % m_hosts.size()], now);
        }
        m_result.requests = m_arrivals.size();
        m_result.budgetUsed = budgetUsed();
        return m_result;
    }

private:
    static constexpr retry_budget_limits kLimits{.ratio = 0.9, .window = 10s, .slack = 430};

    bool draw(double share) { return std::uniform_real_distribution<>(0, 1)(m_random) < share; }

    void serve(retry_budget &budget, instant now)
    {
        budget.recordRequest("s", now);
        cascade_step step{{.mayRetry = true, .maxSends = kMaxSends, .remaining = 1s}, 3};
        step.objective = 1s;
        step.current = chooseFirst(budget, step, now);
        const bool isHard = draw(m_load.hardShare);
        const bool isFailing = now >= m_load.failuresFrom && now < m_load.failuresTo;
        while (++step.sends <= kMaxSends) {
            const bool isLargest = step.current + 1 == step.models;
            m_result.largestRuns += isLargest ? 1 : 0;
            if (isFailing && draw(m_load.failureShare)) {
                if (step.sends == kMaxSends || !tryRetry(budget, retry_reason::failure, now))
                    return;
                if (step.current == 0)
                    step.current = chooseFirst(budget, step, now);
                continue;
            }
            step.confidence = isHard && !isLargest ? kLowConfidence : kHighConfidence;
            const auto next = nextModel(m_settings, step);
            if (next && tryRetry(budget, retry_reason::escalation, now)) {
                step.current = *next;
                continue;
            }
            ++(step.confidence == kLowConfidence ? m_result.answeredBadly : m_result.answeredWell);
            return;
        }
    }

    std::size_t chooseFirst(retry_budget &budget, cascade_step step, instant now)
    {
        step.isEscalationAllowed = !m_isBudgetAsked || budget.allowsRetry("s", retry_reason::escalation, now);
        return firstModel(m_settings, step);
    }

    bool tryRetry(retry_budget &budget, retry_reason reason, instant now)
    {
        const bool isAllowed = budget.tryConsumeRetry("s", reason, now);
        if (isAllowed)
            m_retries.push_back(now);
        return isAllowed;
    }

    /// @returns the largest fraction of the users' limit in a window that ends with a retry.
    [[nodiscard]] double budgetUsed() const
    {
        const auto countIn = [](const std::vector<instant> &times, instant end) {
            const auto first = std::ranges::upper_bound(times, end - kLimits.window);
            return static_cast<double>(std::ranges::upper_bound(times, end) - first);
        };
        double most = 0;
        for (const auto end : m_retries)
            most = std::max(most, countIn(m_retries, end) / (kLimits.ratio * countIn(m_arrivals, end) + kLimits.slack));
        return most;
    }

    cascade_load m_load;
    bool m_isBudgetAsked;
    cascade_settings m_settings;
    std::mt19937_64 m_random;
    std::vector<retry_budget> m_hosts;
    std::vector<instant> m_arrivals; ///< ascending, as are the retries
    std::vector<instant> m_retries;
    cascade_result m_result;
};

} // namespace

TEST_CASE("cascade under a budget: callers get answers of a sufficient model while failures use up the retries")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        const auto unaware = cascade_simulation({}, false, seed).run();
        const auto aware = cascade_simulation({}, true, seed).run();
        CAPTURE(unaware.answeredBadly);
        CAPTURE(aware.answeredBadly);
        CHECK(aware.answeredBadly * 100 < aware.requests);
        CHECK(aware.answeredBadly * 5 < unaware.answeredBadly);
        CHECK(aware.answeredWell > unaware.answeredWell);
        CHECK(aware.budgetUsed <= 1);
    }
}

TEST_CASE("cascade under a budget: without failures the largest model isn't used much more than it is needed")
{
    for (const std::size_t hosts : {6U, 195U, 350U}) {
        CAPTURE(hosts);
        cascade_load load{.hosts = hosts, .failureShare = 0};
        const auto result = cascade_simulation(load, true, hosts).run();
        const auto requests = static_cast<double>(result.requests);
        CHECK(static_cast<double>(result.largestRuns) < (load.hardShare + 0.1) * requests);
        CHECK(static_cast<double>(result.answeredBadly) < 0.01 * requests);
        CHECK(result.budgetUsed <= 1);
    }
}
