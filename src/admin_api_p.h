// Administration API of the control process, independent of the transport: operator authentication, request routing,
// JSON encoding, and waiting for the acceptance of a generation. tools/control_main.cpp serves it over HTTP.
#pragma once

#include "controller_p.h"

#include <list>

namespace foxtaildyke
{

/// Permissions of an operator; each role includes those before it.
enum class operator_role : std::uint8_t {
    viewer, ///< may read, validate and diff configurations
    editor, ///< may publish changes
    count
};

template <>
struct enum_names<operator_role> {
    static constexpr std::array kNames{"viewer", "editor"};
};

struct operator_account {
    std::string name; ///< recorded as the author of changes
    std::string key; ///< bearer token
    operator_role role = operator_role::viewer;
};

/// Removes the sections `[operator NAME]` with key= and role= from a settings file and parses them.
/// @returns the operators, or the first error, whose field is "section/key".
[[nodiscard]] result<std::vector<operator_account>> extractOperators(ini_document &sections);

struct admin_request {
    std::string method; ///< "GET" or "POST"
    std::string path;
    std::map<std::string, std::string> query;
    std::string authorization; ///< value of the Authorization header
    std::string body;
};

struct admin_response {
    int status = 200;
    std::string body; ///< JSON
};

class admin_api
{
public:
    using done_callback = std::function<void(admin_response)>;

    static constexpr std::chrono::milliseconds kMaxWait{30000}; ///< upper limit of a request's wait_ms
    /// Requests that wait for acceptance at the same time; further ones are answered without waiting.
    static constexpr std::size_t kMaxWaiting = 256;

    admin_api(controller &control, std::vector<operator_account> operators, controller::event_sink onEvent);

    /// Handles one request; `done` runs exactly once, before the function returns or later.
    void handle(const admin_request &request, done_callback done);

    /// Responds to waiting requests whose generation has been accepted or whose wait has timed out.
    void tick(instant now, std::int64_t unixMs);

    [[nodiscard]] std::size_t waitingRequests() const { return m_waiting.size(); }

private:
    struct route;
    struct call {
        const admin_request *request;
        const operator_account *author;
        done_callback done;
    };
    struct waiter {
        generation_number generation = 0;
        instant until{};
        done_callback done;
    };

    static const std::vector<route> &routes();
    [[nodiscard]] const operator_account *authenticate(const std::string &authorization) const;

    void check(const call &open);
    void diff(const call &open);
    void apply(const call &open);
    void withdraw(const call &open);
    void rollOut(const call &open);
    void status(const call &open);
    void pending(const call &open);
    void history(const call &open);
    void awaitAcceptance(const call &open);

    /// Derives the edits of a change from the current configuration.
    using edit_source = std::function<result<std::vector<config_edit>>(const config_document &)>;
    void change(const call &open, edit_source source);
    void respondWhenAccepted(generation_number generation, std::chrono::milliseconds wait, done_callback done);
    [[nodiscard]] admin_response acceptanceResponse(generation_number generation) const;

    controller &m_control;
    std::vector<operator_account> m_operators;
    controller::event_sink m_onEvent;
    instant m_now{};
    std::int64_t m_unixMs = 0;
    std::list<waiter> m_waiting;
};

/// @returns the HTTP status for an error code.
[[nodiscard]] int httpStatusOf(error_code code);

} // namespace foxtaildyke
