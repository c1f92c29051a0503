// Settings of the gateway process. A single table of keys with unit and range drives the parser, the validation and
// the help text.
#pragma once

#include "model_cascade_p.h"
#include "process_settings_p.h"
#include "retry_budget_p.h"

namespace foxtaildyke
{

struct gateway_settings {
    std::string host;
    std::string failureDomain;
    http_endpoint listen; ///< for callers
    http_endpoint readiness;
    http_endpoint metrics; ///< empty address: metrics are not served
    http_endpoint platform; ///< address of the store
    http_endpoint relay; ///< on which this host relays the store to others; port 0: this host is no relay
    std::vector<http_endpoint> relays; ///< hosts that may act as relay
    http_endpoint detour; ///< at which this host takes requests of hosts that reach no replica; port 0: it takes none
    /// Hosts to ask first which others there are; empty: those of `relays`, at this host's port of `detour`.
    std::vector<http_endpoint> detourHosts;
    std::string log = "-";
    std::uint32_t logLinesPerSecond = 400;
    std::chrono::milliseconds grace{8000}; ///< from SIGTERM to SIGKILL
    std::chrono::milliseconds keyLease{5000}; ///< maximum age of the configuration for accepting keys
    std::chrono::milliseconds configWatch{2000}; ///< maximum wait of one watch of the configuration
    std::chrono::milliseconds replicaWatch{10000}; ///< the same for replicas, roll-outs and reports
    std::chrono::milliseconds settleTime{3000}; ///< after an outage, until the next two bounds hold again
    std::chrono::milliseconds drainTime{2000}; ///< from a replica's report that it drains until it gets no request
    std::chrono::milliseconds configTime{2000}; ///< from the publication of a configuration until it is in force
    std::chrono::milliseconds lapseGrace{1800}; ///< time for which missing replicas are retained after a store outage
    double retryRatio = 0.9; ///< retries per request in the window, over all hosts
    std::chrono::milliseconds retryWindow{10'000};
    double retrySlack = 0; ///< retries in the window in addition to the ratio, over all hosts
    double canaryShare = 0.15; ///< largest share of a service's requests for a version under evaluation, over all hosts
    double canarySlack = 0; ///< requests in addition to the share, over all hosts
    double memoryMb = 260; ///< memory of the host, of which bodies of requests and responses may take a part
    std::uint32_t confidenceToKeep = 60; ///< percent; below it the smallest model's response is escalated
    bool startsSmall = true; ///< whether requests start with the smallest model of their route
};

/// @returns the time from the loss of any response of the store until changes made since must have taken effect.
[[nodiscard]] std::chrono::milliseconds changeLimitOf(const gateway_settings &settings);

/// Parses and validates the section `[gateway]`. Unknown keys are ignored, so that older programs start with newer
/// settings.
/// @returns the settings, or the first error, with the field as "gateway/key".
[[nodiscard]] result<gateway_settings> checkGatewaySettings(const ini_sections &sections);

/// @returns one line per key: name, unit, whether it is required, and description.
[[nodiscard]] std::string gatewaySettingsReference();

} // namespace foxtaildyke
