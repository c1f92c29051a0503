// Virtual-time simulation of the decision core for tests; see core_simulation_p.h.
#include "core_simulation_p.h"

namespace foxtaildyke::test
{

ledger_response fake_ledger::claim(const write_claim &action)
{
    auto &record = entries[{action.account, action.requestId}];
    if (down)
        return {action.request, ledger_step::claim, ledger_status::unavailable};
    if (record.billed)
        return {action.request, ledger_step::claim, ledger_status::exists_billed, record.answer};
    const bool isFirst = !std::exchange(record.claimed, true);
    return {action.request, ledger_step::claim, isFirst ? ledger_status::written : ledger_status::exists_open};
}

ledger_response fake_ledger::bill(const write_bill &action)
{
    auto &record = entries[{action.account, action.requestId}];
    if (record.billed)
        return {action.request, ledger_step::bill, ledger_status::exists_billed};
    record.billed = true;
    record.answer = action.answer;
    ++billsAccepted;
    return {action.request, ledger_step::bill, down ? ledger_status::copied : ledger_status::written};
}

ledger_response fake_ledger::pin(const write_pin &action)
{
    auto &record = entries[{action.account, "session " + action.sessionId}];
    if (down)
        return {action.request, ledger_step::pin, ledger_status::unavailable};
    const bool isFirst = record.pins.empty();
    if (isFirst)
        record.pins = action.versions;
    const auto status = isFirst ? ledger_status::written : ledger_status::exists_pinned;
    return {action.request, ledger_step::pin, status, {}, record.pins};
}

core_simulation::core_simulation(router_config config, const std::vector<upstream_info> &upstreams, std::uint64_t seed)
    : m_config(std::move(config))
    , m_core("host-1", "datong-hall", seed)
{
    m_config.generation = 1;
    at(milliseconds{0}, config_changed{std::make_shared<const router_config>(m_config)});
    at(milliseconds{0}, lease_changed{1, std::chrono::hours{1}});
    at(milliseconds{0}, upstreams_changed{upstreams});
}

void core_simulation::at(milliseconds time, core_input input)
{
    push(time, {.input = std::move(input)});
}

void core_simulation::call(milliseconds time, std::string title, std::function<void()> step)
{
    push(time, {.title = std::move(title), .call = std::move(step)});
}

void core_simulation::configure(milliseconds time, std::function<void(router_config &)> change)
{
    call(time, "", [this, change = std::move(change)] {
        change(m_config);
        ++m_config.generation;
        feed(config_changed{std::make_shared<const router_config>(m_config)}, false);
        feed(lease_changed{m_config.generation, std::chrono::hours{1}}, false);
    });
}

request_token core_simulation::submit(milliseconds time, std::string kind,
                                      const std::function<void(caller_request &)> &change)
{
    const request_token token{++m_lastRequest};
    const auto unixSeconds = kUnixStart + std::chrono::duration_cast<std::chrono::seconds>(time).count();
    caller_request request{.request = token,
                           .apiKey = m_config.accounts.front().apiKey,
                           .requestId = std::to_string(unixSeconds) + "-r" + std::to_string(m_lastRequest),
                           .kind = std::move(kind),
                           .prompt = "prompt " + std::to_string(m_lastRequest),
                           .unixSeconds = unixSeconds};
    if (change)
        change(request);
    at(time, request);
    return token;
}

void core_simulation::run(milliseconds until)
{
    constexpr int kStepLimit = 200000; // ends the run if timers keep firing without advancing the time
    for (int i = 0; i < kStepLimit; ++i) {
        const auto timer = m_core.nextTimer();
        const bool hasStep = !m_queue.empty() && m_queue.begin()->first <= until;
        const bool timerFirst = timer && *timer <= until && (!hasStep || *timer < m_queue.begin()->first);
        if (timerFirst) {
            m_now = std::max(m_now, *timer);
            feed(timer_tick{}, true);
            continue;
        }
        if (!hasStep) {
            m_now = std::max<instant>(m_now, until);
            return;
        }
        auto node = m_queue.extract(m_queue.begin());
        m_now = std::max(m_now, node.key());
        if (!node.mapped().call) {
            feed(node.mapped().input, false);
            continue;
        }
        if (!node.mapped().title.empty())
            line("#", node.mapped().title);
        node.mapped().call();
    }
}

void core_simulation::feed(const core_input &input, bool isTimer)
{
    if (observeInput)
        observeInput(input);
    m_core.handle(input, m_now);
    const auto actions = m_core.takeActions();
    const auto text = describe(input);
    if (!text.empty() && (!isTimer || !actions.empty()))
        line(">", text);
    for (const auto &action : actions)
        perform(action);
}

void core_simulation::line(std::string_view mark, const std::string &text)
{
    const auto ms = std::chrono::duration_cast<milliseconds>(m_now).count();
    m_transcript << ms << " ms " << mark << ' ' << text << '\n';
}

void core_simulation::perform(const core_action &action)
{
    if (observe)
        observe(action);
    if (const auto text = describe(action); !text.empty())
        line(std::holds_alternative<record_event>(action) ? "  *" : "  <", text);
    if (const auto *start = std::get_if<start_attempt>(&action))
        perform(*start);
    else if (const auto *cancel = std::get_if<cancel_attempt>(&action))
        m_cancelled.insert(cancel->attempt);
    else if (const auto *finish = std::get_if<finish_request>(&action))
        m_responses[finish->request].push_back(*finish);
    else if (const auto *claim = std::get_if<write_claim>(&action))
        respond(ledgerDelay, ledger.claim(*claim));
    else if (const auto *bill = std::get_if<write_bill>(&action))
        respond(ledgerDelay, ledger.bill(*bill));
    else if (const auto *pin = std::get_if<write_pin>(&action))
        respond(ledgerDelay, ledger.pin(*pin));
    else if (const auto *rate = std::get_if<request_rating>(&action))
        respond(milliseconds{20},
                rating_response{rate->request, rate->attempt,
                                rating ? rating(m_versions[rate->attempt]) : std::optional(950U)});
}

void core_simulation::respond(milliseconds delay, const core_input &input)
{
    const int count = copies ? copies(input) : 1;
    for (int i = 0; i < count; ++i)
        push(m_now + (i + 1) * delay, {.input = input});
}

void core_simulation::perform(const start_attempt &action)
{
    const auto script = upstream ? upstream(action) : attempt_script{};
    m_versions[action.attempt] = action.version;
    auto time = m_now + script.first;
    const auto send = [&](const core_input &input) {
        call(std::chrono::duration_cast<milliseconds>(time), "",
             [this, attempt = action.attempt, ignoresCancel = script.ignoresCancel, input] {
                 if (ignoresCancel || !m_cancelled.contains(attempt))
                     feed(input, false);
             });
    };
    for (const auto &chunk : script.chunks) {
        send(attempt_chunk{action.attempt, chunk});
        time += script.gap;
    }
    if (script.silent)
        return;
    if (script.failure)
        return send(attempt_failed{action.attempt, *script.failure});
    const auto promptTokens = static_cast<std::uint32_t>(action.prompt.size() / 4 + 1);
    send(attempt_done{action.attempt, promptTokens, static_cast<std::uint32_t>(script.chunks.size()) * 10});
}

} // namespace foxtaildyke::test
