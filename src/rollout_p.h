// Roll-out actions on a version (start, step, halt, finish), expressed as edits of the configuration.
#pragma once

#include "settings_p.h"

namespace foxtaildyke
{

enum class rollout_action : std::uint8_t {
    start, ///< begin with the first share of new sessions
    step, ///< raise to the next share
    halt, ///< admit no new sessions
    finish, ///< make the version active, for all new sessions
    count
};

template <>
struct enum_names<rollout_action> {
    static constexpr std::array kNames{"start", "step", "halt", "finish"};
};

/// Shares of new sessions in permille, in the order of the steps.
constexpr std::array<std::uint32_t, 6> kRolloutShares{10, 50, 100, 250, 500, 1000};

/// @param share permille, for start and step; 0 selects the next one in kRolloutShares.
/// @returns the edits; not_found for an unknown version, version_reinstated for a withdrawn one, or conflict if the
/// version's state doesn't allow the action.
[[nodiscard]] result<std::vector<config_edit>> rolloutEdits(const config_layers &layers, rollout_action action,
                                                            const std::string &version, std::uint32_t share);

} // namespace foxtaildyke
