// Selection of a replica; see balancer_p.h.
#include "balancer_p.h"

#include <cmath>
#include <xxhash.h>

namespace foxtaildyke
{

namespace
{

constexpr std::uint32_t kFailuresToOpen = 3; ///< consecutive failures that open the circuit
constexpr std::chrono::seconds kInitialOpenTime{5}; ///< until the first trial request; doubles with each failed trial
constexpr std::uint32_t kMaxOpenDoublings =
    1; ///< a longer open time would only delay the trial of a replica that has recovered
constexpr double kReportFreshSeconds = 1; ///< younger reports count in full: reports arrive several times a second
constexpr double kReportDecaySeconds = 2; ///< then the reported load of other hosts decays to 1/e in this time
constexpr double kDistancePenalty = 0.05; ///< as a fraction of a replica's capacity, for another failure domain
constexpr double kAffinityBonus =
    0.3; ///< as a fraction of a replica's capacity, for the one that probably caches the prefix
constexpr double kAffinityLoadBound =
    1.25; ///< times the pool's mean load; above it a popular prefix would overload its replica
/// Fraction of a pool's slots that a host above its even share leaves to other hosts. It lowered the 99th percentile of
/// lookups at 3 times the capacity from 1.3 s to 1.1 s (overload.ini, seeds 1 and 2).
constexpr double kYieldShare = 0.1;
constexpr std::size_t kRemoteSubsetSize =
    16; ///< replicas of a subset in other failure domains, to survive the loss of one domain

std::uint64_t combine(std::uint64_t a, std::uint64_t b)
{
    const std::array<std::uint64_t, 2> words{a, b};
    return XXH64(words.data(), sizeof words, 0);
}

} // namespace

balancer::balancer(std::string failureDomain, std::uint64_t seed)
    : m_failureDomain(std::move(failureDomain))
    , m_seed(seed)
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
        const auto slots = known == m_replicas.end() || entry.reportedAt < instant{} ? info.slots : entry.info.slots;
        entry.info = info;
        entry.info.slots = slots;
        entry.nameHash = XXH64(info.name.data(), info.name.size(), 0);
        if (next.emplace(info.name, std::move(entry)).second)
            m_order.push_back(info.name);
    }
    m_replicas = std::move(next);
    buildPools();
}

void balancer::buildPools()
{
    m_pools.clear();
    for (const auto &name : m_order) {
        auto &entry = m_replicas.at(name);
        if (entry.info.state != host_state::live)
            continue;
        for (const auto &version : entry.info.versions)
            m_pools[{entry.info.service, version}].push_back(&entry);
    }
    for (auto &[key, members] : m_pools)
        limitPool(members);
}

void balancer::limitPool(pool &members) const
{
    if (members.size() <= kSubsetSize)
        return;
    // Rendezvous hashing: a change of the host list moves only the replicas that were added or removed.
    std::ranges::sort(members, {}, [&](const replica *entry) { return combine(m_seed, entry->nameHash); });
    const auto isLocal = [&](const replica *entry) {
        return entry->info.failureDomain == m_failureDomain;
    };
    const auto remote = std::stable_partition(members.begin(), members.end(), isLocal);
    const auto localCount = static_cast<std::size_t>(remote - members.begin());
    const auto remoteCount = members.size() - localCount;
    const auto localUsed = std::min(localCount, kSubsetSize - std::min(kRemoteSubsetSize, remoteCount));
    members.erase(members.begin() + static_cast<std::ptrdiff_t>(localUsed), remote);
    members.resize(std::min(members.size(), kSubsetSize));
}

const balancer::pool *balancer::findPool(std::string_view service, std::string_view version) const
{
    const auto found = m_pools.find(pool_key{service, version});
    return found == m_pools.end() ? nullptr : &found->second;
}

