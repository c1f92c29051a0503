// Administration API; see admin_api_p.h.
#include "admin_json_p.h"
#include "rollout_p.h"

#include <charconv>
#include <openssl/crypto.h>

namespace foxtaildyke
{

namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::string_view kBearer = "Bearer ";
constexpr std::size_t kMaxChangeIdLength = 128;
constexpr std::size_t kMinKeyLength = 16;
constexpr std::string_view kOperatorPrefix = "operator ";

bool equalKeys(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

/// @returns the number at the beginning of a query parameter, or 0 if there is none.
std::uint64_t leadingNumber(const std::map<std::string, std::string> &query, const std::string &name)
{
    const auto found = query.find(name);
    std::uint64_t value = 0;
    if (found != query.end())
        std::from_chars(found->second.data(), found->second.data() + found->second.size(), value);
    return value;
}

milliseconds clampWait(std::uint64_t requested)
{
    const auto maxWait = static_cast<std::uint64_t>(admin_api::kMaxWait.count());
    return milliseconds(static_cast<std::int64_t>(std::min(requested, maxWait)));
}

result<operator_account> readOperator(const std::string &section, const std::map<std::string, std::string> &keys)
{
    operator_account account{section.substr(kOperatorPrefix.size()), {}, operator_role::viewer};
    const auto field = [&section](const std::string &key) {
        return std::string(section).append("/").append(key);
    };
    for (const auto &[key, value] : keys) {
        const auto role = valueOf<operator_role>(value);
        if (key != "key" && key != "role")
            return error{error_code::unknown_key, field(key)};
        if (key == "role" ? !role : value.size() < kMinKeyLength)
            return error{error_code::value_out_of_range, field(key)};
        if (key == "role")
            account.role = *role;
        else
            account.key = value;
    }
    if (account.key.empty())
        return error{error_code::missing_key, section + "/key"};
    return account;
}

} // namespace

result<std::vector<operator_account>> extractOperators(ini_document &sections)
{
    std::vector<operator_account> operators;
    for (auto section = sections.begin(); section != sections.end();) {
        if (!section->first.starts_with(kOperatorPrefix)) {
            ++section;
            continue;
        }
        auto account = readOperator(section->first, section->second);
        if (account.has_error())
            return account.error();
        const auto hasKey = [&](const operator_account &other) {
            return other.key == account.value().key;
        };
        if (std::ranges::any_of(operators, hasKey))
            return error{error_code::value_out_of_range, section->first + "/key"};
        operators.push_back(std::move(account.value()));
        section = sections.erase(section);
    }
    return operators;
}

struct admin_api::route {
    std::string_view method;
    std::string_view path;
    operator_role role;
    void (admin_api::*handler)(const call &);
};

const std::vector<admin_api::route> &admin_api::routes()
{
    static const std::vector<route> s_routes{
        {"POST", "/v1/check", operator_role::viewer, &admin_api::check},
        {"POST", "/v1/diff", operator_role::viewer, &admin_api::diff},
        {"POST", "/v1/apply", operator_role::editor, &admin_api::apply},
        {"POST", "/v1/withdraw", operator_role::editor, &admin_api::withdraw},
        {"POST", "/v1/rollout", operator_role::editor, &admin_api::rollOut},
        {"GET", "/v1/status", operator_role::viewer, &admin_api::status},
        {"GET", "/v1/pending", operator_role::viewer, &admin_api::pending},
        {"GET", "/v1/history", operator_role::viewer, &admin_api::history},
        {"GET", "/v1/acceptance", operator_role::viewer, &admin_api::awaitAcceptance},
    };
    return s_routes;
}

admin_api::admin_api(controller &control, std::vector<operator_account> operators, controller::event_sink onEvent)
    : m_control(control)
    , m_operators(std::move(operators))
    , m_onEvent(std::move(onEvent))
{
}

const operator_account *admin_api::authenticate(const std::string &authorization) const
{
    if (!authorization.starts_with(kBearer))
        return nullptr;
    const auto key = std::string_view(authorization).substr(kBearer.size());
    const auto hasKey = [&](const operator_account &account) {
        return equalKeys(account.key, key);
    };
    const auto found = std::ranges::find_if(m_operators, hasKey);
    return found == m_operators.end() ? nullptr : &*found;
}

void admin_api::handle(const admin_request &request, done_callback done)
{
    const auto *author = authenticate(request.authorization);
    if (!author)
        return done(errorResponse({error_code::unauthenticated, "Authorization"}));
    const auto isMatch = [&](const route &candidate) {
        return candidate.path == request.path && candidate.method == request.method;
    };
    const auto found = std::ranges::find_if(routes(), isMatch);
    if (found == routes().end())
        return done(errorResponse({error_code::not_found, request.path}));
    if (author->role < found->role)
        return done(errorResponse({error_code::forbidden, request.path}));
    (this->*found->handler)({&request, author, std::move(done)});
}

void admin_api::check(const call &open)
{
    const auto body = parseObject(open.request->body);
    const auto sent = body.has_value() ? readSettings(body.value()) : result<sent_settings>(body.error());
    if (sent.has_error())
        return open.done(errorResponse(sent.error()));
    const auto checked = checkLayers(sent.value().layers);
    open.done(checked.has_error() ? errorResponse(checked.error()) : jsonResponse(200, {{"valid", true}}));
}

void admin_api::diff(const call &open)
{
    const auto body = parseObject(open.request->body);
    auto sent = body.has_value() ? readSettings(body.value()) : result<sent_settings>(body.error());
    if (sent.has_error())
        return open.done(errorResponse(sent.error()));
    m_control.read([sent = sent.value(), done = open.done](const result<config_document> &current) {
        if (current.has_error())
            return done(errorResponse(current.error()));
        const auto edits = diffLayers(current.value().layers, mergeHosts(sent, current.value()));
        done(jsonResponse(200, {{"generation", current.value().generation}, {"edits", editsToJson(edits)}}));
    });
}

void admin_api::apply(const call &open)
{
    const auto body = parseObject(open.request->body);
    auto sent = body.has_value() ? readSettings(body.value()) : result<sent_settings>(body.error());
    if (sent.has_error())
        return open.done(errorResponse(sent.error()));
    change(open, [sent = sent.value()](const config_document &current) {
        return result<std::vector<config_edit>>(diffLayers(current.layers, mergeHosts(sent, current)));
    });
}

void admin_api::withdraw(const call &open)
{
    const auto body = parseObject(open.request->body);
    const auto version = body.has_value() ? memberOf<std::string>(body.value(), "version") : std::nullopt;
    if (!version)
        return open.done(errorResponse({error_code::protocol_violation, "version"}));
    change(open, [version = *version](const config_document &) {
        return result<std::vector<config_edit>>(std::vector{withdrawalOf(version)});
    });
}

void admin_api::rollOut(const call &open)
{
    const auto body = parseObject(open.request->body);
    if (body.has_error())
        return open.done(errorResponse(body.error()));
    const auto version = memberOf<std::string>(body.value(), "version");
    const auto action = valueOf<rollout_action>(memberOf<std::string>(body.value(), "action").value_or(""));
    const auto share = memberOf<std::uint32_t>(body.value(), "share_permille").value_or(0);
    if (!version || !action)
        return open.done(errorResponse({error_code::protocol_violation, version ? "action" : "version"}));
    change(open, [version = *version, action = *action, share](const config_document &current) {
        return rolloutEdits(current.layers, action, version, share);
    });
}

void admin_api::change(const call &open, edit_source source)
{
    const auto body = parseObject(open.request->body).value();
    const auto changeId = memberOf<std::string>(body, "change_id").value_or("");
    if (changeId.empty() || changeId.size() > kMaxChangeIdLength)
        return open.done(errorResponse({error_code::protocol_violation, "change_id"}));
    const auto seen = memberOf<generation_number>(body, "generation");
    const auto wait = clampWait(memberOf<std::uint64_t>(body, "wait_ms").value_or(0));
    change_request request{changeId, open.author->name, m_unixMs, 0, {}};
    m_control.read([this, request, seen, wait, source = std::move(source),
                    done = open.done](const result<config_document> &current) mutable {
        if (current.has_error())
            return done(errorResponse(current.error()));
        const auto &history = current.value().history;
        const bool isKnown = std::ranges::find(history, request.changeId, &config_change::changeId) != history.end();
        // A repeated request whose change has been published must not derive the edits again: the current configuration
        // already contains them.
        auto edits = isKnown ? result<std::vector<config_edit>>(std::vector<config_edit>{}) : source(current.value());
        if (edits.has_error())
            return done(errorResponse(edits.error()));
        request.edits = std::move(edits.value());
        request.seen = seen.value_or(current.value().generation);
        m_control.publish(request, [this, request, wait, done](const result<published_change> &published) {
            if (published.has_error())
                return done(errorResponse(published.error()));
            const auto generation = published.value().generation;
            if (published.value().isNew)
                m_onEvent({"change_published", {}, {}, request.author + ' ' + request.changeId, generation});
            respondWhenAccepted(generation, wait, done);
        });
    });
}

void admin_api::respondWhenAccepted(generation_number generation, milliseconds wait, done_callback done)
{
    const bool isAccepted = m_control.acceptanceState().accepted() >= generation;
    if (isAccepted || wait.count() == 0 || m_waiting.size() >= kMaxWaiting)
        return done(acceptanceResponse(generation));
    m_waiting.push_back({generation, m_now + wait, std::move(done)});
}

admin_response admin_api::acceptanceResponse(generation_number generation) const
{
    const auto &acceptanceState = m_control.acceptanceState();
    const bool isAccepted = acceptanceState.accepted() >= generation;
    const auto missing = isAccepted ? std::vector<std::string>{} : acceptanceState.unacknowledged(generation);
    return jsonResponse(isAccepted ? 200 : 202,
                        {{"generation", generation},
                         {"state", isAccepted ? "accepted" : "written, pending"},
                         {"unacknowledged_hosts", missing}});
}

void admin_api::tick(instant now, std::int64_t unixMs)
{
    m_now = now;
    m_unixMs = unixMs;
    std::vector<waiter> ready;
    for (auto position = m_waiting.begin(); position != m_waiting.end();) {
        const auto next = std::next(position);
        if (m_control.acceptanceState().accepted() >= position->generation || now >= position->until) {
            ready.push_back(std::move(*position));
            m_waiting.erase(position);
        }
        position = next;
    }
    for (const auto &entry : ready)
        entry.done(acceptanceResponse(entry.generation));
}

void admin_api::status(const call &open)
{
    m_control.read([this, done = open.done](const result<config_document> &current) {
        json body{{"holds_lease", m_control.isHolder()},
                  {"accepted_generation", m_control.acceptanceState().accepted()}};
        if (current.has_value())
            body["generation"] = current.value().generation;
        else
            body["store_error"] = nameOf(current.error().code);
        body["router"] = m_control.routerStatus() ? statusToJson(*m_control.routerStatus()) : json();
        done(jsonResponse(200, body));
    });
}

void admin_api::pending(const call &open)
{
    m_control.read([this, done = open.done](const result<config_document> &current) {
        if (current.has_error())
            return done(errorResponse(current.error()));
        auto list = json::array();
        for (const auto &change : current.value().history) {
            if (change.generation <= m_control.acceptanceState().accepted())
                continue;
            auto encoded = changeToJson(change);
            encoded["unacknowledged_hosts"] = m_control.acceptanceState().unacknowledged(change.generation);
            list.push_back(std::move(encoded));
        }
        done(jsonResponse(200, {{"pending", list}}));
    });
}

void admin_api::history(const call &open)
{
    m_control.read([done = open.done](const result<config_document> &current) {
        if (current.has_error())
            return done(errorResponse(current.error()));
        auto list = json::array();
        for (const auto &change : current.value().history)
            list.push_back(changeToJson(change));
        done(jsonResponse(200, {{"history", list}}));
    });
}

/// Handles GET /v1/acceptance?generation=N&wait_ms=N: responds when the generation is accepted or the wait is over.
void admin_api::awaitAcceptance(const call &open)
{
    const auto wait = clampWait(leadingNumber(open.request->query, "wait_ms"));
    const auto generation = leadingNumber(open.request->query, "generation");
    m_control.read([this, wait, generation, done = open.done](const result<config_document> &current) {
        const bool isKnown = generation <= m_control.document().generation;
        if (!isKnown && current.has_error())
            return done(errorResponse(current.error()));
        if (!isKnown)
            return done(errorResponse({error_code::not_found, "generation"}));
        respondWhenAccepted(generation, wait, done);
    });
}

} // namespace foxtaildyke
