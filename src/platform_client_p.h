// Client of the platform's host list, rating service and weight store.
#pragma once

#include "http_client_p.h"
#include "router_config_p.h"

namespace foxtaildyke
{

/// Entry of the host list.
struct listed_host {
    upstream_info info; ///< for an entry host, service and versions are empty and port is the peer port
    std::string role; ///< "upstream" or "entry"
    std::string model;
    std::string region; ///< empty if the list does not give it
};

struct host_list {
    std::uint64_t version = 0;
    std::vector<listed_host> hosts;
};

class platform_client
{
public:
    /// Receives nullopt if the list still has the known version.
    using hosts_done = std::function<void(result<std::optional<host_list>>)>;
    using rate_done = std::function<void(std::optional<std::uint32_t> scorePermille)>;
    using weights_done = std::function<void(result<void>)>;

    platform_client(http_client &client, http_endpoint platform);

    /// Reads the host list.
    /// @param knownVersion version of the list that the caller already has; the platform doesn't send that version
    /// again.
    void hosts(std::optional<std::uint64_t> knownVersion, hosts_done done);

    /// Rates a response. @param done receives nullopt if the rating service gave no valid score.
    void rate(const std::string &kind, const std::string &text, rate_done done);

    /// Requests that the weight store prepare the weights of a version.
    /// @param done receives error_code::unavailable if the store's rate limit rejected the call.
    void requestWeights(const std::string &model, const std::string &version, weights_done done);

private:
    void start(http_request request, std::function<void(http_response)> done);
    void post(const char *path, std::string body, std::function<void(http_response)> done);

    http_client &m_client;
    http_endpoint m_platform;
};

/// Decodes the response body of GET /hosts.
[[nodiscard]] result<host_list> decodeHostList(const std::string &body);

} // namespace foxtaildyke
