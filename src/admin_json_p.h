// JSON of the administration API: request and response bodies. See admin_api_p.h.
#pragma once

#include "admin_api_p.h"

#include <nlohmann/json.hpp>

namespace foxtaildyke
{

/// Settings files in the body of an operator's request: {"base": TEXT, "overlays": {FAILURE-DOMAIN: TEXT}, "hosts":
/// BOOL, "generation": N}.
struct sent_settings {
    config_layers layers;
    bool withHosts = false; ///< the files replace the registered hosts too; otherwise those are kept
    std::optional<generation_number> generation; ///< that the files are based on; if absent, the current one
};

/// Parses a JSON object. @returns protocol_violation if the text is not a JSON object.
[[nodiscard]] result<nlohmann::json> parseObject(std::string_view text);

/// @returns the member, or nullopt if it is missing or has another type.
template <typename value_type>
[[nodiscard]] std::optional<value_type> memberOf(const nlohmann::json &object, const char *name)
{
    try {
        return object.at(name).get<value_type>();
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

/// Parses the body of a request.
/// @returns the settings, protocol_violation with the name of the missing or malformed member, or an error of
/// parseIni() whose field begins with the layer.
[[nodiscard]] result<sent_settings> readSettings(const nlohmann::json &body);

/// @returns an operator's layers; unless `withHosts` is set, their registered hosts are those of the current
/// configuration.
[[nodiscard]] config_layers mergeHosts(const sent_settings &sent, const config_document &current);

[[nodiscard]] admin_response jsonResponse(int status, const nlohmann::json &body);
[[nodiscard]] admin_response errorResponse(const error &failure);

/// @returns edits for display, with API keys and session keys masked.
[[nodiscard]] nlohmann::json editsToJson(const std::vector<config_edit> &edits);
[[nodiscard]] nlohmann::json changeToJson(const config_change &change);
[[nodiscard]] nlohmann::json statusToJson(const host_status &status);

} // namespace foxtaildyke
