// Ledger port on the ledger service and the peer protocol; see relay_ledger_p.h.
#include "relay_ledger_p.h"

namespace foxtaildyke
{

namespace
{

constexpr std::chrono::milliseconds kAppendTimeout{5000}; ///< allows for loading a segment from a slow store
constexpr std::chrono::milliseconds kCopyTimeout{500};
constexpr std::chrono::milliseconds kIdlePeriod{100}; ///< maximum time between ticks

std::int64_t unixSeconds()
{
    const auto time = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::seconds>(time).count();
}

append_response encodeResponse(const result<std::vector<append_outcome>> &results)
{
    // A failure is encoded as a response without outcomes; the host that sent the records then reads the log.
    append_response response;
    if (results.has_error())
        return response;
    for (const auto &entry : results.value()) {
        auto *outcome = response.add_outcomes();
        outcome->set_status(static_cast<std::uint32_t>(entry.status));
        outcome->set_answer(entry.response);
        for (const auto &pin : entry.pins)
            outcome->add_pins(pin);
    }
    return response;
}

result<std::vector<append_outcome>> decodeResponse(const append_response &response)
{
    const error failure{error_code::protocol_violation, "append"};
    if (response.outcomes().empty())
        return failure;
    std::vector<append_outcome> results;
    for (const auto &outcome : response.outcomes()) {
        if (outcome.status() >= static_cast<std::uint32_t>(ledger_status::count))
            return failure;
        results.push_back({static_cast<ledger_status>(outcome.status()),
                           outcome.answer(),
                           {outcome.pins().begin(), outcome.pins().end()}});
    }
    return results;
}

} // namespace

relay_ledger::relay_ledger(event_loop &loop, object_store &store, std::shared_ptr<relay_task> relay,
                           const std::string &host, const std::string &run, core_sink deliver)
    : m_relay(std::move(relay))
    , m_deliver(std::move(deliver))
    , m_service(host, run, store, *this)
    , m_timer(loop, [this] { drive(); })
{
    m_relay->setLedger(makeHandlers());
    schedule();
}

relay_task::ledger_handlers relay_ledger::makeHandlers()
{
    return {.append =
                [this](const append_request &request, const peer_responder<append_response> &respond) {
                    service().serveAppend(request.segment(), request.batch(),
                                          [respond](const result<std::vector<append_outcome>> &results) {
                                              respond(encodeResponse(results));
                                          });
                    schedule();
                },
            .copyBills =
                [this](const copy_bills_request &request, const peer_responder<copy_bills_reply> &respond) {
                    const std::vector<std::string> release(request.release().begin(), request.release().end());
                    copy_bills_reply response;
                    response.set_kept(service().serveCopies(request.host(), request.batch(), release));
                    respond(response);
                    schedule();
                }};
}

append_done relay_ledger::makeResponseHandler(request_token request, ledger_step step)
{
    ++m_openRecords;
    return [this, request, step](append_outcome outcome) {
        --m_openRecords;
        m_deliver(ledger_response{.request = request,
                                  .step = step,
                                  .status = outcome.status,
                                  .answer = std::move(outcome.response),
                                  .pins = std::move(outcome.pins)});
    };
}

void relay_ledger::claim(const write_claim &record)
{
    service().claim(record, makeResponseHandler(record.request, ledger_step::claim));
    schedule();
}

void relay_ledger::pin(const write_pin &record)
{
    service().pin(record, makeResponseHandler(record.request, ledger_step::pin));
    schedule();
}

void relay_ledger::bill(const write_bill &record)
{
    service().bill(record, makeResponseHandler(record.request, ledger_step::bill));
    schedule();
}

bool relay_ledger::isIdle() const
{
    return m_openRecords == 0 && m_service.uncopiedBills() == 0;
}

void relay_ledger::onConfig(const router_config_ptr &config)
{
    m_config = config;
    m_service.configure(config);
    updateNotLiveHosts();
}

void relay_ledger::onEntryHosts(const std::vector<listed_host> &hosts)
{
    m_listedHosts = hosts;
    updateNotLiveHosts();
}

void relay_ledger::onDrain()
{
    service().drain();
    schedule();
}

void relay_ledger::updateNotLiveHosts()
{
    // A host list without any entry host is not evidence that they are down.
    if (!m_config || m_listedHosts.empty())
        return;
    std::set<std::string> notLive;
    for (const auto &host : m_config->hosts) {
        const auto listed = std::ranges::find(
            m_listedHosts, host.name, [](const listed_host &entry) -> const std::string & { return entry.info.name; });
        if (listed == m_listedHosts.end() || listed->info.state != host_state::live)
            notLive.insert(host.name);
    }
    m_service.setNotLiveHosts(std::move(notLive));
}

void relay_ledger::append(const std::string &host, std::uint32_t segment, std::string batch, append_batch_done done)
{
    const auto endpoint = m_relay->endpointOf(host);
    if (!endpoint)
        return done(error{error_code::unavailable, host});
    append_request request;
    request.set_segment(segment);
    request.set_batch(std::move(batch));
    m_relay->peers().append(*endpoint, std::move(request), kAppendTimeout,
                            [this, done = std::move(done)](const result<append_response> &response) {
                                advance();
                                if (response.has_error())
                                    done(response.error());
                                else
                                    done(decodeResponse(response.value()));
                                schedule();
                            });
}

void relay_ledger::copyBills(const std::string &host, std::string batch, std::vector<std::string> release,
                             copy_done done)
{
    const auto endpoint = m_relay->endpointOf(host);
    if (!endpoint)
        return done(error{error_code::unavailable, host});
    copy_bills_request request;
    request.set_host(m_relay->host());
    request.set_batch(std::move(batch));
    for (auto &writer : release)
        request.add_release(std::move(writer));
    m_relay->peers().copyBills(*endpoint, std::move(request), kCopyTimeout,
                               [this, done = std::move(done)](const result<copy_bills_reply> &response) {
                                   advance();
                                   if (response.has_error())
                                       done(response.error());
                                   else
                                       done(response.value().kept());
                                   schedule();
                               });
}

ledger_service &relay_ledger::service()
{
    advance();
    return m_service;
}

void relay_ledger::advance()
{
    m_service.advance(event_loop::now(), unixSeconds());
}

void relay_ledger::drive()
{
    m_nextTickAt.reset();
    m_service.tick(event_loop::now(), unixSeconds());
    schedule();
}

void relay_ledger::schedule()
{
    const auto now = event_loop::now();
    const instant due = std::min<instant>(m_service.nextTick().value_or(now + kIdlePeriod), now + kIdlePeriod);
    // Calls that arrive in quick succession must not put off a tick that is already scheduled.
    if (m_nextTickAt && *m_nextTickAt <= due)
        return;
    m_nextTickAt = due;
    m_timer.start(std::max<instant>(due - now, instant{0}));
}

} // namespace foxtaildyke
