// The gateway program as a child process, between a store stand-in, scripted replicas and scripted callers that run in
// the test process.
#pragma once

#include "failure_support.h"
#include "gateway_harness.h"
#include "standin_store.h"

namespace foxtaildyke
{

class gateway_process : public test_loop
{
public:
    /// @param moreSettings lines of the section [gateway] that precede the default ones.
    explicit gateway_process(const std::string &moreSettings = {});
    ~gateway_process();
    gateway_process(const gateway_process &) = delete;
    gateway_process &operator=(const gateway_process &) = delete;

    standin_store store{loop};
    std::uint16_t callerPort = 0;

    /// Starts the program without waiting for it.
    void start();
    /// Starts the program and runs the loop until it waits for its settings, which giveSettings() writes.
    void startWithoutSettings();
    void giveSettings();
    /// After startWithoutSettings(): the program reads an empty file, as while its settings are being replaced.
    void giveEmptySettings();
    /// After startWithoutSettings(): the program reads an empty file, and again until the settings are given.
    void leaveSettingsEmpty();
    /// From the next start on, the program's output goes to a pipe that nobody reads.
    void leaveOutputUnread();
    /// After leaveOutputUnread(): leaves no room for output.
    void fillUnreadOutput() const;
    /// Starts the program and waits until it is ready. @returns false on timeout.
    bool startReady();

    [[nodiscard]] testing::child_process &process() { return *m_process; }
    void signal(int number) const { m_process->signal(number); }
    /// @returns the process of a further host, in the order in which they were added.
    [[nodiscard]] testing::child_process &hostProcess(std::size_t index) { return *m_moreHosts.at(index); }
    /// Runs the loop until the process ends. @returns its exit code.
    std::optional<int> waitExit();

    /// Publishes the configuration of gateway_harness::makeConfig() with the given keys.
    void publish(generation_number version, const std::vector<std::string> &keys = {"key-1"});
    /// Publishes the same configuration without the route /safe/.
    void publishWithoutSafe(generation_number version);
    void registerReplica(const scripted_replica &replica, const std::string &version = "v1",
                         const std::string &state = "ready", std::int64_t startedAtMs = 1'700'000'000'000);

    /// Starts the program for a further host, with the same store, and waits until it is ready.
    /// @returns its port for callers.
    std::uint16_t addHost(const std::string &host);
    /// @param other store that the host reads instead of `store`.
    /// @param moreSettings as in the constructor, instead of those.
    std::uint16_t addHost(const std::string &host, const standin_store &other, const std::string &moreSettings);

    /// Sends a request on a new connection. @returns its response, which is incomplete if the connection ended early.
    received_response sendRequest(const std::string &request) { return sendRequest(request, callerPort); }
    received_response sendRequest(const std::string &request, std::uint16_t port);
    /// @returns the status of a GET request to the readiness address; 0: no response.
    int readiness() { return readiness(m_readinessPort); }
    int readiness(std::uint16_t port);
    [[nodiscard]] std::uint16_t readinessPort() const { return m_readinessPort; }
    /// @returns the readiness port of the host that was added last.
    [[nodiscard]] std::uint16_t lastReadinessPort() const { return m_lastReadinessPort; }
    /// @returns the response body of the metrics address.
    std::string metrics();
    /// @returns whether the log has a line that contains both texts.
    [[nodiscard]] bool hasLogged(std::string_view first, std::string_view second) const;
    /// Waits until the log has such a line.
    bool waitForLog(std::string_view first, std::string_view second);

private:
    http_response get(std::uint16_t port, const std::string &path);
    [[nodiscard]] static nlohmann::json makeConfigSpec(generation_number version, const std::vector<std::string> &keys);
    /// Ports of one host.
    struct host_ports {
        std::uint16_t callers = 0;
        std::uint16_t readiness = 0;
        std::uint16_t metrics = 0;
    };
    /// @returns the path of the settings file.
    [[nodiscard]] std::string settingsPath() const { return m_directory + "/host-1.ini"; }
    [[nodiscard]] std::string writeSettings(const std::string &host, const host_ports &ports,
                                            const standin_store &hostStore, const std::string &moreSettings) const;
    [[nodiscard]] std::unique_ptr<testing::child_process> startProgram(const std::string &settingsPath) const;

    std::string m_directory;
    int m_unreadPipe = -1; ///< reading end of the program's output
    int m_settingsPipe = -1; ///< writing end of the settings that the program waits for
    std::string m_moreSettings;
    std::uint16_t m_readinessPort = 0;
    std::uint16_t m_metricsPort = 0;
    std::uint16_t m_lastReadinessPort = 0;
    http_client m_client{loop};
    std::unique_ptr<testing::child_process> m_process;
    std::vector<std::unique_ptr<testing::child_process>> m_moreHosts;
};

} // namespace foxtaildyke
