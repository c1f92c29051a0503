// Decides which responses of the store or of a relay confirm that the configuration in force is the newest one, and as
// of which instant. Keys are accepted only for a bounded time after a confirmation, so one that is granted too easily
// lets a withdrawn key run. No I/O, no clock. Addresses hosts that catch up with the store after an outage, relays that
// are behind, and a store that came back from an older copy.
#pragma once

#include "gateway_model_p.h"

namespace foxtaildyke
{

/// What a response says about the configuration.
enum class config_response : std::uint8_t {
    list, ///< the whole list
    changes, ///< changes since the revision that was asked for, at least one
    no_changes, ///< a watch that ended without changes
    relayed, ///< a relay's content, with the age of its own confirmation
    count
};

template <>
struct enum_names<config_response> {
    static constexpr std::array kNames{"list", "changes", "no_changes", "relayed"};
};

/// A response for the configuration, whose content has been applied.
struct config_reading {
    config_response type = config_response::list;
    bool isTruncated = false; ///< further pages follow
    instant sentAt{}; ///< of the call; for a list of several pages, of the call for the first one
    instant receivedAt{};
    std::chrono::milliseconds wait{}; ///< that a watch asked for
    std::chrono::milliseconds age{}; ///< of the relay's confirmation when the relay responded
};

class config_confirmation
{
public:
    /// Records a version that the source shows as the configuration, whether or not it is put in force.
    void recordShown(generation_number version);
    /// Records that the source shows no configuration: it is about to be read anew, as the store has another era, or it
    /// was removed.
    void recordNoneShown() { m_shown = 0; }
    /// Records a version that is in force on some host.
    void recordNewest(generation_number version) { m_newest = std::max(m_newest, version); }

    /// @returns whether a newer version than this one is known.
    [[nodiscard]] bool isOutdated(generation_number version) const { return version < m_newest; }
    [[nodiscard]] generation_number newest() const { return m_newest; }
    /// @returns whether the source shows the newest version that is known.
    [[nodiscard]] bool isNewestShown() const { return m_shown > 0 && m_shown >= m_newest; }

    /// @returns the instant as of which the response confirms the configuration in force as the newest one, or
    /// std::nullopt if it confirms nothing.
    std::optional<instant> confirm(const config_reading &reading);

    /// @returns the instant of the newest confirmation, or std::nullopt before the first one.
    [[nodiscard]] std::optional<instant> confirmedAt() const { return m_confirmedAt; }

    /// @param longestWait of a watch, and age up to which a confirmation needn't be renewed.
    /// @returns how long the next watch may wait, so that a host that reaches the store never lacks a recent
    /// confirmation; std::nullopt if the list must be read instead, which confirms at once even while changes arrive
    /// all the time.
    [[nodiscard]] std::optional<std::chrono::milliseconds> nextWait(std::chrono::milliseconds longestWait,
                                                                    instant now) const;

    /// Shortest wait of a watch. Without it, a watch begun just before its confirmation is due would return at once.
    static constexpr std::chrono::milliseconds kMinWait{100};

private:
    generation_number m_shown = 0; ///< by the store in its present era, or by the relay; 0: none
    generation_number m_newest = 0; ///< in force on any host that is known; never goes back
    std::optional<instant> m_confirmedAt; ///< never goes back
};

} // namespace foxtaildyke
