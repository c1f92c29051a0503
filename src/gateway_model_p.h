// Data model of the gateway: routes, client accounts, services, replicas and roll-outs. The platform adapters decode
// their wire formats into these types, which are independent of any wire name.
#pragma once

#include "http_client_p.h"

#include <map>
#include <set>
#include <unordered_map>

namespace foxtaildyke
{

/// Which requests of a route may be retried after they may have run.
enum class retry_rule : std::uint8_t {
    safe, ///< idempotent: may run more than once
    at_most_once, ///< must not run more than once
    stream, ///< event stream; may be retried only where the route is resumable
    count
};

template <>
struct enum_names<retry_rule> {
    static constexpr std::array kNames{"safe", "at_most_once", "stream"};
};

/// Service that receives a weighted part of a route's traffic.
struct route_target {
    std::string service;
    std::uint32_t weight = 0; ///< relative to the other targets of the route
};

struct gateway_route {
    std::string name;
    std::string host; ///< value of the Host header, without a port
    std::string pathPrefix; ///< begins and ends with a slash
    retry_rule retryRule = retry_rule::at_most_once;
    bool isResumable = false; ///< a stream can be resumed at another replica after its last event
    bool isPublic = false; ///< requires no API key
    std::chrono::milliseconds timeout{}; ///< longest time until the response is complete
    std::chrono::milliseconds objective{}; ///< target time to the response, or to the first event of a stream
    std::uint32_t priority = 0; ///< 0 is the most urgent
    std::uint32_t maxAttempts = 1; ///< number of replicas that one request may be sent to
    std::vector<std::string> models; ///< smallest first; empty: the caller specifies the model
    std::vector<route_target> targets; ///< at least one

    [[nodiscard]] bool mayRetry() const
    {
        return retryRule == retry_rule::safe || (retryRule == retry_rule::stream && isResumable);
    }
};

/// Inference engine of a service's replicas.
struct engine_info {
    std::uint32_t slots = 0; ///< maximum requests in one batch
    std::uint64_t memoryTokens = 0; ///< KV cache capacity in tokens, for running requests and cached prompts
    std::uint32_t tokensPerEvent = 1; ///< generated tokens in one event of a stream
    std::map<std::string, double> modelCosts; ///< by model; relative cost of 1,000 generated tokens
};

struct gateway_service {
    std::string name;
    std::string healthPath;
    std::uint32_t maxConnections = 0; ///< to one replica, from all hosts together
    std::optional<engine_info> engine; ///< unset: a service without inference engine
};

struct client_account {
    std::string name;
    std::optional<std::uint32_t> priority; ///< overrides the priority of the route
};

/// Limits on a caller's request and connection.
struct caller_limits {
    std::size_t headBytes = 16U << 10U;
    std::size_t bodyBytes = 4U << 20U;
    std::chrono::milliseconds headTimeout{3000}; ///< from a request's first byte to the end of its head
    /// Between requests; also from a request's first byte to the end of its body.
    std::chrono::milliseconds idleTimeout{15000};
};

struct gateway_config {
    generation_number version = 0; ///< 0: no configuration has been received
    std::vector<gateway_route> routes;
    std::map<std::string, gateway_service> services; ///< by name
    std::unordered_map<std::string, client_account> accountsByKey; ///< by API key
    bool needsKeys = false; ///< requests to routes that aren't public must carry an API key
    caller_limits limits;

    /// @returns the route of this host with the longest prefix that matches the path, or null.
    /// @param target path, optionally with a query string.
    [[nodiscard]] const gateway_route *findRoute(std::string_view host, std::string_view target) const;

