// Attempts at upstreams over server-sent events; see upstream_client_p.h.
#include "upstream_client_p.h"

#include "http_status_p.h"

#include <event2/buffer.h>
#include <event2/util.h>
#include <nlohmann/json.hpp>

namespace foxtaildyke
{

namespace
{

constexpr std::string_view kDataPrefix = "data: ";
constexpr std::string_view kEndMarker = "[DONE]";
constexpr const char *kAttemptHeader = "X-Attempt-Id";

using nlohmann::json;

struct buffer_deleter {
    void operator()(evbuffer *buffer) const { evbuffer_free(buffer); }
};

std::string encodeRequest(const start_attempt &attempt)
{
    const json body{
        {"model", attempt.model},          {"version", attempt.version},           {"prompt", attempt.prompt},
        {"max_tokens", attempt.maxTokens}, {"priority", nameOf(attempt.priority)}, {"request_id", attempt.requestId}};
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

attempt_failure failureOf(const http_response &response)
{
    switch (response.end) {
    case http_end::not_connected:
        return attempt_failure::not_sent;
    case http_end::broken:
        return attempt_failure::connection_lost;
    case http_end::timed_out:
        return attempt_failure::timed_out;
    default:
        break;
    }
    if (response.status == http_status::kOk)
        return attempt_failure::truncated;
    if (response.status == http_status::kTooManyRequests || response.status == http_status::kServiceUnavailable)
        return attempt_failure::overloaded;
    return attempt_failure::rejected;
}

/// @returns whether a response belongs to an attempt. The events of a stream state it themselves. A rejection does so
/// in its head; without, it may be a late copy of one that another attempt on the connection has received.
bool isResponseTo(const std::string &attempt, const http_response_head &head)
{
    const auto isEcho = [](const auto &header) {
        return evutil_ascii_strcasecmp(header.first.c_str(), kAttemptHeader) == 0;
    };
    const auto echo = std::ranges::find_if(head.headers, isEcho);
    if (echo != head.headers.end())
        return echo->second == attempt;
    return head.status == http_status::kOk || !head.isReusedConnection;
}

/// @returns a token count, or nothing if the field is missing or not a valid count.
std::optional<std::uint32_t> tokensIn(const json &event, const char *field)
{
    const auto found = event.find(field);
    if (found == event.end() || !found->is_number_unsigned() || found->get<std::uint64_t>() > UINT32_MAX)
        return std::nullopt;
    return found->get<std::uint32_t>();
}

} // namespace

struct upstream_client::running_attempt {
    attempt_token token{};
    std::string id; ///< echoed by the upstream in each event
    http_call_id call{};
    /// Received bytes that don't form a complete line yet.
    std::unique_ptr<evbuffer, buffer_deleter> input{evbuffer_new()};
    std::optional<attempt_done> finish; ///< set by the finish event
    bool isFinished = false; ///< the attempt was reported as done or failed, or was cancelled
};

upstream_client::upstream_client(event_loop &, http_client &client, std::string hostName, core_sink deliver)
    : m_client(client)
    , m_idPrefix(std::move(hostName) + '/' + std::to_string(event_loop::now().count()) + '/')
    , m_deliver(std::move(deliver))
{
}

upstream_client::~upstream_client()
{
    for (const auto &[token, attempt] : m_running)
        m_client.cancel(attempt->call);
}

void upstream_client::start(const start_attempt &attempt)
{
    const auto number = static_cast<std::uint64_t>(attempt.attempt);
    auto state = std::make_shared<running_attempt>();
    state->token = attempt.attempt;
    state->id = m_idPrefix + std::to_string(number);
    http_request request;
    request.endpoint = {attempt.address, attempt.port};
    request.method = http_method::post;
    request.target = "/v1/completions";
    request.headers = {{kAttemptHeader, state->id}, {"Content-Type", "application/json"}};
    request.body = encodeRequest(attempt);
    request.timeout = attempt.timeout;
    http_handlers handlers;
    handlers.onData = [this, state](int status, std::string_view data) {
        onData(state, status, data);
    };
    handlers.onDone = [this, state](const http_response &response) {
        onEnd(*state, response);
    };
    handlers.isOwnResponse = [id = state->id](const http_response_head &head) {
        return isResponseTo(id, head);
    };
    state->call = m_client.start(std::move(request), std::move(handlers));
    m_running.emplace(number, std::move(state));
}

void upstream_client::cancel(attempt_token attempt)
{
    const auto found = m_running.find(static_cast<std::uint64_t>(attempt));
    if (found == m_running.end())
        return;
    found->second->isFinished = true;
    m_client.cancel(found->second->call);
    m_running.erase(found);
}

void upstream_client::onData(const std::shared_ptr<running_attempt> &attempt, int status, std::string_view data)
{
    if (status != http_status::kOk)
        return;
    evbuffer_add(attempt->input.get(), data.data(), data.size());
    std::size_t size = 0;
    while (!attempt->isFinished) {
        char *line = evbuffer_readln(attempt->input.get(), &size, EVBUFFER_EOL_CRLF);
        if (!line)
            return;
        onLine(*attempt, {line, size});
        std::free(line); // NOLINT: libevent allocates it with malloc
    }
}

void upstream_client::onLine(running_attempt &attempt, std::string_view line)
{
    if (!line.starts_with(kDataPrefix))
        return;
    const auto payload = line.substr(kDataPrefix.size());
    if (payload != kEndMarker) {
        onEvent(attempt, payload);
        return;
    }
    // Without the finish event the token counts are missing; the response counts as truncated when the stream ends.
    if (attempt.finish)
        deliverResult(attempt, *attempt.finish);
}

void upstream_client::onEvent(running_attempt &attempt, std::string_view payload)
{
    const auto event = json::parse(payload, nullptr, false);
    const auto id = event.is_object() ? event.find("attempt") : event.end();
    if (id == event.end() || !id->is_string() || id->get_ref<const std::string &>() != attempt.id) {
        ++m_foreignEvents;
        return;
    }
    const auto text = event.find("text");
    if (text != event.end() && text->is_string())
        m_deliver(attempt_chunk{attempt.token, text->get<std::string>()});
    if (!event.contains("finish"))
        return;
    const auto prompt = tokensIn(event, "prompt_tokens");
    const auto completion = tokensIn(event, "completion_tokens");
    if (prompt && completion)
        attempt.finish = attempt_done{attempt.token, *prompt, *completion};
}

void upstream_client::onEnd(running_attempt &attempt, const http_response &response)
{
    if (!attempt.isFinished)
        deliverResult(attempt, attempt_failed{attempt.token, failureOf(response)});
}

void upstream_client::deliverResult(running_attempt &attempt, core_input input)
{
    attempt.isFinished = true;
    m_running.erase(static_cast<std::uint64_t>(attempt.token));
    m_deliver(std::move(input));
}

} // namespace foxtaildyke
