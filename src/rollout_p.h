// Roll-out of a version as edits of the configuration: start, step, halt, finish.
#pragma once

#include "settings_p.h"

namespace foxtaildyke
{

enum class rollout_action : std::uint8_t {
    start, ///< first share of new sessions
    step, ///< next share
    halt, ///< no new sessions
    finish, ///< active: all new sessions
    count
};

template <>
struct enum_names<rollout_action> {
    static constexpr std::array kNames{"start", "step", "halt", "finish"};
};

/// Shares of new sessions in permille, in the order of the steps.
constexpr std::array<std::uint32_t, 6> kRolloutShares{10, 50, 100, 250, 500, 1000};

/// @param share permille for start and step; 0 takes the next one of kRolloutShares.
/// @returns the edits, or not_found for an unknown version, version_reinstated for a withdrawn one, and conflict where
/// the version's state doesn't allow the action.
[[nodiscard]] result<std::vector<config_edit>> rolloutEdits(const config_layers &layers, rollout_action action,
                                                            const std::string &version, std::uint32_t share);

} // namespace foxtaildyke
