// Simulates the relay instances of a whole fleet and a store in one process, with an in-memory message bus and virtual
// time. Counts messages and their protobuf sizes.
#pragma once

#include "relay_p.h"

#include <map>
#include <memory>
#include <random>
#include <set>

namespace foxtaildyke::sim
{

struct bus_counts {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0; ///< protobuf sizes, sent and received
};

class relay_bus
{
public:
    /// @param hosts number of registered hosts, all started at time 0.
    relay_bus(std::size_t hosts, std::chrono::milliseconds period, std::size_t fanOut, std::uint32_t seed = 1);
    ~relay_bus();

    /// Runs until this much virtual time has passed.
    void run(instant duration);

    /// Writes a new generation to the store.
    void publish();

    void setStoreUp(bool isUp) { m_storeUp = isUp; }
    /// Drops all messages between the hosts of the set and the others, and between the set and the store.
    void isolate(std::set<std::size_t> hosts) { m_isolated = std::move(hosts); }
    void kill(std::size_t host);
    void start(std::size_t host);
    [[nodiscard]] bool isRunning(std::size_t host) const { return m_hosts[host] != nullptr; }

    [[nodiscard]] relay &relayOf(std::size_t host);
    [[nodiscard]] const freshness &freshnessOf(std::size_t host) const;
    [[nodiscard]] bool mayDispatch(std::size_t host) const;
    [[nodiscard]] std::size_t hostCount() const { return m_hosts.size(); }
    [[nodiscard]] instant now() const { return m_now; }
    [[nodiscard]] instant clockOf(std::size_t host) const;
    /// @returns the number of hosts that may dispatch.
    [[nodiscard]] std::size_t dispatcherCount() const;
    /// @returns the number of hosts that have adopted the generation or a newer one.
    [[nodiscard]] std::size_t adoptedCount(generation_number generation) const;
    [[nodiscard]] std::vector<std::size_t> roots() const;
    [[nodiscard]] generation_number published() const { return m_generation; }
    [[nodiscard]] const bus_counts &countsOf(std::size_t host) const { return m_counts[host]; }
    [[nodiscard]] std::uint64_t storeReads() const { return m_storeReads; }
    void resetCounts();

    static std::string nameOf(std::size_t host);

private:
    struct host_state;
    using event_key = std::pair<instant, std::uint64_t>;

    void schedule(instant when, std::function<void()> action);
    void dispatchActions(std::size_t host);
    void sendCall(std::size_t host, const start_exchange &action);
    void deliverCall(std::size_t from, std::size_t to, std::uint32_t incarnation, call_token call,
                     const std::string &bytes);
    void finishCall(std::size_t host, std::uint32_t incarnation, call_token call,
                    const result<exchange_response> &response);
    void readStore(std::size_t host);
    void runTimer(std::size_t host);
    void adopt(std::size_t host, const config_content &config);
    [[nodiscard]] bool canReach(std::size_t from, std::size_t to) const;
    [[nodiscard]] instant latency();

    std::chrono::milliseconds m_period;
    std::size_t m_fanOut;
    std::mt19937 m_random;
    std::vector<std::string> m_names;
    std::vector<std::unique_ptr<host_state>> m_hosts; ///< empty pointer: not running
    std::vector<bus_counts> m_counts;
    std::vector<std::uint32_t> m_incarnations;
    std::map<event_key, std::function<void()>> m_events;
    std::uint64_t m_eventNumber = 0;
    instant m_now{};
    generation_number m_generation = 1;
    bool m_storeUp = true;
    std::set<std::size_t> m_isolated;
    std::uint64_t m_storeReads = 0;
};

} // namespace foxtaildyke::sim
