// Controller of one control process; see controller_p.h.
#include "controller_p.h"

namespace foxtaildyke
{

namespace
{

constexpr std::chrono::milliseconds kMinLeasePollPeriod{2000};
constexpr std::chrono::milliseconds kMaxLeasePollPeriod{60000};
constexpr std::size_t kMaxPollDoublings = 5;

std::vector<config_edit> hostAdditionEdits(const host_config &host)
{
    const auto section = "host " + host.name;
    return {{"", section, "region", host.region},
            {"", section, "failure_domain", host.failureDomain},
            {"", section, "address", host.address},
            {"", section, "peer_port", std::to_string(host.peerPort)}};
}

} // namespace

std::vector<config_edit> host_registration::nextEdits(const router_config &config,
                                                      const std::vector<listed_entry> &listed, instant now)
{
    const auto isListed = [&](const std::string &name) {
        return std::ranges::any_of(listed, [&](const listed_entry &entry) { return entry.host.name == name; });
    };
    std::erase_if(m_missingSince, [&](const auto &missing) {
        return isListed(missing.first) || !config.hostByName(missing.first).isValid();
    });
    // No host is removed because of an empty list: it is faulty or comes from a platform that doesn't list entry hosts.
    for (const auto &host : config.hosts) {
        if (listed.empty() || isListed(host.name))
            continue;
        const auto since = m_missingSince.try_emplace(host.name, now).first->second;
        if (now - since >= kRemoveAfter)
            return {{"", "host " + host.name, "", std::nullopt}};
    }
    for (const auto &entry : listed) {
        if (entry.state == host_state::live && !config.hostByName(entry.host.name).isValid())
            return hostAdditionEdits(entry.host);
    }
    return {};
}

controller::controller(object_store &store, status_port &status, order_port &orders, std::string hostName,
                       const std::string &incarnation, event_sink onEvent)
    : m_statusPort(status)
    , m_orderPort(orders)
    , m_host(std::move(hostName))
    , m_incarnation(incarnation)
    , m_onEvent(std::move(onEvent))
    , m_publisher(store)
    , m_lease(store, m_host + '/' + incarnation)
    , m_alive(std::make_shared<bool>(true))
{
}

controller::~controller()
{
    *m_alive = false;
}

void controller::tick(instant now, std::int64_t unixMs)
{
    m_now = now;
    m_unixMs = unixMs;
    m_publisher.tick(now);
    m_lease.tick(now, leasePollPeriod());
    updateAcceptance();
    if (now >= m_nextStatusPoll && !m_isStatusCallOpen)
        pollStatus();
    if (now >= m_nextConfigRead && !m_isConfigReadOpen && (isHolder() || m_document.generation == 0))
        pollConfig();
    if (isHolder() != m_wasHolder) {
        m_wasHolder = isHolder();
        emit({m_wasHolder ? "lease_taken" : "lease_lost", {}, {}, "token " + std::to_string(m_lease.token()), 0});
    }
    if (isHolder())
        runHolderTasks();
}

void controller::publish(change_request request, config_publisher::published_done done)
{
    auto onDone = [this, alive = m_alive, done = std::move(done)](const result<published_change> &published) {
        if (*alive && published.has_value())
            adopt(published.value().document);
        done(published);
    };
    m_publisher.publish(std::move(request), std::move(onDone));
}

void controller::read(config_publisher::read_done done)
{
    m_publisher.read([this, alive = m_alive, done = std::move(done)](const result<config_document> &read) {
        if (*alive && read.has_value())
            adopt(read.value());
        done(read);
    });
}

void controller::setHosts(std::vector<listed_entry> entries, std::vector<upstream_info> upstreams)
{
    m_hostsKnown = true;
    m_entries = std::move(entries);
    m_upstreams = std::move(upstreams);
}

/// The poll period doubles with the host's position in the list, so that the rate of store reads doesn't grow with the
/// number of hosts.
std::chrono::milliseconds controller::leasePollPeriod() const
{
    const auto host = m_config.hostByName(m_host);
    const auto rank = host.isValid() ? std::min<std::size_t>(host.index, kMaxPollDoublings) : kMaxPollDoublings;
    return m_config.hosts.empty() ? kMinLeasePollPeriod
                                  : std::min(kMinLeasePollPeriod * (1 << rank), kMaxLeasePollPeriod);
}

void controller::pollStatus()
{
    m_isStatusCallOpen = true;
    m_nextStatusPoll = m_now + kStatusPeriod;
    m_statusPort.status([this, alive = m_alive](const result<host_status> &status) {
        if (!*alive)
            return;
        m_isStatusCallOpen = false;
        m_status.reset();
        if (status.has_error())
            return;
        m_status = status.value();
        m_statusIsNew = true;
    });
}

/// A status is timestamped with the first tick after its receipt: a process that was paused in between must not count
/// time before the acknowledgement.
void controller::updateAcceptance()
{
    const auto before = m_acceptance.accepted();
    if (m_statusIsNew && m_status)
        m_acceptance.recordStatus(*m_status, m_now);
    m_statusIsNew = false;
    m_acceptance.tick(m_now);
    if (m_acceptance.accepted() != before)
        emit({"change_accepted", {}, {}, {}, m_acceptance.accepted()});
}

void controller::pollConfig()
{
    m_isConfigReadOpen = true;
    m_nextConfigRead = m_now + kReadPeriod;
    read([this, alive = m_alive](const result<config_document> &) {
        if (*alive)
            m_isConfigReadOpen = false;
    });
}

void controller::adopt(const config_document &document)
{
    if (document.generation <= m_document.generation)
        return;
    auto built = buildRouterConfig(document.layers, document.generation, "");
    if (built.has_error()) {
        emit({"configuration_refused", {}, {}, built.error().field, document.generation});
        return;
    }
    m_document = document;
    m_config = std::move(built.value());
    m_acceptance.recordConfiguration(document);
}

void controller::runHolderTasks()
{
    if (m_document.generation == 0)
        return;
    if (mayPublishOwnChange())
        publishHalts();
    if (mayPublishOwnChange() && m_hostsKnown)
        registerHosts();
    if (m_hostsKnown)
        orderLoads();
}

bool controller::mayPublishOwnChange() const
{
    return !m_isOwnChangeOpen && m_now >= m_nextOwnChange;
}

void controller::publishHalts()
{
    if (!m_status)
        return;
    std::vector<config_edit> edits;
    for (const auto &name : m_status->halted) {
        const auto version = m_config.versionByName(name);
        if (!version.isValid() || m_config[version].state > version_state::active)
            continue;
        edits.push_back({"", "version " + name, "state", std::string(nameOf(version_state::halted))});
        emit({"version_halted", name, {}, "evidence", m_document.generation});
    }
    if (!edits.empty())
        publishOwnChange("halt", std::move(edits), false);
}

/// The next change of hosts waits until a majority of the current set has acknowledged, so that majorities of
/// successive sets intersect.
void controller::registerHosts()
{
    if (!m_config.hosts.empty() && !m_acceptance.hasMajority(m_document.generation))
        return;
    auto edits = m_registration.nextEdits(m_config, m_entries, m_now);
    if (edits.empty())
        return;
    emit({edits.front().value ? "host_registered" : "host_removed",
          {},
          {},
          edits.front().section,
          m_document.generation});
    // mustBeNewest: a process that lost the lease while it was paused must not publish a change of hosts after its
    // successor's.
    publishOwnChange("hosts", std::move(edits), true);
}

void controller::orderLoads()
{
    for (const auto &version : m_config.versions) {
        if (version.state != version_state::rolling_out)
            continue;
        const auto &service = m_config[version.model].service;
        for (const auto &upstream : m_upstreams) {
            const bool isLoaded = std::ranges::find(upstream.versions, version.name) != upstream.versions.end();
            if (upstream.service == service && upstream.state == host_state::live && !isLoaded)
                orderLoad(upstream, version);
        }
    }
}

void controller::orderLoad(const upstream_info &target, const version_config &version)
{
    const auto &model = m_config[version.model];
    if (!m_lease.mayAct(m_now) || (!model.checksFencing && !m_lease.mayOrderUnfenced(m_now)))
        return;
    const auto key = target.name + '/' + version.name;
    auto &state = m_orders[key];
    const auto openOrders = std::ranges::count_if(m_orders, [](const auto &entry) { return entry.second.open; });
    const bool isTooEarly = state.sentAt != instant{} && m_now - state.sentAt < kOrderRetry;
    if (state.open || isTooEarly || static_cast<std::size_t>(openOrders) >= kMaxOpenOrders)
        return;
    state = {m_now, true};
    const engine_order order{target, model.name, version.name, m_lease.token()};
    emit({"load_ordered", version.name, target.name, "token " + std::to_string(order.token), m_document.generation});
    m_orderPort.load(order, [this, alive = m_alive, key, order](const result<std::vector<std::string>> &loaded) {
        if (*alive)
            onLoaded(key, order, loaded);
    });
}

/// Loading is idempotent, so a failed order is retried every kOrderRetry until the host list shows the version.
void controller::onLoaded(const std::string &key, const engine_order &order,
                          const result<std::vector<std::string>> &loaded)
{
    m_orders[key].open = false;
    if (loaded.has_error() && loaded.error().code == error_code::conflict) {
        emit({"order_fenced", order.version, order.target.name, {}, m_document.generation});
        if (order.token == m_lease.token())
            m_lease.relinquish();
        return;
    }
    const bool isConfirmed =
        loaded.has_value() && std::ranges::find(loaded.value(), order.version) != loaded.value().end();
    emit({isConfirmed ? "load_confirmed" : "load_failed", order.version, order.target.name, {}, m_document.generation});
}

void controller::publishOwnChange(const std::string &reason, std::vector<config_edit> edits, bool mustBeNewest)
{
    m_isOwnChangeOpen = true;
    change_request request;
    request.changeId = m_host + '/' + m_incarnation + '/' + reason + '/' + std::to_string(++m_ownChanges);
    request.author = "controller@" + m_host;
    request.unixMs = m_unixMs;
    request.seen = m_document.generation;
    request.edits = std::move(edits);
    request.mustBeNewest = mustBeNewest;
    const auto author = request.author + ' ' + request.changeId;
    publish(std::move(request), [this, alive = m_alive, author](const result<published_change> &published) {
        if (!*alive)
            return;
        m_isOwnChangeOpen = false;
        if (published.has_value() && published.value().isNew)
            emit({"change_published", {}, {}, author, published.value().generation});
        if (published.has_value())
            return;
        // Read the current configuration; the change is derived from it again if it is still needed.
        m_nextConfigRead = m_now;
        m_nextOwnChange = m_now + kReadPeriod;
    });
}

void controller::emit(controller_event event)
{
    if (m_onEvent)
        m_onEvent(std::move(event));
}

} // namespace foxtaildyke
