// Processing of one caller's request: validates it against the configuration, sends it to a replica, forwards the
// response, and applies the rules on retries, escalation and stream resumption. The decisions themselves are in
// attempt_rules, model_cascade, replica_table, retry_budget and rollout_policy.
#pragma once

#include "attempt_rules_p.h"
#include "crash_detector_p.h"
#include "crash_registry_p.h"
#include "decision_log_p.h"
#include "detour_wire_p.h"
#include "event_splitter_p.h"
#include "forwarding_p.h"
#include "gateway_metrics_p.h"
#include "gateway_settings_p.h"
#include "model_cascade_p.h"
#include "replica_gate_p.h"
#include "replica_prober_p.h"
#include "replica_table_p.h"
#include "retry_budget_p.h"
#include "rollout_policy_p.h"
#include "start_queue_p.h"
#include "upstream_exchange_p.h"

namespace foxtaildyke
{

/// State shared by all requests of a host. Owned by gateway_task.
struct gateway_state {
    event_loop &loop;
    const gateway_settings &settings;
    const header_names &headerNames;
    decision_log &log;
    gateway_metrics &metrics;
    gateway_config_ptr config; ///< null: none received yet
    std::optional<instant> configConfirmedAt; ///< when the configuration was last known to be the newest
    bool hasReplicas = false; ///< the list of replicas has been received
    bool hasRollouts = false; ///< the list of roll-outs has been received
    start_queue starting; ///< requests received before these
    replica_table replicas;
    replica_gate gate; ///< what the replicas have stated about themselves
    retry_budget budget;
    rollout_policy rollouts;
    cascade_settings cascade;
    body_memory requestBodies; ///< of all requests, from their first byte on
    connection_pool pool;
    crash_registry crashes;
    crash_detector crashDetector;
    reachability reach; ///< which services this host reaches
    replica_prober prober;
    detour_hosts detours; ///< hosts that serve requests for services that it doesn't
    std::uint32_t detoursServed = 0; ///< requests of other hosts in progress
    std::function<void()> requestProbe; ///< to be called when `reach` may have a probe due
    std::mt19937_64 random;
    std::size_t responseBytesLimit; ///< for bufferedBodyBytes
    std::size_t bufferedBodyBytes = 0; ///< sum of the non-streamed responses held by all requests

    /// @returns whether keys may be accepted: the configuration is recent enough that no accepted key can have been
    /// withdrawn for longer than the key lease.
    [[nodiscard]] bool hasKeyLease(instant now) const;

    /// @returns whether everything has been received that requests are processed by.
    [[nodiscard]] bool hasStarted() const { return config && hasReplicas && hasRollouts; }
};

class gateway_exchange : public request_work, private upstream_listener, private starting_request
{
public:
    /// @param detour set if another host has received the request.
    gateway_exchange(gateway_state &state, inbound_request request, caller_response &response,
                     std::optional<detour_request> detour = std::nullopt);
    ~gateway_exchange() override;

    /// Starts processing; the request may already be finished when this returns.
    void begin();

    void onCallerDrained() override;
    void onCallerGone() override;
    void onStopping() override;

private:
    /// Reason for which the gateway itself responds with an error.
    enum class refusal : std::uint8_t {
        no_config,
        no_key_lease,
        unknown_route,
        unknown_key,
        missing_id,
        no_replica,
        unreachable,
        rate_limited,
        paused,
        full,
        quarantined,
        not_run,
        failed,
        deadline,
        stopping,
        count
    };
    struct refusal_row;
    static const refusal_row &rowOf(refusal reason);

    /// Passes the response of another host to its request.
    struct detour_handler final : upstream_listener {
        explicit detour_handler(gateway_exchange &owner)
            : exchange(owner)
        {
        }
        void onUpstreamHead(const message_head &head) override { exchange.onDetourHead(head); }
        [[nodiscard]] bool onUpstreamBody(std::string_view bytes) override { return exchange.readBody(bytes); }
        void onUpstreamEnd(upstream_end end) override { exchange.onDetourEnd(end); }

        gateway_exchange &exchange;
    };

    void onHostStarted() override;
    void onUpstreamConnected() override;
    void onUpstreamHead(const message_head &head) override;
    [[nodiscard]] bool onUpstreamBody(std::string_view bytes) override;
    void onUpstreamEnd(upstream_end end) override;

