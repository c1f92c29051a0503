// Decision core, second stage: chooses the version and the upstream of an attempt. Every dispatch, whether first
// attempt, retry or escalation, goes through plan(), which checks lease, grant, version state, pin and quarantine.
#include "router_core_state_p.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace foxtaildyke
{

namespace
{

constexpr std::size_t kPrefixBytes = 1024; ///< leading part of the prompt that is hashed for prefix-cache affinity
constexpr double kBytesPerToken = 4; ///< average token length assumed for cost estimates
constexpr double kMinDurationMs = 20; ///< no upstream responds faster, given the network and its batching
constexpr double kDefaultDurationMs = 500; ///< assumed until a response of the kind and version has been measured
/// A non-idempotent attempt may run this long past its caller's deadline, so that a resend gets the stored response.
constexpr std::chrono::seconds kOverrunTime{10};
/// The adapter reports timeouts of attempts itself; the core ends an attempt only where that report is lost.
constexpr std::chrono::milliseconds kReportGraceMs{500};

constexpr std::chrono::milliseconds kShortRetryMs{1000}; ///< Retry-After for causes that usually end within seconds
constexpr std::chrono::milliseconds kLongRetryMs{5000}; ///< Retry-After where capacity has to return first

} // namespace

std::chrono::milliseconds retryAfterOf(reason_code reason)
{
    switch (reason) {
    case reason_code::no_fresh_configuration:
    case reason_code::store_unavailable:
    case reason_code::deadline_unreachable:
    case reason_code::draining:
        return kShortRetryMs;
    case reason_code::over_capacity:
    case reason_code::no_upstream:
        return kLongRetryMs;
    default:
        return {};
    }
}

bool router_core::implementation::hasLease() const
{
    return m_config && m_lease.generation == m_config->generation && m_now < m_lease.expiresAt;
}

bool router_core::implementation::isLeaseExpected() const
{
    // A lease for a new generation, or a renewal after the process was paused, arrives with the next exchange.
    return m_noLeaseSince && m_now < *m_noLeaseSince + 2 * m_config->tune.exchangePeriod;
}

bool router_core::implementation::isOpenToNewSessions(version_handle version) const
{
    const auto &entry = (*m_config)[version];
    if (m_haltedVersions.contains(entry.name) || m_evidence.isRejected(*m_config, version))
        return false;
    if (!m_evidence.hasExposureLeft(*m_config, version, m_now))
        return false;
    if (entry.state != version_state::rolling_out)
        return entry.state == version_state::active;
    return m_ratingAvailable && m_balancer.isServed((*m_config)[entry.model].service, entry.name, m_now);
}

dispatch_plan router_core::implementation::collectCandidates(const open_request &request,
                                                             std::vector<version_handle> &versions) const
{
    const auto &config = *m_config;
    const auto account = config.accountByName(request.account);
    const auto kind = config.kindByName(request.input.kind);
    if (!account.isValid() || !kind.isValid())
        return {.reason = reason_code::not_allowed};
    const auto isOpen = [&](version_handle version) {
        return isOpenToNewSessions(version);
    };
    const auto &sessionKey = request.input.sessionId.empty() ? request.requestId : request.input.sessionId;
    bool granted = false;
    bool mayOpenLater = false;
    bool isEligible = request.escalatedFromModel.empty();
    for (const auto model : config[kind].cascade) {
        const auto &entry = config[model];
        for (const auto candidate : entry.versions) {
            const auto state = config[candidate].state;
            const bool isGranted = config.isGranted(account, candidate);
            granted = granted || isGranted;
            mayOpenLater = mayOpenLater
                || (isGranted && !m_haltedVersions.contains(config[candidate].name)
                    && (state == version_state::active || state == version_state::rolling_out));
        }
        version_handle version;
        if (request.pinned) {
            const auto pin = std::ranges::find_if(request.pins, [&](const std::string &name) {
                const auto pinnedVersion = config.versionByName(name);
                return pinnedVersion.isValid() && config[pinnedVersion].model == model;
            });
            version = pin == request.pins.end() ? version_handle{} : config.versionByName(*pin);
            if (version.isValid() && config[version].state == version_state::withdrawn)
                return {.reason = reason_code::session_version_withdrawn};
            if (version.isValid() && !config.isGranted(account, version))
                return {.reason = reason_code::not_allowed};
        } else {
            version = chooseVersion(config, model, account, sessionKey, isOpen);
        }
        if (isEligible && version.isValid())
            versions.push_back(version);
        isEligible = isEligible || entry.name == request.escalatedFromModel;
    }
    if (!versions.empty())
        return {};
    // A version with an exhausted exposure budget gets new sessions again once outstanding responses are rated.
    if (mayOpenLater && !request.pinned)
        return {.reason = reason_code::over_capacity};
    return {.reason = granted ? reason_code::version_withdrawn : reason_code::not_allowed};
}

cascade_candidate router_core::implementation::estimateOf(const open_request &request, version_handle version) const
{
    const auto &entry = (*m_config)[version];
    const auto &model = (*m_config)[entry.model];
    const auto *stats = statsOf(request, version);
    const auto limit = (*m_config)[m_config->kindByName(request.input.kind)].maxTokens;
    const auto completion = stats ? stats->completionTokens : limit / 2.0;
    const auto prompt = static_cast<double>(request.input.prompt.size()) / kBytesPerToken;
    const auto duration = stats ? stats->durationMs : kDefaultDurationMs;
    return {.version = version,
            .expectedCostMicroUnits =
                (prompt * model.promptMicroUnitsPer1k + completion * model.completionMicroUnitsPer1k) / 1000,
            .expectedLatency = std::chrono::milliseconds{static_cast<std::int64_t>(duration)}};
}

const response_stats *router_core::implementation::statsOf(const open_request &request, version_handle version) const
{
    const auto found = m_responseStats.find({request.input.kind, (*m_config)[version].name});
    return found == m_responseStats.end() ? nullptr : &found->second;
}

bool router_core::implementation::canFinishInTime(const open_request &request, version_handle version,
                                                  instant start) const
{
    // Requires half of the mean duration. Only responses within the deadline are measured, so a request with its whole
    // timeout left always passes, and an attempt that would almost certainly time out is not started.
    const auto *stats = statsOf(request, version);
    const auto left = std::chrono::duration<double, std::milli>(request.deadline - start).count();
    return left >= (stats ? std::max(kMinDurationMs, stats->durationMs / 2) : kMinDurationMs);
}

dispatch_plan router_core::implementation::plan(const open_request &request) const
{
    if (!hasLease())
        return {.reason = reason_code::no_fresh_configuration};
    if (m_quarantine.isBlocked(request.fingerprint, m_now))
        return {.reason = reason_code::quarantined};
    std::vector<version_handle> candidates;
    if (auto refusal = collectCandidates(request, candidates); refusal.reason != reason_code::none)
        return refusal;
    std::vector<cascade_candidate> served;
    for (const auto version : candidates) {
        const auto &entry = (*m_config)[version];
        if (m_balancer.isServed((*m_config)[entry.model].service, entry.name, m_now))
            served.push_back(estimateOf(request, version));
    }
    if (served.empty())
        return {.reason = reason_code::no_upstream};
    const auto kind = m_config->kindByName(request.input.kind);
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - m_now);
    // A non-idempotent request can't escalate, so its only attempt goes to the strongest model.
    const bool mayEscalate = request.idempotent && (*m_config)[kind].rated;
    const auto decision =
        m_policy.choose(*m_config, kind, served, remaining, mayEscalate && m_ratingAvailable, request.randomBits);
    return {.version = served[decision.start].version,
            .rateBeforeDelivery = mayEscalate && m_ratingAvailable && decision.start + 1 < served.size(),
            .explanation = served.size() == 1 ? "only candidate"
                : mayEscalate                 ? decision.reason
                                              : "strongest; can't escalate"};
}

