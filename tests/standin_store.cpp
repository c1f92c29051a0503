// Emulator of the platform's object store; see standin_store.h.
#include "standin_store.h"

#include "http_status_p.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <event2/http.h>
#include <regex>

namespace foxtaildyke
{

namespace
{

using nlohmann::json;

constexpr const char *kPrefix = "/v1/objects/";

std::uint64_t queryNumber(const std::map<std::string, std::string> &query, const char *name)
{
    const auto found = query.find(name);
    return found == query.end() ? 0 : std::stoull(found->second);
}

/// @returns whether a target holds only characters that may occur in one, and whole escapes (RFC 3986). evhttp's server
/// accepts others and guesses at their meaning.
bool isProperTarget(const std::string &target)
{
    static const std::regex s_proper(R"((?:[A-Za-z0-9._~:/?@!$&'()*+,;=\[\]-]|%[0-9A-Fa-f]{2})+)");
    return std::regex_match(target, s_proper);
}

/// @returns the decoded segments after the prefix; an encoded slash belongs to a segment.
std::vector<std::string> segmentsOf(const std::string &target)
{
    std::vector<std::string> parts;
    std::istringstream text(target.substr(0, target.find('?')).substr(std::string_view(kPrefix).size()));
    for (std::string part; std::getline(text, part, '/');) {
        std::size_t size = 0;
        char *decoded = evhttp_uridecode(part.c_str(), 0, &size);
        parts.emplace_back(decoded, size);
        std::free(decoded); // NOLINT: libevent allocates it with malloc
    }
    return parts;
}

} // namespace

standin_store::standin_store(event_loop &loop)
    : m_loop(loop)
    , m_server(loop, [this](const http_exchange_ptr &exchange) { serve(exchange); })
{
    const auto port = m_server.listen(endpoint);
    REQUIRE(port.has_value());
    endpoint.port = port.value();
}

json standin_store::render(const std::string &name, const stored_object &object)
{
    return {{"metadata", {{"name", name}, {"revision", object.revision}, {"created", object.created}}},
            {"spec", object.spec},
            {"status", object.status}};
}

std::uint64_t standin_store::put(const std::string &kind, const std::string &name, json spec)
{
    auto &object = m_content.objects[kind][name];
    object.spec = std::move(spec);
    recordChange(kind, name, false);
    return m_content.revision;
}

std::uint64_t standin_store::putRaw(const std::string &kind, const std::string &name, std::string spec)
{
    const auto mark = "@raw " + std::to_string(m_rawSpecs.size()) + '@';
    m_rawSpecs.emplace(json(mark).dump(), std::move(spec));
    return put(kind, name, mark);
}

std::string standin_store::withRawSpecs(const json &body) const
{
    auto text = body.dump();
    for (const auto &[mark, spec] : m_rawSpecs)
        for (auto at = text.find(mark); at != std::string::npos; at = text.find(mark, at + spec.size()))
            text.replace(at, mark.size(), spec);
    return text;
}

void standin_store::remove(const std::string &kind, const std::string &name)
{
    recordChange(kind, name, true);
    m_content.objects[kind].erase(name);
}

json standin_store::specOf(const std::string &kind, const std::string &name) const
{
    const auto *object = find(kind, name);
    return object ? object->spec : json();
}

json standin_store::statusOf(const std::string &kind, const std::string &name) const
{
    const auto *object = find(kind, name);
    return object ? object->status : json();
}

const standin_store::stored_object *standin_store::find(const std::string &kind, const std::string &name) const
{
    const auto objects = m_content.objects.find(kind);
    if (objects == m_content.objects.end() || !objects->second.contains(name))
        return nullptr;
    return &objects->second.at(name);
}

/// Assigns the object the next revision and responds to the open watches of its kind.
void standin_store::recordChange(const std::string &kind, const std::string &name, bool isRemoved)
{
    auto &object = m_content.objects[kind][name];
    object.revision = ++m_content.revision;
    if (object.created == 0)
        object.created = m_content.revision;
    m_content.changes.push_back({m_content.revision, kind, name, isRemoved, render(name, object)});
    std::erase_if(m_waiting, [this](const auto &watch) { return respondToWatch(watch, false); });
}

void standin_store::discardHistory()
{
    m_content.changes.clear();
    m_content.oldestRevision = ++m_content.revision;
    for (auto &watch : std::exchange(m_waiting, {}))
        watch.exchange->drop();
}

std::vector<std::string> standin_store::names(const std::string &kind) const
{
    std::vector<std::string> names;
    const auto found = m_content.objects.find(kind);
    if (found != m_content.objects.end())
        std::ranges::transform(found->second, std::back_inserter(names), [](const auto &entry) { return entry.first; });
    return names;
}

void standin_store::takeCopy()
{
    m_copy = m_content;
}

void standin_store::rewind()
{
    m_content = m_copy;
    ++era;
    setState(m_state);
}

void standin_store::respond(const http_exchange_ptr &exchange, int status, const std::string &body)
{
    exchange->respond(status, body, {{"Store-Era", std::to_string(era)}});
}

void standin_store::silenceWatches(const std::string &kind)
{
    const auto isKept = [&kind](const waiting_watch &watch) {
        return !kind.empty() && watch.kind != kind;
    };
    const auto silenced = std::stable_partition(m_waiting.begin(), m_waiting.end(), isKept);
    std::transform(silenced, m_waiting.end(), std::back_inserter(m_openExchanges),
                   [](waiting_watch &watch) { return std::move(watch.exchange); });
    m_waiting.erase(silenced, m_waiting.end());
}

void standin_store::setState(store_state state)
{
    m_state = state;
    for (auto &exchange : std::exchange(m_openExchanges, {}))
        exchange->drop();
    for (auto &watch : std::exchange(m_waiting, {}))
        watch.exchange->drop();
}

void standin_store::serve(const http_exchange_ptr &exchange)
{
    ++calls;
    if (handleFailureState(exchange))
        return;
    if (!isProperTarget(exchange->target))
        return respond(exchange, http_status::kBadRequest, {});
    if (!exchange->target.starts_with(kPrefix))
        return respond(exchange, http_status::kNotFound, {});
    const auto parts = segmentsOf(exchange->target);
    const bool isStatus = parts.size() == 3 && parts[2] == "status";
    if (exchange->method == http_method::put && parts.size() >= 2)
        return serveWrite(parts[0], parts[1], isStatus, exchange);
    if (exchange->method == http_method::post && parts.size() == 1)
        return serveWrite(parts[0], {}, false, exchange);
    if (exchange->method == http_method::remove && parts.size() == 2) {
        if (!m_content.objects[parts[0]].contains(parts[1]))
            return respond(exchange, http_status::kNotFound, {});
        remove(parts[0], parts[1]);
        return respond(exchange, http_status::kOk, {});
    }
    if (exchange->method != http_method::get || parts.size() != 1)
        return respond(exchange, http_status::kNotFound, {});
    if (exchange->query.contains("watch"))
        return serveWatch(parts[0], exchange);
    serveList(parts[0], exchange);
}

/// @returns whether the call was handled by an injected failure.
bool standin_store::handleFailureState(const http_exchange_ptr &exchange)
{
    if (m_state == store_state::refusing)
        respond(exchange, http_status::kServiceUnavailable, {});
    else if (m_state == store_state::limiting)
        respond(exchange, http_status::kTooManyRequests, {});
    else if (m_state == store_state::dropping)
        exchange->drop();
    else if (m_state == store_state::silent)
        m_openExchanges.push_back(exchange);
    return m_state != store_state::serving;
}

void standin_store::serveList(const std::string &kind, const http_exchange_ptr &exchange)
{
    ++lists;
    const auto after = exchange->query.find("after");
    if (after != exchange->query.end())
        continuations.insert(after->second);
    json items = json::array();
    bool isTruncated = false;
    for (const auto &[name, object] : m_content.objects[kind]) {
        if (after != exchange->query.end() && name <= after->second)
            continue;
        isTruncated = items.size() == pageItems;
        if (isTruncated)
            break;
        items.push_back(render(name, object));
    }
    respond(exchange, http_status::kOk,
            withRawSpecs({{"items", items}, {"truncated", isTruncated}, {"at", m_content.revision}}));
}

void standin_store::serveWatch(const std::string &kind, const http_exchange_ptr &exchange)
{
    const auto after = queryNumber(exchange->query, "watch");
    if (after < m_content.oldestRevision || after > m_content.revision) {
        ++goneResponses;
        return respond(exchange, http_status::kGone, {});
    }
    const waiting_watch watch{kind, after, exchange};
    if (respondToWatch(watch, false))
        return;
    m_waiting.push_back(watch);
    const auto isThis = [exchange](const auto &other) {
        return other.exchange == exchange;
    };
    m_loop.after(std::chrono::milliseconds(queryNumber(exchange->query, "wait_ms")), [this, isThis] {
        const auto found = std::ranges::find_if(m_waiting, isThis);
        if (found == m_waiting.end())
            return;
        respondToWatch(*found, true);
        m_waiting.erase(found);
    });
}

/// Responds if there are changes or the wait has ended. @returns whether it responded.
bool standin_store::respondToWatch(const waiting_watch &watch, bool hasWaitEnded)
{
    json events = json::array();
    for (const auto &entry : m_content.changes)
        if (entry.kind == watch.kind && entry.revision > watch.after)
            events.push_back({{"object", entry.object}, {"removed", entry.isRemoved}});
    if (events.empty() && !hasWaitEnded)
        return false;
    respond(watch.exchange, http_status::kOk, withRawSpecs({{"events", events}, {"at", m_content.revision}}));
    return true;
}

void standin_store::serveWrite(const std::string &kind, const std::string &name, bool isStatus,
                               const http_exchange_ptr &exchange)
{
    const auto body = json::parse(exchange->body, nullptr, false);
    const auto apply = [this, kind, name, isStatus, body] {
        return name.empty() ? create(kind, body) : write(kind, name, isStatus, body);
    };
    if (writeOutcome == write_outcome::late) {
        m_openExchanges.push_back(exchange);
        m_loop.after(writeDelay, apply);
        return;
    }
    const int status = apply();
    if (writeOutcome == write_outcome::response_lost)
        m_openExchanges.push_back(exchange);
    else
        respond(exchange, status, {});
}

int standin_store::create(const std::string &kind, const json &body)
{
    const auto name = body.value("metadata", json::object()).value("name", std::string());
    if (name.empty())
        return http_status::kBadRequest;
    if (m_content.objects[kind].contains(name))
        return http_status::kConflict;
    put(kind, name, body.value("spec", json()));
    return http_status::kOk;
}

int standin_store::write(const std::string &kind, const std::string &name, bool isStatus, const json &body)
{
    if (body.is_discarded())
        return http_status::kNotFound;
    if (!m_content.objects[kind].contains(name))
        return http_status::kNotFound;
    auto &object = m_content.objects[kind][name];
    const auto expectedRevision = body.value("metadata", json::object()).value("revision", object.revision);
    if (expectedRevision != object.revision)
        return http_status::kConflict;
    auto &part = isStatus ? object.status : object.spec;
    const auto value = body.value(isStatus ? "status" : "spec", json());
    if (part == value)
        return http_status::kOk;
    part = value;
    recordChange(kind, name, false);
    return http_status::kOk;
}

} // namespace foxtaildyke
