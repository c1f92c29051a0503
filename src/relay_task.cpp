// Runs freshness and relay in the router: store, peers and timers; see relay_task_p.h.
#include "relay_task_p.h"

#include <random>

namespace foxtaildyke
{

namespace
{

constexpr std::chrono::milliseconds kRootReadPeriod{250};
constexpr std::chrono::milliseconds kLeastSamplePeriod{1000};

/// A host whose parent brings no fresh stamp reads the store as well; 350 such hosts must not exceed its rate.
constexpr std::chrono::milliseconds kStarvingReadPeriod{1000};

constexpr std::chrono::milliseconds kRecoverPeriod{1000};
constexpr std::chrono::milliseconds kRecoverTimeout{1000};

/// The relay's own timers are never closer; the longest bounds how late a waiting Status call is answered.
constexpr std::chrono::milliseconds kShortestWait{1};
constexpr std::chrono::milliseconds kLongestWait{50};

tally_id randomTally()
{
    std::random_device device;
    return device();
}

} // namespace

relay_task::relay_task(event_loop &loop, object_store &store, const process_settings &settings, core_sink deliver,
                       event_sink note)
    : m_loop(loop)
    , m_store(store)
    , m_settings(settings)
    , m_deliver(std::move(deliver))
    , m_note(std::move(note))
    , m_config(settings.failureDomain)
    , m_fresh(settings.host, event_loop::now())
    , m_relay(settings.host, randomTally(), m_fresh,
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
            m_note("peer_listen_failed", port.error().field, 0);
        else
            m_peerPort = port.value();
    }
    drive();
}

void relay_task::drive()
{
    // Inputs of the core may come back as shares while this function runs.
    if (std::exchange(m_isDriving, true))
        return;
    const auto now = event_loop::now();
    readStore(now);
    askToRecover(now);
    measureDemand(now);
    m_relay.tick(now);
    for (auto &action : m_relay.takeActions())
        carryOut(action);
    publishLease();
    publishShared();
    publishShares();
    answerStatus(now);
    m_isDriving = false;
    const auto wait = std::chrono::duration_cast<std::chrono::microseconds>(m_relay.nextTimer() - now);
    m_timer.start(std::clamp<std::chrono::microseconds>(wait, kShortestWait, kLongestWait));
}

void relay_task::carryOut(relay_action &action)
{
    if (auto *call = std::get_if<start_exchange>(&action))
        return carryOut(*call);
    const auto &answer = std::get<respond_to_exchange>(action);
    if (auto waiting = m_answers.extract(answer.call))
        waiting.mapped()(toWire(answer.response));
}

void relay_task::carryOut(start_exchange &action)
{
    const auto token = action.call;
    const auto to = endpointOf(action.host);
    if (!to) {
        m_relay.handleResponse(token, error{error_code::not_found, action.host}, event_loop::now());
        return;
    }
    m_peers.exchange(*to, toWire(action.request), action.timeout, [this, token](const result<exchange_reply> &reply) {
        const auto answer = reply.has_error() ? result<exchange_response>(reply.error())
                                              : result<exchange_response>(fromWire(reply.value()));
        m_relay.handleResponse(token, answer, event_loop::now());
        drive();
    });
}

