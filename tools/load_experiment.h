// Settings of an experiment of foxtaildyke-load: the configuration of the routers, the callers' workloads, and for
// virtual time the simulated upstreams, faults and compared arms. docs/LOAD.md lists the keys.
#pragma once

#include "settings_p.h"

#include <map>
#include <string>
#include <vector>

namespace foxtaildyke::load
{

using std::chrono::milliseconds;

/// One stream of requests with random (Poisson) arrivals.
struct workload {
    std::string name;
    std::string kind;
    std::vector<std::string> accounts; ///< each request comes from one of them
    double ratePerSecond = 1; ///< over all hosts
    std::uint32_t sessionLength = 1; ///< requests of a session; 1: no sessions
    double thinkSeconds = 5; ///< mean time between the arrivals of a session
    std::uint32_t promptTokens = 400;
    std::uint32_t prefixTokens = 0; ///< first part of the prompt that requests of a prefix group share
    std::uint32_t prefixGroups = 1; ///< number of distinct prefixes
    std::uint32_t completionTokens = 100;
    std::uint32_t timeoutMs = 0; ///< 0: the kind's
    std::uint32_t maxRetries =
        0; ///< maximum retries by the caller after a refusal or failure, each delayed by Retry-After
    std::uint32_t duplicatePermille =
        0; ///< share of requests that a caller also sends to a second host at the same time
};

/// Replicas of one service.
struct pool {
    std::string service;
    std::vector<std::string> versions;
    std::uint32_t replicas = 1;
    std::uint32_t slots = 8;
    std::uint32_t queueLimit = 16; ///< maximum queued requests per replica; further ones are refused (overloaded)
    double tokenMs = 10; ///< per generated token on an idle replica; up to half more on a full one
    double prefillMsPer1k = 200; ///< per 1000 prompt tokens that are not in the prefix cache
    std::uint32_t cachedPrefixes = 8; ///< capacity of a replica's prefix cache
    std::vector<std::string> failureDomains;
};

/// A change during the run.
struct timed_event {
    double atSeconds = 0;
    std::string type; ///< quality, crash, leave, return, rating, version
    std::string version;
    std::string kind; ///< quality: this kind only; empty: all
    std::uint32_t meetsPermille = 0; ///< quality: new probability of meeting the target
    std::string upstream; ///< crash, leave, return
    bool up = true; ///< rating: whether the service responds
    std::string state; ///< version: new state; empty: unchanged
    std::uint32_t sharePermille = 0; ///< version: new share
};

/// Settings overridden by one arm of a comparison. Keys are "section/key" of the settings file.
struct arm {
    std::string name;
    std::map<std::string, std::string> overrides;
};

struct experiment {
    std::string title;
    std::string reference; ///< arm that costs are compared with; empty: the first
    std::uint64_t seed = 1;
    std::uint32_t repeats = 1; ///< runs with seed, seed + 1, ...
    double durationSeconds = 60; ///< of arrivals
    double warmupSeconds = 0; ///< requests that arrive earlier are not reported
    std::uint32_t relayMs = 100; ///< delay until a result on one host reaches all hosts
    bool shareEvidence = true; ///< false: hosts exchange neither results nor halts
    bool affinity = true; ///< false: prompts share no prefix that the routers can match
    start_rule startRule = start_rule::least_loss;
    std::uint32_t ratingMs = 30; ///< response time of the rating service
    std::uint32_t ledgerMs = 3; ///< response time of the ledger
    std::uint32_t loadReportMs = 250; ///< period of load reports, which are half a period old on arrival
    std::uint32_t hostListMs = 1000; ///< propagation delay of the host list
    double correlation = 0.5; ///< share of requests whose difficulty is the same for all models
    std::vector<std::string> routers; ///< HTTP mode: IP:port of each router
    router_config config;
    std::vector<workload> workloads;
    std::vector<pool> pools;
    std::vector<timed_event> events;
    /// Probability in permille that a response meets the target, by version and kind; kind "" stands for all others.
    std::map<std::pair<std::string, std::string>, std::uint32_t> quality;
};

/// A settings file: the base configuration and the arms to compare.
struct settings_file {
    ini_document base;
    std::vector<arm> arms; ///< at least one
};

/// Reads a settings file. Without a section [arm NAME] it has one arm, "base", that overrides nothing.
[[nodiscard]] result<settings_file> readSettings(const std::string &path);

/// @returns the experiment of one arm, or the first error with the field as "section/key".
[[nodiscard]] result<experiment> buildExperiment(const settings_file &file, const arm &chosen);

} // namespace foxtaildyke::load
