// Support for tests with real processes; see failure_support.h.
#include "failure_support.h"

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <mutex>
#include <netinet/in.h>
#include <poll.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace foxtaildyke::testing
{

namespace
{

constexpr std::chrono::milliseconds kPollInterval{10};

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int connectTo(std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopback(port);
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0)
        return socket;
    ::close(socket);
    return -1;
}

bool sendAll(int socket, std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto sent = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

/// Reads until the peer closes the connection. @returns nothing on timeout.
std::optional<std::string> readToEnd(int socket, std::chrono::milliseconds timeout)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    std::string bytes;
    char buffer[4096];
    for (;;) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - std::chrono::steady_clock::now());
        pollfd entry{socket, POLLIN, 0};
        if (left.count() <= 0 || ::poll(&entry, 1, static_cast<int>(left.count())) <= 0)
            return std::nullopt;
        const auto size = ::recv(socket, buffer, sizeof buffer, 0);
        if (size <= 0)
            return bytes;
        bytes.append(buffer, static_cast<std::size_t>(size));
    }
}

/// Decodes the chunked transfer coding. @returns whether the last chunk was present.
bool decodeChunks(std::string_view coded, std::string &body)
{
    for (;;) {
        const auto lineEnd = coded.find("\r\n");
        if (lineEnd == std::string_view::npos)
            return false;
        const auto size = std::strtoul(std::string(coded.substr(0, lineEnd)).c_str(), nullptr, 16);
        coded.remove_prefix(lineEnd + 2);
        if (size == 0)
            return true;
        body.append(coded.substr(0, size));
        if (coded.size() < size + 2)
            return false;
        coded.remove_prefix(size + 2);
    }
}

void readHeaders(std::string_view head, call_response &response)
{
    while (!head.empty()) {
        const auto end = std::min(head.find("\r\n"), head.size());
        const auto line = head.substr(0, end);
        const auto colon = line.find(':');
        if (colon != std::string_view::npos) {
            std::string name(line.substr(0, colon));
            std::ranges::transform(name, name.begin(), [](unsigned char c) { return std::tolower(c); });
            const auto value = line.substr(std::min(line.find_first_not_of(' ', colon + 1), line.size()));
            response.headers[name] = std::string(value);
        }
        head.remove_prefix(std::min(end + 2, head.size()));
    }
}

call_response parseResponse(const std::string &bytes)
{
    call_response response;
    const auto headEnd = bytes.find("\r\n\r\n");
    if (headEnd == std::string::npos || bytes.size() < 12)
        return response;
    response.status = std::atoi(bytes.substr(9, 3).c_str());
    readHeaders(std::string_view(bytes).substr(0, headEnd), response);
    const auto rest = std::string_view(bytes).substr(headEnd + 4);
    if (response.headers.contains("transfer-encoding")) {
        response.isComplete = decodeChunks(rest, response.body);
        return response;
    }
    response.body = rest;
    const auto length = response.headers.find("content-length");
    response.isComplete = length == response.headers.end() || std::stoul(length->second) == rest.size();
    return response;
}

std::string formatRequest(const http_call &call)
{
    auto text = call.method + " " + call.path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n";
    for (const auto &[name, value] : call.headers)
        text.append(name).append(": ").append(value).append("\r\n");
    if (!call.body.empty() || call.method != "GET")
        text += "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
    return text + "\r\n" + call.body;
}

} // namespace

bool waitFor(const std::function<bool()> &condition, std::chrono::milliseconds timeout)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        std::this_thread::sleep_for(kPollInterval);
    }
    return true;
}

std::uint16_t reservePort()
{
    // Stays open until the process ends. Without SO_REUSEADDR here, no other socket could listen on the port.
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int isReusable = 1;
    auto address = loopback(0);
    socklen_t size = sizeof address;
    const bool isBound = ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &isReusable, sizeof isReusable) == 0
        && ::bind(socket, reinterpret_cast<const sockaddr *>(&address), size) == 0
        && ::getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size) == 0;
    if (!isBound)
        throw std::runtime_error("cannot reserve a port on 127.0.0.1");
    return ntohs(address.sin_port);
}

child_process::child_process(std::vector<std::string> arguments, const std::string &outputPath)
{
    std::vector<char *> argv;
    std::ranges::transform(arguments, std::back_inserter(argv), [](std::string &text) { return text.data(); });
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, outputPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int status = ::posix_spawn(&m_pid, argv[0], &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (status != 0)
        throw std::runtime_error("cannot spawn " + arguments.front());
}

child_process::~child_process()
{
    kill();
}

void child_process::signal(int number) const
{
    if (!m_status)
        ::kill(m_pid, number);
}

void child_process::kill()
{
    signal(SIGKILL);
    waitExit();
}

std::optional<int> child_process::waitExit(std::chrono::milliseconds timeout)
{
    const bool ended = waitFor([this] { return !isRunning(); }, timeout);
    return ended ? m_status : std::nullopt;
}

bool child_process::isRunning()
{
    if (m_status)
        return false;
    int status = 0;
    if (::waitpid(m_pid, &status, WNOHANG) != m_pid)
        return true;
    m_status = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    return false;
}

void child_process::limitDescriptors(std::size_t count) const
{
    const rlimit limit{count, count};
    if (::prlimit(m_pid, RLIMIT_NOFILE, &limit, nullptr) != 0)
        throw std::runtime_error("cannot limit the descriptors of a process");
}

std::chrono::milliseconds child_process::processorTime() const
{
    clockid_t clock{};
    timespec time{};
    if (::clock_getcpuclockid(m_pid, &clock) != 0 || ::clock_gettime(clock, &time) != 0)
        throw std::runtime_error("cannot read the processor time of a process");
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::seconds{time.tv_sec}
                                                                 + std::chrono::nanoseconds{time.tv_nsec});
}

