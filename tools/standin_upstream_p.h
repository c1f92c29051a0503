// Emulator of a model engine or a plain service: streams responses with a score in their text, queues requests while
// all slots are in use, executes orders and injects faults on request. See section 4.2 of docs/design.md for the
// protocol.
#pragma once

#include "http_server_p.h"

#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

namespace foxtaildyke
{

struct upstream_options {
    http_endpoint listen;
    std::string name;
    std::string failureDomain;
    std::string service;
    std::string model;
    std::set<std::string> versions;
    std::size_t slots = 8;
    std::size_t queueLimit = 32;
    std::chrono::milliseconds firstTokenDelay{20};
    std::chrono::milliseconds tokenInterval{2};
    std::uint32_t tokens = 8; ///< length of a response, limited by max_tokens
    std::uint64_t seed = 1;
    std::map<std::string, double> quality; ///< probability, by version, that a response meets the target
    std::chrono::milliseconds maxLoadAge{0}; ///< maximum age of a load report; 0: measured for each report
    bool checksFencing = true;
    std::optional<http_endpoint> platform; ///< platform to register at
};

struct upstream_faults {
    std::int64_t lateMs = 0; ///< additional delay of the first token
    bool crossed = false; ///< inserts events of another attempt into the stream
    bool truncated = false; ///< ends streams halfway without the finish event
    std::int64_t dropRuns = 0; ///< number of further runs whose connection is closed halfway
    std::map<std::string, double> badVersions; ///< probability, by version, that a response misses the target
    bool overload = false; ///< refuses new runs with 429
};

class standin_upstream
{
public:
    standin_upstream(event_loop &loop, upstream_options options);

    void serve(const http_exchange_ptr &exchange);

    /// Registers this upstream on the platform's host list; retries until the platform has confirmed it.
    void registerAt(std::uint16_t port);

private:
    struct run;
    using run_ptr = std::shared_ptr<run>;

    void serveCompletion(const http_exchange_ptr &exchange);
    void serveLoad(const http_exchange_ptr &exchange);
    void serveOrder(const http_exchange_ptr &exchange);
    void serveFaults(const http_exchange_ptr &exchange);
    void serveCounts(const http_exchange_ptr &exchange);

    [[nodiscard]] run_ptr parseRun(const http_exchange_ptr &exchange) const;
    void start(const run_ptr &next);
    void startQueued();
    void emitToken(const run_ptr &current);
    void emitFinish(const run_ptr &current);
    /// Sends events with the id of another attempt; used by the fault `crossed`.
    void emitOtherAttempt(const run_ptr &current);
    void end(const run_ptr &current);
    void onCancelled(const run_ptr &current);
    [[nodiscard]] std::uint32_t drawScore(const std::string &version);
    void measureLoad();
    void applyOrder(const std::string &order, const std::string &version);
    [[nodiscard]] nlohmann::json hostEntry() const;

    event_loop &m_loop;
    http_client m_client;
    upstream_options m_options;
    upstream_faults m_faults;
    std::mt19937_64 m_random;
    std::size_t m_running = 0;
    std::size_t m_peakRunning = 0;
    std::map<int, std::deque<run_ptr>> m_queue; ///< by priority, most urgent first
    std::map<std::string, std::uint64_t> m_runsByRequest;
    std::map<std::string, std::uint64_t> m_runsByVersion;
    std::map<std::string, std::uint64_t> m_completedByVersion;
    std::map<std::string, std::uint64_t> m_counts;
    nlohmann::json m_load; ///< latest load report
    std::uint64_t m_fencing = 0; ///< highest fencing token received
    std::string m_role = "serve";
    std::string m_state = "live";
    std::uint16_t m_port = 0;
    std::shared_ptr<bool> m_isRegistrationSuperseded; ///< flag of the current registration; a later one sets it
};

} // namespace foxtaildyke