void router_core::implementation::enqueue(open_request &request, std::string reason)
{
    request.phase = request_phase::queued;
    const auto account = m_config->accountByName(request.account);
    const auto weight = account.isValid() ? (*m_config)[account].weight : 1;
    m_admission.enqueue(request.input.request, request.account, weight, request.priority, request.pool);
    record("queued", request, std::move(reason));
}

void router_core::implementation::dispatchQueued()
{
    // A version without a free slot for a class has none for the rest of the queue either, so these requests are
    // skipped: with long queues, planning each of them again takes most of the time.
    std::set<std::pair<std::string, request_class>> fullVersions;
    for (const auto token : m_admission.order()) {
        auto *request = findRequest(token);
        if (!request || request->phase != request_phase::queued)
            continue;
        const auto &blockedOn = request->blockedOnVersion;
        if (request->blockedAtEpoch == m_planEpoch && fullVersions.contains({blockedOn, request->priority}))
            continue;
        request->blockedOnVersion.clear();
        const auto priority = request->priority;
        tryStart(*request);
        request = findRequest(token);
        if (request && !request->blockedOnVersion.empty())
            fullVersions.emplace(request->blockedOnVersion, priority);
    }
}

void router_core::implementation::failUnreachable()
{
    struct pool_queue {
        std::int64_t position = 0; ///< number of queued requests of the pool ahead of this one
        std::map<request_class, double> msPerStartByClass; ///< estimated time between two starts
    };
    std::map<std::string, pool_queue, std::less<>> queues;
    for (const auto token : m_admission.order()) {
        auto *request = findRequest(token);
        if (!request)
            continue;
        auto &queue = queues[request->pool];
        const auto position = queue.position++;
        const auto [startMs, isNew] = queue.msPerStartByClass.try_emplace(request->priority, 0);
        if (isNew)
            startMs->second = msPerStart(*request);
        const auto wait = std::chrono::milliseconds{static_cast<std::int64_t>(startMs->second) * position};
        if (request->phase == request_phase::queued && m_now + wait >= request->deadline)
            failQueued(*request, reason_code::deadline_unreachable);
    }
}

