// Implements the router's ledger port with the ledger service: sends records to segment owners over the peer protocol
// and writes batches to the object store.
#pragma once

#include "ledger_service_p.h"
#include "relay_task_p.h"

namespace foxtaildyke
{

class relay_ledger : public ledger_port, private ledger_peers
{
public:
    /// @param run unique identifier of this process instance.
    relay_ledger(event_loop &loop, object_store &store, std::shared_ptr<relay_task> relay, const std::string &host,
                 const std::string &run, core_sink deliver);

    void claim(const write_claim &record) override;
    void pin(const write_pin &record) override;
    void bill(const write_bill &record) override;
    [[nodiscard]] bool isIdle() const override;

    void onConfig(const router_config_ptr &config) override;
    void onEntryHosts(const std::vector<listed_host> &hosts) override;
    void onDrain() override;

private:
    void append(const std::string &host, std::uint32_t segment, std::string batch, append_batch_done done) override;
    void copyBills(const std::string &host, std::string batch, std::vector<std::string> release,
                   copy_done done) override;
    [[nodiscard]] relay_task::ledger_handlers makeHandlers();
    [[nodiscard]] append_done makeResponseHandler(request_token request, ledger_step step);
    void updateNotLiveHosts();
    /// @returns the service, advanced to the present. Every call that records a time goes through it.
    [[nodiscard]] ledger_service &service();
    void advance();
    void drive();
    void schedule();

    std::shared_ptr<relay_task> m_relay;
    core_sink m_deliver;
    ledger_service m_service;
    loop_timer m_timer;
    std::optional<instant> m_nextTickAt; ///< for which m_timer is set; unset: not set
    router_config_ptr m_config;
    std::vector<listed_host> m_listedHosts; ///< entry hosts in the platform's host list
    std::size_t m_openRecords = 0; ///< records without a response
};

} // namespace foxtaildyke
