// Small HTTP server of a task over evhttp, for administration addresses and the stand-ins. Callers' requests are
// served by caller_api and caller_connection instead.
#pragma once

#include "http_client_p.h"

struct evhttp;

namespace foxtaildyke
{

/// A request being served. The pointer must be kept until a response has been sent or drop() was called.
class http_exchange
{
public:
    explicit http_exchange(evhttp_request *request);
    ~http_exchange();
    http_exchange(const http_exchange &) = delete;
    http_exchange &operator=(const http_exchange &) = delete;

    http_method method = http_method::get;
    std::string target; ///< path and query as received
    std::string path; ///< percent-decoded, without the query
    std::map<std::string, std::string> query;
    std::string body;
    std::function<void()> onClosed; ///< the client closed the connection before the response was complete

    /// @returns the value of a request header, or an empty string.
    [[nodiscard]] std::string header(const char *name) const;

    void respond(int status, std::string_view text, const http_headers &headers = {});
    void startChunks(int status, const http_headers &headers);
    void chunk(std::string_view text);
    void endChunks();

    /// Closes the connection without a response, or in the middle of one.
    void drop();

    /// @returns whether a response can still be sent.
    [[nodiscard]] bool isOpen() const { return m_request != nullptr; }

    /// Enables the detection of a close by the client while the response is being prepared; see onClosed.
    void watchClose();

private:
    void detach();

    evhttp_request *m_request = nullptr; ///< null once the response is complete, or the connection dropped or closed
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

    /// Starts listening; port 0 selects a free port.
    /// @returns the port, or the address, with error_code::unavailable if it is in use.
    [[nodiscard]] result<std::uint16_t> listen(const http_endpoint &endpoint);

private:
    evhttp *m_server = nullptr;
    handler m_serve;
};

} // namespace foxtaildyke
