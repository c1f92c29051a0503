// Calls of foxtaildyke-ctl to the administration API; see ctl_p.h.
#include "ctl_p.h"

#include <iostream>

namespace foxtaildyke
{

namespace
{

using nlohmann::json;

constexpr std::chrono::milliseconds kAnswerTime{15000}; ///< beyond the wait for acceptance
constexpr std::chrono::milliseconds kRetryDelay{500};
constexpr int kMostTries = 5;
constexpr int kInDoubt = 504;

http_request makeRequest(const ctl_options &options, http_method method, const std::string &path,
                         const std::string &body)
{
    http_request request;
    request.endpoint = options.server;
    request.method = method;
    request.path = path;
    request.headers = {{"Authorization", "Bearer " + options.key}, {"Content-Type", "application/json"}};
    request.body = body;
    request.timeout = kAnswerTime + options.wait;
    return request;
}

/// One call on its own event loop.
http_response callOnce(const http_request &request)
{
    event_loop loop;
    http_client client(loop);
    http_response answer;
    http_handlers handlers;
    handlers.onDone = [&](const http_response &reply) {
        answer = reply;
        loop.stop();
    };
    client.start(request, std::move(handlers));
    loop.run();
    return answer;
}

void pause()
{
    event_loop loop;
    loop.after(kRetryDelay, [&loop] { loop.stop(); });
    loop.run();
}

exit_code exitOf(const ctl_reply &reply)
{
    constexpr int kOk = 200;
    constexpr int kPending = 202;
    constexpr int kConflict = 409;
    constexpr int kInvalid = 422;
    switch (reply.status) {
    case kOk:
        return exit_code::success;
    case kPending:
        return exit_code::pending;
    case kConflict:
        return exit_code::conflict;
    case kInvalid:
        return exit_code::invalid_settings;
    default:
        return exit_code::failure;
    }
}

std::string textOf(const json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string editLine(const json &edit)
{
    const auto layer = textOf(edit["layer"]);
    std::string line = layer.empty() ? "base" : layer;
    line.append(" [").append(textOf(edit["section"])).append("]");
    const auto key = textOf(edit["key"]);
    if (key.empty())
        return line + " removed";
    line.append(" ").append(key);
    return edit.contains("value") ? line + " = " + textOf(edit["value"]) : line + " removed";
}

void printChange(const json &change)
{
    std::cout << "generation " << change["generation"] << " by " << textOf(change["author"]) << " at unix ms "
              << change["unix_ms"] << ", change " << textOf(change["change_id"]) << '\n';
    for (const auto &edit : change["edits"])
        std::cout << "  " << editLine(edit) << '\n';
    if (change.contains("unacknowledged_hosts"))
        std::cout << "  not acknowledged by: " << change["unacknowledged_hosts"].dump() << '\n';
}

void printMember(const std::string &name, const json &value)
{
    if (name == "history" || name == "pending") {
        for (const auto &change : value)
            printChange(change);
    } else if (name == "edits") {
        for (const auto &edit : value)
            std::cout << editLine(edit) << '\n';
    } else if (value.is_object()) {
        for (const auto &[inner, content] : value.items())
            printMember(std::string(name).append(".").append(inner), content);
    } else {
        std::cout << name << ": " << textOf(value) << '\n';
    }
}

} // namespace

ctl_reply callServer(const ctl_options &options, http_method method, const std::string &path, const std::string &body)
{
    const auto request = makeRequest(options, method, path, body);
    for (int tries = 1;; ++tries) {
        const auto reply = callOnce(request);
        if (reply.end == http_end::complete)
            return {reply.status, json::parse(reply.body, nullptr, false)};
        if (tries == kMostTries)
            return {};
        pause();
    }
}

exit_code showReply(const ctl_options &options, const ctl_reply &reply)
{
    if (reply.status == 0) {
        std::cerr << "foxtaildyke-ctl: no answer; repeat with --change-id " << options.changeId << '\n';
        return exit_code::failure;
    }
    if (options.asJson) {
        std::cout << reply.body.dump() << '\n';
    } else if (reply.body.is_object() && reply.body.contains("error")) {
        const auto &failure = reply.body["error"];
        std::cerr << "foxtaildyke-ctl: " << textOf(failure["code"]) << ": " << textOf(failure["field"]) << '\n';
        if (reply.status == kInDoubt)
            std::cerr << "foxtaildyke-ctl: the change may have been made; repeat with --change-id " << options.changeId
                      << '\n';
    } else if (reply.body.is_object()) {
        for (const auto &[name, value] : reply.body.items())
            printMember(name, value);
    }
    return exitOf(reply);
}

} // namespace foxtaildyke
