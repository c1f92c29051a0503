// Administration API of the control process, without sockets: authentication of operators, routes, JSON, and waiting
// for acceptance. tools/control_main.cpp serves it over HTTP.
#pragma once

#include "controller_p.h"

#include <list>

namespace foxtaildyke
{

/// What an operator may do; each role includes those before it.
enum class operator_role : std::uint8_t {
    viewer, ///< read, check and compare
    editor, ///< change
    count
};

template <>
struct enum_names<operator_role> {
    static constexpr std::array kNames{"viewer", "editor"};
};

struct operator_account {
    std::string name; ///< author of its changes
    std::string key; ///< bearer key
    operator_role role = operator_role::viewer;
};

/// Takes the sections `[operator NAME]` with key= and role= out of a settings file.
/// @returns the operators, or the first error with the field as "section/key".
[[nodiscard]] result<std::vector<operator_account>> extractOperators(ini_document &sections);

struct admin_request {
    std::string method; ///< "GET" or "POST"
    std::string path;
    std::map<std::string, std::string> query;
    std::string authorization; ///< value of the header
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

    static constexpr std::chrono::milliseconds kMaxWait{30000};
    static constexpr std::size_t kMaxWaiting = 256; ///< callers that wait for acceptance at once

    admin_api(controller &control, std::vector<operator_account> operators, controller::event_sink onEvent);

    /// Answers one request; `done` runs once, at once or after a wait.
    void handle(const admin_request &request, done_callback done);

    /// Answers callers whose generation has been accepted or whose time is over.
    void tick(instant now, std::int64_t unixMs);

    [[nodiscard]] std::size_t waiting() const { return m_waiting.size(); }

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
    void watch(const call &open);

    /// Publishes edits that are derived from the present configuration.
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

/// @returns the HTTP status that an error stands for.
[[nodiscard]] int httpStatusOf(error_code code);

} // namespace foxtaildyke
