// Rate limits named by replicas; see replica_limits_p.h.
#include "replica_limits_p.h"

namespace foxtaildyke
{

bool replica_limits::recordResponse(const std::string &replica, std::optional<double> perSecond, instant sentAt,
                                    instant now)
{
    const auto known = m_limits.find(replica);
    if (!perSecond) {
        // Responses may overtake each other; one to an earlier request doesn't lift a limit named since.
        if (known == m_limits.end() || sentAt <= known->second.at)
            return false;
        m_limits.erase(known);
        return true;
    }
    const bool isChanged = known == m_limits.end() || known->second.perSecond != *perSecond;
    m_limits.insert_or_assign(replica, named_limit{*perSecond, now});
    return isChanged;
}

std::optional<double> replica_limits::namedLimit(const std::string &replica) const
{
    const auto known = m_limits.find(replica);
    return known == m_limits.end() ? std::nullopt : std::optional(known->second.perSecond);
}

} // namespace foxtaildyke
