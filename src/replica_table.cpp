// Choice of a replica; see replica_table_p.h.
#include "replica_table_p.h"

#include "text_hash_p.h"

namespace foxtaildyke
{

namespace
{

constexpr double kFailureWeight = 0.1; ///< of the newest answer: about the last ten count
constexpr double kOtherDomainPenalty = 0.25; ///< in requests: decides between equally loaded replicas
constexpr double kColdPenalty = 2.0; ///< in requests: replicas that have just started get little
/// At most this part of a service's replicas is out at a time; with more, the failures aren't the replicas'.
constexpr double kMostEjected = 0.5;

/// Rendezvous hashing: the replica with the largest value is the preferred one, and few change when replicas come or
/// go.
std::uint64_t rendezvous(std::uint64_t prompt, std::uint64_t idHash)
{
    const std::array<std::uint64_t, 2> both{prompt, idHash};
    return XXH64(both.data(), sizeof(both), 0);
}

} // namespace

replica_table::replica_table(std::string failureDomain, std::uint64_t seed)
    : m_failureDomain(std::move(failureDomain))
    , m_random(seed)
{
}

void replica_table::setReplicas(const std::vector<replica_entry> &replicas)
{
    std::unordered_map<std::string, replica> next;
    m_order.clear();
    for (const auto &entry : replicas) {
        replica kept;
        const auto known = m_replicas.find(entry.id);
        if (known != m_replicas.end() && known->second.entry.startedAtMs == entry.startedAtMs
            && known->second.entry.address == entry.address)
            kept = known->second;
        kept.entry = entry;
        kept.idHash = hashOf(entry.id);
        m_order.push_back(entry.id);
        next.insert_or_assign(entry.id, std::move(kept));
    }
    std::ranges::sort(m_order);
    m_replicas = std::move(next);
}

bool replica_table::fits(const replica &candidate, const replica_query &query)
{
    const auto &entry = candidate.entry;
    const bool isWanted = query.version.empty() || entry.version == query.version;
    const bool isExcluded = !query.excludedVersion.empty() && entry.version == query.excludedVersion;
    return !entry.isDraining && entry.service == query.service && isWanted && !isExcluded;
}

replica_table::candidate_list replica_table::candidates(const replica_query &query, instant now)
{
    candidate_list all;
    for (const auto &id : m_order) {
        auto &candidate = m_replicas.at(id);
        if (fits(candidate, query) && !(query.tried && query.tried->contains(id)))
            all.push_back(&candidate);
    }
    candidate_list open;
    std::ranges::copy_if(all, std::back_inserter(open),
                         [now](const replica *candidate) { return candidate->ejectedUntil <= now; });
    const auto out = static_cast<double>(all.size() - open.size());
    return out > kMostEjected * static_cast<double>(all.size()) ? all : open;
}

bool replica_table::hasRead(const replica &candidate, std::uint64_t sharedPrefixHash, instant now)
{
    const auto sent = candidate.sentPrompts.find(sharedPrefixHash);
    return sent != candidate.sentPrompts.end() && now - sent->second < kPrefixCacheLifetime;
}

/// @returns the time until a replica comes to another request, as far as it is known, in ms.
double replica_table::waitMs(const replica &candidate)
{
    const double running = candidate.running + candidate.othersRunning;
    const double slots = candidate.entry.slots;
    const double forSlot = std::max(0.0, running + 1 - slots) * kSlotMs / slots;
    const double known = candidate.running + kOthersShare * candidate.othersRunning;
    return candidate.backlogMs + kOthersShare * candidate.othersBacklogMs + known * kRunningMs + forSlot;
}

std::vector<replica_load> replica_table::ownLoad() const
{
    std::vector<replica_load> loads;
    for (const auto &[id, known] : m_replicas)
        if (known.running > 0)
            loads.push_back({id, static_cast<double>(known.running), known.backlogMs});
    return loads;
}

void replica_table::setOthersLoad(const std::vector<replica_load> &loads, instant now)
{
    for (auto &[id, known] : m_replicas)
        known.othersRunning = known.othersBacklogMs = 0;
    for (const auto &load : loads) {
        const auto found = m_replicas.find(load.replica);
        if (found == m_replicas.end())
            continue;
        found->second.othersRunning = load.running;
        found->second.othersBacklogMs = load.backlogMs;
    }
    m_othersKnownAt = now;
}

void replica_table::forgetOthers(instant now)
{
    if (!m_othersKnownAt || now - *m_othersKnownAt < kMaxLoadAge)
        return;
    setOthersLoad({}, now);
    m_othersKnownAt.reset();
}

/// @returns the replica with the earliest first token by estimate.
replica_table::replica *replica_table::soonest(const candidate_list &open, const replica_query &query, instant now)
{
    const auto home = std::ranges::max_element(
        open, {}, [&](const replica *candidate) { return rendezvous(query.sharedPrefixHash, candidate->idHash); });
    const double rereadMs = query.work.sharedMs * (m_othersKnownAt ? kRereadWeight : 1.0);
    const auto delay = [&](const replica *candidate) {
        // Other hosts send the same prompts to the same home.
        const bool isCached =
            query.sharedPrefixHash != 0 && (candidate == *home || hasRead(*candidate, query.sharedPrefixHash, now));
        return waitMs(*candidate) + query.work.ownMs + (isCached ? 0.0 : rereadMs)
            + std::uniform_real_distribution<double>(0, kRunningMs)(m_random);
    };
    return *std::ranges::min_element(open, {}, delay);
}

/// The load of other hosts is left out: it is half a second old, and a plain call takes some 20 ms.
replica_table::replica *replica_table::leastLoaded(const candidate_list &open)
{
    const auto score = [this](const replica &candidate) {
        const double tieBreak = std::uniform_real_distribution<double>(0, kOtherDomainPenalty)(m_random);
        const bool isFar = candidate.entry.failureDomain != m_failureDomain;
        const bool isCold = candidate.entry.coldRemaining.count() > 0;
        return candidate.running + (isCold ? kColdPenalty : 0.0) + (isFar ? kOtherDomainPenalty : 0.0)
            + candidate.failureRate + tieBreak;
    };
    replica *best = nullptr;
    double bestScore = 0;
    for (auto *candidate : open) {
        const double value = score(*candidate);
        if (!best || value < bestScore) {
            best = candidate;
            bestScore = value;
        }
    }
    return best;
}

const replica_entry *replica_table::pick(const replica_query &query, instant now)
{
    forgetOthers(now);
    const auto open = candidates(query, now);
    if (open.empty())
        return nullptr;
    const bool hasPrompt = query.work.sharedMs + query.work.ownMs > 0;
    return &(hasPrompt ? soonest(open, query, now) : leastLoaded(open))->entry;
}

double replica_table::recordStart(const std::string &id, std::uint64_t sharedPrefixHash, const prompt_work &work,
                                  instant now)
{
    const auto found = m_replicas.find(id);
    if (found == m_replicas.end())
        return 0;
    auto &target = found->second;
    ++target.running;
    const bool isCached = sharedPrefixHash != 0 && hasRead(target, sharedPrefixHash, now);
    const double promptMs = work.ownMs + (isCached ? 0.0 : work.sharedMs);
    target.backlogMs += promptMs;
    if (sharedPrefixHash == 0)
        return promptMs;
    std::erase_if(target.sentPrompts, [now](const auto &entry) { return now - entry.second >= kPrefixCacheLifetime; });
    target.sentPrompts[sharedPrefixHash] = now;
    return promptMs;
}

void replica_table::recordFirstByte(const std::string &id, double promptMs)
{
    const auto found = m_replicas.find(id);
    if (found != m_replicas.end())
        found->second.backlogMs = std::max(0.0, found->second.backlogMs - promptMs);
}

void replica_table::recordEnd(const std::string &id, double promptMs, std::optional<bool> isGood, instant now)
{
    recordFirstByte(id, promptMs);
    const auto found = m_replicas.find(id);
    if (found == m_replicas.end())
        return;
    auto &target = found->second;
    // A replica that started anew has forgotten the attempts that began before.
    target.running = target.running > 0 ? target.running - 1 : 0;
    if (!isGood)
        return;
    target.failureRate += kFailureWeight * ((*isGood ? 0.0 : 1.0) - target.failureRate);
    if (*isGood) {
        target.failuresInRow = 0;
        target.ejections = target.failureRate < kFailureRateToEject ? 0 : target.ejections;
        return;
    }
    ++target.failuresInRow;
    if (target.failuresInRow >= kFailuresToEject || target.failureRate >= kFailureRateToEject)
        eject(target, now);
}

void replica_table::recordUnreachable(const std::string &id, instant now)
{
    const auto found = m_replicas.find(id);
    if (found != m_replicas.end())
        eject(found->second, now);
}

void replica_table::eject(replica &target, instant now)
{
    if (target.ejectedUntil > now)
        return;
    constexpr std::uint32_t kMostDoublings = 3;
    const auto time = kFirstEjection * (1U << std::min(target.ejections, kMostDoublings));
    target.ejectedUntil = now + std::min(std::chrono::milliseconds(time), kLongestEjection);
    ++target.ejections;
    target.failuresInRow = 0;
    target.failureRate = 0; // judged anew by what it does after its return
}

std::uint32_t replica_table::running(const std::string &id) const
{
    const auto found = m_replicas.find(id);
    return found == m_replicas.end() ? 0 : found->second.running;
}

} // namespace foxtaildyke
