// Stand-in for the platform: object API, host list, rating service and weight store in one process, with faults that
// can be switched at run time and counts of all calls. See section 7 of docs/design.md for the protocol.
#pragma once

#include "http_server_p.h"
#include "object_store_p.h"

#include <deque>
#include <nlohmann/json.hpp>

namespace foxtaildyke
{

/// Objects with versions, in memory.
class object_table
{
public:
    [[nodiscard]] std::optional<stored_object> read(const std::string &key) const;

    /// Writes an object where its version is `expected` (0: where it does not exist).
    /// @returns the new version, or nothing on conflict.
    std::optional<object_version> write(const std::string &key, std::string body, object_version expected);

    /// @returns whether the object existed with this version.
    bool remove(const std::string &key, object_version expected);

    [[nodiscard]] std::vector<std::pair<std::string, object_version>>
    list(const std::string &prefix, const std::string &after, std::size_t limit) const;

private:
    std::map<std::string, stored_object> m_objects;
    object_version m_next = 1; ///< never reused, so that a deleted and recreated object has another version
};

/// Host list with the lag of its publication.
class host_table
{
public:
    /// Adds or changes a host: fields that `change` lacks stay. {"name": N, "removed": true} takes it off the list.
    /// @returns whether the change names a host.
    bool apply(const nlohmann::json &change, instant now);

    /// @returns the list as it was `lag` ago.
    [[nodiscard]] nlohmann::json listAt(instant time) const;

private:
    struct snapshot {
        instant at{};
        nlohmann::json list;
    };
    std::map<std::string, nlohmann::json> m_hosts;
    std::uint64_t m_version = 0;
    std::deque<snapshot> m_history; ///< oldest first, at most kHistory
    static constexpr std::size_t kHistory = 256;
};

struct platform_faults {
    bool outage = false; ///< the object API answers 503
    std::int64_t slowMs = 0; ///< answers of the object API are delayed; the call itself takes effect at once
    std::int64_t loseAnswers = 0; ///< so many writes take effect and close the connection without an answer
    std::int64_t hostListLagMs = 0;
    bool hostListDown = false;
    bool ratingDown = false;
};

struct platform_options {
    std::int64_t weightsPerSecond = 5;
    std::int64_t weightsBurst = 5;
};

class standin_platform
{
public:
    standin_platform(event_loop &loop, platform_options options);

    void serve(const http_exchange_ptr &exchange);

    [[nodiscard]] object_table &objects() { return m_objects; }

    /// @returns whether the text was a JSON list of hosts.
    bool addHosts(const std::string &json);

private:
    struct watcher {
        std::string key;
        object_version seen = 0;
        http_exchange_ptr exchange;
    };
    struct route;

    void serveObject(const http_exchange_ptr &exchange);
    void serveRead(const http_exchange_ptr &exchange, const std::string &key);
    void serveWatch(const http_exchange_ptr &exchange, const std::string &key);
    void serveWrite(const http_exchange_ptr &exchange, const std::string &key);
    void serveRemove(const http_exchange_ptr &exchange, const std::string &key);
    void serveList(const http_exchange_ptr &exchange);
    void serveHosts(const http_exchange_ptr &exchange);
    void serveHostChange(const http_exchange_ptr &exchange);
    void serveRating(const http_exchange_ptr &exchange);
    void serveWeights(const http_exchange_ptr &exchange);
    void serveFaults(const http_exchange_ptr &exchange);
    void serveCounts(const http_exchange_ptr &exchange);
    void answer(const http_exchange_ptr &exchange, int status, std::string body, http_headers headers = {});
    void answerWrite(const http_exchange_ptr &exchange, int status, http_headers headers);
    void wakeWatchers(const std::string &key);
    [[nodiscard]] bool takeWeight();

    event_loop &m_loop;
    platform_options m_options;
    platform_faults m_faults;
    object_table m_objects;
    host_table m_hosts;
    std::vector<watcher> m_watchers;
    std::map<std::string, std::uint64_t> m_counts;
    double m_weightTokens = 0;
    instant m_weightsRefilledAt{};
};

} // namespace foxtaildyke