double router_core::implementation::msPerStart(const open_request &request) const
{
    const auto total = m_admission.estimateQueueWait(request.account, request.priority, request.pool);
    const auto ahead = std::ranges::count_if(m_requests, [&](const auto &item) {
        const auto &other = *item.second;
        return other.phase == request_phase::queued && other.pool == request.pool && other.priority <= request.priority;
    });
    return static_cast<double>(total.count()) / static_cast<double>(std::max<std::ptrdiff_t>(1, ahead));
}

void router_core::implementation::tryStart(open_request &request)
{
    const auto chosen = plan(request);
    if (chosen.reason == reason_code::no_fresh_configuration) {
        if (isLeaseExpected())
            return;
        return failQueued(request, chosen.reason);
    }
    if (chosen.reason == reason_code::over_capacity && !request.retainedResponse)
        return;
    if (chosen.reason != reason_code::none)
        return failQueued(request, chosen.reason);
    if (!canFinishInTime(request, chosen.version, m_now))
        return failQueued(request, reason_code::deadline_unreachable);
    const auto crashes = m_quarantine.crashes(request.fingerprint, m_now);
    const auto running = m_runningByFingerprint.find(request.fingerprint);
    if (crashes > 0 && running != m_runningByFingerprint.end() && crashes + running->second >= quarantine::kCrashLimit)
        return; // Copies of a request that has crashed an upstream run one at a time, to stay within kCrashLimit.
    const auto &version = (*m_config)[chosen.version];
    const auto prefix = std::string_view(request.input.prompt).substr(0, kPrefixBytes);
    const pick_request criteria{.service = (*m_config)[version.model].service,
                                .version = version.name,
                                .prefixHash = XXH64(prefix.data(), prefix.size(), 0),
                                .priority = request.priority,
                                .exclude = request.avoidUpstream,
                                .hosts = m_config->hosts.size()};
    const auto *upstream = m_balancer.pick(criteria, m_config->tune, m_now);
    if (!upstream) {
        if (!request.avoidUpstream.empty() && !hasOtherUpstream(request, chosen.version))
            return failQueued(request, reason_code::no_upstream);
        if (request.avoidUpstream.empty()) {
            request.blockedOnVersion = version.name;
            request.blockedAtEpoch = m_planEpoch;
        }
        return;
    }
    if (!request.input.sessionId.empty() && !request.pinned)
        return startPin(request);
    if (!request.idempotent && !request.claimed)
        return startClaim(request);
    dispatch(request, chosen, *upstream);
}

