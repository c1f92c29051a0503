// Open-loop request generation; see load_callers.h.
#include "load_callers.h"

#include <random>
#include <xxhash.h>

namespace foxtaildyke::load
{

namespace
{

constexpr std::size_t kBytesPerToken = 4;

instant fromSeconds(double seconds)
{
    return instant{static_cast<std::int64_t>(seconds * 1e6)};
}

/// Generates the requests of one workload. Each workload has its own random stream, so that a change to one workload
/// does not change the requests of the others.
class workload_planner
{
public:
    workload_planner(const experiment &settings, std::size_t index, std::uint64_t seed, std::int64_t unixSeconds)
        : m_settings(settings)
        , m_workload(settings.workloads[index])
        , m_index(index)
        , m_unixSeconds(unixSeconds)
        , m_random(XXH64(m_workload.name.data(), m_workload.name.size(), seed))
    {
    }

    void plan(std::vector<planned_request> &requests)
    {
        const double length = std::max(1U, m_workload.sessionLength);
        const double startsPerSecond = m_workload.ratePerSecond / length;
        if (startsPerSecond <= 0)
            return;
        for (double at = randomInterval(startsPerSecond); at < m_settings.durationSeconds;
             at += randomInterval(startsPerSecond))
            planSession(requests, at);
    }

private:
    double randomInterval(double perSecond) { return std::exponential_distribution<double>(perSecond)(m_random); }
    std::uint64_t randomBelow(std::uint64_t limit)
    {
        return std::uniform_int_distribution<std::uint64_t>(0, limit - 1)(m_random);
    }

    void planSession(std::vector<planned_request> &requests, double at)
    {
        const auto &account = m_workload.accounts[randomBelow(m_workload.accounts.size())];
        const auto name = m_workload.name + "." + std::to_string(++m_sessions);
        const auto group = static_cast<std::uint32_t>(randomBelow(std::max(1U, m_workload.prefixGroups)));
        for (std::uint32_t i = 0; i < std::max(1U, m_workload.sessionLength); ++i) {
            requests.push_back({.arrivesAt = fromSeconds(at),
                                .workload = m_index,
                                .account = account,
                                .requestId = std::to_string(m_unixSeconds + static_cast<std::int64_t>(at)) + "-" + name
                                    + "." + std::to_string(i),
                                .sessionId = m_workload.sessionLength > 1 ? name : std::string{},
                                .prefixGroup = group,
                                .difficulty = m_random(),
                                .isDuplicated = randomBelow(1000) < m_workload.duplicatePermille});
            at += randomInterval(1 / std::max(0.001, m_workload.thinkSeconds));
        }
    }

    const experiment &m_settings;
    const workload &m_workload;
    std::size_t m_index;
    std::int64_t m_unixSeconds;
    std::mt19937_64 m_random;
    std::uint64_t m_sessions = 0;
};

} // namespace

std::vector<planned_request> planRequests(const experiment &settings, std::uint64_t seed, std::int64_t unixSeconds)
{
    std::vector<planned_request> requests;
    for (std::size_t index = 0; index < settings.workloads.size(); ++index)
        workload_planner(settings, index, seed, unixSeconds).plan(requests);
    std::ranges::stable_sort(requests, {}, &planned_request::arrivesAt);
    return requests;
}

std::string makePrompt(const workload &source, const planned_request &request, bool shareable)
{
    std::string prompt;
    if (!shareable || source.prefixTokens == 0)
        prompt = request.requestId + " ";
    prompt += source.name + " group " + std::to_string(request.prefixGroup) + " ";
    prompt.resize(
        std::max<std::size_t>(prompt.size(), std::min(source.prefixTokens, source.promptTokens) * kBytesPerToken), 'p');
    prompt += " " + request.requestId + " ";
    prompt.resize(std::max<std::size_t>(prompt.size(), source.promptTokens * kBytesPerToken), 'q');
    return prompt;
}

} // namespace foxtaildyke::load
