// foxtaildyke-ctl: options, settings files, calls to the administration API and output.
#pragma once

#include "process_settings_p.h"
#include "settings_p.h"

#include <nlohmann/json.hpp>

namespace foxtaildyke
{

struct ctl_options {
    http_endpoint server;
    std::string key; ///< bearer key of the operator
    std::chrono::milliseconds wait{0}; ///< time to wait for acceptance of the change; 0: no wait
    std::optional<generation_number> generation; ///< generation on which the files are based
    std::string changeId;
    std::uint32_t sharePermille = 0; ///< share of new sessions in a roll-out; 0: not given
    bool withHosts = false; ///< apply the [host NAME] sections as well
    bool asJson = false;
};

/// Response of the administration API.
struct ctl_response {
    int status = 0; ///< HTTP status; 0: no response
    nlohmann::json body;
};

/// Contents of base.ini and of the overlays, by failure domain (the stem of FAILURE-DOMAIN.ini).
struct settings_files {
    std::string base;
    std::map<std::string, std::string> overlays;
};

/// Reads base.ini and the overlays. A directory is replaced by the .ini files in it.
/// @returns error_code::not_found if a file or base.ini is missing, or error_code::value_out_of_range if two files have
/// the same name.
[[nodiscard]] result<settings_files> readSettingsFiles(const std::vector<std::string> &paths);

/// Parses the files and validates the settings of base and overlays together. @returns the first error.
[[nodiscard]] result<void> checkSettingsFiles(const settings_files &files);

/// Calls the administration API and waits for the response. A call without a response is retried; this is safe because
/// each change carries an id by which the server recognizes a retry.
[[nodiscard]] ctl_response callServer(const ctl_options &options, http_method method, const std::string &path,
                                      const std::string &body);

/// Prints a response. @returns the exit status for it.
[[nodiscard]] exit_code printResponse(const ctl_options &options, const ctl_response &response);

} // namespace foxtaildyke
