// Support for tests with real processes: child processes, a blocking HTTP client, and TCP links that can be cut.
// Waiting is bounded by long limits; nothing here asserts a duration.
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

/// Longest time that a test waits for an event that must come.
constexpr std::chrono::seconds kEventLimit{60};

/// Polls until the condition holds. @returns whether it did within the limit.
bool waitFor(const std::function<bool()> &condition, std::chrono::milliseconds limit = kEventLimit);

/// @returns a TCP port on 127.0.0.1 that nothing listens on at the moment.
std::uint16_t freePort();

/// A process started by a test; killed with the object.
class child_process
{
public:
    /// @param arguments program path first.
    /// @param outputPath file that takes standard output and standard error.
    child_process(std::vector<std::string> arguments, const std::string &outputPath);
    ~child_process();
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;

    void signal(int number) const;
    /// Kills the process and waits for its end.
    void kill();
    /// @returns the exit code (128 + signal where a signal ended it), or nothing within the limit.
    std::optional<int> waitExit(std::chrono::milliseconds limit = kEventLimit);
    [[nodiscard]] bool isRunning();

private:
    pid_t m_pid = -1;
    std::optional<int> m_status; ///< set once the process was reaped
};

struct call_response {
    int status = 0; ///< 0: no answer
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;
    bool isComplete = false; ///< false where the connection ended before the end of the body
};

struct http_call {
    std::string method = "GET";
    std::uint16_t port = 0;
    std::string path = "/";
    std::map<std::string, std::string> headers;
    std::string body;
    std::chrono::seconds timeout = kEventLimit;
};

/// Sends one request to 127.0.0.1 and waits for the answer.
call_response send(const http_call &call);

/// Sends a request on a thread of its own.
class http_task
{
public:
    explicit http_task(http_call call);
    ~http_task();
    /// Waits for the answer.
    const call_response &get();

private:
    call_response m_response;
    std::thread m_thread;
};

/// Forwards TCP connections from a port of its own to a target, until it is cut.
class tcp_link
{
public:
    explicit tcp_link(std::uint16_t targetPort);
    ~tcp_link();
    [[nodiscard]] std::uint16_t port() const;
    /// Drops open connections and swallows new ones without an answer, as a network that loses packets does.
    void cut();
    void heal();

private:
    struct implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace foxtaildyke::testing