    [[nodiscard]] bool readBody(std::string_view bytes);
    /// Appends to the body of a non-streamed response. @returns false if a limit would be exceeded.
    [[nodiscard]] bool bufferBody(std::string_view bytes);
    void clearBody();
    void process();
    [[nodiscard]] std::optional<refusal> validate();
    void chooseService();
    void chooseFirstModel();
    void attempt();
    /// @returns whether the request's key is still known to be valid, or it needs none.
    [[nodiscard]] bool mayUseKey() const;
    [[nodiscard]] const replica_entry *pickReplica();
    [[nodiscard]] refusal noReplicaReason() const;
    [[nodiscard]] replica_query queryFor(const version_choice &choice) const;
    void send(const replica_entry &replica);
    /// Begins another attempt, to a replica or another host.
    void resetAttempt();
    /// Records that the attempt has no response yet.
    void onSilence();

    // Detours through other hosts; see gateway_exchange_detour.cpp.
    /// @returns the address of a host to send the request through, if this host is cut off from the service.
    [[nodiscard]] std::optional<http_endpoint> chooseDetour();
    void sendDetour(const http_endpoint &host);
    void onDetourHead(const message_head &head);
    void onDetourEnd(upstream_end end);
    [[nodiscard]] attempt_result classifyDetour(upstream_end end);
    void forwardDetourResponse();
    /// Delays the attempt if a host may be able to serve the request in a moment, though none is known to be now.
    [[nodiscard]] bool tryWaitForHost(instant now);
    /// @returns why this host doesn't serve a request that another host has received, or none.
    [[nodiscard]] detour_refusal checkDetour() const;
    /// Tells the other host that the request hasn't been tried.
    void refuseDetour(detour_refusal refusal);
    [[nodiscard]] http_headers responseHeaders() const;

    void logAttempt() const;
    [[nodiscard]] upstream_request upstreamRequest(const replica_entry &replica) const;
    /// @returns the body of the request, which the result keeps alive.
    [[nodiscard]] std::shared_ptr<const std::string> sharedBody() const { return {m_request, &m_request->body}; }
    [[nodiscard]] std::optional<std::size_t> escalation();
    void escalate(std::size_t model);
    void forwardEvent(std::string_view event, std::optional<std::uint64_t> id);
    void beginStream();
    /// @returns whether the events received are a whole stream, provided that its framing is complete.
    [[nodiscard]] bool isWholeStream();
    [[nodiscard]] attempt_result classify(upstream_end end);
    /// Records what the replica has stated about itself in the response's head.
    void recordStatement();
    void logStatementEffect(const statement_effect &effect) const;
    void recordAttempt(attempt_result result);
    /// Adds to a log line how the current or last response, if it is a stream, was framed and where it ended.
    void addStreamFields(nlohmann::ordered_json &fields) const;
    void recordVersionResponse(attempt_result result);
    /// Starts to wait for the response, or for the first events of a stream, until it is slow.
    void startEvidenceTimer();
    /// Records a response that has not ended, with the latency that it has reached.
    void recordSlowAttempt();
    /// Records the attempt as evidence on its version, once.
    void recordEvidence(bool isFailure, std::optional<std::chrono::microseconds> latency);
    /// Records as evidence that the attempt had no response in time, or none so far, once this host has reached another
    /// replica.
    /// @param latency that it has reached; unset: it has failed.
    void attributeEvidence(std::optional<std::chrono::microseconds> latency);
    /// Records the failure of the attempt at the replica once this host has reached another one since.
    void attributeFailure(contact_kind needed, instant since);
    /// @returns the time to the response, or the mean time between events; unset if too few events have arrived.
    [[nodiscard]] std::optional<std::chrono::microseconds> versionLatency() const;
    /// @returns the group within which responses are comparable: route and model.
    [[nodiscard]] std::string stratum() const;
    void recordCrashEvidence(attempt_result result);
    /// Records that a replica has survived the beginning of a response.
    void recordBegun();
    void releaseCrashReport();
    /// @returns the trait for which the request is blocked; nothing if it may be sent to a replica.
    [[nodiscard]] std::optional<crash_block> findBlock() const;
    /// @param isGood whether the replica responded as it should; unset if the end says nothing about the replica.
    void closeAttempt(std::optional<bool> isGood);
    void handleAttemptResult(attempt_result result);
    [[nodiscard]] bool tryConsumeRetry(retry_reason reason);
    void retryOrFinish(attempt_result result, attempt_outcome outcome);
    void forwardResponse();
    /// Sends the caller the response, or the rest of it.
    void passOn(std::string_view reason);
    void refuse(refusal reason);
    void abortResponse(refusal reason);
    void abortResponse(std::string_view reason);
    void onDeadline();
    void finish(int status, std::string_view reason);

    [[nodiscard]] run_history runHistory() const;
    [[nodiscard]] std::chrono::milliseconds remainingTime() const;
    [[nodiscard]] prompt_work promptWork() const;
    [[nodiscard]] std::uint32_t enginePriority() const;
    [[nodiscard]] std::uint64_t promptKey() const;
    [[nodiscard]] std::string retryAfter(refusal reason);

