// Calls to the administration API and output of its responses; see ctl_p.h.
#include "ctl_p.h"

#include <iostream>

namespace foxtaildyke
{

namespace
{

using nlohmann::json;

constexpr std::chrono::milliseconds kResponseTimeout{15000}; ///< in addition to the requested wait for acceptance
constexpr std::chrono::milliseconds kRetryDelay{500};
constexpr int kMaxAttempts = 5;
constexpr int kOutcomeUnknown = 504; ///< HTTP status: the change may or may not have been written

http_request makeRequest(const ctl_options &options, http_method method, const std::string &path,
                         const std::string &body)
{
    http_request request;
    request.endpoint = options.server;
    request.method = method;
    request.target = request_target::fromEncoded(path);
    request.headers = {{"Authorization", "Bearer " + options.key}, {"Content-Type", "application/json"}};
    request.body = body;
    request.timeout = kResponseTimeout + options.wait;
    return request;
}

/// Runs one call to its end on an event loop of its own.
http_response callOnce(const http_request &request)
{
    event_loop loop;
    http_client client(loop);
    http_response response;
    http_handlers handlers;
    handlers.onDone = [&](const http_response &received) {
        response = received;
        loop.stop();
    };
    client.start(request, std::move(handlers));
    loop.run();
    return response;
}

void waitBeforeRetry()
{
    event_loop loop;
    loop.after(kRetryDelay, [&loop] { loop.stop(); });
    loop.run();
}

exit_code exitCodeFor(const ctl_response &response)
{
    constexpr int kOk = 200;
    constexpr int kPending = 202;
    constexpr int kConflict = 409;
    constexpr int kInvalid = 422;
    switch (response.status) {
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

std::string valueText(const json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string formatEdit(const json &edit)
{
    const auto layer = valueText(edit["layer"]);
    std::string line = layer.empty() ? "base" : layer;
    line.append(" [").append(valueText(edit["section"])).append("]");
    const auto key = valueText(edit["key"]);
    if (key.empty())
        return line + " removed";
    line.append(" ").append(key);
    return edit.contains("value") ? line + " = " + valueText(edit["value"]) : line + " removed";
}

void printChange(const json &change)
{
    std::cout << "generation " << change["generation"] << " by " << valueText(change["author"]) << " at unix ms "
              << change["unix_ms"] << ", change " << valueText(change["change_id"]) << '\n';
    for (const auto &edit : change["edits"])
        std::cout << "  " << formatEdit(edit) << '\n';
    if (change.contains("unacknowledged_hosts"))
        std::cout << "  not acknowledged by: " << change["unacknowledged_hosts"].dump() << '\n';
}

void printField(const std::string &name, const json &value)
{
    if (name == "history" || name == "pending") {
        for (const auto &change : value)
            printChange(change);
    } else if (name == "edits") {
        for (const auto &edit : value)
            std::cout << formatEdit(edit) << '\n';
    } else if (value.is_object()) {
        for (const auto &[fieldName, fieldValue] : value.items())
            printField(std::string(name).append(".").append(fieldName), fieldValue);
    } else {
        std::cout << name << ": " << valueText(value) << '\n';
    }
}

} // namespace

ctl_response callServer(const ctl_options &options, http_method method, const std::string &path,
                        const std::string &body)
{
    const auto request = makeRequest(options, method, path, body);
    for (int attempt = 1;; ++attempt) {
        const auto response = callOnce(request);
        if (response.end == http_end::complete)
            return {response.status, json::parse(response.body, nullptr, false)};
        if (attempt == kMaxAttempts)
            return {};
        waitBeforeRetry();
    }
}

exit_code printResponse(const ctl_options &options, const ctl_response &response)
{
    if (response.status == 0) {
        std::cerr << "foxtaildyke-ctl: no response from the server; retry with --change-id " << options.changeId
                  << '\n';
        return exit_code::failure;
    }
    if (options.asJson) {
        std::cout << response.body.dump() << '\n';
    } else if (response.body.is_object() && response.body.contains("error")) {
        const auto &failure = response.body["error"];
        std::cerr << "foxtaildyke-ctl: " << valueText(failure["code"]) << ": " << valueText(failure["field"]) << '\n';
        if (response.status == kOutcomeUnknown)
            std::cerr << "foxtaildyke-ctl: the change may have been written; retry with --change-id "
                      << options.changeId << '\n';
    } else if (response.body.is_object()) {
        for (const auto &[name, value] : response.body.items())
            printField(name, value);
    }
    return exitCodeFor(response);
}

} // namespace foxtaildyke
