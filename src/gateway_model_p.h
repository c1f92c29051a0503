// What the gateway knows of its surroundings: routes, client accounts, services, replicas and roll-outs, decoded from
// the platform. Adapters fill these types; nothing here knows a wire name.
#pragma once

#include "http_client_p.h"

#include <map>
#include <unordered_map>

namespace foxtaildyke
{

/// What may be repeated of a request.
enum class retry_rule : std::uint8_t {
    safe, ///< may run more than once
    at_most_once, ///< may run once
    stream, ///< an event stream; may run again only where the route is resumable
    count
};

template <>
struct enum_names<retry_rule> {
    static constexpr std::array kNames{"safe", "at_most_once", "stream"};
};

/// Part of a route's traffic that goes to a service.
struct route_target {
    std::string service;
    std::uint32_t weight = 0; ///< relative to the other targets of the route
};

struct gateway_route {
    std::string name;
    std::string host; ///< value of the Host header, without a port
    std::string pathPrefix; ///< begins and ends with a slash
    retry_rule retryRule = retry_rule::at_most_once;
    bool isResumable = false; ///< a stream may go on at another replica after the last event
    bool isPublic = false; ///< needs no key
    std::chrono::milliseconds timeout{}; ///< longest time until the final answer
    std::chrono::milliseconds objective{}; ///< time until the answer, or the first event of a stream
    std::uint32_t priority = 0; ///< 0 is most urgent
    std::uint32_t maxAttempts = 1; ///< replicas to which one request may be sent
    std::vector<std::string> models; ///< smallest first; empty: the caller names the model
    std::vector<route_target> targets; ///< at least one

    [[nodiscard]] bool mayRetry() const
    {
        return retryRule == retry_rule::safe || (retryRule == retry_rule::stream && isResumable);
    }
};

/// Engines of a service that serves models.
struct engine_info {
    std::uint32_t slots = 0; ///< requests in one batch
    std::uint64_t memoryTokens = 0; ///< tokens that running requests and cached prompts may hold
    std::uint32_t tokensPerEvent = 1; ///< tokens in one event of a stream
    std::map<std::string, double> modelCosts; ///< by model; cost of 1,000 generated tokens, relative to each other
};

struct gateway_service {
    std::string name;
    std::string healthPath;
    std::uint32_t maxConnections = 0; ///< of one replica, from all hosts together
    std::optional<engine_info> engine; ///< nothing: a plain service
};

struct client_account {
    std::string name;
    std::optional<std::uint32_t> priority; ///< goes before the route's
};

/// Limits on what a caller may send.
struct caller_limits {
    std::size_t headBytes = 16U << 10U;
    std::size_t bodyBytes = 4U << 20U;
    std::chrono::milliseconds headTimeout{3000};
    std::chrono::milliseconds idleTimeout{15000};
};

struct gateway_config {
    generation_number version = 0; ///< 0: none is known
    std::vector<gateway_route> routes;
    std::map<std::string, gateway_service> services; ///< by name
    std::unordered_map<std::string, client_account> accountsByKey; ///< by API key
    bool needsKeys = false; ///< requests carry a key, but for public routes
    caller_limits limits;

    /// @returns the route with this host whose prefix is the longest that begins the path, or null.
    /// @param target path with an optional query.
    [[nodiscard]] const gateway_route *findRoute(std::string_view host, std::string_view target) const;

    [[nodiscard]] const client_account *findAccount(const std::string &key) const;
    [[nodiscard]] const gateway_service *findService(const std::string &name) const;
};

using gateway_config_ptr = std::shared_ptr<const gateway_config>;

/// One replica as it registered itself.
struct replica_entry {
    std::string id;
    std::string service;
    http_endpoint address;
    std::string failureDomain;
    std::string version; ///< of its software
    std::uint32_t slots = 1; ///< requests that it processes at once
    bool isDraining = false;
    std::int64_t startedAtMs = 0; ///< unix ms of its start; 0: unknown. Differs after a restart under the same id.
    std::chrono::milliseconds coldRemaining{}; ///< how much longer it is slow after its start
};

/// Requests that hosts have at a replica.
struct replica_load {
    std::string replica; ///< id
    double running = 0; ///< requests sent and not answered
    double backlogMs = 0; ///< time that their unread prompts take of the engine
};

/// How far a roll-out has got, as the hosts agreed in the store.
enum class rollout_state : std::uint8_t { ordered, in_progress, completed, rolled_back, count };

template <>
struct enum_names<rollout_state> {
    static constexpr std::array kNames{"ordered", "in_progress", "completed", "rolled_back"};
};

/// An operator's order to move a service to another version.
struct rollout_order {
    std::string service;
    std::string target; ///< version
    std::chrono::milliseconds duration{}; ///< by when it should be decided
    rollout_state state = rollout_state::ordered;
    std::uint32_t stage = 0; ///< step of the ramp, see rollout_policy_p.h
    std::uint64_t revision = 0; ///< of the stored object
    std::uint64_t createdRevision = 0; ///< tells orders for the same service apart
};

} // namespace foxtaildyke
