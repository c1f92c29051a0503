// Rate limits that replicas name in their responses: the requests per second that a replica accepts from all hosts
// together, for as long as it states so. No I/O, no clock.
#pragma once

#include "gateway_model_p.h"

namespace foxtaildyke
{

class replica_limits
{
public:
    /// Records what a response of a replica states.
    /// @param perSecond the limit; unset: the replica names none.
    /// @param sentAt when the request was sent.
    /// @returns whether this changes what was known.
    bool recordResponse(const std::string &replica, std::optional<double> perSecond, instant sentAt, instant now);

    /// @returns the limit that the replica has named to this host, or nothing.
    [[nodiscard]] std::optional<double> namedLimit(const std::string &replica) const;

private:
    struct named_limit {
        double perSecond = 0;
        instant at{}; ///< when the replica last named it
    };
    std::map<std::string, named_limit> m_limits; ///< by replica
};

} // namespace foxtaildyke
