// Detection of a host's own loss of the replicas; see reachability_p.h.
#include "reachability_p.h"

#include <algorithm>
#include <utility>

namespace foxtaildyke
{

const reachability::service_state *reachability::find(const std::string &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : &found->second;
}

bool reachability::hasContactSince(const service_state &state, contact_kind needed, instant since)
{
    const auto &contact = needed == contact_kind::connection ? state.connectedAt : state.contactAt;
    return contact && *contact > since;
}

void reachability::release(service_state &state)
{
    const auto isOpen = [&state](const deferred_failure &failure) {
        return !hasContactSince(state, failure.needed, failure.since);
    };
    const auto due = std::stable_partition(state.deferred.begin(), state.deferred.end(), isOpen);
    std::vector<deferred_failure> released(std::make_move_iterator(due), std::make_move_iterator(state.deferred.end()));
    state.deferred.erase(due, state.deferred.end());
    for (const auto &failure : released)
        failure.blame();
}

void reachability::recordConnected(const std::string &service, instant startedAt, instant now)
{
    auto &state = m_services[service];
    if (state.failingSince && startedAt < *state.failingSince)
        return; // the path may have been lost since
    state.connectedAt = now;
    state.contactAt = now;
    state.failingSince.reset();
    state.silentSince.reset();
    state.failed.clear();
    state.isCutOff = false;
    state.isConfirmed = false;
    release(state);
}

void reachability::recordReceived(const std::string &service, instant now)
{
    auto &state = m_services[service];
    state.contactAt = now;
    state.silentSince.reset();
    if (!state.deferred.empty())
        release(state);
}

void reachability::recordConnectFailure(const std::string &service, const std::string &replica, instant startedAt,
                                        instant now)
{
    auto &state = m_services[service];
    if (hasContactSince(state, contact_kind::connection, startedAt))
        return;
    state.failingSince = std::min(state.failingSince.value_or(startedAt), std::min(startedAt, now));
    state.failed.insert(replica);
}

void reachability::recordSilence(const std::string &service, instant sentAt)
{
    auto &state = m_services[service];
    if (!hasContactSince(state, contact_kind::any, sentAt))
        state.silentSince = std::min(state.silentSince.value_or(sentAt), sentAt);
}

void reachability::attribute(const std::string &service, contact_kind needed, instant since, instant now, action blame)
{
    auto &state = m_services[service];
    if (hasContactSince(state, needed, since))
        return blame();
    if (!state.isConfirmed && state.deferred.size() < kMaxDeferred)
        state.deferred.push_back({needed, since, now, std::move(blame)});
}

bool reachability::hasLostContact(const service_state &state)
{
    return state.failingSince && !hasContactSince(state, contact_kind::any, *state.failingSince);
}

/// @returns since when it has been open whether the host reaches the service; nothing if it isn't.
std::optional<instant> reachability::doubtSince(const service_state &state)
{
    std::optional<instant> since = state.silentSince;
    const auto add = [&since](instant at) {
        since = std::min(since.value_or(at), at);
    };
    if (state.failingSince && (hasLostContact(state) || state.failed.size() >= kFailuresToProbe))
        add(*state.failingSince);
    for (const auto &failure : state.deferred)
        add(failure.at);
    return since;
}

bool reachability::isProbeDue(const std::string &service, instant now) const
{
    const auto *state = find(service);
    if (!state)
        return false;
    if (state->isCutOff)
        return !state->probedAt || now - *state->probedAt >= kProbeInterval;
    const auto since = doubtSince(*state);
    return since && now - *since >= kProbeDelay;
}

std::vector<std::string> reachability::servicesToProbe(instant now) const
{
    std::vector<std::string> due;
    for (const auto &[service, state] : m_services)
        if (isProbeDue(service, now))
            due.push_back(service);
    return due;
}

void reachability::recordProbe(const std::string &service, instant now)
{
    m_services[service].probedAt = now;
}

bool reachability::judge(const std::string &service, const std::vector<std::string> &replicas, instant now)
{
    auto &state = m_services[service];
    const auto failed = std::ranges::count_if(replicas, [&state](const auto &id) { return state.failed.contains(id); });
    const auto needed = std::min(replicas.size(), kReplicasToJudge);
    const bool wasCutOff = state.isCutOff;
    state.isCutOff = needed > 0 && static_cast<std::size_t>(failed) >= needed;
    state.isConfirmed = state.isConfirmed && state.isCutOff;
    const bool isNew = state.isCutOff && !wasCutOff;
    if (isNew)
        state.cutOffAt = now;
    return isNew;
}

void reachability::recordReplicaStarted(const std::string &service, const std::string &replica)
{
    const auto found = m_services.find(service);
    if (found != m_services.end())
        found->second.failed.erase(replica);
}

std::size_t reachability::confirmCutOff(const std::string &service)
{
    auto &state = m_services[service];
    state.isConfirmed = state.isCutOff;
    return state.isConfirmed ? std::exchange(state.deferred, {}).size() : 0;
}

bool reachability::isCutOff(const std::string &service) const
{
    const auto *state = find(service);
    return state && state->isCutOff;
}

bool reachability::isInDoubt(const std::string &service) const
{
    const auto *state = find(service);
    return state && !state->isCutOff && hasLostContact(*state);
}

bool reachability::isNewlyCutOff(const std::string &service, instant now) const
{
    const auto *state = find(service);
    return state && state->isCutOff && now - state->cutOffAt < kVerdictTime;
}

std::optional<instant> reachability::failingSince(const std::string &service) const
{
    const auto *state = find(service);
    return state ? state->failingSince : std::nullopt;
}

bool reachability::hasLiveConnections(const std::string &service, instant now) const
{
    constexpr std::chrono::seconds kMaxAge{1};
    const auto *state = find(service);
    return state && state->failingSince && hasContactSince(*state, contact_kind::any, *state->failingSince)
        && now - *state->contactAt < kMaxAge;
}

std::optional<instant> reachability::lastContact(const std::string &service) const
{
    const auto *state = find(service);
    return state ? state->contactAt : std::nullopt;
}

bool reachability::hasFailed(const std::string &service, const std::string &replica) const
{
    const auto *state = find(service);
    return state && state->failed.contains(replica);
}

std::vector<std::string> reachability::cutOffServices() const
{
    std::vector<std::string> services;
    for (const auto &[service, state] : m_services)
        if (state.isCutOff)
            services.push_back(service);
    return services;
}

std::size_t reachability::expire(instant now)
{
    std::size_t count = 0;
    for (auto &[service, state] : m_services)
        count += std::erase_if(state.deferred,
                               [now](const deferred_failure &failure) { return now - failure.at >= kMaxDeferral; });
    return count;
}

} // namespace foxtaildyke
