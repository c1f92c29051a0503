// In-process HTTP emulator of the platform's object store: objects by kind and name with revisions, paged lists,
// watches with a limited history, conditional writes, and injected failures.
#pragma once

#include "http_server_p.h"

#include <nlohmann/json.hpp>
#include <set>

namespace foxtaildyke
{

/// How the store handles calls.
enum class store_state : std::uint8_t {
    serving,
    refusing, ///< 503
    limiting, ///< 429
    dropping, ///< closes each connection
    silent, ///< reads requests and never responds
    count
};

/// How writes end.
enum class write_outcome : std::uint8_t {
    answered,
    response_lost, ///< applied, but the response is lost
    late, ///< applied after writeDelay, and never responded to
    count
};

class standin_store
{
public:
    explicit standin_store(event_loop &loop);

    /// Creates an object or replaces its spec; its status is retained. @returns its revision.
    std::uint64_t put(const std::string &kind, const std::string &name, nlohmann::json spec);
    /// The same with a spec that is any text, as another writer may have left it.
    std::uint64_t putRaw(const std::string &kind, const std::string &name, std::string spec);
    void remove(const std::string &kind, const std::string &name);
    [[nodiscard]] nlohmann::json specOf(const std::string &kind, const std::string &name) const;
    [[nodiscard]] nlohmann::json statusOf(const std::string &kind, const std::string &name) const;

    /// @returns the names of a kind's objects, ordered.
    [[nodiscard]] std::vector<std::string> names(const std::string &kind) const;

    /// Discards all changes so far; watches from an older revision get 410.
    void discardHistory();
    /// Copies the content, for rewind().
    void takeCopy();
    /// Comes back from the copy: changes since then are gone, revisions are given out again, and the era rises.
    void rewind();
    /// Never responds to the watches that wait now; other calls are served.
    /// @param kind whose watches; empty: all.
    void silenceWatches(const std::string &kind = {});
    /// Changes how calls are handled and drops the connections of all open calls.
    void setState(store_state state);

    http_endpoint endpoint{"127.0.0.1", 0};
    write_outcome writeOutcome = write_outcome::answered;
    std::chrono::milliseconds writeDelay{300};
    std::size_t pageItems = 500; ///< objects in one page of a list
    std::uint64_t lists = 0; ///< calls that listed a kind
    std::uint64_t calls = 0;
    std::set<std::string> continuations; ///< names with which lists were continued
    std::uint64_t goneResponses = 0; ///< watches that got 410
    std::uint64_t era = 1; ///< stated in all responses

private:
    struct stored_object {
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        nlohmann::json spec;
        nlohmann::json status;
    };
    struct change {
        std::uint64_t revision = 0;
        std::string kind;
        std::string name;
        bool isRemoved = false;
        nlohmann::json object; ///< rendered at that revision
    };
    struct waiting_watch {
        std::string kind;
        std::uint64_t after = 0; ///< revision
        http_exchange_ptr exchange;
    };
    /// @returns the response with the raw specs in place.
    [[nodiscard]] std::string withRawSpecs(const nlohmann::json &body) const;
    std::map<std::string, std::string> m_rawSpecs; ///< by the string that stands for them in rendered objects

    using object_map = std::map<std::string, stored_object>; ///< by name

    struct content {
        std::map<std::string, object_map> objects; ///< by kind
        std::vector<change> changes; ///< after oldestRevision
        std::uint64_t revision = 100;
        std::uint64_t oldestRevision = 100; ///< watches from an earlier revision get 410
    };

    void respond(const http_exchange_ptr &exchange, int status, const std::string &body);
    [[nodiscard]] const stored_object *find(const std::string &kind, const std::string &name) const;
    void serve(const http_exchange_ptr &exchange);
    bool handleFailureState(const http_exchange_ptr &exchange);
    void serveList(const std::string &kind, const http_exchange_ptr &exchange);
    void serveWatch(const std::string &kind, const http_exchange_ptr &exchange);
    bool respondToWatch(const waiting_watch &watch, bool hasWaitEnded);
    /// @param name empty: creates the object that the body names.
    void serveWrite(const std::string &kind, const std::string &name, bool isStatus, const http_exchange_ptr &exchange);
    int write(const std::string &kind, const std::string &name, bool isStatus, const nlohmann::json &body);
    int create(const std::string &kind, const nlohmann::json &body);
    void recordChange(const std::string &kind, const std::string &name, bool isRemoved);
    [[nodiscard]] static nlohmann::json render(const std::string &name, const stored_object &object);

    event_loop &m_loop;
    content m_content;
    content m_copy;
    std::vector<waiting_watch> m_waiting;
    std::vector<http_exchange_ptr> m_openExchanges; ///< kept open without a response
    store_state m_state = store_state::serving;
    http_server m_server;
};

} // namespace foxtaildyke
