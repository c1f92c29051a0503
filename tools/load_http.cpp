// HTTP mode; see load_http.h.
#include "load_http.h"

#include "event_loop_p.h"
#include "http_client_p.h"

#include <ctime>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace foxtaildyke::load
{

namespace
{

constexpr milliseconds kMinResendDelay{10}; ///< minimum retry delay of a caller, if the response requests less
constexpr milliseconds kResponseGrace{5000}; ///< after the deadline, before a caller closes its connection
constexpr std::chrono::seconds kMaxDrainTime{
    300}; ///< after the last arrival; the run then ends without the missing responses

/// One run against real routers, on a single event loop.
class http_run
{
public:
    http_run(const experiment &settings, std::uint64_t seed, std::vector<http_endpoint> routers)
        : m_settings(settings)
        , m_seed(seed)
        , m_routers(std::move(routers))
        , m_client(m_loop)
        , m_requests(planRequests(settings, seed, std::time(nullptr)))
        , m_states(m_requests.size())
    {
    }

    arm_report run()
    {
        for (std::size_t i = 0; i < m_requests.size(); ++i)
            m_loop.after(m_requests[i].arrivesAt, [this, i] { send(i); });
        const instant last{static_cast<std::int64_t>(m_settings.durationSeconds * 1e6)};
        m_loop.after(last + kMaxDrainTime, [this] { m_loop.stop(); });
        if (!m_requests.empty())
            m_loop.run();
        for (std::size_t i = 0; i < m_requests.size(); ++i)
            countRequest(i);
        m_report.hasQualityData = false;
        m_report.repeats = 1;
        return m_report;
    }

private:
    struct request_state {
        std::uint32_t submitCount = 0;
        std::uint32_t open = 0; ///< submissions without a response so far
        instant firstSentAt{};
        instant endedAt{};
        bool hasResponse = false;
        outcome_kind outcome = outcome_kind::not_run;
        std::string reason = "no answer";
        std::uint64_t costMicroUnits = 0;
        std::vector<double> refusalMs;
    };

    void send(std::size_t index)
    {
        auto &state = m_states[index];
        const auto &id = m_requests[index].requestId;
        const auto router = XXH64(id.data(), id.size(), m_seed + state.submitCount) % m_routers.size();
        if (state.submitCount == 0)
            state.firstSentAt = event_loop::now();
        sendTo(index, router);
        if (m_requests[index].isDuplicated && state.submitCount == 1)
            sendTo(index, (router + 1) % m_routers.size());
    }

    [[nodiscard]] milliseconds timeoutOf(const workload &source) const
    {
        if (source.timeoutMs > 0)
            return milliseconds{source.timeoutMs};
        return m_settings.config[m_settings.config.kindByName(source.kind)].maxTimeout;
    }

    [[nodiscard]] http_headers headersOf(const planned_request &planned, const workload &source) const
    {
        const auto &config = m_settings.config;
        http_headers headers{{"Authorization", "Bearer " + config[config.accountByName(planned.account)].apiKey},
                             {"Foxtaildyke-Request-Id", planned.requestId},
                             {"Foxtaildyke-Deadline-Ms", std::to_string(timeoutOf(source).count())}};
        if (planned.sessionId.empty())
            return headers;
        headers.emplace_back("Foxtaildyke-Session", planned.sessionId);
        const auto token = m_sessionTokens.find(planned.sessionId);
        if (token != m_sessionTokens.end())
            headers.emplace_back("Foxtaildyke-Session-Token", token->second);
        return headers;
    }

    void sendTo(std::size_t index, std::size_t router)
    {
        const auto &planned = m_requests[index];
        const auto &source = m_settings.workloads[planned.workload];
        ++m_states[index].submitCount;
        ++m_states[index].open;
        const nlohmann::json body{{"kind", source.kind},
                                  {"prompt", makePrompt(source, planned, m_settings.affinity)},
                                  {"max_tokens", std::max(1U, source.completionTokens)},
                                  {"stream", false}};
        m_client.start({.endpoint = m_routers[router],
                        .method = http_method::post,
                        .target = "/v1/answers",
                        .headers = headersOf(planned, source),
                        .body = body.dump(),
                        .timeout = timeoutOf(source) + kResponseGrace},
                       {.onDone = [this, index, sentAt = event_loop::now()](const http_response &response) {
                           onResponse(index, sentAt, response);
                       }});
    }

    void onResponse(std::size_t index, instant sentAt, const http_response &response)
    {
        auto &state = m_states[index];
        --state.open;
        if (!state.hasResponse || state.outcome != outcome_kind::complete)
            recordResponse(index, sentAt, response);
        const bool isLast = state.open == 0 && !resend(index, response);
        if (isLast && ++m_done == m_requests.size())
            m_loop.stop();
    }

    void recordResponse(std::size_t index, instant sentAt, const http_response &response)
    {
        auto &state = m_states[index];
        state.hasResponse = true;
        state.endedAt = event_loop::now();
        const auto json = nlohmann::json::parse(response.body, nullptr, false);
        if (response.end != http_end::complete || !json.is_object()) {
            state.outcome = outcome_kind::may_have_run;
            state.reason = "connection failed";
            return;
        }
        state.outcome = valueOf<outcome_kind>(json.value("outcome", "")).value_or(outcome_kind::may_have_run);
        state.reason = json.value("reason", "");
        state.costMicroUnits = json.value("cost_micro_units", std::uint64_t{0});
        if (json.contains("session_token"))
            m_sessionTokens[m_requests[index].sessionId] = json.value("session_token", "");
        if (state.outcome == outcome_kind::not_run)
            state.refusalMs.push_back(std::chrono::duration<double, std::milli>(state.endedAt - sentAt).count());
    }

    /// @returns whether a retry was scheduled.
    bool resend(std::size_t index, const http_response &response)
    {
        const auto &state = m_states[index];
        const auto &source = m_settings.workloads[m_requests[index].workload];
        const auto &kind = m_settings.config[m_settings.config.kindByName(source.kind)];
        const bool isSafe = state.outcome == outcome_kind::not_run
            || (state.outcome == outcome_kind::failed_after_run && kind.idempotent);
        if (!isSafe || state.submitCount > source.maxRetries)
            return false;
        const auto json = nlohmann::json::parse(response.body, nullptr, false);
        const milliseconds wait{json.is_object() ? json.value("retry_after_ms", std::int64_t{0}) : 0};
        m_loop.after(std::max(kMinResendDelay, wait), [this, index] { send(index); });
        return true;
    }

    void countRequest(std::size_t index)
    {
        const auto &planned = m_requests[index];
        const auto &state = m_states[index];
        const auto &source = m_settings.workloads[planned.workload];
        auto &row = m_report.rows[{source.name, planned.account}];
        ++row.requests;
        ++row.outcomes[static_cast<std::size_t>(state.outcome)];
        row.refusalMs.insert(row.refusalMs.end(), state.refusalMs.begin(), state.refusalMs.end());
        if (state.outcome != outcome_kind::complete) {
            ++row.reasons[state.reason];
            return;
        }
        const auto latency = std::chrono::duration<double, std::milli>(state.endedAt - state.firstSentAt).count();
        row.latencyMs.push_back(latency);
        row.inTime += latency <= static_cast<double>(timeoutOf(source).count()) ? 1 : 0;
        row.costMicroUnits += state.costMicroUnits;
    }

    const experiment &m_settings;
    std::uint64_t m_seed;
    std::vector<http_endpoint> m_routers;
    event_loop m_loop;
    http_client m_client;
    std::vector<planned_request> m_requests;
    std::vector<request_state> m_states; ///< of m_requests
    std::map<std::string, std::string> m_sessionTokens; ///< by session
    std::size_t m_done = 0; ///< number of finished requests
    arm_report m_report;
};

} // namespace

result<arm_report> runHttp(const experiment &settings, std::uint64_t seed)
{
    if (settings.routers.empty())
        return error{error_code::missing_key, "experiment/routers"};
    std::vector<http_endpoint> routers;
    for (const auto &text : settings.routers) {
        const auto endpoint = parseEndpoint(text);
        if (!endpoint)
            return error{error_code::value_out_of_range, "experiment/routers"};
        routers.push_back(*endpoint);
    }
    return http_run(settings, seed, std::move(routers)).run();
}

} // namespace foxtaildyke::load
