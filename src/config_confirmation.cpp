// Confirmation of the configuration in force; see config_confirmation_p.h.
#include "config_confirmation_p.h"

namespace foxtaildyke
{

namespace
{

/// @returns the instant at which the response was true of the store, or std::nullopt if there may have been changes
/// before it that it doesn't contain.
std::optional<instant> currentAt(const config_reading &reading)
{
    switch (reading.type) {
    case config_response::list:
        return reading.sentAt;
    case config_response::no_changes: {
        const auto end = reading.sentAt + reading.wait;
        // A watch that ended early may have been broken off at any time after it began.
        return reading.receivedAt < end ? reading.sentAt : end;
    }
    case config_response::relayed:
        // The relay computed the age after the call was sent, so counting from there never overstates freshness.
        return reading.sentAt - reading.age;
    default:
        // The store bounds the size of a page, and needn't say that further changes follow.
        return std::nullopt;
    }
}

} // namespace

void config_confirmation::recordShown(generation_number version)
{
    m_shown = version;
    recordNewest(version);
}

std::optional<instant> config_confirmation::confirm(const config_reading &reading)
{
    const auto at = currentAt(reading);
    if (!at || reading.isTruncated || !isNewestShown())
        return std::nullopt;
    m_confirmedAt = std::max(*at, m_confirmedAt.value_or(*at));
    return at;
}

std::optional<std::chrono::milliseconds> config_confirmation::nextWait(std::chrono::milliseconds longestWait,
                                                                       instant now) const
{
    // A list would show the same outdated version; the change to a newer one ends the watch.
    if (!isNewestShown())
        return longestWait;
    if (!m_confirmedAt || now - *m_confirmedAt > longestWait)
        return std::nullopt;
    const auto age = std::chrono::ceil<std::chrono::milliseconds>(now - *m_confirmedAt);
    return std::min(longestWait, longestWait - age + kMinWait);
}

} // namespace foxtaildyke
