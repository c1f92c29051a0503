// Runs freshness and relay in the router: reads the store while this host is a root, exchanges messages with other
// hosts over gRPC, and delivers configuration, lease, evidence, quarantine and limit shares to the decision core.
#pragma once

#include "config_holder_p.h"
#include "object_store_p.h"
#include "peer_client_p.h"
#include "peer_service_p.h"
#include "ports_p.h"
#include "process_settings_p.h"

namespace foxtaildyke
{

class relay_task
{
public:
    using event_sink = std::function<void(std::string type, std::string reason, generation_number generation)>;

    /// Calls of other hosts that the ledger handles; see peer_handlers.
    struct ledger_handlers {
        peer_handler<append_request, append_response> append;
        peer_handler<copy_bills_request, copy_bills_reply> copyBills;
    };

    relay_task(event_loop &loop, object_store &store, const process_settings &settings, core_sink deliver,
               event_sink onEvent);
    ~relay_task();
    relay_task(const relay_task &) = delete;
    relay_task &operator=(const relay_task &) = delete;

    /// Must be called before start().
    void setLedger(ledger_handlers handlers);

    /// Binds the peer address and starts the exchange. If the address can't be bound, reports an event and runs without
    /// children.
    void start();

    void share(const share_evidence &evidence);
    void share(const share_estimates &estimates);
    void share(const share_halt &halt);
    void share(const share_quarantine &entry);
    void recordRequest(const std::string &apiKey);

    [[nodiscard]] peer_client &peers() { return m_peers; }
    [[nodiscard]] const config_holder &config() const { return m_config; }

    /// @returns the peer address of a seed or registered host, or nothing if the host is unknown.
    [[nodiscard]] std::optional<http_endpoint> endpointOf(const std::string &host) const;
    [[nodiscard]] const std::string &host() const { return m_settings.host; }
    [[nodiscard]] std::uint16_t peerPort() const { return m_peerPort; }

private:
    struct pending_status_call {
        generation_number generation = 0;
        instant until{};
        peer_responder<status_reply> respond;
    };

    void drive();
    void execute(relay_action &action);
    void execute(start_exchange &action);
    [[nodiscard]] std::chrono::milliseconds samplePeriod() const;
    void readStore(instant now);
    void onRead(instant startedAt, const result<stored_object> &object);
    void adopt(const config_content &content, const char *source);
    void reportRejected(const std::string &field);
    void requestRecovery(instant now);
    void onRecoverResponse(const std::string &host, instant startedAt, const result<recover_reply> &response);
    [[nodiscard]] recover_reply makeRecoverResponse(const recover_request &request) const;
    void measureDemand(instant now);
    void publishLease();
    void publishShared();
    void publishLimitShares();
    void respondToStatusCalls(instant now);
    [[nodiscard]] status_reply makeStatus(instant now) const;
    [[nodiscard]] peer_handlers makeHandlers();

    event_loop &m_loop;
    object_store &m_store;
    process_settings m_settings;
    core_sink m_deliver;
    event_sink m_onEvent;
    config_holder m_config;
    freshness m_freshness;
    relay m_relay;
    ledger_handlers m_ledger;
    peer_client m_peers;
    std::unique_ptr<peer_service> m_service;
    std::uint16_t m_peerPort = 0;
    loop_timer m_timer;
    bool m_isDriving = false;

    instant m_nextRead{};
    instant m_nextSample{}; ///< next store read that happens even if none is needed; see samplePeriod()
    bool m_isReading = false;
    instant m_nextRecover{};
    std::string m_rejectedField; ///< invalid field of the last rejected configuration
    std::uint64_t m_lastResponse = 0;
    std::map<response_token, peer_responder<exchange_reply>> m_pendingExchanges; ///< calls of children
    std::vector<pending_status_call> m_pendingStatusCalls;

    // Values last delivered to the core.
    lease_changed m_lease;
    std::map<count_key, count_values> m_publishedCounts;
    std::vector<std::string> m_publishedHalts;
    std::set<std::uint64_t> m_publishedQuarantined;
    std::set<std::uint64_t> m_publishedCrashed;
    std::map<std::string, double> m_publishedShares;

    std::map<std::string, double> m_requestCounts; ///< requests by account since m_demandSince
    std::map<std::string, double> m_requestRates; ///< smoothed requests per second by account
    instant m_demandSince{};
};

/// Configuration port of the router task, implemented by a relay task.
class relay_config : public config_port
{
public:
    explicit relay_config(std::shared_ptr<relay_task> task)
        : m_task(std::move(task))
    {
    }
    void start() override { m_task->start(); }

private:
    std::shared_ptr<relay_task> m_task;
};

/// Sharing port of the router task, implemented by a relay task.
class relay_sharing : public sharing_port
{
public:
    explicit relay_sharing(std::shared_ptr<relay_task> task)
        : m_task(std::move(task))
    {
    }
    void share(const share_evidence &evidence) override { m_task->share(evidence); }
    void share(const share_estimates &estimates) override { m_task->share(estimates); }
    void share(const share_halt &halt) override { m_task->share(halt); }
    void share(const share_quarantine &entry) override { m_task->share(entry); }
    void recordRequest(const std::string &apiKey) override { m_task->recordRequest(apiKey); }

private:
    std::shared_ptr<relay_task> m_task;
};

} // namespace foxtaildyke