    [[nodiscard]] const client_account *findAccount(const std::string &key) const;
    [[nodiscard]] const gateway_service *findService(const std::string &name) const;
};

using gateway_config_ptr = std::shared_ptr<const gateway_config>;

/// One replica, as registered in the platform's store.
struct replica_entry {
    std::string id;
    std::string service;
    http_endpoint address;
    std::string failureDomain;
    std::string version; ///< version of the replica's software
    std::uint32_t slots = 1; ///< requests processed concurrently
    bool isDraining = false;
    std::int64_t startedAtMs = 0; ///< Unix ms; 0: unknown. Differs after a restart under the same id.
    std::chrono::milliseconds coldRemaining{}; ///< remaining warm-up time, in which the replica is slower
};

/// One run of a replica; after a restart it knows nothing of what it has stated before.
struct replica_run {
    std::string id;
    std::int64_t startedAtMs = 0; ///< as in replica_entry
};

/// Outstanding requests at a replica.
struct replica_load {
    std::string replica; ///< id
    double running = 0; ///< requests sent whose response isn't complete
};

/// Loads of the replicas. In large fleets a host gets those that it needs only.
struct shared_load {
    std::vector<replica_load> loads;
    /// All replicas that aren't named have no load; otherwise only those of the host's subset, and that of others is
    /// unknown.
    bool isComplete = true;
};

/// What one host reports about a trait of requests during which replicas ended; see crash_evidence_p.h.
struct crash_report {
    std::uint64_t trait = 0;
    std::vector<std::uint64_t> crashes; ///< distinct ids, see crash_registry::crashId()
    bool wasAnswered = false; ///< a replica has responded to the request, so it isn't the cause
    bool isPart = false; ///< a prompt part; otherwise the fingerprint of a request
    std::vector<std::uint64_t> responding; ///< those of crashes before which the replica had begun to respond
    std::vector<std::uint64_t> ruledOut; ///< crashes of which the part isn't the cause, as a later response shows
    bool operator==(const crash_report &) const = default;
};

using crash_reports_by_host = std::map<std::string, std::vector<crash_report>>;

/// Evidence of one host on the target of a roll-out; see rollout_evidence.
struct rollout_report {
    std::string service;
    std::string target; ///< version
    std::uint64_t createdRevision = 0; ///< of the order
    double ratio = 0; ///< sum of the log-likelihood ratios of the host's responses
    double paceRatio = 0; ///< the same of the test whether the version is slower than the one in use
    std::uint32_t responses = 0;
    std::uint32_t badResponses = 0;
    std::uint32_t pacedResponses = 0; ///< those that could be compared with the version in use
    std::set<std::string> replicas; ///< ids of those that responded
    std::set<std::string> badReplicas; ///< ids of those with bad responses
    std::set<std::string> slowerReplicas; ///< ids of those with responses slower than most of the version in use
    bool operator==(const rollout_report &) const = default;
};

/// Claim of one host to a share of the rate limit that a replica advertises, or its statement that the limit has ended;
/// see limit_claims.
struct limit_claim {
    std::string replica; ///< id
    std::int64_t startedAtMs = 0; ///< of the replica, as in replica_entry
    double perSecond = 0; ///< the limit, for all hosts together
    std::chrono::milliseconds
        age{}; ///< at the time of writing, since the replica last advertised the limit, or ended it
    std::uint64_t serial = 0; ///< rises with each write, so that a renewal shows
    bool hasEnded = false; ///< the replica no longer advertises the limit
    bool operator==(const limit_claim &) const = default;
};

/// What one host shares with all others through the store.
struct host_report {
    std::vector<crash_report> crashes;
    std::vector<rollout_report> rollouts;
    std::vector<limit_claim> limits;

    [[nodiscard]] bool isEmpty() const { return crashes.empty() && rollouts.empty() && limits.empty(); }
    bool operator==(const host_report &) const = default;
};

using host_reports = std::map<std::string, host_report>; ///< by host

/// State of a roll-out, agreed between the hosts through the store.
enum class rollout_state : std::uint8_t { ordered, in_progress, completed, rolled_back, count };

template <>
struct enum_names<rollout_state> {
    static constexpr std::array kNames{"ordered", "in_progress", "completed", "rolled_back"};
};

using version_set = std::set<std::string, std::less<>>;

/// An operator's order to move a service to another version.
struct rollout_order {
    std::string service;
    std::string target; ///< version
    std::chrono::milliseconds duration{}; ///< time within which it should be completed or rolled back
    rollout_state state = rollout_state::ordered;
    std::uint32_t stage = 0; ///< index into the stages, see rollout_policy_p.h
    std::uint64_t revision = 0; ///< of the stored object
    std::uint64_t createdRevision = 0; ///< store revision at creation; distinguishes successive orders for one service
    version_set rolledBack; ///< versions that earlier orders for the service have rolled back
};

} // namespace foxtaildyke