void balancer::recordLoadReport(std::string_view upstream, std::uint32_t running, std::uint32_t queued,
                                std::uint32_t slots, instant measuredAt)
{
    const auto found = m_replicas.find(std::string(upstream));
    if (found == m_replicas.end() || measuredAt <= found->second.reportedAt)
        return;
    auto &entry = found->second;
    entry.reportedLoad = running + queued;
    entry.inFlightAtReport = entry.inFlight;
    entry.startsSinceReport = 0;
    entry.reportedAt = measuredAt;
    if (slots > 0)
        entry.info.slots = slots;
}

double balancer::loadOf(const replica &candidate, instant now)
{
    // Attempts of this host are counted exactly; only the load of other hosts is taken from the report.
    if (candidate.reportedAt < instant{} || candidate.reportedLoad <= candidate.inFlightAtReport)
        return candidate.inFlight;
    const auto age = std::max(0.0, std::chrono::duration<double>(now - candidate.reportedAt).count());
    const auto others = static_cast<double>(candidate.reportedLoad - candidate.inFlightAtReport);
    return candidate.inFlight + others * std::exp(-std::max(0.0, age - kReportFreshSeconds) / kReportDecaySeconds);
}

/// Estimates the attempts that the other hosts have started since the last report, assuming that each has started as
/// many as this host. Returns 0 without a recent report: only a report resets the count, so it would otherwise grow
/// until this host no longer used a pool that is free.
double balancer::estimateOthersStarts(const replica &candidate, std::size_t hosts, instant now)
{
    const auto age = std::chrono::duration<double>(now - candidate.reportedAt).count();
    if (candidate.reportedAt < instant{} || age > kReportFreshSeconds || hosts < 2)
        return 0;
    return candidate.startsSinceReport * static_cast<double>(hosts - 1);
}

bool balancer::isLastClosed(const replica &candidate, instant now) const
{
    return std::ranges::any_of(m_pools, [&](const auto &item) {
        const auto &members = item.second;
        const bool isMember = std::ranges::find(members, &candidate) != members.end();
        return isMember && std::ranges::none_of(members, [&](const replica *other) {
                   return other != &candidate && now >= other->openUntil;
               });
    });
}

bool balancer::isOpen(const replica &candidate, instant now)
{
    return now < candidate.openUntil || (candidate.isHalfOpen && candidate.inFlight > 0);
}

double balancer::score(const replica &candidate, instant now) const
{
    const auto distance = candidate.info.failureDomain == m_failureDomain ? 0.0 : kDistancePenalty;
    return loadOf(candidate, now) / std::max(1U, candidate.info.slots) + distance;
}

/// Chooses the better of two random replicas by score(), or the one that probably caches the prefix if its load
/// permits.
balancer::replica *balancer::choose(const pool &available, std::uint64_t prefixHash, double meanLoad, instant now)
{
    const auto lastIndex = available.size() - 1;
    const auto firstIndex = std::uniform_int_distribution<std::size_t>(0, lastIndex)(m_random);
    const auto offset = lastIndex == 0 ? 0 : std::uniform_int_distribution<std::size_t>(1, lastIndex)(m_random);
    auto *first = available[firstIndex];
    auto *second = available[(firstIndex + offset) % available.size()];
    auto *best = score(*second, now) < score(*first, now) ? second : first;
    if (prefixHash == 0)
        return best;
    auto *prefixReplica = *std::ranges::max_element(
        available, {}, [&](const replica *entry) { return combine(prefixHash, entry->nameHash); });
    const auto bound = std::max(1.0, kAffinityLoadBound * meanLoad);
    const bool isEligible =
        loadOf(*prefixReplica, now) < bound && score(*prefixReplica, now) - kAffinityBonus <= score(*best, now);
    return isEligible ? prefixReplica : best;
}

