// Support for tests with real processes: child processes, a blocking HTTP client, and TCP proxies that can be cut.
// Waits have long timeouts; nothing here asserts a duration.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace foxtaildyke::testing
{

/// Timeout for events that a test requires.
constexpr std::chrono::seconds kEventTimeout{60};

/// Polls until the condition holds. @returns false on timeout.
bool waitFor(const std::function<bool()> &condition, std::chrono::milliseconds timeout = kEventTimeout);

/// Reserves a TCP port on 127.0.0.1 until the test process ends: the kernel assigns it to no other socket, while a
/// program that sets SO_REUSEADDR can listen on it.
std::uint16_t reservePort();

/// Child process of a test; the destructor kills it.
class child_process
{
public:
    /// @param arguments program path first.
    /// @param outputPath file to which standard output and standard error are appended.
    child_process(std::vector<std::string> arguments, const std::string &outputPath);
    ~child_process();
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;

    void signal(int number) const;
    /// Sends SIGKILL and reaps the process.
    void kill();
    /// @returns the exit code (128 + signal number if a signal terminated it), or nothing on timeout.
    std::optional<int> waitExit(std::chrono::milliseconds timeout = kEventTimeout);
    [[nodiscard]] bool isRunning();
    /// Limits the descriptors that the process may have open.
    void limitDescriptors(std::size_t count) const;
    /// @returns the processor time that the process has used.
    [[nodiscard]] std::chrono::milliseconds processorTime() const;
    /// @returns the number of threads that the process has.
    [[nodiscard]] std::size_t threadCount() const;

private:
    pid_t m_pid = -1;
    std::optional<int> m_status; ///< set once the process was reaped
};

struct call_response {
    int status = 0; ///< 0: no response
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;
    bool isComplete = false; ///< false if the connection closed before the end of the body
};

struct http_call {
    std::string method = "GET";
    std::uint16_t port = 0;
    std::string path = "/";
    std::map<std::string, std::string> headers;
    std::string body;
    std::chrono::seconds timeout = kEventTimeout;
};

/// Sends one request to 127.0.0.1 and blocks until the response or a timeout.
call_response send(const http_call &call);

/// Sends a request on a separate thread.
class http_task
{
public:
    explicit http_task(http_call call);
    ~http_task();
    /// Blocks until the response.
    const call_response &get();

private:
    call_response m_response;
    std::thread m_thread;
};

/// A request whose first half is sent at once, and its rest on demand.
class partial_call
{
public:
    explicit partial_call(http_call call);
    ~partial_call();
    partial_call(const partial_call &) = delete;
    partial_call &operator=(const partial_call &) = delete;

    /// Sends the rest and blocks until the response.
    call_response finish();

private:
    http_call m_call;
    std::string m_rest;
    int m_socket = -1;
};

/// TCP proxy from an ephemeral port to a target port; cutting it emulates a network partition.
class tcp_link
{
public:
    explicit tcp_link(std::uint16_t targetPort);
    ~tcp_link();
    [[nodiscard]] std::uint16_t port() const;
    /// Closes open connections, accepts new ones and discards their data, as a network that loses packets does.
    void cut();
    void heal();

private:
    struct implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace foxtaildyke::testing
