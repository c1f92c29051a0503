// Object API over HTTP; see object_store_http_p.h.
#include "object_store_http_p.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace foxtaildyke
{

namespace
{

constexpr const char *kObjectsPath = "/objects";

struct status_error {
    int status;
    error_code code;
};

/// Statuses with a specific meaning. Other 4xx are protocol violations; after other 5xx the call may or may not have
/// taken effect.
constexpr std::array kStatusErrors{
    status_error{404, error_code::not_found},   status_error{409, error_code::conflict},
    status_error{412, error_code::conflict},    status_error{413, error_code::too_large},
    status_error{429, error_code::unavailable}, status_error{503, error_code::unavailable},
};

error_code errorCodeOf(int status)
{
    const auto found = std::ranges::find(kStatusErrors, status, &status_error::status);
    if (found != kStatusErrors.end())
        return found->code;
    constexpr int kFirstServerError = 500;
    return status >= kFirstServerError ? error_code::io_failure : error_code::protocol_violation;
}

/// @returns the version in an ETag, or nullopt if it is malformed.
std::optional<object_version> parseEtag(std::string_view etag)
{
    if (etag.size() < 3 || etag.front() != '"' || etag.back() != '"')
        return std::nullopt;
    const auto digits = etag.substr(1, etag.size() - 2);
    object_version version = 0;
    const auto read = std::from_chars(digits.data(), digits.data() + digits.size(), version);
    if (read.ec != std::errc{} || read.ptr != digits.data() + digits.size() || version == 0)
        return std::nullopt;
    return version;
}

std::pair<std::string, std::string> conditionHeader(object_version expected)
{
    if (expected == 0)
        return {"If-None-Match", "*"};
    return {"If-Match", '"' + std::to_string(expected) + '"'};
}

request_target objectTarget(const std::string &key)
{
    return request_target(kObjectsPath).addSegments(key);
}

result<std::vector<std::string>> parseKeys(const std::string &body)
{
    const error malformed{error_code::protocol_violation, "items"};
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("items") || !json["items"].is_array())
        return malformed;
    std::vector<std::string> keys;
    for (const auto &item : json["items"]) {
        if (!item.is_object() || !item.contains("key") || !item["key"].is_string())
            return malformed;
        keys.push_back(item["key"].get<std::string>());
    }
    return keys;
}

} // namespace

std::optional<error> platformError(const http_response &response, const std::string &field)
{
    constexpr int kFirstError = 300;
    switch (response.end) {
    case http_end::complete:
        if (response.status < kFirstError)
            return std::nullopt;
        return error{errorCodeOf(response.status), field};
    case http_end::not_connected:
        return error{error_code::unavailable, field};
    case http_end::timed_out:
        return error{error_code::timed_out, field};
    default:
        return error{error_code::io_failure, field};
    }
}

object_store_http::object_store_http(http_client &client, http_endpoint platform, std::chrono::milliseconds timeout,
                                     call_observer observer)
    : m_client(client)
    , m_platform(std::move(platform))
    , m_timeout(timeout)
    , m_observer(std::move(observer))
{
}

http_request object_store_http::request(http_method method, request_target target) const
{
    http_request request;
    request.endpoint = m_platform;
    request.method = method;
    request.target = std::move(target);
    request.timeout = m_timeout;
    return request;
}

void object_store_http::start(const char *name, http_request request, std::function<void(const http_response &)> done)
{
    http_handlers handlers;
    handlers.onDone = [name, done = std::move(done), observer = m_observer](const http_response &response) {
        const auto failure = platformError(response, {});
        if (observer)
            observer(name, failure ? nameOf(failure->code) : "ok");
        done(response);
    };
    m_client.start(std::move(request), std::move(handlers));
}

void object_store_http::read(const std::string &key, read_done done)
{
    auto call = request(http_method::get, objectTarget(key));
    start("read", std::move(call), [key, done = std::move(done)](const http_response &response) {
        if (auto failure = platformError(response, key))
            return done(*failure);
        const auto version = parseEtag(response.etag);
        if (!version)
            return done(error{error_code::protocol_violation, key});
        done(stored_object{response.body, *version});
    });
}

void object_store_http::write(const std::string &key, std::string body, object_version expected, write_done done)
{
    auto call = request(http_method::put, objectTarget(key));
    call.headers.push_back(conditionHeader(expected));
    call.body = std::move(body);
    start("write", std::move(call), [key, done = std::move(done)](const http_response &response) {
        if (auto failure = platformError(response, key))
            return done(*failure);
        const auto version = parseEtag(response.etag);
        // The write took effect, but the new version is unknown: the caller must read the object back.
        if (!version)
            return done(error{error_code::io_failure, key});
        done(*version);
    });
}

void object_store_http::remove(const std::string &key, object_version expected, remove_done done)
{
    auto call = request(http_method::remove, objectTarget(key));
    call.headers.push_back(conditionHeader(expected));
    start("remove", std::move(call), [key, done = std::move(done)](const http_response &response) {
        if (auto failure = platformError(response, key))
            return done(*failure);
        done(BOOST_OUTCOME_V2_NAMESPACE::success());
    });
}

void object_store_http::list(const std::string &prefix, const std::string &after, std::size_t limit, list_done done)
{
    auto call = request(http_method::get, kObjectsPath);
    call.target.addParameter("prefix", prefix)
        .addParameter("after", after)
        .addParameter("limit", std::to_string(limit));
    start("list", std::move(call), [prefix, done = std::move(done)](const http_response &response) {
        if (auto failure = platformError(response, prefix))
            return done(*failure);
        done(parseKeys(response.body));
    });
}

} // namespace foxtaildyke
