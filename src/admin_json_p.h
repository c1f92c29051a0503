// JSON of the administration API: bodies of requests and answers. See admin_api_p.h.
#pragma once

#include "admin_api_p.h"

#include <nlohmann/json.hpp>

namespace foxtaildyke
{

/// Settings files as an operator sends them: {"base": TEXT, "overlays": {FAILURE-DOMAIN: TEXT}, "hosts": BOOL,
/// "generation": N}.
struct sent_settings {
    config_layers layers;
    bool withHosts = false; ///< otherwise the registered hosts stay as they are
    std::optional<generation_number> generation; ///< on which the files are based; nothing: the present one
};

/// Parses a JSON object. @returns protocol_violation where the text is none.
[[nodiscard]] result<nlohmann::json> parseObject(std::string_view text);

/// @returns the member, or nothing where it is missing or of another type.
template <typename value_type>
[[nodiscard]] std::optional<value_type> memberOf(const nlohmann::json &object, const char *name)
{
    try {
        return object.at(name).get<value_type>();
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

[[nodiscard]] result<sent_settings> readSettings(const nlohmann::json &body);

/// @returns the layers that result if an operator's files are applied to the present configuration.
[[nodiscard]] config_layers mergeHosts(const sent_settings &sent, const config_document &current);

[[nodiscard]] admin_response jsonResponse(int status, const nlohmann::json &body);
[[nodiscard]] admin_response errorResponse(const error &failure);

/// @returns edits for display: keys of accounts and sessions are replaced.
[[nodiscard]] nlohmann::json editsToJson(const std::vector<config_edit> &edits);
[[nodiscard]] nlohmann::json changeToJson(const config_change &change);
[[nodiscard]] nlohmann::json statusToJson(const host_status &status);

} // namespace foxtaildyke
