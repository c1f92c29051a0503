// Platform emulator: object API, host list, rating service and weight store in one process. Faults can be injected at
// run time, and calls are counted by type. See section 7 of docs/design.md for the protocol.
#pragma once

#include "http_server_p.h"
#include "object_store_p.h"

#include <deque>
#include <nlohmann/json.hpp>

namespace foxtaildyke
{

/// In-memory store of versioned objects.
class object_table
{
public:
    [[nodiscard]] std::optional<stored_object> read(const std::string &key) const;

    /// Writes an object if its current version is `expected` (0: if it does not exist).
    /// @returns the new version, or std::nullopt on a conflict.
    std::optional<object_version> write(const std::string &key, std::string body, object_version expected);

    /// Removes an object if its current version is `expected`. @returns whether it was removed.
    bool remove(const std::string &key, object_version expected);

    [[nodiscard]] std::vector<std::pair<std::string, object_version>>
    list(const std::string &prefix, const std::string &after, std::size_t limit) const;

private:
    std::map<std::string, stored_object> m_objects;
    object_version m_nextVersion = 1; ///< versions are never reused, so a deleted and recreated object gets a new one
};

/// Host list with its past versions, which emulate a delayed publication.
class host_table
{
public:
    /// Adds or updates a host; fields that are missing in `change` keep their values. {"name": N, "removed": true}
    /// removes it.
    /// @returns false if `change` has no host name.
    bool apply(const nlohmann::json &change, instant now);

    /// @returns the list that was current at `time`.
    [[nodiscard]] nlohmann::json listAt(instant time) const;

private:
    struct snapshot {
        instant at{};
        nlohmann::json list;
    };
    std::map<std::string, nlohmann::json> m_hosts;
    std::uint64_t m_version = 0;
    std::deque<snapshot> m_history; ///< oldest first, at most kMaxHistory
    static constexpr std::size_t kMaxHistory = 256;
};

struct platform_faults {
    bool outage = false; ///< the object API responds with 503
    std::int64_t responseDelayMs = 0; ///< delay of object API responses; the call itself takes effect immediately
    std::int64_t responsesToLose =
        0; ///< number of further writes that take effect but whose connection is closed without a response
    std::int64_t hostListLagMs = 0; ///< age of the host list that GET /hosts returns
    bool hostListDown = false;
    bool ratingDown = false;
};

/// Rate limit of POST /weights.
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

    /// @param text JSON list of hosts. @returns whether it was valid; hosts before an invalid one are added.
    bool addHosts(const std::string &text);

private:
    /// Pending watch call.
    struct watcher {
        std::string key;
        object_version knownVersion = 0;
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
    void sendResponse(const http_exchange_ptr &exchange, int status, std::string body, http_headers headers = {});
    void sendWriteResponse(const http_exchange_ptr &exchange, int status, http_headers headers);
    void notifyWatchers(const std::string &key);
    [[nodiscard]] bool tryConsumeWeightToken();

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