std::optional<http_endpoint> relay_task::endpointOf(const std::string &host) const
{
    // A seed is the way to that host from this host's network, so it goes before the registered address.
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

/// Every host reads the store now and then, so that a change also gets into the tree while the root's own way to the
/// store is cut. The period grows with the number of hosts, so that the store sees the same rate for any fleet.
std::chrono::milliseconds relay_task::samplePeriod() const
{
    const auto hosts = m_config.base() ? m_config.base()->hosts.size() : 1;
    return std::max(kLeastSamplePeriod, static_cast<std::int64_t>(hosts) * kRootReadPeriod);
}

void relay_task::readStore(instant now)
{
    const bool isRoot = m_relay.isRoot();
    const bool isNeeded = isRoot || m_fresh.isRecovering() || m_relay.lacksFreshStamp(now);
    if (m_isReading || now < m_nextRead || !(isNeeded || now >= m_nextSample))
        return;
    m_nextRead = now + (isRoot ? kRootReadPeriod : kStarvingReadPeriod);
    m_nextSample = now + samplePeriod();
    m_isReading = true;
    m_store.read("config/current", [this, now](const result<stored_object> &object) {
        m_isReading = false;
        onRead(now, object);
        drive();
    });
}

void relay_task::onRead(instant begun, const result<stored_object> &object)
{
    if (object.has_error())
        return;
    const auto document = decodeConfig(object.value().body);
    if (document.has_error())
        return noteRejected(document.error().field);
    const auto generation = document.value().generation;
    // The stamp first, so that the children get it together with the generation.
    m_fresh.stamp({generation, begun});
    if (generation > m_fresh.generation())
        adopt({{}, object.value().body}, "store read");
    m_fresh.recordStoreRead(generation, begun);
}

void relay_task::adopt(const config_content &content, const char *source)
{
    const auto taken = m_config.apply(content);
    if (taken.has_error())
        return noteRejected(taken.error().field);
    if (!taken.value())
        return;
    m_rejectedField.clear();
    const auto &base = *m_config.base();
    std::vector<std::string> names;
    std::ranges::transform(base.hosts, std::back_inserter(names), &host_config::name);
    const auto lease = std::min(base.tune.freshnessLease, m_config.view()->tune.freshnessLease);
    m_fresh.adopt(base.generation, names, lease);
    m_relay.setMembers({std::move(names), base.tune.exchangePeriod, base.tune.quarantineLifetime}, event_loop::now());
    m_note("config_adopted", source, base.generation);
    m_deliver(config_changed{m_config.view()});
}

void relay_task::noteRejected(const std::string &field)
{
    // The store is read several times a second; one event for each fault is enough.
    if (std::exchange(m_rejectedField, field) != field)
        m_note("config_rejected", field, m_config.generation());
}

void relay_task::askToRecover(instant now)
{
    if (!m_fresh.isRecovering() || now < m_nextRecover)
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
        m_peers.recover(
            endpoint, request, kRecoverTimeout,
            [this, name = host, now](const result<recover_reply> &answer) { onRecovered(name, now, answer); });
}

void relay_task::onRecovered(const std::string &host, instant askedAt, const result<recover_reply> &answer)
{
    // A seed may stand for another host than its name says.
    if (answer.has_error() || (!answer.value().host().empty() && answer.value().host() != host))
        return;
    const auto &reply = answer.value();
    if (!reply.document().empty())
        adopt({{}, reply.document()}, "recovery");
    const bool wasRecovering = m_fresh.isRecovering();
    if (m_fresh.recordRecoverResponse(host, reply.recovering(), reply.generation(), askedAt) && wasRecovering)
        m_note("recovered", "answers of a majority", m_fresh.generation());
    drive();
}

recover_reply relay_task::answerRecover(const recover_request &request) const
{
    recover_reply reply;
    reply.set_host(m_settings.host);
    reply.set_recovering(m_fresh.isRecovering());
    reply.set_generation(m_fresh.generation());
    if (request.generation() < m_config.generation())
        reply.set_document(m_config.contentAfter(0).document);
    return reply;
}

peer_handlers relay_task::makeHandlers()
{
    peer_handlers handlers;
    handlers.exchange = [this](const exchange_request &request, peer_responder<exchange_reply> reply) {
        const response_token token{++m_lastAnswer};
        m_answers[token] = std::move(reply);
        m_relay.handleCall(token, fromWire(request), event_loop::now());
        drive();
    };
    handlers.recover = [this](const recover_request &request, const peer_responder<recover_reply> &reply) {
        reply(answerRecover(request));
    };
    handlers.status = [this](const status_request &request, peer_responder<status_reply> reply) {
        const auto until = event_loop::now() + std::chrono::milliseconds(request.wait_ms());
        m_waitingStatus.push_back({request.generation(), until, std::move(reply)});
        answerStatus(event_loop::now());
    };
    handlers.append = m_ledger.append;
    handlers.copyBills = m_ledger.copyBills;
    return handlers;
}

void relay_task::answerStatus(instant now)
{
    const auto hosts = m_config.base() ? m_config.base()->hosts.size() : 0;
    const bool isEverywhere = hosts != 0 && m_relay.acknowledgedCount() == hosts;
    std::erase_if(m_waitingStatus, [&](const waiting_status &waiting) {
        const bool isAcknowledged = isEverywhere && m_fresh.generation() >= waiting.generation;
        if (!isAcknowledged && now < waiting.until)
            return false;
        waiting.reply(makeStatus(now));
        return true;
    });
}

status_reply relay_task::makeStatus(instant now) const
{
    status_reply reply;
    reply.set_host(m_settings.host);
    reply.set_generation(m_fresh.generation());
    reply.set_recovering(m_fresh.isRecovering());
    reply.set_may_dispatch(m_fresh.mayDispatch(now));
    for (const auto &name : m_relay.acknowledgedHosts())
        reply.add_acknowledged_hosts(name);
    if (m_config.base())
        for (const auto &entry : m_config.base()->hosts)
            reply.add_registered_hosts(entry.name);
    reply.set_parent(m_relay.parent());
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(m_fresh.leaseEnd() - now).count();
    reply.set_lease_left_ms(static_cast<std::uint64_t>(std::max<std::int64_t>(left, 0)));
    for (const auto &[key, values] : m_relay.shared().totals()) {
        if (!key.kind.empty())
            continue;
        auto &entry = *reply.add_evidence();
        entry.set_version(key.version);
        entry.set_passed(values[0]);
        entry.set_failed(values[1]);
        entry.set_dispatched(values[2]);
        entry.set_settled(values[3]);
    }
    for (const auto &version : m_relay.shared().haltedVersions())
        reply.add_halted_versions(version);
    return reply;
}

} // namespace foxtaildyke
