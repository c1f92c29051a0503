// In-memory message bus for relay instances; see relay_bus.h.
#include "relay_bus.h"

#include "peer_wire_p.h"

namespace foxtaildyke::sim
{

namespace
{

constexpr std::chrono::milliseconds kLease{4000};
constexpr std::chrono::milliseconds kStoreReadPeriod{250};
constexpr std::chrono::milliseconds kFallbackReadPeriod{1000};
constexpr std::chrono::milliseconds kMaxTimerDelay{50};

/// Approximate size of a change, which sets a few keys. Real configuration documents are not needed here.
constexpr std::size_t kChangeBytes = 200;
constexpr std::size_t kDocumentBytes = 40000;

/// Number of changes that a host retains for its children; equals config_document::kHistoryLength.
constexpr generation_number kRetainedChanges = 64;

std::string makePayload(generation_number generation, std::size_t bytes)
{
    auto text = std::to_string(generation) + " ";
    text.resize(std::max(text.size(), bytes), '.');
    return text;
}

} // namespace

struct relay_bus::host_state {
    instant startedAt{};
    freshness fresh;
    std::unique_ptr<relay> tree;
    instant nextStoreRead{};
    instant nextWake{};
    std::map<response_token, std::function<void(const exchange_response &)>> pendingResponses;
    std::uint64_t lastResponseToken = 0;
    std::set<std::size_t> askedToRecover;
};

std::string relay_bus::nameOf(std::size_t host)
{
    auto number = std::to_string(host);
    return "entry-" + std::string(3 - std::min<std::size_t>(3, number.size()), '0') + number;
}

relay_bus::relay_bus(std::size_t hosts, std::chrono::milliseconds period, std::size_t fanOut, std::uint32_t seed)
    : m_period(period)
    , m_fanOut(fanOut)
    , m_random(seed)
    , m_hosts(hosts)
    , m_counts(hosts)
    , m_incarnations(hosts)
{
    for (std::size_t i = 0; i < hosts; ++i)
        m_names.push_back(nameOf(i));
    for (std::size_t i = 0; i < hosts; ++i)
        start(i);
}

relay_bus::~relay_bus() = default;

void relay_bus::schedule(instant when, std::function<void()> action)
{
    m_events.emplace(event_key{when, ++m_eventNumber}, std::move(action));
}

void relay_bus::run(instant duration)
{
    const auto end = m_now + duration;
    while (!m_events.empty() && m_events.begin()->first.first <= end) {
        auto event = m_events.extract(m_events.begin());
        m_now = event.key().first;
        event.mapped()();
    }
    m_now = end;
}

void relay_bus::publish()
{
    ++m_generation;
}

instant relay_bus::latency()
{
    return std::chrono::microseconds(200 + m_random() % 2000);
}

instant relay_bus::clockOf(std::size_t host) const
{
    // Clocks differ between hosts: each starts with its process at a different value.
    return m_now - m_hosts[host]->startedAt + std::chrono::seconds(100 * (host + 1));
}

void relay_bus::start(std::size_t host)
{
    const auto offset = std::chrono::seconds(100 * (host + 1));
    m_hosts[host] = std::make_unique<host_state>(host_state{.startedAt = m_now, .fresh = {m_names[host], offset}});
    ++m_incarnations[host];
    auto &state = *m_hosts[host];
    relay_hooks hooks;
    hooks.adoptConfig = [this, host](const config_content &config) {
        adopt(host, config);
    };
    hooks.configAfter = [&state](generation_number have) {
        config_content config;
        const auto adopted = state.fresh.generation();
        if (have == 0 || have + kRetainedChanges < adopted)
            config.document = makePayload(adopted, kDocumentBytes);
        else
            for (auto g = have + 1; g <= adopted; ++g)
                config.changes.push_back(makePayload(g, kChangeBytes));
        return config;
    };
    state.tree = std::make_unique<relay>(m_names[host], m_random(), state.fresh, std::move(hooks), m_fanOut);
    runTimer(host);
}

void relay_bus::kill(std::size_t host)
{
    m_hosts[host].reset();
}

void relay_bus::adopt(std::size_t host, const config_content &config)
{
    auto &state = *m_hosts[host];
    const auto &newest = config.document.empty() ? config.changes.back() : config.document;
    if (state.fresh.adopt(std::stoull(newest), m_names, kLease))
        state.tree->setMembers({m_names, m_period, std::chrono::seconds(600)}, clockOf(host));
}

bool relay_bus::canReach(std::size_t from, std::size_t to) const
{
    return m_hosts[from] && m_hosts[to] && m_isolated.contains(from) == m_isolated.contains(to);
}

void relay_bus::runTimer(std::size_t host)
{
    auto &state = *m_hosts[host];
    const auto clock = clockOf(host);
    const bool lacksFreshStamp = state.tree->lacksFreshStamp(clock);
    if (clock >= state.nextStoreRead && (state.tree->isRoot() || state.fresh.isRecovering() || lacksFreshStamp)) {
        state.nextStoreRead = clock + (state.tree->isRoot() ? kStoreReadPeriod : kFallbackReadPeriod);
        readStore(host);
    }
    state.tree->tick(clock);
    dispatchActions(host);
    const auto incarnation = m_incarnations[host];
    const auto next = std::min<instant>(std::max(state.tree->nextTimer() - clock, instant(1000)), kMaxTimerDelay);
    schedule(m_now + next, [this, host, incarnation] {
        if (m_hosts[host] && m_incarnations[host] == incarnation)
            runTimer(host);
    });
}

void relay_bus::readStore(std::size_t host)
{
    ++m_storeReads;
    if (!m_storeUp || m_isolated.contains(host))
        return;
    const auto incarnation = m_incarnations[host];
    const auto started = clockOf(host);
    schedule(m_now + latency(), [this, host, incarnation, started, generation = m_generation] {
        if (!m_hosts[host] || m_incarnations[host] != incarnation)
            return;
        m_hosts[host]->fresh.applyStamp({generation, started});
        adopt(host, {{}, makePayload(generation, 0)});
        m_hosts[host]->fresh.recordStoreRead(generation, started);
        m_hosts[host]->tree->tick(clockOf(host));
        dispatchActions(host);
    });
}

void relay_bus::dispatchActions(std::size_t host)
{
    auto &state = *m_hosts[host];
    for (auto &action : state.tree->takeActions()) {
        if (const auto *call = std::get_if<start_exchange>(&action)) {
            sendCall(host, *call);
            continue;
        }
        const auto &completed = std::get<respond_to_exchange>(action);
        const auto found = state.pendingResponses.find(completed.call);
        if (found == state.pendingResponses.end())
            continue;
        found->second(completed.response);
        state.pendingResponses.erase(found);
    }
}

void relay_bus::sendCall(std::size_t host, const start_exchange &action)
{
    const auto to = static_cast<std::size_t>(std::ranges::find(m_names, action.host) - m_names.begin());
    auto bytes = toWire(action.request).SerializeAsString();
    ++m_counts[host].messages;
    m_counts[host].bytes += bytes.size();
    const auto incarnation = m_incarnations[host];
    const auto call = action.call;
    // Deadline of the call; a response after it is ignored.
    schedule(m_now + action.timeout, [this, host, incarnation, call] {
        finishCall(host, incarnation, call, error{error_code::timed_out, "peer"});
    });
    if (!canReach(host, to)) {
        // A killed process refuses the connection; a partitioned network lets the call time out.
        if (!m_hosts[to])
            schedule(m_now + latency(), [this, host, incarnation, call] {
                finishCall(host, incarnation, call, error{error_code::unavailable, "peer"});
            });
        return;
    }
    schedule(m_now + latency(), [this, host, to, incarnation, call, text = std::move(bytes)] {
        deliverCall(host, to, incarnation, call, text);
    });
}

void relay_bus::deliverCall(std::size_t from, std::size_t to, std::uint32_t incarnation, call_token call,
                            const std::string &bytes)
{
    if (!m_hosts[to])
        return;
    m_counts[to].bytes += bytes.size();
    auto &state = *m_hosts[to];
    const response_token token{++state.lastResponseToken};
    state.pendingResponses[token] = [this, from, to, incarnation, call](const exchange_response &response) {
        auto text = toWire(response).SerializeAsString();
        ++m_counts[to].messages;
        m_counts[to].bytes += text.size();
        if (!canReach(to, from))
            return;
        schedule(m_now + latency(), [this, from, incarnation, call, text = std::move(text)] {
            m_counts[from].bytes += text.size();
            exchange_reply wire;
            wire.ParseFromString(text);
            finishCall(from, incarnation, call, fromWire(wire));
        });
    };
    exchange_request wire;
    wire.ParseFromString(bytes);
    state.tree->handleCall(token, fromWire(wire), clockOf(to));
    dispatchActions(to);
}

void relay_bus::finishCall(std::size_t host, std::uint32_t incarnation, call_token call,
                           const result<exchange_response> &response)
{
    if (!m_hosts[host] || m_incarnations[host] != incarnation)
        return;
    m_hosts[host]->tree->handleResponse(call, response, clockOf(host));
    dispatchActions(host);
}

relay &relay_bus::relayOf(std::size_t host)
{
    return *m_hosts[host]->tree;
}

const freshness &relay_bus::freshnessOf(std::size_t host) const
{
    return m_hosts[host]->fresh;
}

bool relay_bus::mayDispatch(std::size_t host) const
{
    return m_hosts[host] && m_hosts[host]->fresh.mayDispatch(clockOf(host));
}

std::size_t relay_bus::dispatcherCount() const
{
    std::size_t number = 0;
    for (std::size_t i = 0; i < m_hosts.size(); ++i)
        number += mayDispatch(i) ? 1 : 0;
    return number;
}

std::size_t relay_bus::adoptedCount(generation_number generation) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_hosts, [generation](const auto &host) { return host && host->fresh.generation() >= generation; }));
}

std::vector<std::size_t> relay_bus::roots() const
{
    std::vector<std::size_t> list;
    for (std::size_t i = 0; i < m_hosts.size(); ++i)
        if (m_hosts[i] && m_hosts[i]->tree->isRoot())
            list.push_back(i);
    return list;
}

void relay_bus::resetCounts()
{
    m_counts.assign(m_counts.size(), {});
    m_storeReads = 0;
}

} // namespace foxtaildyke::sim
