// Sessions: choice of the versions a session starts on, and the signed token that carries them.
#pragma once

#include "fleet_p.h"

#include <vector>

namespace foxtaildyke
{

/// What a session token says.
struct session_pins {
    std::string account;
    std::string sessionId;
    generation_number generation = 0; ///< at the first request
    std::vector<std::string> versions; ///< one for each model of the cascade
};

/// Signs pins with HMAC-SHA256. @returns the token, base64url.
[[nodiscard]] std::string signPins(const session_pins &pins, std::string_view key);

/// @returns the pins, or error_code::unauthenticated where the token is malformed or its signature is wrong.
[[nodiscard]] result<session_pins> verifyPins(std::string_view token, std::string_view key);

/// Chooses a version of a model for a new session: by the hash of the session over the shares of the versions in a
/// roll-out, otherwise the newest active version the account may use.
/// @param usable tells whether a version may get a new session now (evidence, exposure budget).
/// @returns an invalid handle where no version is open.
/// @remarks All hosts with the same generation and the same usable versions choose the same.
template <typename predicate>
[[nodiscard]] version_handle chooseVersion(const fleet &config, model_handle model, account_handle account,
                                           std::string_view sessionId, predicate usable);

/// @returns a number in 0..999 from the session and model; decides the roll-out share it falls in.
[[nodiscard]] std::uint32_t rolloutBucket(std::string_view sessionId, std::string_view model);

template <typename predicate>
version_handle chooseVersion(const fleet &config, model_handle model, account_handle account,
                             std::string_view sessionId, predicate usable)
{
    const auto &versions = config[model].versions;
    const auto isOpen = [&](version_handle candidate) {
        return config.isGranted(account, candidate) && usable(candidate);
    };
    const auto bucket = rolloutBucket(sessionId, config[model].name);
    const auto inRollout = std::ranges::find_if(versions, [&](version_handle candidate) {
        const auto &entry = config[candidate];
        return entry.state == version_state::rolling_out && bucket < entry.sharePermille && isOpen(candidate);
    });
    if (inRollout != versions.end())
        return *inRollout;
    const auto active = std::find_if(versions.rbegin(), versions.rend(), [&](version_handle candidate) {
        return config[candidate].state == version_state::active && isOpen(candidate);
    });
    return active == versions.rend() ? version_handle{} : *active;
}

} // namespace foxtaildyke