const upstream_info *balancer::pick(const pick_request &request, const tuning &tune, instant now)
{
    const auto *members = findPool(request.service, request.version);
    if (members == nullptr)
        return nullptr;
    pool available;
    double slots = 0;
    double load = 0;
    double othersStarts = 0;
    double ownInFlight = 0;
    for (auto *entry : *members) {
        if (isOpen(*entry, now))
            continue;
        const auto used = loadOf(*entry, now);
        slots += entry->info.slots;
        load += std::min<double>(used, entry->info.slots);
        ownInFlight += entry->inFlight;
        othersStarts += estimateOthersStarts(*entry, request.hosts, now);
        // The remainder of a decayed report is ignored: it must not make the last slot unavailable.
        if (used + 0.5 < entry->info.slots && entry->info.name != request.exclude)
            available.push_back(entry);
    }
    // The reserve is computed for the whole pool: for a replica with few slots it would round to nothing or to all
    // slots. Each other host is assumed to have started as many attempts since the last reports as this one; otherwise
    // all hosts would fill the same free slots.
    const bool isInteractive = request.priority == request_class::interactive;
    const auto reserve =
        isInteractive ? 0.0 : std::min(slots - 1, std::ceil(slots * tune.interactiveReservePercent / 100));
    const auto hosts = static_cast<double>(std::max<std::size_t>(1, request.hosts));
    // Slots freed by this host's own attempts become visible to it before other hosts. Above its even share of the pool
    // it therefore leaves some of them to hosts below theirs.
    const bool isAboveShare = !isInteractive && hosts > 1 && ownInFlight * hosts >= slots - reserve;
    const auto occupied = isInteractive ? load : load + othersStarts + (isAboveShare ? kYieldShare * slots : 0);
    if (available.empty() || slots - occupied < reserve + 0.5)
        return nullptr;
    return &choose(available, request.prefixHash, load / static_cast<double>(members->size()), now)->info;
}

bool balancer::isServed(std::string_view service, std::string_view version, instant now) const
{
    const auto *members = findPool(service, version);
    return members != nullptr
        && std::ranges::any_of(*members, [&](const replica *entry) { return now >= entry->openUntil; });
}

std::size_t balancer::poolSize(std::string_view service, std::string_view version) const
{
    const auto *members = findPool(service, version);
    return members != nullptr ? members->size() : 0;
}

void balancer::recordStart(std::string_view upstream)
{
    const auto found = m_replicas.find(std::string(upstream));
    if (found == m_replicas.end())
        return;
    ++found->second.inFlight;
    ++found->second.startsSinceReport;
}

void balancer::recordEnd(std::string_view upstream, std::optional<attempt_failure> failure, instant now)
{
    const auto found = m_replicas.find(std::string(upstream));
    if (found == m_replicas.end())
        return;
    auto &entry = found->second;
    if (entry.inFlight > 0)
        --entry.inFlight;
    // A rejection is caused by the request and shows that the replica responds.
    if (!failure || *failure == attempt_failure::rejected) {
        entry.failuresInRow = 0;
        entry.isHalfOpen = false;
        return;
    }
    if (*failure == attempt_failure::overloaded) {
        // A refusal is newer information about the load than the last report.
        entry.reportedLoad = entry.inFlight + entry.info.slots;
        entry.inFlightAtReport = entry.inFlight;
        entry.reportedAt = std::max(entry.reportedAt, now);
        return;
    }
    // Failures of attempts that started before the circuit opened add no information.
    if (now < entry.openUntil)
        return;
    // A replica that refuses connections is down but appears idle, so the next attempt would select it as well: a
    // single failure to connect opens the circuit.
    entry.failuresInRow += *failure == attempt_failure::not_sent ? kFailuresToOpen : 1;
    if (entry.failuresInRow < kFailuresToOpen && !entry.isHalfOpen)
        return;
    // Timeouts of an overloaded pool must not open the circuit of its last available replica.
    if (isLastClosed(entry, now))
        return;
    const auto doublings =
        std::min(kMaxOpenDoublings, entry.failuresInRow - std::min(entry.failuresInRow, kFailuresToOpen));
    entry.openUntil = now + kInitialOpenTime * (1U << doublings);
    entry.isHalfOpen = true;
}

} // namespace foxtaildyke
