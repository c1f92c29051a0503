// Polls load reports of the upstreams that this host uses, and chooses which those are.
#pragma once

#include "http_client_p.h"
#include "router_core_p.h"

#include <set>

namespace foxtaildyke
{

/// Replicas of one version that a host uses at most.
constexpr std::size_t kMaxReplicasPerVersion = 64;

/// Chooses the replicas that a host uses: for each version the live ones that come first in the rendezvous order of
/// host and replica, and all that are leaving.
/// @remarks Hosts choose different subsets, and a host's subset changes by one replica where one comes or goes.
[[nodiscard]] std::vector<upstream_info> replicaSubset(std::string_view host, std::vector<upstream_info> upstreams,
                                                       std::size_t perVersion = kMaxReplicasPerVersion);

class load_poller
{
public:
    using report_sink = std::function<void(load_report)>;

    load_poller(http_client &client, report_sink deliver);
    ~load_poller();

    void setUpstreams(std::vector<upstream_info> upstreams);

    /// Asks every upstream once that has no call open.
    void poll();

private:
    void onReply(const std::string &upstream, instant askedAt, const http_response &reply);

    http_client &m_client;
    report_sink m_deliver;
    std::vector<upstream_info> m_upstreams;
    std::map<std::string, http_call_id> m_open; ///< by upstream
};

/// Reads the body of GET /load.
/// @param askedAt when the call began, on this host's clock.
/// @remarks The upstream's clock is not compared with this host's: the age of the measurement is the difference of
/// `now_ms` and `measured_at_ms`, both by the upstream, and it is counted from the start of the call. Where `now_ms` is
/// missing the age is taken as 0.
[[nodiscard]] std::optional<load_report> decodeLoad(const std::string &upstream, const std::string &body,
                                                    instant askedAt);

} // namespace foxtaildyke
