// Typed, immutable representation of one generation of the configuration: client accounts, models, versions, request
// kinds, registered hosts and tuning. Built by settings.cpp and shared read-only between the tasks of a process.
#pragma once

#include "foxtaildyke/foxtaildyke.h"

#include <memory>
#include <vector>

namespace foxtaildyke
{

struct account_config {
    std::string name;
    std::string apiKey; ///< bearer token of its callers
    double requestsPerSecond = 0; ///< over all hosts
    std::uint32_t burst = 1; ///< requests
    std::uint32_t concurrency = 1; ///< requests in flight, over all hosts
    std::uint32_t weight = 1; ///< share in the fair queue
    std::vector<version_handle> grants; ///< versions the account may use, sorted
};

struct model_config {
    std::string name;
    std::string service; ///< service whose pool of upstreams serves it
    std::uint32_t promptMicroUnitsPer1k = 0; ///< cost in micro-units per 1000 prompt tokens
    std::uint32_t completionMicroUnitsPer1k = 0; ///< cost in micro-units per 1000 completion tokens
    bool checksFencing = false; ///< its engines reject orders with an outdated fencing token
    std::vector<version_handle> versions; ///< oldest first, following the chain of baselines
};

struct version_config {
    std::string name; ///< unique over all models
    model_handle model;
    version_state state = version_state::active;
    std::uint32_t sharePermille = 1000; ///< share of new sessions while rolling out
    std::uint32_t exposureBudget = 8; ///< dispatched, unrated responses while rolling out, over all hosts
    version_handle baseline; ///< version that it is compared with; invalid for a model's first version
};

struct kind_config {
    std::string name;
    request_class priority = request_class::standard;
    bool idempotent = true;
    std::vector<model_handle> cascade; ///< cheapest first; a single entry disables escalation
    std::uint32_t targetPermille = 900; ///< minimum score of a response that meets the quality target
    bool rated = true; ///< responses are sent to the rating service
    std::chrono::milliseconds maxTimeout{30000}; ///< default and upper bound of the caller's timeout
    std::uint32_t maxTokens = 1024;
};

struct host_config {
    std::string name;
    std::string region;
    std::string failureDomain;
    std::string address; ///< IP address
    std::uint16_t peerPort = 0;
};

/// Weights of the loss terms in model selection; they need not add up to one.
struct objective_weights {
    double cost = 1;
    double latency = 1;
    double exposure = 1;
};

/// How the first model of a cascade is chosen. The rules other than least_loss serve as baselines in experiments.
enum class start_rule : std::uint8_t { least_loss, strongest, cheapest, uniform, count };

template <>
struct enum_names<start_rule> {
    static constexpr std::array kNames{"least_loss", "strongest", "cheapest", "uniform"};
};

struct tuning {
    /// Time for which a host may dispatch after its generation was known to be current.
    std::chrono::milliseconds freshnessLease{4000};
    std::chrono::milliseconds exchangePeriod{500}; ///< maximum time between two exchanges with the relay parent
    std::chrono::seconds ledgerRetention{3600};
    std::uint32_t ledgerSegments = 16;
    std::uint32_t retryBudgetPercent = 10; ///< retries per 100 first attempts
    std::uint32_t interactiveReservePercent = 20; ///< slots of a pool that only interactive requests may use
    std::chrono::seconds quarantineLifetime{600}; ///< time for which a request that lost two upstreams is refused
    objective_weights weights;
    start_rule startRule = start_rule::least_loss; ///< set by experiments only; has no key in the settings
    std::string sessionKey; ///< HMAC key of session tokens
};

/// One generation of the configuration, with the overlay of one failure domain applied.
/// @remarks Invariant: every valid handle stored in a router_config refers to an entry of the same object.
struct router_config {
    generation_number generation = 0;
    std::vector<account_config> accounts;
    std::vector<model_config> models;
    std::vector<version_config> versions;
    std::vector<kind_config> kinds;
    std::vector<host_config> hosts; ///< registered entry hosts, sorted by region, failure domain, name
    tuning tune;

    [[nodiscard]] const account_config &operator[](account_handle handle) const { return accounts[handle.index]; }
    [[nodiscard]] const model_config &operator[](model_handle handle) const { return models[handle.index]; }
    [[nodiscard]] const version_config &operator[](version_handle handle) const { return versions[handle.index]; }
    [[nodiscard]] const kind_config &operator[](kind_handle handle) const { return kinds[handle.index]; }
    [[nodiscard]] const host_config &operator[](host_handle handle) const { return hosts[handle.index]; }

    [[nodiscard]] account_handle accountByKey(std::string_view apiKey) const;
    [[nodiscard]] account_handle accountByName(std::string_view name) const;
    [[nodiscard]] model_handle modelByName(std::string_view name) const;
    [[nodiscard]] version_handle versionByName(std::string_view name) const;
    [[nodiscard]] kind_handle kindByName(std::string_view name) const;
    [[nodiscard]] host_handle hostByName(std::string_view name) const;

    /// @returns whether the account may use the version, regardless of the version's state.
    [[nodiscard]] bool isGranted(account_handle account, version_handle version) const;
};

using router_config_ptr = std::shared_ptr<const router_config>;

/// An upstream as described by the host list and its load reports.
struct upstream_info {
    std::string name;
    std::string address; ///< IP address
    std::uint16_t port = 0;
    std::string failureDomain;
    std::string service;
    std::vector<std::string> versions; ///< names of the versions it has loaded
    host_state state = host_state::live;
    std::uint32_t slots = 8; ///< requests that it runs concurrently
};

} // namespace foxtaildyke
