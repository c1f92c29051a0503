// Request routing and completion requests of the upstream emulator; see standin_upstream_p.h.
#include "standin_upstream_p.h"

#include <numeric>
#include <unistd.h>

namespace foxtaildyke
{

namespace
{

using nlohmann::json;

constexpr const char *kAttemptHeader = "X-Attempt-Id";
constexpr std::string_view kCrashMarker = "poison";
constexpr std::size_t kBytesPerToken = 4; ///< approximate size of a prompt token
const std::map<std::string, int> kPriorities{{"interactive", 0}, {"standard", 1}, {"batch", 2}};

std::string formatSseEvent(const json &body)
{
    return "data: " + body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n\n";
}

} // namespace

struct standin_upstream::run {
    http_exchange_ptr exchange;
    std::string attempt;
    std::string request;
    std::string version;
    std::size_t promptTokens = 0;
    std::uint32_t tokens = 0; ///< number of tokens to generate
    std::uint32_t emitted = 0;
    int priority = 1;
    std::uint32_t score = 0;
    bool isRunning = false; ///< occupies a slot
};

standin_upstream::standin_upstream(event_loop &loop, upstream_options options)
    : m_loop(loop)
    , m_client(loop)
    , m_options(std::move(options))
    , m_random(m_options.seed)
{
    measureLoad();
}

void standin_upstream::serve(const http_exchange_ptr &exchange)
{
    struct http_route {
        http_method method;
        std::string_view path;
        void (standin_upstream::*handler)(const http_exchange_ptr &);
    };
    static constexpr std::array kRoutes{
        http_route{http_method::post, "/v1/completions", &standin_upstream::serveCompletion},
        http_route{http_method::get, "/load", &standin_upstream::serveLoad},
        http_route{http_method::post, "/orders", &standin_upstream::serveOrder},
        http_route{http_method::post, "/faults", &standin_upstream::serveFaults},
        http_route{http_method::get, "/counts", &standin_upstream::serveCounts},
    };
    const auto found = std::ranges::find_if(kRoutes, [&](const http_route &candidate) {
        return candidate.method == exchange->method && candidate.path == exchange->path;
    });
    if (found == kRoutes.end())
        return exchange->respond(404, {});
    (this->*found->handler)(exchange);
}

standin_upstream::run_ptr standin_upstream::parseRun(const http_exchange_ptr &exchange) const
try {
    const auto body = json::parse(exchange->body);
    const auto &prompt = body.at("prompt").get_ref<const std::string &>();
    if (prompt.find(kCrashMarker) != std::string::npos)
        _exit(1); // emulates a request that crashes the engine: no response and no cleanup
    auto parsed = std::make_shared<run>();
    parsed->exchange = exchange;
    parsed->attempt = exchange->header(kAttemptHeader);
    parsed->request = body.value("request_id", "");
    parsed->version = body.at("version").get<std::string>();
    parsed->promptTokens = prompt.size() / kBytesPerToken + 1;
    parsed->tokens = std::clamp(m_options.tokens, 1U, std::max(1U, body.value("max_tokens", m_options.tokens)));
    const auto priority = kPriorities.find(body.value("priority", "standard"));
    parsed->priority = priority == kPriorities.end() ? 1 : priority->second;
    return parsed;
} catch (const json::exception &) {
    return nullptr;
}

void standin_upstream::serveCompletion(const http_exchange_ptr &exchange)
{
    const auto reject = [&exchange](int status, http_headers headers = {}) {
        headers.emplace_back(kAttemptHeader, exchange->header(kAttemptHeader));
        exchange->respond(status, {}, headers);
    };
    if (m_faults.overload) {
        ++m_counts["overloaded"];
        return reject(429, {{"Retry-After", "1"}});
    }
    const auto next = parseRun(exchange);
    if (!next)
        return reject(400);
    if (!m_options.versions.contains(next->version))
        return reject(404);
    // A weak pointer avoids a reference cycle: the run owns the exchange.
    exchange->onClosed = [this, weak = std::weak_ptr(next)] {
        if (const auto closed = weak.lock())
            onCancelled(closed);
    };
    exchange->watchClose();
    if (m_running < m_options.slots)
        return start(next);
    const auto queued = std::accumulate(m_queue.begin(), m_queue.end(), std::size_t{0},
                                        [](std::size_t sum, const auto &item) { return sum + item.second.size(); });
    if (queued >= m_options.queueLimit) {
        ++m_counts["overloaded"];
        return reject(503, {{"Retry-After", "1"}});
    }
    m_queue[next->priority].push_back(next);
}

void standin_upstream::start(const run_ptr &next)
{
    next->isRunning = true;
    m_peakRunning = std::max(m_peakRunning, ++m_running);
    ++m_runsByRequest[next->request];
    ++m_runsByVersion[next->version];
    next->score = drawScore(next->version);
    const auto delay = m_options.firstTokenDelay + std::chrono::milliseconds(m_faults.lateMs);
    m_loop.after(delay, [this, next] {
        next->exchange->startChunks(200, {{"Content-Type", "text/event-stream"}});
        emitToken(next);
    });
}

void standin_upstream::startQueued()
{
    for (auto &[priority, waiting] : m_queue)
        while (!waiting.empty() && m_running < m_options.slots) {
            const auto next = waiting.front();
            waiting.pop_front();
            start(next);
        }
}

std::uint32_t standin_upstream::drawScore(const std::string &version)
{
    constexpr std::uint32_t kMinGoodScore = 960; // good scores range from 960 to 999, bad ones from 200 to 599
    constexpr std::uint32_t kGoodScoreRange = 40;
    constexpr std::uint32_t kMinBadScore = 200;
    constexpr std::uint32_t kBadScoreRange = 400;
    const auto fault = m_faults.badVersions.find(version);
    const auto configured = m_options.quality.find(version);
    const double configuredChance = configured == m_options.quality.end() ? 1 : configured->second;
    const double chance = fault == m_faults.badVersions.end() ? configuredChance : 1 - fault->second;
    const bool isGood = std::uniform_real_distribution<>(0, 1)(m_random) < chance;
    const auto draw = static_cast<std::uint32_t>(m_random());
    return isGood ? kMinGoodScore + draw % kGoodScoreRange : kMinBadScore + draw % kBadScoreRange;
}

void standin_upstream::emitOtherAttempt(const run_ptr &current)
{
    const auto other = current->attempt + "-other";
    current->exchange->chunk(formatSseEvent({{"attempt", other}, {"text", "crossed "}}));
    if (current->emitted + 1 < current->tokens)
        return;
    current->exchange->chunk(
        formatSseEvent({{"attempt", other}, {"finish", "stop"}, {"prompt_tokens", 1}, {"completion_tokens", 1}}));
}

void standin_upstream::emitToken(const run_ptr &current)
{
    // The timer keeps the run alive, so the connection may have been closed since the timer was started.
    if (!current->exchange->isOpen())
        return;
    if (m_faults.crossed)
        emitOtherAttempt(current);
    const bool isPastHalf = current->emitted >= current->tokens / 2;
    if (isPastHalf && m_faults.dropRuns > 0) {
        --m_faults.dropRuns;
        current->exchange->drop();
        return end(current);
    }
    if (isPastHalf && m_faults.truncated) {
        current->exchange->endChunks();
        return end(current);
    }
    const bool isLast = ++current->emitted >= current->tokens;
    const auto text = isLast ? "[score=" + std::to_string(current->score) + ']' : std::string("word ");
    current->exchange->chunk(formatSseEvent({{"attempt", current->attempt}, {"text", text}}));
    if (isLast)
        return emitFinish(current);
    m_loop.after(m_options.tokenInterval, [this, current] { emitToken(current); });
}

void standin_upstream::emitFinish(const run_ptr &current)
{
    current->exchange->chunk(formatSseEvent({{"attempt", current->attempt},
                                             {"finish", "stop"},
                                             {"prompt_tokens", current->promptTokens},
                                             {"completion_tokens", current->tokens}}));
    current->exchange->chunk("data: [DONE]\n\n");
    current->exchange->endChunks();
    ++m_completedByVersion[current->version];
    end(current);
}

void standin_upstream::end(const run_ptr &current)
{
    if (std::exchange(current->isRunning, false))
        --m_running;
    startQueued();
}

void standin_upstream::onCancelled(const run_ptr &current)
{
    ++m_counts["cancelled"];
    auto &waiting = m_queue[current->priority];
    std::erase(waiting, current);
    end(current);
}

} // namespace foxtaildyke
