// Gateway of one host: whether it reaches the replicas, and the exchange of statements with other hosts that serve its
// requests while it doesn't; see gateway_task_p.h.
#include "gateway_task_p.h"

#include "http_status_p.h"
#include "port_wait_p.h"

#include <nlohmann/json.hpp>

namespace foxtaildyke
{

namespace
{

/// Room for the headers that hosts add to requests for each other.
constexpr std::size_t kDetourHeadBytes = 2048;
/// Timeout of an exchange of statements: two hosts answer within a few ms.
constexpr std::chrono::milliseconds kExchangeTimeout{500};
/// Longest time from a broken response to the refusal of the connection that checks its replica.
constexpr auto kCrashCheckTime = connection_pool::kConnectTimeout;
/// Age of a contact after which it is renewed for a host that is cut off.
constexpr std::chrono::milliseconds kMaxContactAge{200};

} // namespace

const caller_limits &gateway_task::detour_owner::limits() const
{
    detourLimits = task.limits();
    detourLimits.headBytes += kDetourHeadBytes;
    return detourLimits;
}

std::unique_ptr<request_work> gateway_task::detour_owner::serve(inbound_request request, caller_response &response)
{
    if (request.head.target == kStatementsPath) {
        const auto now = suspendAwareNow();
        const auto statements = decodeStatements(request.body);
        task.recordStatements(request.body);
        const auto sender = statements.empty() ? std::string() : statements.front().statement.host;
        response.sendResponse(http_status::kOk, {},
                              encodeStatements(task.ownStatement(now), task.m_state.detours.sample(sender, now)));
        return nullptr;
    }
    auto detour = takeDetour(request.head);
    if (!detour) {
        response.sendResponse(http_status::kBadRequest, {}, {});
        return nullptr;
    }
    auto work = std::make_unique<gateway_exchange>(task.m_state, std::move(request), response, std::move(detour));
    work->begin();
    return work;
}

result<void> gateway_task::listenForDetours()
{
    if (m_settings.detour.port == 0)
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    m_detourListener = listenAt(m_settings.detour, m_detourOwner);
    if (!m_detourListener)
        return listenError(m_settings.detour);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void gateway_task::probeReplicas()
{
    m_isProbePending = false;
    const auto due = m_state.reach.servicesToProbe(suspendAwareNow());
    for (const auto &service : due)
        m_state.prober.probe(service, m_state.replicas.replicasOf(service), m_state.random);
}

void gateway_task::onProbeRoundEnd(const std::string &service)
{
    judgeReachability(service);
    if (!m_state.reach.isCutOff(service))
        m_state.requestProbe(); // until the host has reached a replica, or enough have failed
}

void gateway_task::judgeReachability(const std::string &service)
{
    const auto replicas = m_state.replicas.replicasOf(service);
    std::vector<std::string> ids;
    std::ranges::transform(replicas, std::back_inserter(ids), [](const auto *entry) { return entry->id; });
    const bool isNew = m_state.reach.judge(service, ids, suspendAwareNow());
    logCutOffs(suspendAwareNow());
    if (isNew && m_settings.detour.port != 0)
        exchangeStatements(); // what the others reach now tells a cut from replicas that have failed
}

void gateway_task::logCutOffs(instant now)
{
    const auto services = m_state.reach.cutOffServices();
    const std::set<std::string> cutOff(services.begin(), services.end());
    m_metrics.setCutOffServices(cutOff.size());
    for (const auto &service : cutOff)
        if (!m_loggedCutOffs.contains(service))
            m_log.write("cut_off",
                        {{"service", service},
                         {"replicas", m_state.replicas.replicasOf(service).size()},
                         {"ms", (now - *m_state.reach.failingSince(service)).count() / 1000},
                         {"detour_hosts", m_state.detours.size()}});
    for (const auto &service : m_loggedCutOffs)
        if (!cutOff.contains(service))
            m_log.write("cut_off_ended", {{"service", service}});
    m_loggedCutOffs = cutOff;
}

/// Another host that has reached the service since shows that the replicas run.
void gateway_task::confirmCutOffs(instant now)
{
    for (const auto &service : m_state.reach.cutOffServices()) {
        if (!m_state.detours.isReachedByOthers(service, *m_state.reach.failingSince(service), now))
            continue;
        const auto since = *m_state.reach.failingSince(service);
        const auto discarded = m_state.reach.confirmCutOff(service);
        const auto crashes = withdrawCrashes(service, since - kCrashCheckTime, now);
        m_metrics.recordDiscardedFailures(discarded + crashes);
        if (discarded + crashes > 0)
            m_log.write("failures_discarded", {{"service", service}, {"count", discarded}, {"crashes", crashes}});
    }
}

std::size_t gateway_task::withdrawCrashes(const std::string &service, instant since, instant now)
{
    std::set<std::uint64_t> withdrawn;
    for (const auto &crash : m_unconfirmedCrashes)
        if (crash.service == service && crash.at >= since)
            withdrawn.insert(crash.crashId);
    if (withdrawn.empty())
        return 0;
    std::erase_if(m_unconfirmedCrashes, [&](const auto &crash) { return withdrawn.contains(crash.crashId); });
    m_state.crashes.withdrawCrashes(withdrawn, now);
    return withdrawn.size();
}

void gateway_task::advanceDetours(instant now)
{
    m_state.detours.expire(now);
    m_state.reach.expire(now);
    std::erase_if(m_unconfirmedCrashes,
                  [now](const auto &crash) { return now - crash.at >= reachability::kMaxDeferral; });
    m_metrics.setDetoursServed(m_state.detoursServed);
    m_metrics.setDetourHosts(m_state.detours.size());
    if (m_state.detours.size() > 0)
        m_state.gate.brittle().setHosts(std::max(m_fleetSize, m_state.detours.size() + 1));
    m_metrics.setBrittleReplicas(m_state.gate.brittle().count());
    for (const auto &service : m_state.reach.cutOffServices())
        judgeReachability(service); // the replicas may have changed
    probeReplicas();
    confirmCutOffs(now);
}

host_statement gateway_task::ownStatement(instant now) const
{
    host_statement statement;
    statement.host = m_settings.host;
    statement.address = m_settings.detour;
    statement.detours = m_state.detoursServed;
    statement.cutOff = m_state.reach.cutOffServices();
    if (m_isDraining)
        return statement;
    for (const auto &service : m_state.replicas.services())
        if (const auto contact = m_state.reach.lastContact(service); contact && !m_state.reach.isCutOff(service))
            statement.contacts[service] = std::chrono::ceil<std::chrono::milliseconds>(now - *contact);
    return statement;
}

void gateway_task::exchangeStatements()
{
    const auto now = suspendAwareNow();
    const bool isCutOff = !m_state.reach.cutOffServices().empty();
    const auto isNew = [&](const std::string &service) {
        return m_state.reach.isNewlyCutOff(service, now);
    };
    const bool isNewlyCutOff = std::ranges::any_of(m_state.reach.cutOffServices(), isNew);
    m_exchangeTimer.start(isNewlyCutOff  ? detour_hosts::kFirstExchangeInterval
                              : isCutOff ? detour_hosts::kUrgentExchangeInterval
                                         : detour_hosts::kExchangeInterval);
    for (const auto &contact : m_state.detours.nextContacts(isCutOff, now)) {
        http_request call;
        call.endpoint = contact;
        call.method = http_method::post;
        call.target = kStatementsPath;
        call.timeout = kExchangeTimeout;
        call.body = encodeStatements(ownStatement(now), m_state.detours.sample({}, now));
        http_handlers handlers;
        handlers.onDone = [this, contact](const http_response &response) {
            if (response.end == http_end::complete && response.status == http_status::kOk)
                recordStatements(response.body);
            else
                m_state.detours.recordFailure(contact, suspendAwareNow());
        };
        m_hostClient.start(std::move(call), std::move(handlers));
    }
}

void gateway_task::recordStatements(const std::string &text)
{
    const auto now = suspendAwareNow();
    const auto statements = decodeStatements(text);
    for (const auto &[statement, age] : statements)
        m_state.detours.record(statement, now - age);
    if (!statements.empty())
        renewContacts(statements.front().statement.cutOff, now);
    confirmCutOffs(now);
}

void gateway_task::renewContacts(const std::vector<std::string> &services, instant now)
{
    for (const auto &service : services) {
        const auto contact = m_state.reach.lastContact(service);
        if (!m_state.reach.isCutOff(service) && (!contact || now - *contact > kMaxContactAge))
            m_state.prober.probe(service, m_state.replicas.replicasOf(service), m_state.random);
    }
}

bool gateway_task::canServeSome() const
{
    const auto services = m_state.replicas.services();
    const auto now = suspendAwareNow();
    const auto isReached = [&](const std::string &service) {
        return !m_state.reach.isCutOff(service) || m_state.reach.hasLiveConnections(service, now)
            || m_state.detours.isReachedByOthers(service, *m_state.reach.failingSince(service), now);
    };
    return services.empty() || std::ranges::any_of(services, isReached);
}

} // namespace foxtaildyke
