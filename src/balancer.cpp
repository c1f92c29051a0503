// Choice of a replica; see balancer_p.h.
#include "balancer_p.h"

namespace foxtaildyke
{

namespace
{

constexpr std::uint32_t kFailuresToOpen = 3; ///< failures in a row that open the circuit
constexpr std::chrono::seconds kOpenTime{5};

bool serves(const upstream_info &info, std::string_view service, std::string_view version)
{
    return info.service == service && std::ranges::find(info.versions, version) != info.versions.end();
}

} // namespace

balancer::balancer(std::string failureDomain, std::uint64_t seed)
    : m_failureDomain(std::move(failureDomain))
    , m_random(seed)
{
}

void balancer::setUpstreams(const std::vector<upstream_info> &upstreams)
{
    std::unordered_map<std::string, replica> next;
    m_order.clear();
    for (const auto &info : upstreams) {
        const auto known = m_replicas.find(info.name);
        replica entry = known == m_replicas.end() ? replica{} : known->second;
        entry.info = info;
        next.emplace(info.name, std::move(entry));
        m_order.push_back(info.name);
    }
    m_replicas = std::move(next);
}

void balancer::report(std::string_view upstream, std::uint32_t running, std::uint32_t queued, std::uint32_t slots,
                      instant measuredAt)
{
    const auto found = m_replicas.find(std::string(upstream));
    if (found == m_replicas.end() || measuredAt <= found->second.reportedAt)
        return;
    auto &entry = found->second;
    entry.reportedLoad = running + queued;
    entry.inFlightAtReport = entry.inFlight;
    entry.reportedAt = measuredAt;
    if (slots > 0)
        entry.info.slots = slots;
}

double balancer::score(const replica &candidate, const pick_request &, instant) const
{
    const auto load = std::max<double>(candidate.inFlight, candidate.reportedLoad);
    const auto distance = candidate.info.failureDomain == m_failureDomain ? 0.0 : 0.05;
    return load / std::max(1U, candidate.info.slots) + distance;
}

const upstream_info *balancer::pick(const pick_request &request, const tuning &, instant now)
{
    std::vector<replica *> open;
    for (const auto &name : m_order) {
        auto &entry = m_replicas.at(name);
        const bool usable = entry.info.state == host_state::live && now >= entry.openUntil
            && entry.inFlight < entry.info.slots && entry.info.name != request.exclude
            && serves(entry.info, request.service, request.version);
        if (usable)
            open.push_back(&entry);
    }
    if (open.empty())
        return nullptr;
    const auto best =
        std::ranges::min_element(open, {}, [&](const replica *entry) { return score(*entry, request, now); });
    return &(*best)->info;
}

bool balancer::isServed(std::string_view service, std::string_view version, instant now) const
{
    return std::ranges::any_of(m_replicas, [&](const auto &item) {
        const auto &entry = item.second;
        return entry.info.state == host_state::live && now >= entry.openUntil && serves(entry.info, service, version);
    });
}

void balancer::noteStart(std::string_view upstream)
{
    const auto found = m_replicas.find(std::string(upstream));
    if (found != m_replicas.end())
        ++found->second.inFlight;
}

void balancer::noteEnd(std::string_view upstream, std::optional<attempt_failure> failure, instant now)
{
    const auto found = m_replicas.find(std::string(upstream));
    if (found == m_replicas.end())
        return;
    auto &entry = found->second;
    if (entry.inFlight > 0)
        --entry.inFlight;
    if (!failure) {
        entry.failuresInRow = 0;
        return;
    }
    if (++entry.failuresInRow >= kFailuresToOpen)
        entry.openUntil = now + kOpenTime;
}

} // namespace foxtaildyke