    gateway_state &m_state;
    std::shared_ptr<const inbound_request> m_request; ///< shared with connections on which its body is being written
    caller_response &m_callerResponse;
    request_metadata m_metadata;
    gateway_config_ptr m_config; ///< active when the request arrived
    const gateway_route *m_route = nullptr; ///< in m_config
    const client_account *m_account = nullptr; ///< in m_config
    std::uint64_t m_fingerprint = 0; ///< identifies the request when the caller sends it again
    std::vector<std::uint64_t> m_traits; ///< by which crashes of replicas are attributed, see crash_evidence_p.h
    std::string m_service;
    instant m_deadline{};
    std::size_t m_model = 0; ///< index into the models of the route

    std::unique_ptr<upstream_exchange> m_upstream; ///< null between attempts
    std::string m_replica; ///< of the current or last attempt
    std::int64_t m_replicaStartedAtMs = 0;
    std::string m_replicaVersion;
    http_endpoint m_replicaAddress;
    std::uint64_t m_crashId = 0; ///< of the replica, if it should end
    double m_promptMs = 0; ///< prompt time accounted to the replica until its first byte arrives
    instant m_sentAt{};
    std::optional<instant> m_firstByteAt; ///< of the current attempt
    std::optional<instant> m_firstEventAt; ///< of the current attempt
    std::uint32_t m_eventCount = 0; ///< of the current attempt
    bool m_hasVersionEvidence = false; ///< the current attempt has been recorded as evidence on its version
    message_head m_response; ///< head of the current or last attempt's response
    replica_statement m_statement; ///< in that head
    std::string m_body; ///< of a non-streamed response; counted in gateway_state::bufferedBodyBytes
    bool m_isStream = false; ///< the current response is forwarded event by event
    event_splitter m_events;

    detour_handler m_detourHandler{*this};
    std::optional<detour_request> m_servedDetour; ///< another host has received the request
    bool m_countsAsDetour = false; ///< in gateway_state::detoursServed
    std::optional<http_endpoint> m_detour; ///< host to which the current attempt is sent; unset: to a replica
    detour_refusal m_detourRefusal = detour_refusal::none; ///< by the last host
    std::set<http_endpoint> m_triedHosts;
    std::uint32_t m_pauseWaits = 0; ///< attempts delayed because the hosts that could serve the request were paused

    std::set<std::string> m_triedReplicas;
    std::set<std::string> m_respondedReplicas; ///< whose response to an earlier attempt has been received completely
    std::uint32_t m_sends = 0; ///< number of replicas to which the request was sent
    std::uint32_t m_connectFailures = 0;
    send_exclusion m_exclusion = send_exclusion::none; ///< at the last selection, if no replica was left
    std::optional<crash_block> m_block; ///< found at the last attempt
    bool m_holdsCrashReport = false; ///< see crash_registry::holdReport()
    bool m_mayHaveRun = false; ///< a replica may have run the request
    bool m_hasStreamStarted = false; ///< the caller has been sent part of a stream
    std::optional<std::uint64_t> m_lastEventId; ///< last event sent to the caller
    bool m_isFinished = false;
    loop_timer m_timer;
    loop_timer m_evidenceTimer; ///< see startEvidenceTimer()
    loop_timer m_silenceTimer; ///< see onSilence()
    loop_timer m_retryTimer; ///< delays the next attempt, see kRetryDelay

    /// Events of a stream that a replica has sent when it has survived the beginning of the response.
    static constexpr std::uint32_t kEventsForBegin = 2;
    /// Events of a stream at which its pace becomes evidence, without waiting for its end.
    static constexpr std::uint32_t kEventsForEvidence = 5;
    /// Events at which the pace of a stream that ends earlier is evidence.
    static constexpr std::uint32_t kMinEventsForPace = 3;
    /// Number of failed connection attempts that don't count as sends, because the request reached no replica.
    static constexpr std::uint32_t kMaxConnectFailures = 4;
    /// Delay of attempts while it is open whether this host reaches the service, or which other host does, and while
    /// hosts that have refused requests are paused: about the time of a round of probes that are refused.
    static constexpr std::chrono::milliseconds kRetryDelay{50};
    /// Maximum number of such delays for paused hosts. Each refusal renews the pause for all requests that wait.
    static constexpr std::uint32_t kMaxPauseWaits = 10;
    /// Failed connection attempts from which such a delay is used. After the first one the replica may have ended.
    static constexpr std::uint32_t kFailuresToDelay = 2;
    /// Stream bytes buffered for a slow caller before reading from the replica is paused.
    static constexpr std::size_t kMaxCallerBacklogBytes = 128U << 10U;
};

} // namespace foxtaildyke
