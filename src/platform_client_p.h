// Client of the platform's host list, rating service and weight store.
#pragma once

#include "fleet_p.h"
#include "http_client_p.h"

namespace foxtaildyke
{

/// One line of the host list.
struct listed_host {
    upstream_info info; ///< of an entry host: service and versions are empty, port is the peer port
    std::string role; ///< "upstream" or "entry"
    std::string model;
    std::string region; ///< empty where the list does not state it
};

struct host_list {
    std::uint64_t version = 0;
    std::vector<listed_host> hosts;
};

class platform_client
{
public:
    /// Nothing inside the result: the list still has the version that is known.
    using hosts_done = std::function<void(result<std::optional<host_list>>)>;
    using rate_done = std::function<void(std::optional<std::uint32_t> scorePermille)>;
    using weights_done = std::function<void(result<void>)>;

    platform_client(http_client &client, http_endpoint platform);

    /// Reads the host list.
    /// @param knownVersion version of the list that the caller has; the platform then sends no list that is the same.
    void hosts(std::optional<std::uint64_t> knownVersion, hosts_done done);

    /// Rates an answer. @param done gets nothing where the rating service did not answer.
    void rate(const std::string &kind, const std::string &text, rate_done done);

    /// Asks the weight store to make a version's weights ready.
    /// @param done gets error_code::unavailable where the store's rate limit refused.
    void requestWeights(const std::string &model, const std::string &version, weights_done done);

private:
    void start(http_request request, std::function<void(http_response)> done);
    void post(const char *path, std::string body, std::function<void(http_response)> done);

    http_client &m_client;
    http_endpoint m_platform;
};

/// Reads the body of GET /hosts.
[[nodiscard]] result<host_list> decodeHostList(const std::string &body);

} // namespace foxtaildyke
