// Ports implemented directly on the object store; see store_ports_p.h.
#include "store_ports_p.h"

#include "json_shape_p.h"

namespace foxtaildyke
{

namespace
{

std::string recordKey(std::string_view type, const std::string &account, const std::string &id)
{
    return std::string(type) + '/' + account + '/' + id;
}

std::string dump(const nlohmann::json &body)
{
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// @returns whether the error means that nothing was written.
bool isNotWritten(const error &failure)
{
    return failure.code == error_code::unavailable || failure.code == error_code::too_large;
}

} // namespace

store_config::store_config(event_loop &loop, object_store &store, std::string failureDomain, core_sink deliver,
                           event_sink onEvent)
    : m_store(store)
    , m_failureDomain(std::move(failureDomain))
    , m_deliver(std::move(deliver))
    , m_onEvent(std::move(onEvent))
    , m_timer(loop, [this] { startRead(); })
{
}

void store_config::start()
{
    startRead();
}

void store_config::startRead()
{
    m_timer.start(kReadPeriod);
    if (std::exchange(m_isReading, true))
        return;
    const auto startedAt = event_loop::now();
    m_store.read("config/current",
                 [this, startedAt](const result<stored_object> &object) { onRead(startedAt, object); });
}

void store_config::onRead(instant startedAt, const result<stored_object> &object)
{
    m_isReading = false;
    if (object.has_error())
        return;
    if (object.value().version != m_version && !adopt(object.value().body))
        return;
    m_version = object.value().version;
    m_deliver(lease_changed{m_config->generation, startedAt + m_config->tune.freshnessLease});
}

bool store_config::adopt(const std::string &body)
{
    const auto document = decodeConfig(body);
    if (document.has_error()) {
        m_onEvent("config_rejected", document.error().field, 0);
        return false;
    }
    const auto generation = document.value().generation;
    if (m_config && generation <= m_config->generation)
        return generation == m_config->generation;
    auto built = buildRouterConfig(document.value().layers, generation, m_failureDomain);
    if (built.has_error()) {
        m_onEvent("config_rejected", built.error().field, generation);
        return false;
    }
    m_config = std::make_shared<const router_config>(std::move(built.value()));
    m_onEvent("config_adopted", "store read", generation);
    m_deliver(config_changed{m_config});
    return true;
}

store_ledger::store_ledger(object_store &store, std::string hostName, core_sink deliver)
    : m_store(store)
    , m_host(std::move(hostName))
    , m_deliver(std::move(deliver))
{
}

void store_ledger::respond(ledger_response response)
{
    --m_open;
    m_deliver(std::move(response));
}

void store_ledger::claim(const write_claim &record)
{
    ++m_open;
    const auto billKey = recordKey("bills", record.account, record.requestId);
    const auto request = record.request;
    m_store.write(
        recordKey("claims", record.account, record.requestId), dump({{"host", m_host}}), 0,
        [this, request, billKey](const result<object_version> &written) {
            if (written.has_value())
                return respond({request, ledger_step::claim, ledger_status::written, {}, {}});
            if (written.error().code == error_code::conflict)
                return readBill(request, billKey);
            const bool isAbsent = isNotWritten(written.error());
            respond(
                {request, ledger_step::claim, isAbsent ? ledger_status::unavailable : ledger_status::unknown, {}, {}});
        });
}

void store_ledger::readBill(request_token request, const std::string &key)
{
    m_store.read(key, [this, request](const result<stored_object> &object) {
        if (object.has_error())
            return respond({request, ledger_step::claim, ledger_status::exists_open, {}, {}});
        const auto body = nlohmann::json::parse(object.value().body, nullptr, false);
        const bool hasStoredResponse = body.is_object() && body.contains("answer") && body["answer"].is_string();
        respond({request,
                 ledger_step::claim,
                 ledger_status::exists_billed,
                 hasStoredResponse ? body["answer"].get<std::string>() : "",
                 {}});
    });
}

void store_ledger::pin(const write_pin &record)
{
    ++m_open;
    const auto key = recordKey("pins", record.account, record.sessionId);
    const auto request = record.request;
    m_store.write(key, dump({{"versions", record.versions}}), 0,
                  [this, request, key](const result<object_version> &written) {
                      if (written.has_value())
                          return respond({request, ledger_step::pin, ledger_status::written, {}, {}});
                      if (written.error().code == error_code::conflict)
                          return readPin(request, key);
                      respond({request, ledger_step::pin, ledger_status::unavailable, {}, {}});
                  });
}

void store_ledger::readPin(request_token request, const std::string &key)
{
    m_store.read(key, [this, request](const result<stored_object> &object) {
        if (object.has_error())
            return respond({request, ledger_step::pin, ledger_status::unavailable, {}, {}});
        const auto body = nlohmann::json::parse(object.value().body, nullptr, false);
        if (!body.is_object() || !body.contains("versions") || !isStringList(body["versions"]))
            return respond({request, ledger_step::pin, ledger_status::unavailable, {}, {}});
        respond({request,
                 ledger_step::pin,
                 ledger_status::exists_pinned,
                 {},
                 body["versions"].get<std::vector<std::string>>()});
    });
}

void store_ledger::bill(const write_bill &record)
{
    ++m_open;
    const auto request = record.request;
    const nlohmann::json body{{"model", record.model},
                              {"version", record.version},
                              {"prompt_tokens", record.promptTokens},
                              {"completion_tokens", record.completionTokens},
                              {"cost_micro_units", record.costMicroUnits},
                              {"answer", record.answer}};
    m_store.write(
        recordKey("bills", record.account, record.requestId), dump(body), 0,
        [this, request](const result<object_version> &written) {
            // A conflict means that the request is already billed; the first record is authoritative.
            const bool isBilled = written.has_value() || written.error().code == error_code::conflict;
            respond(
                {request, ledger_step::bill, isBilled ? ledger_status::written : ledger_status::unavailable, {}, {}});
        });
}

} // namespace foxtaildyke
