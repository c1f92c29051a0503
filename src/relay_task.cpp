// Runs freshness and relay in the router: store, peers and timers; see relay_task_p.h.
#include "relay_task_p.h"

#include <random>

namespace foxtaildyke
{

namespace
{

constexpr std::chrono::milliseconds kRootReadPeriod{250};
constexpr std::chrono::milliseconds kMinSamplePeriod{1000};

/// Period of store reads by a host whose parent provides no fresh stamp; 350 such hosts must stay within the
/// request rate of the store.
constexpr std::chrono::milliseconds kNoStampReadPeriod{1000};

constexpr std::chrono::milliseconds kRecoverPeriod{1000};
constexpr std::chrono::milliseconds kRecoverTimeout{1000};

/// Bounds of the time between runs. The relay's own timers are never closer than the minimum; the maximum limits the
/// delay of the response to a pending Status call.
constexpr std::chrono::milliseconds kMinWait{1};
constexpr std::chrono::milliseconds kMaxWait{50};

tally_id randomTally()
{
    std::random_device device;
    return device();
}

} // namespace

relay_task::relay_task(event_loop &loop, object_store &store, const process_settings &settings, core_sink deliver,
                       event_sink onEvent)
    : m_loop(loop)
    , m_store(store)
    , m_settings(settings)
    , m_deliver(std::move(deliver))
    , m_onEvent(std::move(onEvent))
    , m_config(settings.failureDomain)
    , m_freshness(settings.host, event_loop::now())
    , m_relay(settings.host, randomTally(), m_freshness,
              {[this](const config_content &content) { adopt(content, "peer"); },
               [this](generation_number generation) {
                   return m_config.contentAfter(generation);
               }})
    , m_peers(loop)
    , m_timer(loop, [this] { drive(); })
    , m_demandSince(event_loop::now())
{
}

relay_task::~relay_task() = default;

void relay_task::setLedger(ledger_handlers handlers)
{
    m_ledger = std::move(handlers);
}

void relay_task::start()
{
    if (!m_settings.peerListen.address.empty()) {
        m_service = std::make_unique<peer_service>(m_loop, makeHandlers());
        const auto port = m_service->listen(m_settings.peerListen);
        if (port.has_error())
            m_onEvent("peer_listen_failed", port.error().field, 0);
        else
            m_peerPort = port.value();
    }
    drive();
}

void relay_task::drive()
{
    // Inputs delivered to the core may call share() while this function runs.
    if (std::exchange(m_isDriving, true))
        return;
    const auto now = event_loop::now();
    readStore(now);
    requestRecovery(now);
    measureDemand(now);
    m_relay.tick(now);
    for (auto &action : m_relay.takeActions())
        execute(action);
    publishLease();
    publishShared();
    publishLimitShares();
    respondToStatusCalls(now);
    m_isDriving = false;
    const auto wait = std::chrono::duration_cast<std::chrono::microseconds>(m_relay.nextTimer() - now);
    m_timer.start(std::clamp<std::chrono::microseconds>(wait, kMinWait, kMaxWait));
}

void relay_task::execute(relay_action &action)
{
    if (auto *call = std::get_if<start_exchange>(&action))
        return execute(*call);
    const auto &respond = std::get<respond_to_exchange>(action);
    if (auto pending = m_pendingExchanges.extract(respond.call))
        pending.mapped()(toWire(respond.response));
}

void relay_task::execute(start_exchange &action)
{
    const auto token = action.call;
    const auto to = endpointOf(action.host);
    if (!to) {
        m_relay.handleResponse(token, error{error_code::not_found, action.host}, event_loop::now());
        return;
    }
    m_peers.exchange(*to, toWire(action.request), action.timeout, [this, token](const result<exchange_reply> &wire) {
        const auto response = wire.has_error() ? result<exchange_response>(wire.error())
                                               : result<exchange_response>(fromWire(wire.value()));
        m_relay.handleResponse(token, response, event_loop::now());
        drive();
    });
}

std::optional<http_endpoint> relay_task::endpointOf(const std::string &host) const
{
    // A seed address is reachable from this host's network, so it takes precedence over the registered address.
    const auto seed = std::ranges::find(m_settings.seeds, host, &seed_host::name);
    if (seed != m_settings.seeds.end())
        return seed->peer;
    if (!m_config.base())
        return std::nullopt;
    const auto handle = m_config.base()->hostByName(host);
    if (!handle.isValid())
        return std::nullopt;
    const auto &entry = (*m_config.base())[handle];
    return http_endpoint{entry.address, entry.peerPort};
}

/// Every host reads the store occasionally, so that a change enters the tree even if the root can't reach the store.
/// The period grows with the number of hosts, so that the total read rate doesn't depend on the fleet size.
std::chrono::milliseconds relay_task::samplePeriod() const
{
    const auto hosts = m_config.base() ? m_config.base()->hosts.size() : 1;
    return std::max(kMinSamplePeriod, static_cast<std::int64_t>(hosts) * kRootReadPeriod);
}

void relay_task::readStore(instant now)
{
    const bool isRoot = m_relay.isRoot();
    const bool isNeeded = isRoot || m_freshness.isRecovering() || m_relay.lacksFreshStamp(now);
    if (m_isReading || now < m_nextRead || !(isNeeded || now >= m_nextSample))
        return;
    m_nextRead = now + (isRoot ? kRootReadPeriod : kNoStampReadPeriod);
    m_nextSample = now + samplePeriod();
    m_isReading = true;
    m_store.read("config/current", [this, now](const result<stored_object> &object) {
        m_isReading = false;
        onRead(now, object);
        drive();
    });
}

void relay_task::onRead(instant startedAt, const result<stored_object> &object)
{
    if (object.has_error())
        return;
    const auto document = decodeConfig(object.value().body);
    if (document.has_error())
        return reportRejected(document.error().field);
    const auto generation = document.value().generation;
    // The stamp must precede the adoption, so that children receive it together with the generation.
    m_freshness.applyStamp({generation, startedAt});
    if (generation > m_freshness.generation())
        adopt({{}, object.value().body}, "store read");
    m_freshness.recordStoreRead(generation, startedAt);
}

void relay_task::adopt(const config_content &content, const char *source)
{
    const auto adopted = m_config.apply(content);
    if (adopted.has_error())
        return reportRejected(adopted.error().field);
    if (!adopted.value())
        return;
    m_rejectedField.clear();
    const auto &base = *m_config.base();
    std::vector<std::string> names;
    std::ranges::transform(base.hosts, std::back_inserter(names), &host_config::name);
    const auto lease = std::min(base.tune.freshnessLease, m_config.view()->tune.freshnessLease);
    m_freshness.adopt(base.generation, names, lease);
    m_relay.setMembers({std::move(names), base.tune.exchangePeriod, base.tune.quarantineLifetime}, event_loop::now());
    m_onEvent("config_adopted", source, base.generation);
    m_deliver(config_changed{m_config.view()});
}

void relay_task::reportRejected(const std::string &field)
{
    // The store is read several times a second; each fault is reported only once.
    if (std::exchange(m_rejectedField, field) != field)
        m_onEvent("config_rejected", field, m_config.generation());
}

void relay_task::requestRecovery(instant now)
{
    if (!m_freshness.isRecovering() || now < m_nextRecover)
        return;
    m_nextRecover = now + kRecoverPeriod;
    std::map<std::string, http_endpoint> hosts;
    for (const auto &seed : m_settings.seeds)
        hosts[seed.name] = seed.peer;
    if (m_config.base())
        for (const auto &entry : m_config.base()->hosts)
            hosts.try_emplace(entry.name, http_endpoint{entry.address, entry.peerPort});
    hosts.erase(m_settings.host);
    recover_request request;
    request.set_host(m_settings.host);
    request.set_generation(m_config.generation());
    for (const auto &[host, endpoint] : hosts)
        m_peers.recover(endpoint, request, kRecoverTimeout,
                        [this, name = host, now](const result<recover_reply> &response) {
                            onRecoverResponse(name, now, response);
                        });
}

void relay_task::onRecoverResponse(const std::string &host, instant startedAt, const result<recover_reply> &response)
{
    // The address of a seed may belong to a host of another name.
    if (response.has_error() || (!response.value().host().empty() && response.value().host() != host))
        return;
    const auto &status = response.value();
    if (!status.document().empty())
        adopt({{}, status.document()}, "recovery");
    const bool wasRecovering = m_freshness.isRecovering();
    if (m_freshness.recordRecoverResponse(host, status.recovering(), status.generation(), startedAt) && wasRecovering)
        m_onEvent("recovered", "responses of a majority", m_freshness.generation());
    drive();
}

recover_reply relay_task::makeRecoverResponse(const recover_request &request) const
{
    recover_reply response;
    response.set_host(m_settings.host);
    response.set_recovering(m_freshness.isRecovering());
    response.set_generation(m_freshness.generation());
    if (request.generation() < m_config.generation())
        response.set_document(m_config.contentAfter(0).document);
    return response;
}

peer_handlers relay_task::makeHandlers()
{
    peer_handlers handlers;
    handlers.exchange = [this](const exchange_request &request, peer_responder<exchange_reply> respond) {
        const response_token token{++m_lastResponse};
        m_pendingExchanges[token] = std::move(respond);
        m_relay.handleCall(token, fromWire(request), event_loop::now());
        drive();
    };
    handlers.recover = [this](const recover_request &request, const peer_responder<recover_reply> &respond) {
        respond(makeRecoverResponse(request));
    };
    handlers.status = [this](const status_request &request, peer_responder<status_reply> respond) {
        const auto until = event_loop::now() + std::chrono::milliseconds(request.wait_ms());
        m_pendingStatusCalls.push_back({request.generation(), until, std::move(respond)});
        respondToStatusCalls(event_loop::now());
    };
    handlers.append = m_ledger.append;
    handlers.copyBills = m_ledger.copyBills;
    return handlers;
}

void relay_task::respondToStatusCalls(instant now)
{
    const auto hosts = m_config.base() ? m_config.base()->hosts.size() : 0;
    const bool isAcknowledgedByAll = hosts != 0 && m_relay.acknowledgedCount() == hosts;
    std::erase_if(m_pendingStatusCalls, [&](const pending_status_call &pending) {
        const bool isAcknowledged = isAcknowledgedByAll && m_freshness.generation() >= pending.generation;
        if (!isAcknowledged && now < pending.until)
            return false;
        pending.respond(makeStatus(now));
        return true;
    });
}

status_reply relay_task::makeStatus(instant now) const
{
    status_reply response;
    response.set_host(m_settings.host);
    response.set_generation(m_freshness.generation());
    response.set_recovering(m_freshness.isRecovering());
    response.set_may_dispatch(m_freshness.mayDispatch(now));
    for (const auto &name : m_relay.acknowledgedHosts())
        response.add_acknowledged_hosts(name);
    if (m_config.base())
        for (const auto &entry : m_config.base()->hosts)
            response.add_registered_hosts(entry.name);
    response.set_parent(m_relay.parent());
    const auto leaseLeft = std::chrono::duration_cast<std::chrono::milliseconds>(m_freshness.leaseEnd() - now).count();
    response.set_lease_left_ms(static_cast<std::uint64_t>(std::max<std::int64_t>(leaseLeft, 0)));
    for (const auto &[key, values] : m_relay.shared().totals()) {
        if (!key.kind.empty())
            continue;
        auto &entry = *response.add_evidence();
        entry.set_version(key.version);
        entry.set_passed(values[0]);
        entry.set_failed(values[1]);
        entry.set_dispatched(values[2]);
        entry.set_settled(values[3]);
    }
    for (const auto &version : m_relay.shared().haltedVersions())
        response.add_halted_versions(version);
    return response;
}

} // namespace foxtaildyke
