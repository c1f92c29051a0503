// Operators' command line: commands, calls to the administration API and output.
#pragma once

#include "process_settings_p.h"
#include "settings_p.h"

#include <nlohmann/json.hpp>

namespace foxtaildyke
{

struct ctl_options {
    http_endpoint server;
    std::string key; ///< operator's bearer key
    std::chrono::milliseconds wait{0}; ///< for acceptance; 0 doesn't wait
    std::optional<generation_number> generation; ///< on which the files are based
    std::string changeId;
    std::uint32_t sharePermille = 0;
    bool withHosts = false;
    bool asJson = false;
};

/// Answer of the administration API.
struct ctl_reply {
    int status = 0; ///< 0: no answer
    nlohmann::json body;
};

/// Settings files: the first without a failure domain, the others named FAILURE-DOMAIN.ini.
struct settings_files {
    std::string base;
    std::map<std::string, std::string> overlays;
};

/// Reads base.ini and overlays; a directory stands for all its .ini files.
[[nodiscard]] result<settings_files> readSettingsFiles(const std::vector<std::string> &paths);

[[nodiscard]] result<void> checkSettingsFiles(const settings_files &files);

/// Calls the administration API and waits for the answer. A call without an answer is repeated, which is safe: changes
/// carry their change id.
[[nodiscard]] ctl_reply callServer(const ctl_options &options, http_method method, const std::string &path,
                                   const std::string &body);

/// Prints an answer. @returns the exit status it stands for.
[[nodiscard]] exit_code showReply(const ctl_options &options, const ctl_reply &reply);

} // namespace foxtaildyke
