// Freshness of the configuration; see freshness_p.h.
#include "freshness_p.h"

#include <functional>

namespace foxtaildyke
{

namespace
{

/// A restarted host waits 1.1 leases before its first Recover call; the additional tenth covers clocks that run at
/// different rates, as in the acceptance rule.
constexpr int kMarginDivisor = 10;

bool isMajority(std::size_t count, std::size_t total)
{
    return 2 * count > total;
}

} // namespace

freshness::freshness(std::string hostName, instant startedAt)
    : m_host(std::move(hostName))
    , m_startedAt(startedAt)
{
}

bool freshness::adopt(generation_number generation, std::vector<std::string> registeredHosts,
                      std::chrono::milliseconds lease)
{
    if (generation <= m_generation)
        return false;
    m_generation = generation;
    m_registered = std::move(registeredHosts);
    m_lease = lease;
    recordGeneration(generation);
    endRecoveryOnQuorum();
    return true;
}

void freshness::recordGeneration(generation_number generation)
{
    m_highestKnown = std::max(m_highestKnown, generation);
}

void freshness::applyStamp(const freshness_stamp &stamp)
{
    recordGeneration(stamp.generation);
    const bool isNewer = stamp.generation > m_stamp.generation
        || (stamp.generation == m_stamp.generation && stamp.currentAt > m_stamp.currentAt);
    if (isNewer)
        m_stamp = stamp;
}

void freshness::recordStoreRead(generation_number generation, instant readStarted)
{
    applyStamp({generation, readStarted});
    if (m_generation >= generation)
        m_recovering = false;
}

instant freshness::earliestRecoverCall() const
{
    return m_startedAt + m_lease + m_lease / kMarginDivisor;
}

bool freshness::recordRecoverResponse(const std::string &host, bool isRecovering, generation_number generation,
                                      instant sentAt)
{
    recordGeneration(generation);
    if (sentAt < earliestRecoverCall() || isRecovering || generation == 0 || host == m_host)
        return !m_recovering;
    m_recoverResponses.insert(host);
    endRecoveryOnQuorum();
    return !m_recovering;
}

void freshness::endRecoveryOnQuorum()
{
    if (!m_recovering || !holdsHighest())
        return;
    const auto hasResponded = [this](const std::string &name) {
        return m_recoverResponses.contains(name);
    };
    const auto responded = static_cast<std::size_t>(std::ranges::count_if(m_registered, hasResponded));
    if (!isMajority(responded, m_registered.size()))
        return;
    m_recovering = false;
    m_recoverResponses.clear();
}

std::optional<freshness_stamp> freshness::quorumStamp(const std::vector<instant> &acknowledgedAt) const
{
    if (!holdsHighest() || acknowledgedAt.size() != m_registered.size())
        return std::nullopt;
    // With the times sorted newest first, this is the position of the oldest acknowledgement of the newest majority.
    const auto last = m_registered.size() / 2;
    auto times = acknowledgedAt;
    std::ranges::nth_element(times, times.begin() + static_cast<std::ptrdiff_t>(last), std::greater{});
    if (times.empty() || times[last] == kNotAcknowledged)
        return std::nullopt;
    return freshness_stamp{m_generation, times[last]};
}

bool freshness::isAcknowledgementValid(instant acknowledgedAt, instant now) const
{
    return acknowledgedAt != kNotAcknowledged && now - acknowledgedAt < m_lease;
}

instant freshness::leaseEnd() const
{
    return m_generation == 0 || m_stamp.generation != m_generation ? instant{} : m_stamp.currentAt + m_lease;
}

bool freshness::mayDispatch(instant now) const
{
    return mayAcknowledge() && now < leaseEnd();
}

bool freshness::mayAcknowledge() const
{
    return !m_recovering && holdsHighest() && isRegistered();
}

bool freshness::isRegistered() const
{
    return std::ranges::find(m_registered, m_host) != m_registered.end();
}

} // namespace foxtaildyke
