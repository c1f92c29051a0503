// Implementation of the object_store port on the platform's HTTP object API.
#pragma once

#include "http_client_p.h"
#include "object_store_p.h"

namespace foxtaildyke
{

class object_store_http : public object_store
{
public:
    /// Called once per finished call with its name and outcome, for metrics.
    using call_observer = std::function<void(std::string_view name, std::string_view outcome)>;

    static constexpr std::chrono::milliseconds kDefaultTimeout{2000};

    object_store_http(http_client &client, http_endpoint platform, std::chrono::milliseconds timeout = kDefaultTimeout,
                      call_observer observer = {});

    void read(const std::string &key, read_done done) override;
    void write(const std::string &key, std::string body, object_version expected, write_done done) override;
    void remove(const std::string &key, object_version expected, remove_done done) override;
    void list(const std::string &prefix, const std::string &after, std::size_t limit, list_done done) override;

private:
    [[nodiscard]] http_request request(http_method method, request_target target) const;
    void start(const char *name, http_request request, std::function<void(const http_response &)> done);

    http_client &m_client;
    http_endpoint m_platform;
    std::chrono::milliseconds m_timeout;
    call_observer m_observer;
};

/// @returns the error for a response of the platform, or nullopt if the call succeeded.
[[nodiscard]] std::optional<error> platformError(const http_response &response, const std::string &field);

} // namespace foxtaildyke
