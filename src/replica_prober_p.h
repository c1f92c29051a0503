// Finds out whether this host reaches a service's replicas, by connecting to some of them. Sends no request;
// connections that are established are kept for later requests.
#pragma once

#include "reachability_p.h"
#include "replica_table_p.h"
#include "upstream_exchange_p.h"

namespace foxtaildyke
{

class replica_prober
{
public:
    /// @param onRoundEnd called with the service after the last connection of a round has been established or failed.
    replica_prober(connection_pool &pool, reachability &reach, std::function<void(const std::string &)> onRoundEnd);
    ~replica_prober();
    replica_prober(const replica_prober &) = delete;
    replica_prober &operator=(const replica_prober &) = delete;

    /// Begins a round unless one is in progress: connects to replicas of the service that have not failed yet, or to
    /// any if all have.
    void probe(const std::string &service, const std::vector<const replica_entry *> &replicas, std::mt19937_64 &random);

    /// Connections of a round: one while none has failed, as it usually succeeds.
    static constexpr std::size_t kConnections = reachability::kReplicasToJudge;

private:
    struct connection;
    using connection_ptr = std::unique_ptr<connection>;

    void finish(connection &ended, bool isConnected);

    connection_pool &m_pool;
    reachability &m_reach;
    std::function<void(const std::string &)> m_onRoundEnd;
    std::map<std::string, std::vector<connection_ptr>> m_rounds; ///< by service: connections in progress
};

} // namespace foxtaildyke
