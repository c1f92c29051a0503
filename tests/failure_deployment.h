// A small deployment of real processes on 127.0.0.1 for failure tests: a platform emulator, upstream stubs and entry
// hosts. Each host connects to the platform and to its peers through TCP links that can be cut.
#pragma once

#include "failure_support.h"
#include "ledger_p.h"
#include "settings_p.h"

#include <filesystem>
#include <nlohmann/json.hpp>

namespace foxtaildyke::testing
{

struct upstream_options {
    std::string name;
    std::string service = "models";
    std::string versions; ///< comma-separated
    std::vector<std::string> arguments; ///< additional command-line options of the stub
};

/// Process of an upstream stub.
struct upstream_process {
    std::string name;
    std::uint16_t port = 0;
    std::unique_ptr<child_process> process;
};

/// Router process of one entry host with its TCP links.
struct router_process {
    std::string name;
    std::string failureDomain;
    std::uint16_t port = 0;
    std::uint16_t peerPort = 0;
    std::uint16_t adminPort = 0;
    std::unique_ptr<tcp_link> platformLink;
    std::map<std::string, std::unique_ptr<tcp_link>> peerLinks; ///< to each other host, by name
    std::unique_ptr<child_process> process;
};

/// Parameters of a caller's request.
struct caller_call {
    std::string kind = "tone-check";
    std::string prompt = "hello";
    std::string requestId;
    std::string sessionId;
    std::string sessionToken;
    bool stream = false;
    std::string apiKey = "test-key-account-a";
    std::uint32_t deadlineMs = 20000;
};

class deployment
{
public:
    /// Starts the platform and `hosts` routers h1, h2, ... in failure domains d1, d2, ..., all registered.
    explicit deployment(std::size_t hosts, const ini_document &extraSettings = {});
    ~deployment();

    /// Starts an upstream and waits until it is on the host list.
    upstream_process &addUpstream(const upstream_options &options);

    /// Starts or restarts the router of a host and waits until it listens.
    void startRouter(std::size_t index);

    /// Waits until the router of a host serves a request.
    bool waitUntilServing(std::size_t index);

    /// Cuts the links between a host and all other hosts in both directions.
    void cutPeers(std::size_t index);
    void healPeers(std::size_t index);

    /// Publishes edits of the base layer as a new generation, directly through the object API.
    /// @returns the new generation.
    generation_number publish(const std::vector<config_edit> &edits);

    call_response call(std::size_t router, const caller_call &request) const;
    [[nodiscard]] http_call makeCall(std::size_t router, const caller_call &request) const;

    /// Sets fault injection of the platform or of an upstream.
    void setFaults(std::uint16_t port, const nlohmann::json &faults) const;
    [[nodiscard]] nlohmann::json counts(std::uint16_t port) const;

    /// @returns the number of runs of a request over all upstreams.
    [[nodiscard]] std::uint64_t runsOf(const std::string &requestId) const;
    /// @returns the number of runs of a version over all upstreams.
    [[nodiscard]] std::uint64_t runsOfVersion(const std::string &version) const;
    /// @returns the number of records of a type for a request id in the store's ledger objects.
    [[nodiscard]] std::size_t ledgerRecords(record_type type, const std::string &id) const;

    std::uint16_t platformPort = 0;
    std::unique_ptr<child_process> platform;
    std::vector<std::unique_ptr<upstream_process>> upstreams;
    std::vector<std::unique_ptr<router_process>> routers;

private:
    void writeRouterSettings(const router_process &router) const;
    [[nodiscard]] std::string path(const std::string &name) const { return (m_directory / name).string(); }

    std::filesystem::path m_directory;
    config_document m_document;
};

/// @returns a request id with the current time: `<unix seconds>-<token>`.
std::string makeRequestId(const std::string &token);

/// @returns the JSON body of a response, or null if it has none.
nlohmann::json bodyOf(const call_response &response);

} // namespace foxtaildyke::testing
