// Stand-in for a model engine or a plain service: streams answers with a score in their text, queues beyond its slots,
// takes orders, and misbehaves on demand. See section 4.2 of docs/design.md for the protocol.
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
    std::chrono::milliseconds firstToken{20};
    std::chrono::milliseconds betweenTokens{2};
    std::uint32_t tokens = 8; ///< length of an answer, within max_tokens
    std::uint64_t seed = 1;
    std::map<std::string, double> quality; ///< chance, by version, that an answer meets the target
    std::chrono::milliseconds loadLag{0}; ///< age of a load report at most
    bool checksFencing = true;
    std::optional<http_endpoint> platform; ///< where it puts itself on the host list
};

struct upstream_faults {
    std::int64_t lateMs = 0; ///< added before the first token
    bool crossed = false; ///< mixes in events of another attempt
    bool truncated = false; ///< ends streams in the middle without the finish event
    std::int64_t dropRuns = 0; ///< so many runs close their connection in the middle
    std::map<std::string, double> badVersions; ///< chance, by version, that an answer misses the target
    bool overload = false; ///< refuses new runs with 429
};

class standin_upstream
{
public:
    standin_upstream(event_loop &loop, upstream_options options);

    void serve(const http_exchange_ptr &exchange);

    /// Puts this upstream on the platform's host list and repeats it until the platform has answered.
    void registerAt(std::uint16_t port);

private:
    struct run;
    using run_ptr = std::shared_ptr<run>;

    void serveCompletion(const http_exchange_ptr &exchange);
    void serveLoad(const http_exchange_ptr &exchange);
    void serveOrder(const http_exchange_ptr &exchange);
    void serveFaults(const http_exchange_ptr &exchange);
    void serveCounts(const http_exchange_ptr &exchange);

    [[nodiscard]] run_ptr readRun(const http_exchange_ptr &exchange) const;
    void start(const run_ptr &next);
    void startQueued();
    void emitToken(const run_ptr &current);
    void emitFinish(const run_ptr &current);
    void emitForeign(const run_ptr &current);
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
    std::map<int, std::deque<run_ptr>> m_queue; ///< by priority, the most urgent first
    std::map<std::string, std::uint64_t> m_runsByRequest;
    std::map<std::string, std::uint64_t> m_runsByVersion;
    std::map<std::string, std::uint64_t> m_completedByVersion;
    std::map<std::string, std::uint64_t> m_counts;
    nlohmann::json m_load; ///< last load report
    std::uint64_t m_fencing = 0; ///< highest token seen
    std::string m_role = "serve";
    std::string m_state = "live";
    std::uint16_t m_port = 0;
    std::shared_ptr<bool> m_isRegistered; ///< of the last registration
};

} // namespace foxtaildyke
