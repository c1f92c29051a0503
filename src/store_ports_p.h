// Ports implemented directly on the object store, for a deployment with a single host: the configuration and its lease
// come from reads of `config/current`, and each claim, pin and bill is a separate object.
#pragma once

#include "event_loop_p.h"
#include "object_store_p.h"
#include "ports_p.h"
#include "settings_p.h"

namespace foxtaildyke
{

/// Reads `config/current` periodically. Each successful read renews the freshness lease, counted from the start of the
/// read.
class store_config : public config_port
{
public:
    using event_sink = std::function<void(std::string type, std::string reason, generation_number generation)>;

    static constexpr std::chrono::milliseconds kReadPeriod{250};

    store_config(event_loop &loop, object_store &store, std::string failureDomain, core_sink deliver,
                 event_sink onEvent);
    void start() override;

private:
    void startRead();
    void onRead(instant startedAt, const result<stored_object> &object);
    [[nodiscard]] bool adopt(const std::string &body);

    object_store &m_store;
    std::string m_failureDomain;
    core_sink m_deliver;
    event_sink m_onEvent;
    object_version m_version = 0; ///< of the object from which m_config was built
    router_config_ptr m_config;
    bool m_isReading = false;
    loop_timer m_timer;
};

/// Writes each record as a separate object, only if the object does not exist yet.
class store_ledger : public ledger_port
{
public:
    store_ledger(object_store &store, std::string hostName, core_sink deliver);
    void claim(const write_claim &record) override;
    void pin(const write_pin &record) override;
    void bill(const write_bill &record) override;
    [[nodiscard]] bool isIdle() const override { return m_open == 0; }

private:
    void respond(ledger_response response);
    void readBill(request_token request, const std::string &key);
    void readPin(request_token request, const std::string &key);

    object_store &m_store;
    std::string m_host;
    core_sink m_deliver;
    std::size_t m_open = 0; ///< records whose response is outstanding
};

/// No-op implementation for a host without peers.
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
