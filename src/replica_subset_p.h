// Which of a service's replicas a host uses, where there are so many that each host need not know the loads of all, nor
// compare them for each request. Addresses fleets with thousands of replicas. The subsets of the hosts overlap, so that
// requests spread over all replicas though each host sees only some. Pure functions.
#pragma once

#include "text_hash_p.h"

#include <algorithm>

namespace foxtaildyke::replica_subset
{

/// Smallest subset. Among this many replicas some are always near to idle, as long as there are free places at all.
inline constexpr std::size_t kMinSize = 128;
/// Mean number of hosts whose subsets contain a replica, at least. With 8, one replica in 3,000 is in none.
inline constexpr std::size_t kMinHostsPerReplica = 8;

/// @param replicas registered for the service.
/// @param hosts of the fleet; 0: unknown.
/// @returns the number of replicas that each host uses.
[[nodiscard]] inline std::size_t size(std::size_t replicas, std::size_t hosts)
{
    if (hosts == 0)
        return replicas;
    return std::min(replicas, std::max(kMinSize, (kMinHostsPerReplica * replicas + hosts - 1) / hosts));
}

/// @returns the rank of a replica for a host: its subset are the replicas with the lowest ranks. Another replica that
/// comes or goes changes one member at most.
[[nodiscard]] inline std::uint64_t rank(std::uint64_t hostHash, std::uint64_t replicaHash)
{
    const std::array<std::uint64_t, 2> both{hostHash, replicaHash};
    return XXH64(both.data(), sizeof(both), 0);
}

} // namespace foxtaildyke::replica_subset
