// Sessions: selects the versions that a new session is pinned to, and signs the token that carries them.
#pragma once

#include "router_config_p.h"

#include <vector>

namespace foxtaildyke
{

/// Contents of a session token.
struct session_pins {
    std::string account;
    std::string sessionId;
    generation_number generation = 0; ///< at the first request of the session
    std::vector<std::string> versions; ///< one for each model that is open to the account
};

/// Signs pins with HMAC-SHA256. @returns the token, base64url.
[[nodiscard]] std::string signPins(const session_pins &pins, std::string_view key);

/// @returns the pins, or error_code::unauthenticated if the token is malformed or its signature doesn't match.
[[nodiscard]] result<session_pins> verifyPins(std::string_view token, std::string_view key);

/// Chooses a version of a model for a new session: a version in roll-out if the session's bucket is below its share,
/// otherwise the newest active version that the account may use.
/// @param usable predicate, whether a version may receive new sessions now (evidence, exposure budget).
/// @returns an invalid handle if no version is eligible.
/// @remarks All hosts with the same generation and the same usable versions choose the same version.
template <typename predicate>
[[nodiscard]] version_handle chooseVersion(const router_config &config, model_handle model, account_handle account,
                                           std::string_view sessionId, predicate usable);

/// @returns the hash of session and model as a number in 0..999, to be compared with a version's roll-out share.
[[nodiscard]] std::uint32_t rolloutBucket(std::string_view sessionId, std::string_view model);

template <typename predicate>
version_handle chooseVersion(const router_config &config, model_handle model, account_handle account,
                             std::string_view sessionId, predicate usable)
{
    const auto &versions = config[model].versions;
    const auto isEligible = [&](version_handle candidate) {
        return config.isGranted(account, candidate) && usable(candidate);
    };
    const auto bucket = rolloutBucket(sessionId, config[model].name);
    const auto inRollout = std::ranges::find_if(versions, [&](version_handle candidate) {
        const auto &entry = config[candidate];
        return entry.state == version_state::rolling_out && bucket < entry.sharePermille && isEligible(candidate);
    });
    if (inRollout != versions.end())
        return *inRollout;
    const auto active = std::find_if(versions.rbegin(), versions.rend(), [&](version_handle candidate) {
        return config[candidate].state == version_state::active && isEligible(candidate);
    });
    return active == versions.rend() ? version_handle{} : *active;
}

} // namespace foxtaildyke
