// Virtual-time simulation of hosts, a store and configuration writers; see freshness_sim.h.
#include "freshness_sim.h"

namespace foxtaildyke::sim
{

namespace
{

constexpr auto kLease = std::chrono::milliseconds(2000);
constexpr int kLeaseSteps = 2000 / freshness_sim::kStepMs;
constexpr int kAcceptSteps = kLeaseSteps + kLeaseSteps / 10;
constexpr int kRequestEverySteps = 4;
constexpr std::size_t kStoreReaders = 2; ///< hosts that read the store even when they are not recovering

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::ranges::find(names, name) != names.end();
}

bool isMajority(const std::vector<std::string> &acknowledged, const std::vector<std::string> &hosts)
{
    const auto count = std::ranges::count_if(hosts, [&](const auto &name) { return contains(acknowledged, name); });
    return 2 * static_cast<std::size_t>(count) > hosts.size();
}

} // namespace

freshness_sim::freshness_sim(std::size_t hosts, std::uint32_t seed, std::vector<fault> faults)
    : m_random(seed)
    , m_faults(std::move(faults))
    , m_hosts(hosts)
    , m_writers(2)
{
    std::vector<std::string> names;
    for (std::size_t i = 0; i < hosts; ++i) {
        m_hosts[i].name = std::string("h") + std::to_string(i);
        names.push_back(m_hosts[i].name);
        boot(m_hosts[i]);
    }
    m_store = {{}, {"initial", names}};
}

bool freshness_sim::isActive(fault_kind kind, std::size_t host) const
{
    return std::ranges::any_of(m_faults, [&](const fault &f) {
        const bool isCurrent = f.kind == kind && m_step >= f.start && m_step < f.start + f.length;
        return isCurrent && (kind == fault_kind::outage || f.affects(host));
    });
}

bool freshness_sim::isCut(std::size_t first, std::size_t second) const
{
    return std::ranges::any_of(m_faults, [&](const fault &f) {
        const bool isCurrent = f.kind == fault_kind::partition && m_step >= f.start && m_step < f.start + f.length;
        return isCurrent && f.affects(first) != f.affects(second);
    });
}

instant freshness_sim::clockOf(const sim_host &host) const
{
    return host.clockOffset + std::chrono::milliseconds(m_step * kStepMs);
}

int freshness_sim::delay()
{
    // Mostly short; one message in eight takes up to 4 s, twice the lease.
    return m_random() % 8 == 0 ? static_cast<int>(m_random() % 80) : static_cast<int>(m_random() % 2);
}

void freshness_sim::boot(sim_host &host)
{
    const auto name = host.name;
    const auto incarnation = host.incarnation + 1;
    host = {};
    host.name = name;
    host.incarnation = incarnation;
    host.clockOffset = std::chrono::milliseconds(m_random() % 1000000);
    host.state = std::make_unique<freshness>(name, clockOf(host));
}

void freshness_sim::adopt(sim_host &host, generation_number generation)
{
    if (generation == 0)
        return;
    host.state->adopt(generation, m_store[generation].hosts, kLease);
    if (host.state->generation() < host.highest)
        fail("the generation of a host decreased");
    host.highest = host.state->generation();
    if (host.acknowledgedGeneration == host.highest)
        return;
    host.acknowledgedAt.clear();
    host.acknowledgedGeneration = host.highest;
}

void freshness_sim::readStore(std::size_t index)
{
    if (isActive(fault_kind::cutStore, index) || isActive(fault_kind::outage, index))
        return;
    const auto &host = m_hosts[index];
    m_storeResponses.push_back({m_step + delay(), index, host.incarnation, m_store.size() - 1, clockOf(host)});
}

void freshness_sim::sendRequests(std::size_t index)
{
    auto &host = m_hosts[index];
    for (std::size_t to = 0; to < m_hosts.size(); ++to) {
        if (to == index || isCut(index, to))
            continue;
        message request;
        request.deliverAt = m_step + delay();
        request.from = index;
        request.to = to;
        request.fromIncarnation = host.incarnation;
        request.generation = host.state->generation();
        request.isAcknowledgement = host.state->mayAcknowledge();
        request.echoed = host.echo[m_hosts[to].name];
        request.sentAt = clockOf(host);
        m_messages.push_back(request);
    }
}

void freshness_sim::receive(const message &incoming)
{
    auto &host = m_hosts[incoming.to];
    adopt(host, incoming.generation);
    if (incoming.isResponse)
        handleResponse(incoming);
    else
        handleRequest(incoming);
}

