// Reads and checks the settings of a process; see process_settings_p.h.
#include "process_settings_p.h"

#include <fstream>
#include <ini.h>
#include <sstream>

namespace foxtaildyke
{

namespace
{

constexpr std::string_view kSeedPrefix = "seed ";

using text_member = std::string process_settings::*;
using endpoint_member = http_endpoint process_settings::*;

struct process_key {
    std::string_view name;
    bool required;
    std::variant<text_member, endpoint_member> member;
};

constexpr std::array kProcessKeys{
    process_key{"host", true, &process_settings::host},
    process_key{"region", true, &process_settings::region},
    process_key{"failure_domain", true, &process_settings::failureDomain},
    process_key{"platform", true, &process_settings::platform},
    process_key{"listen", false, &process_settings::listen},
    process_key{"peer_listen", false, &process_settings::peerListen},
    process_key{"admin_listen", false, &process_settings::adminListen},
    process_key{"log", false, &process_settings::log},
};

error fieldError(error_code code, const std::string &section, std::string_view key)
{
    return {code, section + '/' + std::string(key)};
}

bool assign(process_settings &settings, const process_key &key, const std::string &value)
{
    if (const auto *text = std::get_if<text_member>(&key.member)) {
        settings.*(*text) = value;
        return !value.empty();
    }
    const auto endpoint = parseEndpoint(value);
    if (endpoint)
        settings.*std::get<endpoint_member>(key.member) = *endpoint;
    return endpoint.has_value();
}

result<void> readProcessSection(process_settings &settings, const std::map<std::string, std::string> &keys)
{
    for (const auto &[name, value] : keys) {
        const auto key = std::ranges::find(kProcessKeys, name, &process_key::name);
        if (key == kProcessKeys.end())
            return fieldError(error_code::unknown_key, "process", name);
        if (!assign(settings, *key, value))
            return fieldError(error_code::value_out_of_range, "process", name);
    }
    for (const auto &key : kProcessKeys)
        if (key.required && !keys.contains(std::string(key.name)))
            return fieldError(error_code::missing_key, "process", key.name);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<seed_host> readSeed(const std::string &section, const std::map<std::string, std::string> &keys)
{
    for (const auto &[name, value] : keys)
        if (name != "peer")
            return fieldError(error_code::unknown_key, section, name);
    if (!keys.contains("peer"))
        return fieldError(error_code::missing_key, section, "peer");
    const auto endpoint = parseEndpoint(keys.at("peer"));
    if (!endpoint)
        return fieldError(error_code::value_out_of_range, section, "peer");
    return seed_host{section.substr(kSeedPrefix.size()), *endpoint};
}

int storeKey(void *user, const char *section, const char *name, const char *value)
{
    (*static_cast<ini_sections *>(user))[section][name] = value;
    return 1;
}

} // namespace

result<ini_sections> readIniFile(const std::string &path)
{
    const std::ifstream file(path);
    if (!file)
        return error{error_code::not_found, path};
    std::ostringstream text;
    text << file.rdbuf();
    ini_sections sections;
    const int line = ini_parse_string(text.str().c_str(), storeKey, &sections);
    if (line != 0)
        return error{error_code::invalid_syntax, path + ':' + std::to_string(line)};
    return sections;
}

result<process_settings> checkProcessSettings(const ini_sections &sections)
{
    process_settings settings;
    if (!sections.contains("process"))
        return error{error_code::missing_key, "process"};
    for (const auto &[name, keys] : sections) {
        if (name == "process") {
            auto read = readProcessSection(settings, keys);
            if (read.has_error())
                return read.error();
        } else if (name.starts_with(kSeedPrefix)) {
            auto seed = readSeed(name, keys);
            if (seed.has_error())
                return seed.error();
            settings.seeds.push_back(std::move(seed.value()));
        } else {
            return error{error_code::unknown_section, name};
        }
    }
    return settings;
}

} // namespace foxtaildyke
