// Controller: background work of a control process. It tracks the acceptance of changes and, while it holds the
// controller lease, publishes halts reported by the routers, registers hosts and orders engines to load versions.
// All I/O goes through its ports; time is passed to each call.
#pragma once

#include "acceptance_p.h"
#include "controller_lease_p.h"
#include "publisher_p.h"

namespace foxtaildyke
{

/// Queries the router of this host for its status.
class status_port
{
public:
    using status_done = std::function<void(result<host_status>)>;
    virtual ~status_port() = default;
    virtual void status(status_done done) = 0;
};

/// Order to an engine to load a version.
struct engine_order {
    upstream_info target;
    std::string model;
    std::string version;
    std::uint64_t token = 0; ///< fencing token of the controller lease
};

/// Sends orders to engines.
class order_port
{
public:
    /// Receives the versions that the engine has loaded, or error_code::conflict if it has received a higher
    /// fencing token.
    using load_done = std::function<void(result<std::vector<std::string>>)>;
    virtual ~order_port() = default;
    virtual void load(const engine_order &order, load_done done) = 0;
};

/// Entry host in the platform's host list.
struct listed_entry {
    host_config host;
    host_state state = host_state::live;
};

/// Computes the next change of the registered hosts, one host at a time.
class host_registration
{
public:
    /// Time that a host must be missing from the list before it is removed: the list is delayed and may have gaps.
    static constexpr std::chrono::milliseconds kRemoveAfter{10000};

    /// @returns the edits that remove or add one host, or none.
    [[nodiscard]] std::vector<config_edit> nextEdits(const router_config &config,
                                                     const std::vector<listed_entry> &listed, instant now);

private:
    std::map<std::string, instant> m_missingSince; ///< registered hosts that are missing from the list
};

/// Action of the controller, for the event log.
struct controller_event {
    std::string type;
    std::string version;
    std::string upstream;
    std::string reason;
    generation_number generation = 0;
};

class controller
{
public:
    static constexpr std::chrono::milliseconds kReadPeriod{1000}; ///< of the configuration, by the lease holder
    static constexpr std::chrono::milliseconds kStatusPeriod{500};
    static constexpr std::chrono::milliseconds kOrderRetry{10000}; ///< per engine and version
    static constexpr std::size_t kMaxOpenOrders = 8; ///< load orders in flight

    using event_sink = std::function<void(controller_event)>;

    /// @param hostName name of this host. @param incarnation unique to this process.
    controller(object_store &store, status_port &status, order_port &orders, std::string hostName,
               const std::string &incarnation, event_sink onEvent);
    ~controller();
    controller(const controller &) = delete;
    controller &operator=(const controller &) = delete;

    /// Runs all periodic work. @param unixMs wall-clock time, recorded with changes.
    void tick(instant now, std::int64_t unixMs);

    /// Publishes an operator's change and tracks the acceptance of its generation from then on.
    void publish(change_request request, config_publisher::published_done done);

    /// Reads the configuration from the store.
    void read(config_publisher::read_done done);

    /// Sets the platform's host list.
    void setHosts(std::vector<listed_entry> entries, std::vector<upstream_info> upstreams);

    [[nodiscard]] const acceptance &acceptanceState() const { return m_acceptance; }
    [[nodiscard]] bool isHolder() const { return m_lease.mayAct(m_now); }
    [[nodiscard]] const std::optional<host_status> &routerStatus() const { return m_status; }
    [[nodiscard]] const config_document &document() const { return m_document; }

private:
    struct order_state {
        instant sentAt{};
        bool open = false;
    };

    void pollStatus();
    void updateAcceptance();
    [[nodiscard]] bool mayPublishOwnChange() const;
    void pollConfig();
    void adopt(const config_document &document);
    void runHolderTasks();
    void publishHalts();
    void registerHosts();
    void orderLoads();
    void orderLoad(const upstream_info &target, const version_config &version);
    void onLoaded(const std::string &key, const engine_order &order, const result<std::vector<std::string>> &loaded);
    void publishOwnChange(const std::string &reason, std::vector<config_edit> edits, bool mustBeNewest);
    void emit(controller_event event);
    [[nodiscard]] std::chrono::milliseconds leasePollPeriod() const;

    status_port &m_statusPort;
    order_port &m_orderPort;
    std::string m_host;
    std::string m_incarnation;
    event_sink m_onEvent;
    config_publisher m_publisher;
    controller_lease m_lease;
    acceptance m_acceptance;
    host_registration m_registration;

    instant m_now{};
    std::int64_t m_unixMs = 0;
    instant m_nextStatusPoll{};
    instant m_nextConfigRead{};
    bool m_isStatusCallOpen = false;
    bool m_isConfigReadOpen = false;
    bool m_isOwnChangeOpen = false; ///< a change by the controller itself is being published; only one at a time
    instant m_nextOwnChange{}; ///< earliest time of the next attempt after a failed change
    bool m_wasHolder = false;
    std::uint64_t m_ownChanges = 0; ///< counter for change ids

    config_document m_document; ///< newest configuration that this process has read or written
    router_config m_config; ///< built from m_document, without overlay
    std::optional<host_status> m_status; ///< nullopt while the router doesn't respond
    bool m_statusIsNew = false; ///< not yet passed to m_acceptance
    bool m_hostsKnown = false; ///< setHosts() was called
    std::vector<listed_entry> m_entries;
    std::vector<upstream_info> m_upstreams;
    std::map<std::string, order_state> m_orders; ///< keyed by "upstream/version"
    std::shared_ptr<bool> m_alive; ///< false after destruction; checked by pending callbacks
};

} // namespace foxtaildyke