void router_core::implementation::failQueued(open_request &request, reason_code reason)
{
    m_admission.remove(request.input.request);
    fail(request, reason);
}

void router_core::implementation::startPin(open_request &request)
{
    const auto &config = *m_config;
    const auto account = config.accountByName(request.account);
    write_pin pin{.request = request.input.request, .account = request.account, .sessionId = request.input.sessionId};
    // All models of the account are pinned, because a later request of the session may be of another kind.
    for (std::size_t i = 0; i < config.models.size(); ++i) {
        const auto version =
            chooseVersion(config, model_handle{static_cast<std::uint16_t>(i)}, account, request.input.sessionId,
                          [&](version_handle candidate) { return isOpenToNewSessions(candidate); });
        if (version.isValid())
            pin.versions.push_back(config[version].name);
    }
    request.pins = pin.versions;
    request.phase = request_phase::pinning;
    record("pinning", request, "first request of the session on this host and no token");
    m_actions.emplace_back(std::move(pin));
}

void router_core::implementation::startClaim(open_request &request)
{
    request.phase = request_phase::claiming;
    record("claiming", request, "not idempotent");
    m_actions.emplace_back(write_claim{request.input.request, request.account, request.requestId});
}

void router_core::implementation::dispatch(open_request &request, const dispatch_plan &chosen,
                                           const upstream_info &upstream)
{
    const auto &version = (*m_config)[chosen.version];
    const auto &kind = (*m_config)[m_config->kindByName(request.input.kind)];
    const attempt_token token{++m_lastAttempt};
    const auto overrun = request.idempotent ? instant{} : instant{kOverrunTime};
    const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline + overrun - m_now);
    const auto limit = request.input.maxTokens == 0 ? kind.maxTokens : request.input.maxTokens;
    m_admission.remove(request.input.request);
    if (request.attempts++ == 0)
        m_admission.recordFirstAttempt();
    m_balancer.recordStart(upstream.name);
    m_admission.recordStart(upstream.service, request.priority);
    m_evidence.recordDispatch(version.name);
    m_evidenceChanged = true;
    ++m_runningByFingerprint[request.fingerprint];
    m_attempts[token] = {.request = request.input.request,
                         .upstream = upstream.name,
                         .service = upstream.service,
                         .version = version.name,
                         .startedAt = m_now,
                         .stopAt = m_now + timeout + kReportGraceMs,
                         .rateBeforeDelivery = chosen.rateBeforeDelivery};
    request.attempt = token;
    request.phase = request_phase::running;
    const auto &model = (*m_config)[version.model];
    request.response = {.model = model.name,
                        .version = version.name,
                        .promptMicroUnitsPer1k = model.promptMicroUnitsPer1k,
                        .completionMicroUnitsPer1k = model.completionMicroUnitsPer1k};
    record("dispatched", request, std::string(chosen.explanation));
    m_actions.emplace_back(start_attempt{.attempt = token,
                                         .request = request.input.request,
                                         .upstream = upstream.name,
                                         .address = upstream.address,
                                         .port = upstream.port,
                                         .model = request.response.model,
                                         .version = version.name,
                                         .prompt = request.input.prompt,
                                         .requestId = request.requestId,
                                         .maxTokens = std::min(limit, kind.maxTokens),
                                         .priority = request.priority,
                                         .generation = m_config->generation,
                                         .timeout = timeout});
}

} // namespace foxtaildyke
