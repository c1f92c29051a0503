// Ports on the object store alone, for a single host: the configuration and its lease come from reads of
// `config/current`, and each claim, pin and bill is an object of its own.
#pragma once

#include "event_loop_p.h"
#include "object_store_p.h"
#include "ports_p.h"
#include "settings_p.h"

namespace foxtaildyke
{

/// Reads `config/current` periodically. A read is the freshness lease: it starts when the read began.
class store_config : public config_port
{
public:
    using event_sink = std::function<void(std::string type, std::string reason, generation_number generation)>;

    static constexpr std::chrono::milliseconds kReadPeriod{250};

    store_config(event_loop &loop, object_store &store, std::string failureDomain, core_sink deliver, event_sink note);
    void start() override;

private:
    void readOnce();
    void onRead(instant begun, const result<stored_object> &object);
    [[nodiscard]] bool adopt(const std::string &body);

    object_store &m_store;
    std::string m_failureDomain;
    core_sink m_deliver;
    event_sink m_note;
    object_version m_version = 0; ///< of the object that m_config was built from
    fleet_ptr m_config;
    bool m_isReading = false;
    loop_timer m_timer;
};

/// Writes one object for each record, with create-if-absent.
class store_ledger : public ledger_port
{
public:
    store_ledger(object_store &store, std::string hostName, core_sink deliver);
    void claim(const write_claim &record) override;
    void pin(const write_pin &record) override;
    void bill(const write_bill &record) override;
    [[nodiscard]] bool isIdle() const override { return m_open == 0; }

private:
    void reply(ledger_response answer);
    void readBill(request_token request, const std::string &key);
    void readPin(request_token request, const std::string &key);

    object_store &m_store;
    std::string m_host;
    core_sink m_deliver;
    std::size_t m_open = 0; ///< records without a reply
};

/// For a host without peers.
class no_sharing : public sharing_port
{
public:
    void share(const share_evidence &) override { }
    void share(const share_estimates &) override { }
    void share(const share_halt &) override { }
    void share(const share_quarantine &) override { }
    void recordRequest(const std::string &) override { }
};

} // namespace foxtaildyke
