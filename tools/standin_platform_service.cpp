// HTTP interface of the platform emulator; see standin_platform_p.h.
#include "standin_platform_p.h"

#include <charconv>

namespace foxtaildyke
{

namespace
{

using nlohmann::json;

constexpr std::string_view kObjectPrefix = "/objects/";
constexpr std::size_t kMaxObjectBytes = 1'000'000;
constexpr std::int64_t kMaxWatchMs = 60'000;
constexpr std::int64_t kMaxListItems = 1000;

std::int64_t queryNumber(const http_exchange &exchange, const std::string &name, std::int64_t fallback)
{
    const auto found = exchange.query.find(name);
    if (found == exchange.query.end())
        return fallback;
    std::int64_t value = fallback;
    std::from_chars(found->second.data(), found->second.data() + found->second.size(), value);
    return value;
}

std::string makeEtag(object_version version)
{
    return '"' + std::to_string(version) + '"';
}

/// @returns the version that If-Match or If-None-Match expects (0: the object must not exist), or std::nullopt if the
/// request has no valid condition.
std::optional<object_version> expectedVersion(const http_exchange &exchange)
{
    if (exchange.header("If-None-Match") == "*")
        return 0;
    const auto tag = exchange.header("If-Match");
    if (tag.size() < 3 || tag.front() != '"' || tag.back() != '"')
        return std::nullopt;
    object_version version = 0;
    const auto read = std::from_chars(tag.data() + 1, tag.data() + tag.size() - 1, version);
    const bool isValid = read.ec == std::errc{} && read.ptr == tag.data() + tag.size() - 1 && version > 0;
    return isValid ? std::optional(version) : std::nullopt;
}

/// Assigns a JSON field to a variable of the same type; a missing field leaves the variable unchanged.
template <typename value_type>
void assignField(const json &body, const char *field, value_type &target)
{
    target = body.value(field, target);
}

/// @returns the score (0 to 1) that the text of a response contains as a per mille value in the form "[score=873]"; 0.5
/// if it has none.
double parseScore(const std::string &text)
{
    constexpr std::string_view kScorePrefix = "[score=";
    constexpr double kPermille = 1000;
    constexpr double kDefaultScore = 0.5;
    const auto found = text.find(kScorePrefix);
    int score = 0;
    if (found == std::string::npos)
        return kDefaultScore;
    std::from_chars(text.data() + found + kScorePrefix.size(), text.data() + text.size(), score);
    return std::clamp(score / kPermille, 0.0, 1.0);
}

} // namespace

struct standin_platform::route {
    http_method method;
    std::string_view path;
    void (standin_platform::*serve)(const http_exchange_ptr &);
};

standin_platform::standin_platform(event_loop &loop, platform_options options)
    : m_loop(loop)
    , m_options(options)
    , m_weightTokens(static_cast<double>(options.weightsBurst))
    , m_weightsRefilledAt(event_loop::now())
{
}

bool standin_platform::addHosts(const std::string &text)
{
    const auto hosts = json::parse(text, nullptr, false);
    return hosts.is_array()
        && std::ranges::all_of(hosts, [&](const auto &host) { return m_hosts.apply(host, event_loop::now()); });
}

void standin_platform::serve(const http_exchange_ptr &exchange)
{
    static constexpr std::array kRoutes{
        route{http_method::get, "/objects", &standin_platform::serveList},
        route{http_method::get, "/hosts", &standin_platform::serveHosts},
        route{http_method::post, "/hosts", &standin_platform::serveHostChange},
        route{http_method::post, "/rate", &standin_platform::serveRating},
        route{http_method::post, "/weights", &standin_platform::serveWeights},
        route{http_method::post, "/faults", &standin_platform::serveFaults},
        route{http_method::get, "/counts", &standin_platform::serveCounts},
    };
    if (exchange->path.starts_with(kObjectPrefix))
        return serveObject(exchange);
    const auto found = std::ranges::find_if(kRoutes, [&](const route &candidate) {
        return candidate.method == exchange->method && candidate.path == exchange->path;
    });
    if (found == kRoutes.end())
        return exchange->respond(404, {});
    (this->*found->serve)(exchange);
}

void standin_platform::sendResponse(const http_exchange_ptr &exchange, int status, std::string body,
                                    http_headers headers)
{
    if (m_faults.responseDelayMs <= 0)
        return exchange->respond(status, body, headers);
    m_loop.after(std::chrono::milliseconds(m_faults.responseDelayMs),
                 [exchange, status, body = std::move(body), headers = std::move(headers)] {
                     exchange->respond(status, body, headers);
                 });
}

void standin_platform::sendWriteResponse(const http_exchange_ptr &exchange, int status, http_headers headers)
{
    if (m_faults.responsesToLose > 0) {
        --m_faults.responsesToLose;
        ++m_counts["lost_answers"];
        return exchange->drop();
    }
    sendResponse(exchange, status, {}, std::move(headers));
}

void standin_platform::serveObject(const http_exchange_ptr &exchange)
{
    if (m_faults.outage) {
        ++m_counts["refused"];
        return sendResponse(exchange, 503, {});
    }
    const auto key = exchange->path.substr(kObjectPrefix.size());
    switch (exchange->method) {
    case http_method::get:
        return exchange->query.contains("watch") ? serveWatch(exchange, key) : serveRead(exchange, key);
    case http_method::put:
        return serveWrite(exchange, key);
    case http_method::remove:
        return serveRemove(exchange, key);
    default:
        return exchange->respond(405, {});
    }
}

void standin_platform::serveRead(const http_exchange_ptr &exchange, const std::string &key)
{
    ++m_counts["reads"];
    const auto object = m_objects.read(key);
    if (!object)
        return sendResponse(exchange, 404, {});
    sendResponse(exchange, 200, object->body, {{"ETag", makeEtag(object->version)}});
}

void standin_platform::serveWatch(const http_exchange_ptr &exchange, const std::string &key)
{
    ++m_counts["watches"];
    const auto knownVersion = static_cast<object_version>(queryNumber(*exchange, "watch", 0));
    const auto object = m_objects.read(key);
    if ((object ? object->version : 0) != knownVersion)
        return serveRead(exchange, key);
    const auto timeout = std::clamp<std::int64_t>(queryNumber(*exchange, "timeout_ms", 0), 0, kMaxWatchMs);
    exchange->watchClose();
    m_watchers.push_back({key, knownVersion, exchange});
    m_loop.after(std::chrono::milliseconds(timeout), [this, exchange] {
        if (std::erase_if(m_watchers, [&](const watcher &entry) { return entry.exchange == exchange; }) > 0)
            exchange->respond(304, {});
    });
}

void standin_platform::notifyWatchers(const std::string &key)
{
    const auto firstReady = std::stable_partition(m_watchers.begin(), m_watchers.end(),
                                                  [&](const watcher &entry) { return entry.key != key; });
    const std::vector<watcher> ready(firstReady, m_watchers.end());
    m_watchers.erase(firstReady, m_watchers.end());
    for (const auto &entry : ready)
        serveRead(entry.exchange, key);
}

void standin_platform::serveWrite(const http_exchange_ptr &exchange, const std::string &key)
{
    const auto expected = expectedVersion(*exchange);
    if (!expected)
        return exchange->respond(428, {});
    if (exchange->body.size() > kMaxObjectBytes)
        return exchange->respond(413, {});
    ++m_counts["writes"];
    const auto version = m_objects.write(key, exchange->body, *expected);
    if (!version) {
        ++m_counts["conflicts"];
        return sendResponse(exchange, 412, {});
    }
    sendWriteResponse(exchange, *expected == 0 ? 201 : 200, {{"ETag", makeEtag(*version)}});
    notifyWatchers(key);
}

void standin_platform::serveRemove(const http_exchange_ptr &exchange, const std::string &key)
{
    const auto expected = expectedVersion(*exchange);
    if (!expected)
        return exchange->respond(428, {});
    ++m_counts["deletes"];
    if (!m_objects.read(key))
        return sendResponse(exchange, 404, {});
    if (!m_objects.remove(key, *expected)) {
        ++m_counts["conflicts"];
        return sendResponse(exchange, 412, {});
    }
    sendWriteResponse(exchange, 200, {});
    notifyWatchers(key);
}

void standin_platform::serveList(const http_exchange_ptr &exchange)
{
    if (m_faults.outage) {
        ++m_counts["refused"];
        return sendResponse(exchange, 503, {});
    }
    ++m_counts["lists"];
    const auto limit = std::clamp<std::int64_t>(queryNumber(*exchange, "limit", kMaxListItems), 0, kMaxListItems);
    json items = json::array();
    for (const auto &[key, version] :
         m_objects.list(exchange->query["prefix"], exchange->query["after"], static_cast<std::size_t>(limit)))
        items.push_back({{"key", key}, {"version", version}});
    sendResponse(exchange, 200, json{{"items", std::move(items)}}.dump());
}

void standin_platform::serveHosts(const http_exchange_ptr &exchange)
{
    ++m_counts["host_lists"];
    if (m_faults.hostListDown)
        return exchange->respond(503, {});
    const auto time = event_loop::now() - std::chrono::milliseconds(m_faults.hostListLagMs);
    const auto list = m_hosts.listAt(time);
    const auto tag = '"' + list.at("version").dump() + '"';
    if (exchange->header("If-None-Match") == tag)
        return exchange->respond(304, {}, {{"ETag", tag}});
    exchange->respond(200, list.dump(), {{"Content-Type", "application/json"}, {"ETag", tag}});
}

void standin_platform::serveHostChange(const http_exchange_ptr &exchange)
{
    const bool isApplied = m_hosts.apply(json::parse(exchange->body, nullptr, false), event_loop::now());
    exchange->respond(isApplied ? 200 : 400, {});
}

void standin_platform::serveRating(const http_exchange_ptr &exchange)
{
    ++m_counts["ratings"];
    if (m_faults.ratingDown)
        return exchange->respond(503, {});
    const auto body = json::parse(exchange->body, nullptr, false);
    if (!body.is_object() || !body.contains("text") || !body["text"].is_string())
        return exchange->respond(400, {});
    exchange->respond(200, json{{"score", parseScore(body["text"].get<std::string>())}}.dump());
}

bool standin_platform::tryConsumeWeightToken()
{
    const auto now = event_loop::now();
    const auto elapsed = std::chrono::duration<double>(now - m_weightsRefilledAt).count();
    m_weightsRefilledAt = now;
    m_weightTokens = std::min(static_cast<double>(m_options.weightsBurst),
                              m_weightTokens + elapsed * static_cast<double>(m_options.weightsPerSecond));
    if (m_weightTokens < 1)
        return false;
    m_weightTokens -= 1;
    return true;
}

void standin_platform::serveWeights(const http_exchange_ptr &exchange)
{
    ++m_counts["weights"];
    if (tryConsumeWeightToken())
        return exchange->respond(200, {});
    ++m_counts["weights_refused"];
    exchange->respond(429, {}, {{"Retry-After", "1"}});
}

void standin_platform::serveFaults(const http_exchange_ptr &exchange)
try {
    const auto body = json::parse(exchange->body);
    assignField(body, "outage", m_faults.outage);
    assignField(body, "slow_ms", m_faults.responseDelayMs);
    assignField(body, "lose_answers", m_faults.responsesToLose);
    assignField(body, "host_list_lag_ms", m_faults.hostListLagMs);
    assignField(body, "host_list_down", m_faults.hostListDown);
    assignField(body, "rating_down", m_faults.ratingDown);
    exchange->respond(200, {});
} catch (const json::exception &failure) {
    exchange->respond(400, failure.what());
}

void standin_platform::serveCounts(const http_exchange_ptr &exchange)
{
    json counts = json::object();
    for (const char *name : {"reads", "writes", "conflicts", "deletes", "lists", "watches", "refused", "lost_answers",
                             "host_lists", "ratings", "weights", "weights_refused"})
        counts[name] = m_counts[name];
    exchange->respond(200, counts.dump(), {{"Content-Type", "application/json"}});
}

} // namespace foxtaildyke
