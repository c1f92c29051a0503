// Replica selection; see replica_table_p.h.
#include "replica_table_p.h"

#include "replica_subset_p.h"

#include <cmath>

namespace foxtaildyke
{

namespace
{

constexpr double kFailureWeight = 0.1; ///< of the newest response; the average covers about the last ten
constexpr double kOtherDomainPenalty = 0.25; ///< in outstanding requests; a tie-breaker between equally loaded replicas
constexpr double kColdPenalty = 2.0; ///< in outstanding requests; keeps load off replicas that have just started
/// Replicas that requests are gathered on, at least: a single one can't be told from its version.
constexpr std::size_t kMinGatheredReplicas = 2;
/// Largest fraction of a service's replicas ejected at a time. If more fail, the replicas aren't the cause, and
/// ejections are ignored.
constexpr double kMaxEjectedShare = 0.5;

/// Rendezvous hashing: the replica with the largest value is preferred. Few prompts change their preferred replica when
/// replicas are added or removed.
std::uint64_t rendezvousWeight(std::uint64_t prompt, std::uint64_t idHash)
{
    const std::array<std::uint64_t, 2> both{prompt, idHash};
    return XXH64(both.data(), sizeof(both), 0);
}

} // namespace

replica_table::replica *replica_table::preferredFor(std::uint64_t sharedPrefixHash, const candidate_list &available)
{
    if (sharedPrefixHash == 0)
        return nullptr;
    return *std::ranges::max_element(available, {}, [sharedPrefixHash](const replica *candidate) {
        return rendezvousWeight(sharedPrefixHash, candidate->idHash);
    });
}

replica_table::replica_table(std::string failureDomain, std::uint64_t seed, std::string_view host)
    : m_failureDomain(std::move(failureDomain))
    , m_random(seed)
    , m_hostHash(hashOf(host))
{
}

void replica_table::setReplicas(const std::vector<replica_entry> &replicas)
{
    std::unordered_map<std::string_view, const replica_entry *> next;
    for (const auto &entry : replicas)
        next.insert_or_assign(entry.id, &entry);
    std::vector<std::string> removed;
    for (const auto &[id, known] : m_replicas)
        if (!next.contains(id))
            removed.push_back(id);
    std::ranges::for_each(removed, [this](const std::string &id) { removeReplica(id); });
    std::ranges::for_each(replicas, [this](const replica_entry &entry) { setReplica(entry); });
}

void replica_table::setReplica(const replica_entry &entry)
{
    const auto [found, isNew] = m_replicas.try_emplace(entry.id);
    auto &target = found->second;
    const bool isMoved = !isNew && target.entry.service != entry.service;
    if (isMoved)
        removeFromPool(target);
    if (target.entry.startedAtMs != entry.startedAtMs || target.entry.address != entry.address)
        target = {};
    target.entry = entry;
    target.idHash = hashOf(entry.id);
    target.hostRank = replica_subset::rank(m_hostHash, target.idHash);
    if (isNew || isMoved)
        addToPool(target);
}

void replica_table::removeReplica(const std::string &id)
{
    const auto found = m_replicas.find(id);
    if (found == m_replicas.end())
        return;
    removeFromPool(found->second);
    m_replicas.erase(found);
}

void replica_table::addToPool(replica &added)
{
    auto &pool = m_pools[added.entry.service];
    const auto idOf = [](const replica *known) -> const std::string & {
        return known->entry.id;
    };
    pool.byId.insert(std::ranges::lower_bound(pool.byId, added.entry.id, {}, idOf), &added);
    pool.byRank.insert(std::ranges::lower_bound(pool.byRank, added.hostRank, {}, &replica::hostRank), &added);
}

void replica_table::removeFromPool(replica &removed)
{
    const auto found = m_pools.find(removed.entry.service);
    std::erase(found->second.byId, &removed);
    std::erase(found->second.byRank, &removed);
    if (found->second.byId.empty())
        m_pools.erase(found);
}

bool replica_table::isEligible(const replica &candidate, const replica_query &query)
{
    const auto &entry = candidate.entry;
    const bool hasRequestedVersion = query.version.empty() || entry.version == query.version;
    const bool isExcluded = query.excludedVersions && query.excludedVersions->contains(entry.version);
    const bool isLeaving = entry.isDraining || (query.gate && query.gate->isLeaving(entry.id));
    return !isLeaving && hasRequestedVersion && !isExcluded;
}

send_exclusion replica_table::exclusionOf(const replica &candidate, const replica_query &query, instant now) const
{
    const auto mean = std::chrono::ceil<std::chrono::milliseconds>(durations(candidate.entry.service).mean());
    const slot_usage usage{candidate.entry.slots, candidate.running, candidate.othersRunning, mean};
    return query.gate ? query.gate->check(candidate.entry.id, usage, now) : send_exclusion::none;
}

send_exclusion replica_table::exclusion(const replica_query &query, instant now) const
{
    auto strongest = send_exclusion::none;
    const auto found = m_pools.find(query.service);
    if (found == m_pools.end())
        return strongest;
    for (const auto *known : found->second.byId) {
        const bool isTried = query.tried && query.tried->contains(known->entry.id);
        if (isEligible(*known, query) && !isTried)
            strongest = std::max(strongest, exclusionOf(*known, query, now));
    }
    return strongest;
}

/// @returns the replicas on which all hosts gather the requests, or all that the query matches.
replica_table::candidate_list replica_table::gatheredReplicas(const replica_pool &pool, const replica_query &query)
{
    candidate_list eligible;
    std::ranges::copy_if(pool.byId, std::back_inserter(eligible),
                         [&query](const replica *candidate) { return isEligible(*candidate, query); });
    const auto gathered =
        static_cast<std::size_t>(std::ceil(query.replicaShare * static_cast<double>(eligible.size())));
    if (query.replicaShare < 1)
        eligible.resize(std::min(eligible.size(), std::max(kMinGatheredReplicas, gathered)));
    return eligible;
}

bool replica_table::mayGetRequest(const replica &candidate, const replica_query &query, instant now) const
{
    const bool isTried = query.tried && query.tried->contains(candidate.entry.id);
    return !isTried && exclusionOf(candidate, query, now) == send_exclusion::none;
}

/// @returns this host's subset of the replicas that may get the request.
replica_table::candidate_list replica_table::subset(const replica_pool &pool, const replica_query &query,
                                                    std::size_t size, instant now) const
{
    candidate_list chosen;
    for (auto *candidate : pool.byRank) {
        if (chosen.size() == size)
            break;
        if (isEligible(*candidate, query) && mayGetRequest(*candidate, query, now))
            chosen.push_back(candidate);
    }
    return chosen;
}

replica_table::candidate_list replica_table::candidates(const replica_query &query, instant now)
{
    const auto found = m_pools.find(query.service);
    if (found == m_pools.end())
        return {};
    const auto &pool = found->second;
    const auto size = replica_subset::size(pool.byId.size(), m_hosts);
    const bool usesAll = size >= pool.byId.size() || query.replicaShare < 1;
    auto eligible = usesAll ? gatheredReplicas(pool, query) : subset(pool, query, size, now);
    if (usesAll)
        std::erase_if(eligible, [&](const replica *candidate) { return !mayGetRequest(*candidate, query, now); });
    candidate_list available;
    std::ranges::copy_if(eligible, std::back_inserter(available),
                         [now](const replica *candidate) { return candidate->ejectedUntil <= now; });
    const auto ejected = static_cast<double>(eligible.size() - available.size());
    if (ejected > kMaxEjectedShare * static_cast<double>(eligible.size()))
        available = std::move(eligible);
    if (!usesAll && !available.empty())
        addPreferred(available, pool, query, now);
    return available;
}

void replica_table::addPreferred(candidate_list &available, const replica_pool &pool, const replica_query &query,
                                 instant now) const
{
    if (query.sharedPrefixHash == 0)
        return;
    replica *preferred = nullptr;
    std::uint64_t weight = 0;
    for (auto *candidate : pool.byId) {
        const auto own = rendezvousWeight(query.sharedPrefixHash, candidate->idHash);
        if ((preferred && own <= weight) || !isEligible(*candidate, query))
            continue;
        preferred = candidate;
        weight = own;
    }
    const bool isUsable = preferred && mayGetRequest(*preferred, query, now) && preferred->ejectedUntil <= now;
    if (isUsable && std::ranges::find(available, preferred) == available.end())
        available.push_back(preferred);
}

bool replica_table::hasCachedPrefix(const replica &candidate, std::uint64_t sharedPrefixHash, instant now)
{
    const auto sent = candidate.sentPrefixes.find(sharedPrefixHash);
    return sent != candidate.sentPrefixes.end() && now - sent->second < kPrefixCacheLifetime;
}

const duration_estimator &replica_table::durations(const std::string &service) const
{
    static const duration_estimator s_unknown;
    const auto found = m_durations.find(service);
    return found == m_durations.end() ? s_unknown : found->second;
}

/// @param running requests at the replica.
/// @returns the estimated time in ms until the replica starts to process a new request.
double replica_table::waitMs(const replica &candidate, double running, double delayPerRequestMs) const
{
    const double slots = std::max(1U, candidate.entry.slots);
    const double slotWaitMs =
        std::max(0.0, running + 1 - slots) * durations(candidate.entry.service).mean().count() / slots;
    return candidate.backlogMs + running * delayPerRequestMs + slotWaitMs;
}

std::vector<replica_load> replica_table::ownLoad() const
{
    std::vector<replica_load> loads;
    for (const auto &[id, known] : m_replicas)
        if (known.running > 0)
            loads.push_back({id, static_cast<double>(known.running)});
    return loads;
}

void replica_table::setOthersLoad(const shared_load &report, instant now)
{
    for (auto &[service, pool] : m_pools) {
        const auto known = report.isComplete ? pool.byRank.size() : replica_subset::size(pool.byRank.size(), m_hosts);
        for (std::size_t rank = 0; rank < pool.byRank.size(); ++rank)
            pool.byRank[rank]->othersRunning = rank < known ? std::optional<double>(0) : std::nullopt;
    }
    for (const auto &load : report.loads)
        if (const auto found = m_replicas.find(load.replica); found != m_replicas.end())
            found->second.othersRunning = load.running;
    m_othersReportedAt = now;
}

std::vector<std::string> replica_table::subsetOf(std::string_view host) const
{
    const auto hostHash = hashOf(host);
    std::vector<std::string> ids;
    for (const auto &[service, pool] : m_pools) {
        const auto size = replica_subset::size(pool.byId.size(), m_hosts);
        if (size >= pool.byId.size())
            continue;
        std::vector<std::pair<std::uint64_t, const replica *>> ranked;
        for (const auto *known : pool.byId)
            ranked.emplace_back(replica_subset::rank(hostHash, known->idHash), known);
        std::ranges::nth_element(ranked, ranked.begin() + static_cast<std::ptrdiff_t>(size));
        ranked.resize(size);
        std::ranges::transform(ranked, std::back_inserter(ids),
                               [](const auto &entry) { return entry.second->entry.id; });
    }
    return ids;
}

void replica_table::expireOthersLoad(instant now)
{
    if (!m_othersReportedAt || now - *m_othersReportedAt < kMaxLoadAge)
        return;
    setOthersLoad({}, now);
    m_othersReportedAt.reset();
}

/// @returns the replica with the earliest estimated first token.
replica_table::replica *replica_table::earliestFirstToken(const candidate_list &available, const replica_query &query,
                                                          instant now)
{
    return m_othersReportedAt ? earliestByForecast(available, query, now) : earliestByOwnLoad(available, query, now);
}

replica_table::replica *replica_table::earliestByOwnLoad(const candidate_list &available, const replica_query &query,
                                                         instant now)
{
    const auto *preferred = preferredFor(query.sharedPrefixHash, available);
    return leastOf(available, [&](const replica &candidate) {
        // The other hosts prefer the same replica for this prefix, so the prefix is assumed to be cached there.
        const bool isCached = &candidate == preferred || hasCachedPrefix(candidate, query.sharedPrefixHash, now);
        return waitMs(candidate, candidate.running, kDelayPerRequestMs) + (isCached ? 0.0 : query.work.sharedMs)
            + noise(kDelayPerRequestMs);
    });
}

double replica_table::meanOthersRunning(const candidate_list &replicas)
{
    double sum = 0;
    std::size_t known = 0;
    for (const auto *candidate : replicas) {
        sum += candidate->othersRunning.value_or(0);
        known += candidate->othersRunning ? 1 : 0;
    }
    return sum / static_cast<double>(std::max<std::size_t>(known, 1));
}

/// Compares the replica that all hosts prefer for the prefix, those that this host has sent it to, and a few drawn
/// ones.
replica_table::replica *replica_table::earliestByForecast(const candidate_list &available, const replica_query &query,
                                                          instant now)
{
    // A replica whose load isn't known is taken for an average one.
    const double mean = meanOthersRunning(available);
    std::vector<replica_occupancy> occupancies;
    std::ranges::transform(available, std::back_inserter(occupancies), [mean](const replica *candidate) {
        return replica_occupancy{static_cast<double>(candidate->entry.slots), candidate->othersRunning.value_or(mean),
                                 static_cast<double>(candidate->running)};
    });
    const load_forecast forecast(std::move(occupancies), now - *m_othersReportedAt + kReportDelay,
                                 durations(available.front()->entry.service).meanRest());
    const auto drawn = forecast.draw(noise(1));
    const auto *preferred = preferredFor(query.sharedPrefixHash, available);
    std::vector<std::pair<double, replica *>> compared; ///< delay, replica
    for (std::size_t index = 0; index < available.size(); ++index) {
        auto *candidate = available[index];
        const bool isCached = candidate == preferred || hasCachedPrefix(*candidate, query.sharedPrefixHash, now);
        if (!isCached && index != drawn)
            continue;
        const double delay = waitMs(*candidate, forecast.running(index), kForecastDelayPerRequestMs)
            + (isCached ? 0.0 : kRepeatedPrefillWeight * query.work.sharedMs) + noise(kDelayPerRequestMs);
        compared.emplace_back(delay, candidate);
    }
    return std::ranges::min_element(compared)->second;
}

/// @returns the candidate with the lowest score, which is computed once for each, as it may contain noise.
template <typename score_function>
replica_table::replica *replica_table::leastOf(const candidate_list &candidates, const score_function &score)
{
    replica *best = nullptr;
    double bestScore = 0;
    for (auto *candidate : candidates) {
        const double value = score(*candidate);
        if (!best || value < bestScore) {
            best = candidate;
            bestScore = value;
        }
    }
    return best;
}

double replica_table::noise(double most)
{
    return std::uniform_real_distribution<double>(0, most)(m_random);
}

/// Ignores the load from other hosts: reports are half a second old, while a call to a service without inference engine
/// takes about 20 ms.
replica_table::replica *replica_table::leastLoaded(const candidate_list &available)
{
    return leastOf(available, [this](const replica &candidate) {
        const bool isInOtherDomain = candidate.entry.failureDomain != m_failureDomain;
        const bool isCold = candidate.entry.coldRemaining.count() > 0;
        return candidate.running + (isCold ? kColdPenalty : 0.0) + (isInOtherDomain ? kOtherDomainPenalty : 0.0)
            + candidate.failureRate + noise(kOtherDomainPenalty);
    });
}

const replica_entry *replica_table::pick(const replica_query &query, instant now)
{
    expireOthersLoad(now);
    const auto available = candidates(query, now);
    if (available.empty())
        return nullptr;
    const bool hasPrompt = query.work.sharedMs + query.work.ownMs > 0;
    return &(hasPrompt ? earliestFirstToken(available, query, now) : leastLoaded(available))->entry;
}

selection_basis replica_table::basisOf(const std::string &id, std::uint64_t sharedPrefixHash, instant now) const
{
    const auto found = m_replicas.find(id);
    if (found == m_replicas.end())
        return {};
    const auto &known = found->second;
    selection_basis basis{known.running,     known.othersRunning.value_or(0),
                          std::nullopt,      known.backlogMs,
                          known.failureRate, hasCachedPrefix(known, sharedPrefixHash, now)};
    if (m_othersReportedAt)
        basis.othersAge = std::chrono::duration_cast<std::chrono::milliseconds>(now - *m_othersReportedAt);
    return basis;
}

double replica_table::recordStart(const std::string &id, std::uint64_t sharedPrefixHash, const prompt_work &work,
                                  instant now)
{
    const auto found = m_replicas.find(id);
    if (found == m_replicas.end())
        return 0;
    auto &target = found->second;
    ++target.running;
    const bool isCached = sharedPrefixHash != 0 && hasCachedPrefix(target, sharedPrefixHash, now);
    const double promptMs = work.ownMs + (isCached ? 0.0 : work.sharedMs);
    target.backlogMs += promptMs;
    if (sharedPrefixHash == 0)
        return promptMs;
    std::erase_if(target.sentPrefixes, [now](const auto &entry) { return now - entry.second >= kPrefixCacheLifetime; });
    target.sentPrefixes[sharedPrefixHash] = now;
    return promptMs;
}

void replica_table::recordFirstByte(const std::string &id, double promptMs)
{
    const auto found = m_replicas.find(id);
    if (found != m_replicas.end())
        found->second.backlogMs = std::max(0.0, found->second.backlogMs - promptMs);
}

void replica_table::recordEnd(const std::string &id, double promptMs, std::optional<bool> isGood, instant sentAt,
                              instant now)
{
    recordFirstByte(id, promptMs);
    const auto found = m_replicas.find(id);
    if (found == m_replicas.end())
        return;
    auto &target = found->second;
    m_durations[target.entry.service].record(now - sentAt);
    // The count starts at 0 again when the replica restarts, so it lacks attempts that began before the restart.
    target.running = target.running > 0 ? target.running - 1 : 0;
    if (!isGood)
        return;
    if (!*isGood)
        return recordFailure(id, target, now);
    target.failureRate -= kFailureWeight * target.failureRate;
    target.consecutiveFailures = 0;
    target.consecutiveEjections = target.failureRate < kFailureRateToEject ? 0 : target.consecutiveEjections;
}

void replica_table::recordFailure(const std::string &id, instant now)
{
    const auto found = m_replicas.find(id);
    if (found != m_replicas.end())
        recordFailure(id, found->second, now);
}

void replica_table::recordFailure(const std::string &id, replica &target, instant now)
{
    if (target.ejectedUntil > now)
        return; // sent before the ejection, to which it adds nothing
    target.failureRate += kFailureWeight * (1.0 - target.failureRate);
    ++target.consecutiveFailures;
    if (target.consecutiveFailures >= kFailuresToEject || target.failureRate >= kFailureRateToEject)
        eject(id, target, now);
}

void replica_table::recordUnreachable(const std::string &id, instant now)
{
    const auto found = m_replicas.find(id);
    if (found != m_replicas.end())
        eject(id, found->second, now);
}

void replica_table::eject(const std::string &id, replica &target, instant now)
{
    if (target.ejectedUntil > now)
        return;
    constexpr std::uint32_t kMaxDoublings = 3;
    const auto time = kBaseEjectionTime * (1U << std::min(target.consecutiveEjections, kMaxDoublings));
    const auto limited = std::min(std::chrono::milliseconds(time), kMaxEjectionTime);
    target.ejectedUntil = now + limited;
    m_ejections.push_back({id, limited, target.consecutiveFailures, target.failureRate});
    ++target.consecutiveEjections;
    target.consecutiveFailures = 0;
    target.failureRate = 0; // only responses after the ejection count
}

std::vector<const replica_entry *> replica_table::replicasOf(const std::string &service) const
{
    std::vector<const replica_entry *> entries;
    const auto pool = m_pools.find(service);
    if (pool == m_pools.end())
        return entries;
    for (const auto *candidate : pool->second.byId)
        if (!candidate->entry.isDraining)
            entries.push_back(&candidate->entry);
    return entries;
}

std::vector<std::string> replica_table::services() const
{
    std::vector<std::string> names;
    for (const auto &[service, pool] : m_pools)
        if (!pool.byId.empty())
            names.push_back(service);
    return names;
}

std::uint32_t replica_table::running(const std::string &id) const
{
    const auto found = m_replicas.find(id);
    return found == m_replicas.end() ? 0 : found->second.running;
}

} // namespace foxtaildyke