void freshness_sim::handleRequest(const message &request)
{
    auto &host = m_hosts[request.to];
    const auto &caller = m_hosts[request.from];
    const bool echoIsOwn = request.echoed != instant{} && host.issued[caller.name] == request.echoed;
    if (request.isAcknowledgement && echoIsOwn && request.generation == host.state->generation()) {
        auto &acknowledgedAt = host.acknowledgedAt.try_emplace(caller.name, kNotAcknowledged).first->second;
        acknowledgedAt = std::max(acknowledgedAt, request.echoed);
    }
    host.issued[caller.name] = clockOf(host);
    if (isCut(request.from, request.to))
        return;
    message response;
    response.deliverAt = m_step + delay();
    response.from = request.to;
    response.to = request.from;
    response.toIncarnation = request.fromIncarnation;
    response.isResponse = true;
    response.generation = host.state->generation();
    response.recovering = host.state->isRecovering();
    response.clock = clockOf(host);
    response.sentAt = request.sentAt;
    const auto &stamp = host.state->currentStamp();
    if (stamp.generation != 0 && stamp.generation == host.state->generation())
        response.stamp = freshness_stamp{stamp.generation, clockOf(host) - stamp.currentAt};
    m_messages.push_back(response);
}

void freshness_sim::handleResponse(const message &response)
{
    auto &host = m_hosts[response.to];
    const auto &peer = m_hosts[response.from].name;
    host.echo[peer] = response.clock;
    if (response.stamp)
        host.state->applyStamp({response.stamp->generation, response.sentAt - response.stamp->currentAt});
    const bool wasRecovering = host.state->isRecovering();
    if (host.state->recordRecoverResponse(peer, response.recovering, response.generation, response.sentAt)
        && wasRecovering)
        ++m_quorumRecoveries;
}

void freshness_sim::applyStamps(sim_host &host)
{
    if (host.state->mayAcknowledge())
        host.acknowledgedAt[host.name] = clockOf(host);
    std::vector<instant> times;
    if (host.state->generation() == 0)
        return;
    for (const auto &name : m_store[host.state->generation()].hosts)
        times.push_back(host.acknowledgedAt.contains(name) ? host.acknowledgedAt[name] : kNotAcknowledged);
    const auto stamp = host.state->quorumStamp(times);
    if (!stamp)
        return;
    const bool hadLease = host.state->mayDispatch(clockOf(host));
    host.state->applyStamp(*stamp);
    m_quorumLeases += !hadLease && host.state->mayDispatch(clockOf(host)) ? 1 : 0;
}

void freshness_sim::deliver()
{
    const auto isMessageDue = [this](const message &incoming) {
        return incoming.deliverAt <= m_step && !isActive(fault_kind::pause, incoming.to);
    };
    std::vector<message> dueMessages;
    std::ranges::copy_if(m_messages, std::back_inserter(dueMessages), isMessageDue);
    std::erase_if(m_messages, isMessageDue);
    for (const auto &incoming : dueMessages)
        if (incoming.toIncarnation == 0 || incoming.toIncarnation == m_hosts[incoming.to].incarnation)
            receive(incoming);
    const auto isResponseDue = [this](const store_response &response) {
        return response.deliverAt <= m_step && !isActive(fault_kind::pause, response.host);
    };
    std::vector<store_response> responses;
    std::ranges::copy_if(m_storeResponses, std::back_inserter(responses), isResponseDue);
    std::erase_if(m_storeResponses, isResponseDue);
    for (const auto &response : responses) {
        auto &host = m_hosts[response.host];
        if (response.incarnation != host.incarnation)
            continue;
        adopt(host, response.generation);
        host.state->recordStoreRead(response.generation, response.readStarted);
    }
}

void freshness_sim::stepHost(std::size_t index)
{
    auto &host = m_hosts[index];
    if (isActive(fault_kind::pause, index))
        return;
    for (const auto &f : m_faults)
        if (f.kind == fault_kind::restart && f.start == m_step && f.affects(index))
            boot(host);
    // A restarted host is down for the length of its fault.
    if (isActive(fault_kind::restart, index))
        return;
    if ((m_step + static_cast<int>(index)) % kRequestEverySteps == 0) {
        sendRequests(index);
        if (index < kStoreReaders || host.state->isRecovering())
            readStore(index);
    }
    applyStamps(host);
    if (!host.state->mayDispatch(clockOf(host)))
        return;
    ++m_dispatches;
    if (host.state->generation() < m_accepted)
        fail(host.name + " dispatched under generation " + std::to_string(host.state->generation()) + " after "
             + std::to_string(m_accepted) + " was accepted, at step " + std::to_string(m_step));
    if (!contains(m_store[host.state->generation()].hosts, host.name))
        fail(host.name + " dispatched without being registered");
}

