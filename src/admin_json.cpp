// JSON of the administration API; see admin_json_p.h.
#include "admin_json_p.h"

namespace foxtaildyke
{

namespace
{

using nlohmann::json;

constexpr std::string_view kHostPrefix = "host ";
constexpr const char *kHiddenValue = "(hidden)";

bool isSecret(const config_edit &edit)
{
    return edit.key == "api_key" || edit.key == "session_key";
}

error prefixField(const std::string &layer, const error &failure)
{
    return {failure.code, layer + ": " + failure.field};
}

} // namespace

result<json> parseObject(std::string_view text)
{
    auto body = json::parse(text, nullptr, false);
    if (!body.is_object())
        return error{error_code::protocol_violation, "body"};
    return body;
}

result<sent_settings> readSettings(const json &body)
{
    const auto base = memberOf<std::string>(body, "base");
    if (!base)
        return error{error_code::protocol_violation, "base"};
    sent_settings sent;
    auto document = parseIni(*base);
    if (document.has_error())
        return prefixField("base", document.error());
    sent.layers.base = std::move(document.value());
    sent.withHosts = memberOf<bool>(body, "hosts").value_or(false);
    sent.generation = memberOf<generation_number>(body, "generation");
    if (body.contains("generation") && !sent.generation)
        return error{error_code::protocol_violation, "generation"};
    const auto overlays = memberOf<std::map<std::string, std::string>>(body, "overlays");
    if (body.contains("overlays") && !overlays)
        return error{error_code::protocol_violation, "overlays"};
    for (const auto &[failureDomain, text] : overlays.value_or(std::map<std::string, std::string>{})) {
        auto overlay = parseIni(text);
        if (overlay.has_error())
            return prefixField(failureDomain, overlay.error());
        if (!overlay.value().empty())
            sent.layers.overlays[failureDomain] = std::move(overlay.value());
    }
    return sent;
}

config_layers mergeHosts(const sent_settings &sent, const config_document &current)
{
    auto layers = sent.layers;
    if (sent.withHosts || current.generation == 0)
        return layers;
    const auto isHost = [](const auto &section) {
        return section.first.starts_with(kHostPrefix);
    };
    std::erase_if(layers.base, isHost);
    for (const auto &section : current.layers.base) {
        if (isHost(section))
            layers.base.insert(section);
    }
    return layers;
}

admin_response jsonResponse(int status, const json &body)
{
    return {status, body.dump(-1, ' ', false, json::error_handler_t::replace) + '\n'};
}

admin_response errorResponse(const error &failure)
{
    return jsonResponse(httpStatusOf(failure.code),
                        {{"error", {{"code", nameOf(failure.code)}, {"field", failure.field}}}});
}

json editsToJson(const std::vector<config_edit> &edits)
{
    auto list = json::array();
    for (const auto &edit : edits) {
        json encoded{{"layer", edit.layer}, {"section", edit.section}, {"key", edit.key}};
        if (edit.value)
            encoded["value"] = isSecret(edit) ? kHiddenValue : *edit.value;
        list.push_back(std::move(encoded));
    }
    return list;
}

json changeToJson(const config_change &change)
{
    return {{"generation", change.generation},
            {"change_id", change.changeId},
            {"author", change.author},
            {"unix_ms", change.unixMs},
            {"edits", editsToJson(change.edits)}};
}

json statusToJson(const host_status &status)
{
    return {{"generation", status.generation},       {"recovering", status.recovering},
            {"may_dispatch", status.mayDispatch},    {"acknowledged_hosts", status.acknowledged},
            {"registered_hosts", status.registered}, {"halted_versions", status.halted}};
}

int httpStatusOf(error_code code)
{
    switch (code) {
    case error_code::unauthenticated:
        return 401;
    case error_code::forbidden:
        return 403;
    case error_code::not_found:
        return 404;
    case error_code::conflict:
    case error_code::stale_generation:
        return 409;
    case error_code::too_large:
        return 413;
    case error_code::protocol_violation:
        return 400;
    case error_code::unavailable:
        return 503;
    case error_code::timed_out:
        return 504;
    case error_code::io_failure:
        return 502;
    default:
        return 422;
    }
}

} // namespace foxtaildyke
