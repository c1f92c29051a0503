// Selects the upstreams that this host uses and polls their load reports.
#pragma once

#include "http_client_p.h"
#include "router_core_p.h"

#include <set>

namespace foxtaildyke
{

/// Maximum number of replicas of one version that a host uses.
constexpr std::size_t kMaxReplicasPerVersion = 64;

/// Selects the replicas that a host uses by rendezvous hashing of host and replica: for each version the live replicas
/// with the lowest hashes, and all leaving replicas.
/// @remarks Hosts select different subsets, and adding or removing one replica changes a host's subset by one replica.
[[nodiscard]] std::vector<upstream_info> replicaSubset(std::string_view host, std::vector<upstream_info> upstreams,
                                                       std::size_t perVersion = kMaxReplicasPerVersion);

class load_poller
{
public:
    using report_sink = std::function<void(load_report)>;

    load_poller(http_client &client, report_sink deliver);
    ~load_poller();

    void setUpstreams(std::vector<upstream_info> upstreams);

    /// Requests the load of every live upstream that has no call in flight.
    void poll();

private:
    void onResponse(const std::string &upstream, instant startedAt, const http_response &response);

    http_client &m_client;
    report_sink m_deliver;
    std::vector<upstream_info> m_upstreams;
    std::map<std::string, http_call_id> m_openCalls; ///< by upstream name
};

/// Parses the response body of GET /load.
/// @param startedAt start of the call, on this host's clock.
/// @remarks The upstream's clock is never compared with this host's: the age of the measurement is `now_ms` minus
/// `measured_at_ms`, both on the upstream's clock, and is subtracted from the start of the call. The age is 0 if either
/// field is missing.
[[nodiscard]] std::optional<load_report> decodeLoad(const std::string &upstream, const std::string &body,
                                                    instant startedAt);

} // namespace foxtaildyke
