// Stand-in of the platform's object store over HTTP, in the test's process: objects by kind and name with revisions,
// pages of lists, watches with a limited history, conditional writes, and the ways in which the store fails.
#pragma once

#include "http_server_p.h"

#include <nlohmann/json.hpp>
#include <set>

namespace foxtaildyke
{

/// How the store treats calls.
enum class store_state : std::uint8_t {
    serving,
    refusing, ///< 503
    limiting, ///< 429
    dropping, ///< closes each connection
    silent, ///< reads and never answers
    count
};

/// What becomes of writes.
enum class write_outcome : std::uint8_t {
    answered,
    response_lost, ///< done, and the answer is lost
    late, ///< done after writeDelay, and never answered
    count
};

class standin_store
{
public:
    explicit standin_store(event_loop &loop);

    /// Creates or replaces what an object holds; its status stays. @returns its revision.
    std::uint64_t put(const std::string &kind, const std::string &name, nlohmann::json spec);
    void remove(const std::string &kind, const std::string &name);
    [[nodiscard]] nlohmann::json statusOf(const std::string &kind, const std::string &name) const;

    /// Forgets all changes until now: older watches get 410.
    void discardHistory();
    /// Changes how calls are treated; watches that wait are cut off.
    void setState(store_state mood);

    http_endpoint endpoint{"127.0.0.1", 0};
    write_outcome writeOutcome = write_outcome::answered;
    std::chrono::milliseconds writeDelay{300};
    std::size_t pageItems = 500; ///< objects in one page of a list
    std::uint64_t lists = 0; ///< calls that listed a kind
    std::uint64_t calls = 0;
    std::uint64_t goneResponses = 0; ///< watches that were answered with 410

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
        nlohmann::json object; ///< as it was then
    };
    struct waiting_watch {
        std::string kind;
        std::uint64_t after = 0; ///< revision
        http_exchange_ptr exchange;
    };
    using object_map = std::map<std::string, stored_object>; ///< by name

    void serve(const http_exchange_ptr &exchange);
    bool refuse(const http_exchange_ptr &exchange);
    void serveList(const std::string &kind, const http_exchange_ptr &exchange);
    void serveWatch(const std::string &kind, const http_exchange_ptr &exchange);
    bool answerWatch(const waiting_watch &watch, bool isDue);
    void serveWrite(const std::string &kind, const std::string &name, bool isStatus, const http_exchange_ptr &exchange);
    int write(const std::string &kind, const std::string &name, bool isStatus, const nlohmann::json &body);
    void note(const std::string &kind, const std::string &name, bool isRemoved);
    [[nodiscard]] static nlohmann::json render(const std::string &name, const stored_object &object);

    event_loop &m_loop;
    std::map<std::string, object_map> m_objects; ///< by kind
    std::vector<change> m_changes; ///< since m_oldest
    std::vector<waiting_watch> m_waiting;
    std::vector<http_exchange_ptr> m_unanswered; ///< kept open without an answer
    std::uint64_t m_revision = 100;
    std::uint64_t m_oldest = 100; ///< watches from before this revision get 410
    store_state m_mood = store_state::serving;
    http_server m_server;
};

} // namespace foxtaildyke
