// Replica selection; see replica_table_p.h.
#include "replica_table_p.h"

#include "text_hash_p.h"

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

replica_table::replica_table(std::string failureDomain, std::uint64_t seed)
    : m_failureDomain(std::move(failureDomain))
    , m_random(seed)
{
}

void replica_table::setReplicas(const std::vector<replica_entry> &replicas)
{
    std::unordered_map<std::string, replica> next;
    m_sortedIds.clear();
    for (const auto &entry : replicas) {
        replica updated;
        const auto known = m_replicas.find(entry.id);
        if (known != m_replicas.end() && known->second.entry.startedAtMs == entry.startedAtMs
            && known->second.entry.address == entry.address)
            updated = known->second;
        updated.entry = entry;
        updated.idHash = hashOf(entry.id);
        m_sortedIds.push_back(entry.id);
        next.insert_or_assign(entry.id, std::move(updated));
    }
    std::ranges::sort(m_sortedIds);
    m_replicas = std::move(next);
}

bool replica_table::isEligible(const replica &candidate, const replica_query &query)
{
    const auto &entry = candidate.entry;
    const bool hasRequestedVersion = query.version.empty() || entry.version == query.version;
    const bool isExcluded = query.excludedVersions && query.excludedVersions->contains(entry.version);
    const bool isLeaving = entry.isDraining || (query.gate && query.gate->isLeaving(entry.id));
    return !isLeaving && entry.service == query.service && hasRequestedVersion && !isExcluded;
}

send_exclusion replica_table::exclusionOf(const replica &candidate, const replica_query &query, instant now)
{
    return query.gate ? query.gate->check(candidate.entry.id, now) : send_exclusion::none;
}

send_exclusion replica_table::exclusion(const replica_query &query, instant now) const
{
    auto strongest = send_exclusion::none;
    for (const auto &[id, known] : m_replicas) {
        const bool isTried = query.tried && query.tried->contains(id);
        if (isEligible(known, query) && !isTried)
            strongest = std::max(strongest, exclusionOf(known, query, now));
    }
    return strongest;
}

replica_table::candidate_list replica_table::candidates(const replica_query &query, instant now)
{
    candidate_list eligible;
    for (const auto &id : m_sortedIds)
        if (auto &candidate = m_replicas.at(id); isEligible(candidate, query))
            eligible.push_back(&candidate);
    const auto gathered =
        static_cast<std::size_t>(std::ceil(query.replicaShare * static_cast<double>(eligible.size())));
    if (query.replicaShare < 1)
        eligible.resize(std::min(eligible.size(), std::max(kMinGatheredReplicas, gathered)));
    if (query.tried)
        std::erase_if(eligible,
                      [&query](const replica *candidate) { return query.tried->contains(candidate->entry.id); });
    std::erase_if(eligible, [&](const replica *candidate) {
        return exclusionOf(*candidate, query, now) != send_exclusion::none;
    });
    candidate_list available;
    std::ranges::copy_if(eligible, std::back_inserter(available),
                         [now](const replica *candidate) { return candidate->ejectedUntil <= now; });
    const auto ejected = static_cast<double>(eligible.size() - available.size());
    return ejected > kMaxEjectedShare * static_cast<double>(eligible.size()) ? eligible : available;
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

void replica_table::setOthersLoad(const std::vector<replica_load> &loads, instant now)
{
    for (auto &[id, known] : m_replicas)
        known.othersRunning = 0;
    for (const auto &load : loads) {
        const auto found = m_replicas.find(load.replica);
        if (found == m_replicas.end())
            continue;
        found->second.othersRunning = load.running;
    }
    m_othersReportedAt = now;
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

/// Compares the replica that all hosts prefer for the prefix, those that this host has sent it to, and a few drawn
/// ones.
replica_table::replica *replica_table::earliestByForecast(const candidate_list &available, const replica_query &query,
                                                          instant now)
{
    std::vector<replica_occupancy> occupancies;
    std::ranges::transform(available, std::back_inserter(occupancies), [](const replica *candidate) {
        return replica_occupancy{static_cast<double>(candidate->entry.slots), candidate->othersRunning,
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
    selection_basis basis{known.running,   known.othersRunning, std::nullopt,
                          known.backlogMs, known.failureRate,   hasCachedPrefix(known, sharedPrefixHash, now)};
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
    target.failureRate += kFailureWeight * ((*isGood ? 0.0 : 1.0) - target.failureRate);
    if (*isGood) {
        target.consecutiveFailures = 0;
        target.consecutiveEjections = target.failureRate < kFailureRateToEject ? 0 : target.consecutiveEjections;
        return;
    }
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

std::uint32_t replica_table::running(const std::string &id) const
{
    const auto found = m_replicas.find(id);
    return found == m_replicas.end() ? 0 : found->second.running;
}

} // namespace foxtaildyke