std::vector<std::string> freshness_sim::acknowledgedBy(std::size_t observer) const
{
    const auto &host = m_hosts[observer];
    std::vector<std::string> names;
    for (const auto &[name, at] : host.acknowledgedAt)
        if (host.state->isAcknowledgementValid(at, clockOf(host)))
            names.push_back(name);
    return names;
}

bool freshness_sim::majorityHolds(generation_number generation) const
{
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        const auto current = m_hosts[i].state->generation();
        if (current >= generation && isMajority(acknowledgedBy(i), m_store[current].hosts))
            return true;
    }
    return false;
}

std::vector<std::string> freshness_sim::nextHosts(generation_number base)
{
    auto hosts = m_store[base].hosts;
    // One host at a time, and only after a majority has adopted the previous generation.
    if (m_random() % 3 != 0 || !majorityHolds(base))
        return hosts;
    const auto name = m_hosts[m_random() % m_hosts.size()].name;
    if (!contains(hosts, name))
        hosts.push_back(name);
    else if (hosts.size() > 3)
        std::erase(hosts, name);
    return hosts;
}

void freshness_sim::stepWriter(writer &state)
{
    if (m_step < state.nextStep)
        return;
    if (state.currentPhase != writer::phase::waiting && isActive(fault_kind::outage, 0))
        return;
    switch (state.currentPhase) {
    case writer::phase::idle:
        state.base = m_store.size() - 1;
        state.currentPhase = writer::phase::writing;
        state.nextStep = m_step + static_cast<int>(m_random() % 10);
        break;
    case writer::phase::writing:
        tryWrite(state);
        break;
    case writer::phase::unconfirmed:
        resolveWrite(state);
        break;
    case writer::phase::waiting:
        checkAccepted(state);
        break;
    }
}

void freshness_sim::tryWrite(writer &state)
{
    state.currentPhase = writer::phase::idle;
    const auto hosts = nextHosts(state.base);
    // Conditional update: another writer may have written in the meantime.
    if (state.base != m_store.size() - 1)
        return;
    state.changeId = std::to_string(m_random());
    state.written = state.base + 1;
    state.majorityAt = -1;
    if (m_random() % 8 == 0) { // the request is lost
        state.currentPhase = writer::phase::unconfirmed;
        return;
    }
    m_store.push_back({state.changeId, hosts});
    // One response in eight is lost.
    state.currentPhase = m_random() % 8 == 0 ? writer::phase::unconfirmed : writer::phase::waiting;
}

void freshness_sim::resolveWrite(writer &state)
{
    const bool isOurs = state.written < m_store.size() && m_store[state.written].changeId == state.changeId;
    state.currentPhase = isOurs ? writer::phase::waiting : writer::phase::idle;
}

void freshness_sim::checkAccepted(writer &state)
{
    // Reads the acknowledgements known to a random host, as the control process does with a Status call.
    const auto observer = m_random() % m_hosts.size();
    const auto current = m_hosts[observer].state->generation();
    if (current >= state.written && !isActive(fault_kind::pause, observer)) {
        const auto acknowledged = acknowledgedBy(observer);
        // A host that was removed since the last accepted generation may still have a lease.
        std::vector<std::string> possibleLeaseHolders;
        for (auto g = std::max<generation_number>(m_accepted, 1); g <= current; ++g)
            std::ranges::copy(m_store[g].hosts, std::back_inserter(possibleLeaseHolders));
        const bool allAcknowledged =
            std::ranges::all_of(possibleLeaseHolders, [&](const auto &name) { return contains(acknowledged, name); });
        if (state.majorityAt < 0 && isMajority(acknowledged, m_store[current].hosts))
            state.majorityAt = m_step;
        if (!allAcknowledged && (state.majorityAt < 0 || m_step < state.majorityAt + kAcceptSteps))
            return;
        ++m_acceptedCount;
        m_accepted = std::max(m_accepted, state.written);
        m_acceptedIds[state.written] = state.changeId;
        state.currentPhase = writer::phase::idle;
        state.nextStep = m_step + static_cast<int>(m_random() % 20);
    }
}

void freshness_sim::fail(std::string text)
{
    if (m_failure.empty())
        m_failure = std::move(text);
}

std::string freshness_sim::run()
{
    for (m_step = 0; m_step < kSteps && m_failure.empty(); ++m_step) {
        deliver();
        for (std::size_t i = 0; i < m_hosts.size(); ++i)
            stepHost(i);
        for (auto &state : m_writers)
            stepWriter(state);
    }
    for (const auto &[generation, changeId] : m_acceptedIds)
        if (generation >= m_store.size() || m_store[generation].changeId != changeId)
            fail("an accepted change was lost");
    return m_failure;
}

} // namespace foxtaildyke::sim
