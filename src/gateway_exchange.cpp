// Processing of one request: admission, replica selection, sending; see gateway_exchange_p.h. Responses are handled in
// gateway_exchange_responses.cpp.
#include "gateway_exchange_p.h"

#include "http_status_p.h"
#include "text_hash_p.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace foxtaildyke
{

namespace
{

/// Prompt tokens that an engine processes in one ms with the largest model. The data sheet of the engines states 157
/// tokens per ms at pace 1; each model's pace is a factor on its processing time, 3 for the largest (157 / 3 = 52).
constexpr double kPromptTokensPerMs = 52;

/// Fraction of the key lease that is used. The rest covers a watch that misses changes for a second before it is
/// disconnected.
constexpr double kKeyLeaseShare = 0.8;

} // namespace

bool gateway_state::hasKeyLease(instant now) const
{
    const auto lease = kKeyLeaseShare * std::chrono::duration<double>(settings.keyLease);
    return configConfirmedAt && std::chrono::duration<double>(now - *configConfirmedAt) < lease;
}

gateway_exchange::gateway_exchange(gateway_state &state, inbound_request request, caller_response &response,
                                   std::optional<detour_request> detour)
    : m_state(state)
    , m_request(std::make_shared<const inbound_request>(std::move(request)))
    , m_callerResponse(response)
    , m_metadata(parseRequestHeaders(m_request->head, state.headerNames))
    , m_config(state.config)
    , m_servedDetour(std::move(detour))
    , m_lastEventId(m_metadata.lastEventId)
    , m_timer(state.loop, [this] { onDeadline(); })
    , m_evidenceTimer(state.loop, [this] { recordSlowAttempt(); })
    , m_silenceTimer(state.loop, [this] { onSilence(); })
    , m_retryTimer(state.loop, [this] { attempt(); })
{
}

gateway_exchange::~gateway_exchange()
{
    if (m_upstream)
        closeAttempt(std::nullopt);
    if (m_countsAsDetour)
        --m_state.detoursServed;
    releaseCrashReport();
    clearBody();
}

void gateway_exchange::begin()
{
    if (m_state.hasStarted())
        return process();
    if (m_servedDetour)
        return refuseDetour(detour_refusal::outdated);
    const auto now = suspendAwareNow();
    const auto wait = m_state.starting.waitTime(now, m_metadata.timeout.value_or(start_queue::kMaxWait));
    if (wait <= std::chrono::milliseconds{0})
        return refuse(refusal::no_config);
    m_state.starting.push(*this);
    m_timer.start(wait);
}

void gateway_exchange::onHostStarted()
{
    m_timer.stop();
    m_config = m_state.config;
    process();
}

void gateway_exchange::process()
{
    if (const auto refusal = checkDetour(); refusal != detour_refusal::none)
        return refuseDetour(refusal);
    if (const auto reason = validate())
        return refuse(*reason);
    const auto wait = std::min(m_route->timeout, m_metadata.timeout.value_or(m_route->timeout));
    m_deadline = m_request->readAt + wait;
    m_timer.start(remainingTime());
    m_fingerprint = fingerprintOf(*m_request, m_account ? std::string_view(m_account->name) : std::string_view());
    m_traits = m_metadata.sharedParts;
    m_traits.push_back(m_fingerprint);
    chooseService();
    if (m_servedDetour) {
        m_sends = m_servedDetour->sends; // the other host has counted the request, and its retry
        m_countsAsDetour = true;
        ++m_state.detoursServed;
    } else {
        m_state.budget.recordRequest(m_service, m_request->readAt);
    }
    chooseFirstModel();
    attempt();
}

/// Validates the request against the configuration. @returns the reason for a refusal, or nothing.
std::optional<gateway_exchange::refusal> gateway_exchange::validate()
{
    if (m_metadata.id.empty())
        return refusal::missing_id;
    m_route = m_config->findRoute(m_metadata.host, m_request->head.target);
    const bool isStale = !m_state.hasKeyLease(suspendAwareNow());
    // A stale configuration can't prove that a route or key doesn't exist.
    if (isStale && (!m_route || !m_route->isPublic))
        return refusal::no_key_lease;
    if (!m_route)
        return refusal::unknown_route;
    if (!m_config->needsKeys || m_route->isPublic)
        return std::nullopt;
    m_account = m_config->findAccount(m_metadata.key);
    return m_account ? std::nullopt : std::optional(refusal::unknown_key);
}

void gateway_exchange::chooseService()
{
    const auto isChosen = [this](const route_target &target) {
        return m_servedDetour && target.service == m_servedDetour->service;
    };
    if (std::ranges::any_of(m_route->targets, isChosen)) {
        m_service = m_servedDetour->service;
        return;
    }
    std::uint32_t total = 0;
    for (const auto &target : m_route->targets)
        total += target.weight;
    auto draw = total > 0 ? static_cast<std::uint32_t>(m_state.random() % total) : 0U;
    for (const auto &target : m_route->targets) {
        m_service = target.service;
        if (draw < target.weight)
            return;
        draw -= target.weight;
    }
}

void gateway_exchange::chooseFirstModel()
{
    if (m_route->models.empty())
        return;
    if (m_servedDetour && m_servedDetour->model) {
        m_model = std::min(*m_servedDetour->model, m_route->models.size() - 1);
        return;
    }
    cascade_step step{runHistory()};
    step.models = m_route->models.size();
    step.isEscalationAllowed = m_state.budget.allowsRetry(m_service, retry_reason::escalation, suspendAwareNow());
    m_model = firstModel(m_state.cascade, step);
}

run_history gateway_exchange::runHistory() const
{
    run_history history;
    history.mayRetry = m_route->mayRetry();
    history.mayHaveRun = m_mayHaveRun;
    history.hasResponseStarted = m_hasStreamStarted;
    history.hasResumePoint = m_lastEventId.has_value();
    history.sends = m_sends;
    history.maxSends = m_route->maxAttempts;
    history.remaining = remainingTime();
    return history;
}

std::chrono::milliseconds gateway_exchange::remainingTime() const
{
    const auto remaining = m_deadline - suspendAwareNow();
    return std::max(std::chrono::milliseconds{0}, std::chrono::duration_cast<std::chrono::milliseconds>(remaining));
}

prompt_work gateway_exchange::promptWork() const
{
    const auto *service = m_config->findService(m_service);
    if (!service || !service->engine)
        return {};
    const auto &costs = service->engine->modelCosts;
    double relativeCost = 1; // of the model, relative to the most expensive one
    if (!m_route->models.empty() && costs.contains(m_route->models[m_model])) {
        const auto byCost = [](const auto &left, const auto &right) {
            return left.second < right.second;
        };
        const auto largest = std::max_element(costs.begin(), costs.end(), byCost)->second;
        relativeCost = costs.at(m_route->models[m_model]) / std::max(largest, 1e-9);
    }
    const auto msOf = [relativeCost](std::uint64_t tokens) {
        return relativeCost * static_cast<double>(tokens) / kPromptTokensPerMs;
    };
    return {msOf(m_metadata.sharedTokens), msOf(m_metadata.promptTokens - m_metadata.sharedTokens)};
}

/// @returns a key for the shared prompt parts and the current model, because engines cache prompts per model.
std::uint64_t gateway_exchange::promptKey() const
{
    return m_metadata.sharedPrefixHash == 0 ? 0 : m_metadata.sharedPrefixHash + m_model;
}

replica_query gateway_exchange::queryFor(const version_choice &choice) const
{
    replica_query query;
    query.service = m_service;
    query.version = choice.version;
    query.excludedVersions = &choice.excluded;
    query.replicaShare = choice.replicaShare;
    query.sharedPrefixHash = promptKey();
    query.work = promptWork();
    query.tried = &m_triedReplicas;
    query.gate = &m_state.gate;
    return query;
}

const replica_entry *gateway_exchange::pickReplica()
{
    const auto now = suspendAwareNow();
    const auto choice = m_state.rollouts.choose(m_service, m_metadata.session);
    if (const auto *preferred = m_state.replicas.pick(queryFor(choice), now))
        return preferred;
    // Neither a rate limit nor a pause moves sessions to another version.
    m_exclusion = m_state.replicas.exclusion(queryFor(choice), now);
    if (choice.version.empty() || m_exclusion != send_exclusion::none)
        return nullptr;
    // Events of another version don't continue a response that has begun, and a session keeps its version.
    if (http_status::isSuccess(m_response.status) && m_connectFailures == 0) {
        auto again = queryFor(choice);
        again.tried = nullptr;
        if (const auto *same = m_state.replicas.pick(again, now))
            return same;
    }
    // The new version may have no running replica yet, or its only replica has been tried.
    const auto others = choice.withExcluded(choice.version);
    const auto *other = m_state.replicas.pick(queryFor(others), now);
    m_exclusion = other ? send_exclusion::none : m_state.replicas.exclusion(queryFor(others), now);
    return other;
}

bool gateway_exchange::mayUseKey() const
{
    return !m_account || (m_state.hasKeyLease(suspendAwareNow()) && m_state.config->findAccount(m_metadata.key));
}

void gateway_exchange::attempt()
{
    // The process may have been suspended, or have waited for a response, since the key was checked.
    if (!mayUseKey()) {
        if (m_hasStreamStarted)
            return abortResponse(refusal::no_key_lease);
        return refuse(m_mayHaveRun ? refusal::failed : refusal::no_key_lease);
    }
    m_block = findBlock();
    if (m_block && m_sends == 0 && m_state.crashes.tryConsumeTrial(m_block->trait, suspendAwareNow())) {
        m_state.log.write("quarantine_trial", {{"request_id", m_metadata.id}, {"prompt_part", hexText(m_block->trait)}},
                          log_subject::request);
        m_block.reset();
    }
    if (m_block) {
        if (m_hasStreamStarted)
            return abortResponse("quarantined");
        return refuse(m_mayHaveRun ? refusal::failed : refusal::quarantined);
    }
    if (const auto host = chooseDetour())
        return sendDetour(*host);
    const auto now = suspendAwareNow();
    if (m_state.reach.isCutOff(m_service) && !m_state.reach.hasLiveConnections(m_service, now)) {
        if (tryWaitForHost(now))
            return;
        if (m_hasStreamStarted)
            return abortResponse(refusal::unreachable);
        return refuse(m_mayHaveRun ? refusal::failed : refusal::unreachable);
    }
    const auto *replica = pickReplica();
    if (!replica && !m_triedReplicas.empty() && m_sends < m_route->maxAttempts) {
        m_triedReplicas.clear(); // all replicas have been tried; one of them may have recovered
        replica = pickReplica();
    }
    if (replica)
        return send(*replica);
    if (m_hasStreamStarted)
        return abortResponse(noReplicaReason());
    refuse(m_mayHaveRun ? refusal::failed : noReplicaReason());
}

/// @returns why no replica could be selected.
gateway_exchange::refusal gateway_exchange::noReplicaReason() const
{
    if (m_exclusion == send_exclusion::limited)
        return refusal::rate_limited;
    if (m_exclusion == send_exclusion::full)
        return refusal::full;
    return m_exclusion == send_exclusion::paused ? refusal::paused : refusal::no_replica;
}

/// Orders by urgency first. Within the same urgency, short work precedes long work, so that a prompt for the smallest
/// model doesn't wait for one for the largest; streams that have already been interrupted come last.
std::uint32_t gateway_exchange::enginePriority() const
{
    constexpr std::uint32_t kLevelsPerUrgency = 3;
    const auto urgency = m_account && m_account->priority ? *m_account->priority : m_route->priority;
    const bool isLarge = m_model > 0 && m_model + 1 == m_route->models.size();
    return kLevelsPerUrgency * urgency + (m_hasStreamStarted ? 2 : isLarge ? 1 : 0);
}

upstream_request gateway_exchange::upstreamRequest(const replica_entry &replica) const
{
    forward_fields fields;
    fields.replica = replica.id;
    fields.account = m_account ? m_account->name : std::string();
    fields.model = m_route->models.empty() ? std::string() : m_route->models[m_model];
    fields.timeout = remainingTime();
    const auto *service = m_config->findService(m_service);
    if (service && service->engine)
        fields.priority = enginePriority();
    if (m_hasStreamStarted)
        fields.lastEventId = m_lastEventId;
    return {replica.address, replica.id,    forwardedHead(*m_request, fields, m_state.headerNames),
            sharedBody(),    m_metadata.id, m_respondedReplicas.contains(replica.id)};
}

void gateway_exchange::send(const replica_entry &replica)
{
    m_replica = replica.id;
    m_replicaStartedAtMs = replica.startedAtMs;
    m_replicaVersion = replica.version;
    m_replicaAddress = replica.address;
    m_crashId = crash_registry::crashId(replica);
    m_triedReplicas.insert(replica.id);
    resetAttempt();
    m_state.rollouts.recordRequest(m_service, m_replicaVersion);
    m_state.gate.recordSend(m_replica, m_sentAt);
    logAttempt();
    if (m_route->retryRule != retry_rule::stream)
        startEvidenceTimer();
    m_silenceTimer.start(reachability::kSilence);
    m_promptMs = m_state.replicas.recordStart(m_replica, promptKey(), promptWork(), m_sentAt);
    m_upstream = std::make_unique<upstream_exchange>(m_state.pool, upstreamRequest(replica),
                                                     static_cast<upstream_listener &>(*this));
}

void gateway_exchange::resetAttempt()
{
    ++m_sends;
    m_sentAt = suspendAwareNow();
    m_statement = {};
    m_firstByteAt.reset();
    m_firstEventAt.reset();
    m_eventCount = 0;
    m_response = {};
    clearBody();
    m_isStream = false;
    m_events.reset();
    m_hasVersionEvidence = false;
    m_evidenceTimer.stop();
    m_silenceTimer.stop();
}

void gateway_exchange::onSilence()
{
    if (!m_upstream || m_firstByteAt || m_detour)
        return;
    m_state.reach.recordSilence(m_service, m_sentAt);
    m_state.requestProbe();
}

/// Logs the chosen replica and model with the state of the replica that the choice was based on.
void gateway_exchange::logAttempt() const
{
    const auto basis = m_state.replicas.basisOf(m_replica, promptKey(), m_sentAt);
    nlohmann::ordered_json fields{{"request_id", m_metadata.id},
                                  {"service", m_service},
                                  {"upstream", m_replica},
                                  {"version", m_replicaVersion},
                                  {"sends", m_sends},
                                  {"remaining_ms", remainingTime().count()},
                                  {"running", basis.running},
                                  {"backlog_ms", std::lround(basis.backlogMs)},
                                  {"failure_percent", std::lround(basis.failureRate * 100)}};
    if (!m_route->models.empty())
        fields["model"] = m_route->models[m_model];
    if (m_metadata.sharedPrefixHash != 0)
        fields["prefix_cached"] = basis.hasCachedPrefix;
    if (basis.othersAge) {
        fields["others_running"] = std::lround(basis.othersRunning);
        fields["others_age_ms"] = basis.othersAge->count();
    }
    m_state.log.write("attempt", fields, log_subject::request);
}

void gateway_exchange::onDeadline()
{
    if (m_isFinished)
        return;
    if (!m_route)
        return refuse(refusal::no_config); // the host has not started in time
    const bool hasNoResponse = m_upstream && !m_firstByteAt;
    m_mayHaveRun = m_mayHaveRun || m_upstream != nullptr;
    if (hasNoResponse && !m_detour) {
        attributeEvidence(std::nullopt);
        attributeFailure(contact_kind::any, suspendAwareNow());
    }
    if (m_upstream)
        closeAttempt(std::nullopt);
    if (m_hasStreamStarted)
        return abortResponse("deadline");
    refuse(m_mayHaveRun ? refusal::deadline : refusal::not_run);
}

void gateway_exchange::onCallerDrained()
{
    if (m_upstream)
        m_upstream->setReading(true);
}

void gateway_exchange::onCallerGone()
{
    constexpr int kClientClosed = 499; // only used in logs and metrics
    if (m_upstream)
        closeAttempt(std::nullopt);
    finish(kClientClosed, "caller_gone");
}

void gateway_exchange::onStopping()
{
    if (m_isFinished || m_hasStreamStarted)
        return;
    m_mayHaveRun = m_mayHaveRun || m_upstream != nullptr;
    if (m_upstream)
        closeAttempt(std::nullopt);
    refuse(m_mayHaveRun ? refusal::failed : refusal::stopping);
}

void gateway_exchange::finish(int status, std::string_view reason)
{
    m_isFinished = true;
    m_timer.stop();
    m_evidenceTimer.stop();
    m_silenceTimer.stop();
    m_retryTimer.stop();
    if (std::exchange(m_countsAsDetour, false))
        --m_state.detoursServed;
    leaveQueue(); // this object lives until its connection is closed
    releaseCrashReport();
    const auto now = suspendAwareNow();
    const auto duration = now - m_request->readAt;
    const std::string_view route = m_route ? std::string_view(m_route->name) : std::string_view("none");
    m_state.metrics.recordRequest(route, status, reason, duration);
    nlohmann::ordered_json fields{
        {"request_id", m_metadata.id},
        {"route", route},
        {"status", status},
        {"reason", reason},
        {"ms", duration.count() / 1000},
        {"first_ms", m_firstEventAt ? (*m_firstEventAt - m_request->readAt).count() / 1000 : -1},
        {"sends", m_sends}};
    if (m_fingerprint != 0)
        fields["fingerprint"] = hexText(m_fingerprint);
    if (m_block) {
        fields["blocked_by"] = hexText(m_block->trait);
        fields["prompt_parts"] = hexTexts(m_metadata.sharedParts);
    }
    if (m_metadata.session != 0)
        fields["session"] = m_metadata.session;
    if (m_account)
        fields["account"] = m_account->name;
    if (!m_replica.empty()) {
        fields["upstream"] = m_replica;
        fields["version"] = m_replicaVersion;
    }
    if (m_route && !m_route->models.empty())
        fields["model"] = m_route->models[m_model];
    if (m_statement.confidence)
        fields["confidence"] = *m_statement.confidence;
    addStreamFields(fields);
    if (m_servedDetour)
        fields["received_by"] = m_servedDetour->host;
    if (m_config)
        fields["generation"] = m_config->version;
    if (m_state.configConfirmedAt)
        fields["config_age_ms"] = (now - *m_state.configConfirmedAt).count() / 1000;
    m_state.log.write("request_end", fields, log_subject::request);
}

} // namespace foxtaildyke
