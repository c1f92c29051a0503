// Settings of the gateway process: one table of keys with unit, range and default, from which the parser, the checks
// and the help text are made.
#pragma once

#include "model_cascade_p.h"
#include "process_settings_p.h"
#include "retry_budget_p.h"

namespace foxtaildyke
{

struct gateway_settings {
    std::string host;
    std::string failureDomain;
    http_endpoint listen; ///< callers
    http_endpoint readiness;
    http_endpoint metrics; ///< port 0 with an empty address: not served
    http_endpoint platform; ///< store
    http_endpoint relay; ///< where this host would read the store for others; port 0: nowhere
    std::vector<http_endpoint> relays; ///< hosts that may do so
    std::string log = "-";
    std::uint32_t logLinesPerSecond = 400;
    std::chrono::milliseconds grace{8000}; ///< from SIGTERM to SIGKILL
    std::chrono::milliseconds keyLease{5000}; ///< longest age of the configuration under which a key is accepted
    std::chrono::milliseconds configWatch{2000};
    std::chrono::milliseconds replicaWatch{10000};
    std::chrono::milliseconds lapseGrace{1800};
    double retryRatio = 0.9;
    std::chrono::milliseconds retryWindow{10'000};
    double retrySlack = 0;
    std::uint32_t confidenceToKeep = 60;
    bool startsSmall = true;
};

/// Checks the section `[gateway]`. Unknown keys are ignored, so that older programs start with newer settings.
/// @returns the settings, or the first error with the field as "gateway/key".
[[nodiscard]] result<gateway_settings> checkGatewaySettings(const ini_sections &sections);

/// @returns one line for each key: name, unit, range, default, meaning.
[[nodiscard]] std::string gatewaySettingsReference();

} // namespace foxtaildyke
