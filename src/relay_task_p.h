// Runs freshness and relay in the router: reads the store while this host is a root, exchanges with other hosts over
// gRPC, and feeds the decision core with configuration, lease, evidence, quarantine and limit shares.
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

    /// Calls of other hosts that the ledger answers; see peer_handlers.
    struct ledger_handlers {
        peer_handler<append_request, append_response> append;
        peer_handler<copy_bills_request, copy_bills_reply> copyBills;
    };

    relay_task(event_loop &loop, object_store &store, const process_settings &settings, core_sink deliver,
               event_sink note);
    ~relay_task();
    relay_task(const relay_task &) = delete;
    relay_task &operator=(const relay_task &) = delete;

    /// Before start().
    void setLedger(ledger_handlers handlers);

    /// Binds the peer address and starts the exchange. A failure to bind is noted as an event; the host then goes on
    /// without children.
    void start();

    void share(const share_evidence &evidence);
    void share(const share_estimates &estimates);
    void share(const share_halt &halt);
    void share(const share_quarantine &entry);
    void recordRequest(const std::string &apiKey);

    [[nodiscard]] peer_client &peers() { return m_peers; }
    [[nodiscard]] const config_holder &config() const { return m_config; }

    /// @returns the peer address of a registered host, or nothing.
    [[nodiscard]] std::optional<http_endpoint> endpointOf(const std::string &host) const;
    /// @returns the name of this host.
    [[nodiscard]] const std::string &host() const { return m_settings.host; }
    [[nodiscard]] std::uint16_t peerPort() const { return m_peerPort; }

private:
    struct waiting_status {
        generation_number generation = 0;
        instant until{};
        peer_responder<status_reply> reply;
    };

    void drive();
    void carryOut(relay_action &action);
    void carryOut(start_exchange &action);
    [[nodiscard]] std::chrono::milliseconds samplePeriod() const;
    void readStore(instant now);
    void onRead(instant begun, const result<stored_object> &object);
    void adopt(const config_content &content, const char *source);
    void noteRejected(const std::string &field);
    void askToRecover(instant now);
    void onRecovered(const std::string &host, instant askedAt, const result<recover_reply> &answer);
    [[nodiscard]] recover_reply answerRecover(const recover_request &request) const;
    void measureDemand(instant now);
    void publishLease();
    void publishShared();
    void publishShares();
    void answerStatus(instant now);
    [[nodiscard]] status_reply makeStatus(instant now) const;
    [[nodiscard]] peer_handlers makeHandlers();

    event_loop &m_loop;
    object_store &m_store;
    process_settings m_settings;
    core_sink m_deliver;
    event_sink m_note;
    config_holder m_config;
    freshness m_fresh;
    relay m_relay;
    ledger_handlers m_ledger;
    peer_client m_peers;
    std::unique_ptr<peer_service> m_service;
    std::uint16_t m_peerPort = 0;
    loop_timer m_timer;
    bool m_isDriving = false;

    instant m_nextRead{};
    instant m_nextSample{}; ///< read of a host that needs none; see samplePeriod()
    bool m_isReading = false;
    instant m_nextRecover{};
    std::string m_rejectedField; ///< of the last configuration that could not be used
    std::uint64_t m_lastAnswer = 0;
    std::map<response_token, peer_responder<exchange_reply>> m_answers; ///< calls of children that wait
    std::vector<waiting_status> m_waitingStatus;

    // What the core was told last.
    lease_changed m_lease;
    std::map<count_key, count_values> m_toldCounts;
    std::vector<std::string> m_toldHalts;
    std::set<std::uint64_t> m_toldQuarantined;
    std::map<std::string, double> m_toldShares;

    std::map<std::string, double> m_arrivals; ///< requests by account since m_demandSince
    std::map<std::string, double> m_rates; ///< smoothed requests per second by account
    instant m_demandSince{};
};

/// Ports of the router task on a relay task.
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