std::size_t child_process::threadCount() const
{
    const std::filesystem::directory_iterator tasks("/proc/" + std::to_string(m_pid) + "/task");
    return static_cast<std::size_t>(std::distance(begin(tasks), end(tasks)));
}

call_response send(const http_call &call)
{
    const int socket = connectTo(call.port);
    if (socket < 0)
        return {};
    std::optional<std::string> bytes;
    if (sendAll(socket, formatRequest(call)))
        bytes = readToEnd(socket, call.timeout);
    ::close(socket);
    return bytes ? parseResponse(*bytes) : call_response{};
}

partial_call::partial_call(http_call call)
    : m_call(std::move(call))
    , m_rest(formatRequest(m_call))
    , m_socket(connectTo(m_call.port))
{
    const auto half = m_rest.size() / 2;
    if (m_socket >= 0 && sendAll(m_socket, m_rest.substr(0, half)))
        m_rest.erase(0, half);
}

partial_call::~partial_call()
{
    ::close(m_socket);
}

call_response partial_call::finish()
{
    std::optional<std::string> bytes;
    if (sendAll(m_socket, m_rest))
        bytes = readToEnd(m_socket, m_call.timeout);
    return bytes ? parseResponse(*bytes) : call_response{};
}

http_task::http_task(http_call call)
    : m_thread([this, call = std::move(call)] { m_response = send(call); })
{
}

http_task::~http_task()
{
    if (m_thread.joinable())
        m_thread.join();
}

const call_response &http_task::get()
{
    if (m_thread.joinable())
        m_thread.join();
    return m_response;
}

struct tcp_link::implementation {
    int listener = -1;
    std::uint16_t port = 0;
    std::uint16_t target = 0;
    std::atomic<bool> isCut = false;
    std::atomic<bool> isStopped = false;
    std::thread thread;

    /// Client and target sockets of a proxied connection. One accepted during a cut has no target.
    struct proxied_connection {
        int clientSocket = -1;
        int targetSocket = -1;
    };
    std::vector<proxied_connection> connections; ///< accessed by the proxy thread only

    void closeConnection(proxied_connection &entry)
    {
        ::close(entry.clientSocket);
        if (entry.targetSocket >= 0)
            ::close(entry.targetSocket);
        entry = {};
    }

    void accept()
    {
        const int clientSocket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (clientSocket < 0)
            return;
        const int targetSocket = isCut ? -1 : connectTo(target);
        if (targetSocket < 0 && !isCut) {
            ::close(clientSocket);
            return;
        }
        connections.push_back({clientSocket, targetSocket});
    }

    /// @returns false if the connection has closed.
    static bool forward(int from, int to)
    {
        char buffer[16384];
        const auto size = ::recv(from, buffer, sizeof buffer, 0);
        if (size <= 0)
            return false;
        return to < 0 || sendAll(to, {buffer, static_cast<std::size_t>(size)});
    }

    void closeForwardedWhileCut()
    {
        if (isCut)
            std::ranges::for_each(connections, [this](proxied_connection &entry) {
                if (entry.targetSocket >= 0)
                    closeConnection(entry);
            });
        std::erase_if(connections, [](const proxied_connection &entry) { return entry.clientSocket < 0; });
    }

    void pollOnce()
    {
        std::vector<pollfd> entries{{listener, POLLIN, 0}};
        for (const auto &entry : connections) {
            entries.push_back({entry.clientSocket, POLLIN, 0});
            entries.push_back({entry.targetSocket, POLLIN, 0}); // poll ignores a descriptor of -1
        }
        ::poll(entries.data(), entries.size(), static_cast<int>(kPollInterval.count()));
        for (std::size_t i = 0; i < connections.size(); ++i) {
            auto &entry = connections[i];
            const bool clientReady = entries[1 + 2 * i].revents != 0;
            const bool targetReady = entries[2 + 2 * i].revents != 0;
            const bool isOpen = (!clientReady || forward(entry.clientSocket, entry.targetSocket))
                && (!targetReady || forward(entry.targetSocket, entry.clientSocket));
            if (!isOpen)
                closeConnection(entry);
        }
        if (entries[0].revents != 0)
            accept();
        closeForwardedWhileCut();
    }

    void run()
    {
        while (!isStopped)
            pollOnce();
        std::ranges::for_each(connections, [this](proxied_connection &entry) { closeConnection(entry); });
        ::close(listener);
    }
};

tcp_link::tcp_link(std::uint16_t targetPort)
    : m_impl(std::make_unique<implementation>())
{
    m_impl->target = targetPort;
    m_impl->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = loopback(0);
    socklen_t size = sizeof address;
    const bool isListening = ::bind(m_impl->listener, reinterpret_cast<const sockaddr *>(&address), size) == 0
        && ::listen(m_impl->listener, SOMAXCONN) == 0
        && ::getsockname(m_impl->listener, reinterpret_cast<sockaddr *>(&address), &size) == 0;
    if (!isListening)
        throw std::runtime_error("a TCP link cannot listen on 127.0.0.1");
    m_impl->port = ntohs(address.sin_port);
    m_impl->thread = std::thread([this] { m_impl->run(); });
}

tcp_link::~tcp_link()
{
    m_impl->isStopped = true;
    m_impl->thread.join();
}

std::uint16_t tcp_link::port() const
{
    return m_impl->port;
}

void tcp_link::cut()
{
    m_impl->isCut = true;
}

void tcp_link::heal()
{
    m_impl->isCut = false;
}

} // namespace foxtaildyke::testing
