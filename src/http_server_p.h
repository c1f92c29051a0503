// Small HTTP server of one task over evhttp, for administration addresses and the stand-ins. Callers' requests come
// through caller_api instead.
#pragma once

#include "http_client_p.h"

struct evhttp;

namespace foxtaildyke
{

/// One request being served. Keep the pointer until it is answered or dropped.
class http_exchange
{
public:
    explicit http_exchange(evhttp_request *request);
    ~http_exchange();
    http_exchange(const http_exchange &) = delete;
    http_exchange &operator=(const http_exchange &) = delete;

    http_method method = http_method::get;
    std::string path; ///< decoded, without query
    std::map<std::string, std::string> query;
    std::string body;
    std::function<void()> onClosed; ///< the client closed the connection before the answer was complete

    /// @returns the value of a request header, or empty.
    [[nodiscard]] std::string header(const char *name) const;

    void respond(int status, std::string_view text, const http_headers &headers = {});
    void startChunks(int status, const http_headers &headers);
    void chunk(std::string_view text);
    void endChunks();

    /// Closes the connection without an answer, or in the middle of one.
    void drop();

    /// @returns whether the client can still be answered.
    [[nodiscard]] bool isOpen() const { return m_request != nullptr; }

    /// Watches for the client closing the connection while the answer is prepared.
    void watchClose();

private:
    void detach();

    evhttp_request *m_request = nullptr; ///< null once answered, dropped or closed
};

using http_exchange_ptr = std::shared_ptr<http_exchange>;

class http_server
{
public:
    using handler = std::function<void(http_exchange_ptr)>;

    http_server(event_loop &loop, handler serve);
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /// Starts listening; port 0 takes a free one.
    /// @returns the port.
    [[nodiscard]] result<std::uint16_t> listen(const http_endpoint &endpoint);

private:
    evhttp *m_server = nullptr;
    handler m_serve;
};

} // namespace foxtaildyke
