// Settings of the gateway process; see gateway_settings_p.h.
#include "gateway_settings_p.h"

#include <charconv>
#include <sstream>

namespace foxtaildyke
{

namespace
{

using setting_member = std::variant<std::string gateway_settings::*, http_endpoint gateway_settings::*,
                                    std::vector<http_endpoint> gateway_settings::*, double gateway_settings::*,
                                    std::uint32_t gateway_settings::*, bool gateway_settings::*,
                                    std::chrono::milliseconds gateway_settings::*>;

struct setting_key {
    std::string_view name;
    setting_member member;
    std::string_view unit;
    double minimum = 0;
    double maximum = 0;
    bool required = false;
    std::string_view description;
};

using g = gateway_settings;

constexpr std::array kKeys{
    setting_key{"host", &g::host, "text", 1, 128, true, "Name of this host in logs."},
    setting_key{"failure_domain", &g::failureDomain, "text", 1, 128, true, "Failure domain of this host."},
    setting_key{"listen", &g::listen, "IP:port", 0, 0, true, "Address for callers."},
    setting_key{"readiness", &g::readiness, "IP:port", 0, 0, true, "Address at which the balancer asks."},
    setting_key{"metrics", &g::metrics, "IP:port", 0, 0, false, "Address of /metrics."},
    setting_key{"platform", &g::platform, "IP:port", 0, 0, true, "Address of the store."},
    setting_key{"relay", &g::relay, "IP:port", 0, 0, false,
                "Address at which this host reads the store for others, if it is one of the relays."},
    setting_key{"relays", &g::relays, "IP:port,...", 0, 0, false, "Hosts that may read the store for others."},
    setting_key{"detour", &g::detour, "IP:port", 0, 0, false,
                "Address at which this host takes requests of hosts that reach no replica."},
    setting_key{"detour_hosts", &g::detourHosts, "IP:port,...", 0, 0, false,
                "Hosts to ask first for others that take requests; default: those of relays, at the port of detour."},
    setting_key{"log", &g::log, "path", 1, 256, false, "File to append to, or - for standard output."},
    setting_key{"log_lines_per_second", &g::logLinesPerSecond, "lines/s", 1, 1e6, false,
                "Lines beyond this are dropped and counted."},
    setting_key{"grace_s", &g::grace, "s", 0.5, 3600, false, "Time from SIGTERM until the process is killed."},
    setting_key{"key_lease_ms", &g::keyLease, "ms", 500, 3.6e6, false,
                "Time within which a withdrawn key must be refused."},
    setting_key{"config_watch_ms", &g::configWatch, "ms", 100, 30000, false,
                "Longest wait of a watch of the configuration; renews the key lease."},
    setting_key{"replica_watch_ms", &g::replicaWatch, "ms", 100, 30000, false,
                "Longest wait of a watch of replicas, roll-outs and reports."},
    setting_key{"settle_ms", &g::settleTime, "ms", 0, 60000, false,
                "Time after an outage until drain_ms and config_ms hold again. No watch waits for so long that its loss"
                " would be noticed later than that."},
    setting_key{"drain_ms", &g::drainTime, "ms", 100, 60000, false,
                "Time within which a replica that drains gets no more requests."},
    setting_key{"config_ms", &g::configTime, "ms", 100, 60000, false,
                "Time within which a published configuration is in force."},
    setting_key{"lapse_grace_ms", &g::lapseGrace, "ms", 0, 60000, false,
                "Time after a store outage for replicas to register again."},
    setting_key{"retry_ratio", &g::retryRatio, "1", 0, 100, false, "Repeats for each request, over all hosts."},
    setting_key{"retry_window_s", &g::retryWindow, "s", 0.1, 3600, false, "Window of retry_ratio."},
    setting_key{"retry_slack", &g::retrySlack, "repeats", 0, 1e6, false, "Repeats of a window beyond the ratio."},
    setting_key{"canary_share", &g::canaryShare, "1", 0, 1, false,
                "Largest share of a service's requests that a version under evaluation gets, over all hosts."},
    setting_key{"canary_slack", &g::canarySlack, "requests", 0, 1e6, false, "Requests beyond canary_share."},
    setting_key{"memory_mb", &g::memoryMb, "MB", 32, 1e6, false,
                "Memory of the host. Requests whose bodies would take more than a part of it are rejected as not run."},
    setting_key{"confidence_to_keep", &g::confidenceToKeep, "percent", 0, 101, false,
                "Answers of the smallest model below this go to the largest."},
    setting_key{"starts_small", &g::startsSmall, "true or false", 0, 0, false,
                "Whether requests start at the smallest model of their route."},
};

constexpr std::string_view kSection = "gateway";

error fieldError(error_code code, std::string_view key)
{
    return {code, std::string(kSection) + '/' + std::string(key)};
}

std::optional<double> parseDouble(const std::string &text)
{
    double value = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (failure != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

bool isInRange(const setting_key &key, double value)
{
    return value >= key.minimum && value <= key.maximum;
}

bool assignText(gateway_settings &settings, const setting_key &key, std::string gateway_settings::*member,
                const std::string &text)
{
    settings.*member = text;
    return isInRange(key, static_cast<double>(text.size()));
}

bool assignEndpoint(gateway_settings &settings, http_endpoint gateway_settings::*member, const std::string &text)
{
    const auto endpoint = parseEndpoint(text);
    if (endpoint)
        settings.*member = *endpoint;
    return endpoint.has_value();
}

bool assignEndpoints(gateway_settings &settings, std::vector<http_endpoint> gateway_settings::*member,
                     const std::string &text)
{
    std::istringstream parts(text);
    for (std::string part; std::getline(parts, part, ',');) {
        const auto endpoint = parseEndpoint(part);
        if (!endpoint)
            return false;
        (settings.*member).push_back(*endpoint);
    }
    return true;
}

bool assignFlag(gateway_settings &settings, bool gateway_settings::*member, const std::string &text)
{
    settings.*member = text == "true";
    return text == "true" || text == "false";
}

std::chrono::milliseconds toMilliseconds(const setting_key &key, double value)
{
    constexpr double kMsPerSecond = 1000;
    return std::chrono::milliseconds{static_cast<std::int64_t>(key.unit == "s" ? value * kMsPerSecond : value)};
}

/// @returns whether the text is a valid value for the key.
bool assign(gateway_settings &settings, const setting_key &key, const std::string &text)
{
    if (const auto *member = std::get_if<std::string g::*>(&key.member))
        return assignText(settings, key, *member, text);
    if (const auto *member = std::get_if<http_endpoint g::*>(&key.member))
        return assignEndpoint(settings, *member, text);
    if (const auto *member = std::get_if<std::vector<http_endpoint> g::*>(&key.member))
        return assignEndpoints(settings, *member, text);
    if (const auto *member = std::get_if<bool g::*>(&key.member))
        return assignFlag(settings, *member, text);
    const auto value = parseDouble(text);
    if (!value || !isInRange(key, *value))
        return false;
    if (const auto *member = std::get_if<double g::*>(&key.member))
        settings.*(*member) = *value;
    else if (const auto *member = std::get_if<std::uint32_t g::*>(&key.member))
        settings.*(*member) = static_cast<std::uint32_t>(*value);
    else if (const auto *member = std::get_if<std::chrono::milliseconds g::*>(&key.member))
        settings.*(*member) = toMilliseconds(key, *value);
    return true;
}

/// @returns whether both can't be listened on at once.
bool isSameListener(const http_endpoint &one, const http_endpoint &other)
{
    const auto isAny = [](const http_endpoint &endpoint) {
        return endpoint.address == "0.0.0.0" || endpoint.address == "::";
    };
    return one.port != 0 && one.port == other.port && (one.address == other.address || isAny(one) || isAny(other));
}

/// @returns the key of an address to listen on that conflicts with an earlier one, or an empty text. The process would
/// wait for itself to free it.
std::string_view repeatedListener(const gateway_settings &settings)
{
    std::vector<std::pair<std::string_view, http_endpoint>> listeners{{"listen", settings.listen},
                                                                      {"readiness", settings.readiness},
                                                                      {"metrics", settings.metrics},
                                                                      {"detour", settings.detour}};
    if (!settings.relays.empty())
        listeners.emplace_back("relay", settings.relay);
    for (auto later = listeners.begin(); later != listeners.end(); ++later)
        if (std::any_of(listeners.begin(), later,
                        [&](const auto &earlier) { return isSameListener(earlier.second, later->second); }))
            return later->first;
    return {};
}

} // namespace

std::chrono::milliseconds changeLimitOf(const gateway_settings &settings)
{
    return settings.settleTime + std::min(settings.drainTime, settings.configTime);
}

result<gateway_settings> checkGatewaySettings(const ini_sections &sections)
{
    gateway_settings settings;
    const auto section = sections.find(std::string(kSection));
    for (const auto &key : kKeys) {
        const bool isGiven = section != sections.end() && section->second.contains(std::string(key.name));
        const std::string text = isGiven ? section->second.at(std::string(key.name)) : std::string();
        if (text.empty() && key.required)
            return fieldError(error_code::missing_key, key.name);
        if (!text.empty() && !assign(settings, key, text))
            return fieldError(error_code::value_out_of_range, key.name);
    }
    if (const auto repeated = repeatedListener(settings); !repeated.empty())
        return fieldError(error_code::conflict, repeated);
    return settings;
}

std::string gatewaySettingsReference()
{
    std::string text;
    for (const auto &key : kKeys) {
        text.append(key.name).append(" (").append(key.unit).append(key.required ? ", required): " : "): ");
        text.append(key.description).append("\n");
    }
    return text;
}

} // namespace foxtaildyke
