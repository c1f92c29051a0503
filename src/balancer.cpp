// Choice of a replica; see balancer_p.h.
#include "balancer_p.h"

#include <cmath>
#include <xxhash.h>

namespace foxtaildyke
{

namespace
{

constexpr std::uint32_t kFailuresToOpen = 3; ///< failures in a row that open the circuit
constexpr std::chrono::seconds kOpenTime{5}; ///< before the first trial; doubles with each failed trial
constexpr std::uint32_t kOpenDoublingsMost =
    1; ///< a replica that came back waits for its trial as long as the circuit stays open
constexpr double kReportFreshSeconds = 1; ///< a younger report counts in full: reports come several times a second
constexpr double kReportLifetimeSeconds = 2; ///< later, the time in which an old report of others' load falls to 1/e
constexpr double kDistancePenalty = 0.05; ///< of a full replica, for another failure domain
constexpr double kAffinityBonus = 0.3; ///< of a full replica, for the one that likely holds the prompt's prefix
constexpr double kAffinityLoadBound =
    1.25; ///< times the pool's mean load: more and a popular prefix would be a hot spot
/// Part of a pool's slots that a host above its even part leaves to others. With it the 99th percentile of lookups at 3
/// times the capacity was 1.1 s instead of 1.3 s (overload.ini, seeds 1 and 2).
constexpr double kYieldShare = 0.1;
constexpr std::size_t kSubsetFar =
    16; ///< of a subset, kept for other failure domains, so that the loss of one is survived

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
    // Rendezvous order: a change of the host list changes only the places of the replicas that came or went.
    std::ranges::sort(members, {}, [&](const replica *entry) { return combine(m_seed, entry->nameHash); });
    const auto isNear = [&](const replica *entry) {
        return entry->info.failureDomain == m_failureDomain;
    };
    const auto far = std::stable_partition(members.begin(), members.end(), isNear);
    const auto nearCount = static_cast<std::size_t>(far - members.begin());
    const auto farCount = members.size() - nearCount;
    const auto nearUsed = std::min(nearCount, kSubsetSize - std::min(kSubsetFar, farCount));
    members.erase(members.begin() + static_cast<std::ptrdiff_t>(nearUsed), far);
    members.resize(std::min(members.size(), kSubsetSize));
}

const balancer::pool *balancer::findPool(std::string_view service, std::string_view version) const
{
    const auto found = m_pools.find(pool_key{service, version});
    return found == m_pools.end() ? nullptr : &found->second;
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
    entry.startsSinceReport = 0;
    entry.reportedAt = measuredAt;
    if (slots > 0)
        entry.info.slots = slots;
}

double balancer::loadOf(const replica &candidate, instant now)
{
    // Own attempts are known exactly; only the other hosts' part comes from the report.
    if (candidate.reportedAt < instant{} || candidate.reportedLoad <= candidate.inFlightAtReport)
        return candidate.inFlight;
    const auto age = std::max(0.0, std::chrono::duration<double>(now - candidate.reportedAt).count());
    const auto others = static_cast<double>(candidate.reportedLoad - candidate.inFlightAtReport);
    return candidate.inFlight + others * std::exp(-std::max(0.0, age - kReportFreshSeconds) / kReportLifetimeSeconds);
}

double balancer::unseenStarts(const replica &candidate, std::size_t hosts, instant now)
{
    // Without reports the own starts would only add up, and in the end keep the host from a pool that is free.
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

balancer::replica *balancer::choose(const pool &open, std::uint64_t prefixHash, double meanLoad, instant now)
{
    const auto last = open.size() - 1;
    const auto first = std::uniform_int_distribution<std::size_t>(0, last)(m_random);
    const auto offset = last == 0 ? 0 : std::uniform_int_distribution<std::size_t>(1, last)(m_random);
    auto *one = open[first];
    auto *two = open[(first + offset) % open.size()];
    auto *best = score(*two, now) < score(*one, now) ? two : one;
    if (prefixHash == 0)
        return best;
    auto *holder =
        *std::ranges::max_element(open, {}, [&](const replica *entry) { return combine(prefixHash, entry->nameHash); });
    const auto bound = std::max(1.0, kAffinityLoadBound * meanLoad);
    const bool mayTake = loadOf(*holder, now) < bound && score(*holder, now) - kAffinityBonus <= score(*best, now);
    return mayTake ? holder : best;
}

const upstream_info *balancer::pick(const pick_request &request, const tuning &tune, instant now)
{
    const auto *members = findPool(request.service, request.version);
    if (members == nullptr)
        return nullptr;
    pool open;
    double slots = 0;
    double load = 0;
    double unseen = 0;
    double own = 0;
    for (auto *entry : *members) {
        if (isOpen(*entry, now))
            continue;
        const auto used = loadOf(*entry, now);
        slots += entry->info.slots;
        load += std::min<double>(used, entry->info.slots);
        own += entry->inFlight;
        unseen += unseenStarts(*entry, request.hosts, now);
        // A faded report leaves a small rest that must not close the last slot.
        if (used + 0.5 < entry->info.slots && entry->info.name != request.exclude)
            open.push_back(entry);
    }
    // The reserve is counted over the pool: of a replica with few slots a part would be all or nothing. The other hosts
    // are taken to have started as much since the last reports as this one, or all would fill the same free slots.
    const bool isInteractive = request.priority == request_class::interactive;
    const auto reserve =
        isInteractive ? 0.0 : std::min(slots - 1, std::ceil(slots * tune.interactiveReservePercent / 100));
    const auto hosts = static_cast<double>(std::max<std::size_t>(1, request.hosts));
    // A host whose attempts end sees the free slot first. Above its even part it leaves some for hosts below theirs.
    const bool isAbovePart = !isInteractive && hosts > 1 && own * hosts >= slots - reserve;
    const auto taken = isInteractive ? load : load + unseen + (isAbovePart ? kYieldShare * slots : 0);
    if (open.empty() || slots - taken < reserve + 0.5)
        return nullptr;
    return &choose(open, request.prefixHash, load / static_cast<double>(members->size()), now)->info;
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
    // A rejection is the request's fault, and shows that the replica answers.
    if (!failure || *failure == attempt_failure::rejected) {
        entry.failuresInRow = 0;
        entry.isHalfOpen = false;
        return;
    }
    if (*failure == attempt_failure::overloaded) {
        // A refusal tells the load better than the last report.
        entry.reportedLoad = entry.inFlight + entry.info.slots;
        entry.inFlightAtReport = entry.inFlight;
        entry.reportedAt = std::max(entry.reportedAt, now);
        return;
    }
    // Attempts that began before the circuit opened say nothing new.
    if (now < entry.openUntil)
        return;
    // A replica that takes no connection is gone, and looks idle: a second attempt would go there as well.
    entry.failuresInRow += *failure == attempt_failure::not_sent ? kFailuresToOpen : 1;
    if (entry.failuresInRow < kFailuresToOpen && !entry.isHalfOpen)
        return;
    // Timeouts of an overloaded pool must not close its last replica to everyone.
    if (isLastClosed(entry, now))
        return;
    const auto doublings =
        std::min(kOpenDoublingsMost, entry.failuresInRow - std::min(entry.failuresInRow, kFailuresToOpen));
    entry.openUntil = now + kOpenTime * (1U << doublings);
    entry.isHalfOpen = true;
}

} // namespace foxtaildyke
