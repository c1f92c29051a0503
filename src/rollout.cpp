// Configuration edits of roll-out actions; see rollout_p.h.
#include "rollout_p.h"

namespace foxtaildyke
{

namespace
{

constexpr std::uint32_t kAllPermille = 1000;

/// States from which an action may start.
struct action_rule {
    rollout_action action;
    std::array<bool, static_cast<std::size_t>(version_state::count)> from; ///< rolling_out, active, halted, withdrawn
};

constexpr std::array kRules{action_rule{rollout_action::start, {true, false, true, false}},
                            action_rule{rollout_action::step, {true, false, false, false}},
                            action_rule{rollout_action::halt, {true, true, true, false}},
                            action_rule{rollout_action::finish, {true, false, false, false}}};
static_assert(kRules.size() == static_cast<std::size_t>(rollout_action::count));

std::uint32_t nextShare(std::uint32_t share)
{
    const auto *const next = std::ranges::upper_bound(kRolloutShares, share);
    return next == kRolloutShares.end() ? kAllPermille : *next;
}

std::uint32_t shareAfter(rollout_action action, const version_config &version, std::uint32_t share)
{
    if (share > 0)
        return share;
    return action == rollout_action::start ? kRolloutShares.front() : nextShare(version.sharePermille);
}

version_state stateAfter(rollout_action action)
{
    if (action == rollout_action::halt)
        return version_state::halted;
    return action == rollout_action::finish ? version_state::active : version_state::rolling_out;
}

} // namespace

result<std::vector<config_edit>> rolloutEdits(const config_layers &layers, rollout_action action,
                                              const std::string &version, std::uint32_t share)
{
    const auto section = "version " + version;
    const auto built = buildRouterConfig(layers, 0, "");
    if (built.has_error())
        return built.error();
    const auto handle = built.value().versionByName(version);
    if (!handle.isValid())
        return error{error_code::not_found, section};
    const auto &current = built.value()[handle];
    if (current.state == version_state::withdrawn)
        return error{error_code::version_reinstated, section};
    if (!kRules[static_cast<std::size_t>(action)].from[static_cast<std::size_t>(current.state)])
        return error{error_code::conflict, section + "/state"};
    std::vector<config_edit> edits{{"", section, "state", std::string(nameOf(stateAfter(action)))}};
    if (action == rollout_action::start || action == rollout_action::step)
        edits.push_back({"", section, "share_permille", std::to_string(shareAfter(action, current, share))});
    if (action == rollout_action::finish)
        edits.push_back({"", section, "share_permille", std::to_string(kAllPermille)});
    return edits;
}

} // namespace foxtaildyke
