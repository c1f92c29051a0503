// Virtual-time simulation of hosts, a store and configuration writers, to test the freshness rules under random faults.
// Hosts exchange acknowledgements in pairs; the relay tree is not simulated.
#pragma once

#include "freshness_p.h"

#include <map>
#include <random>

namespace foxtaildyke::sim
{

enum class fault_kind : std::uint8_t {
    partition, ///< messages between the hosts of the set and the others are lost
    cutStore, ///< the hosts of the set cannot reach the store
    pause, ///< the hosts of the set are suspended; messages to them are delivered afterwards
    restart, ///< the hosts of the set are down for this time and lose their state
    outage, ///< no host reaches the store
    count
};

struct fault {
    fault_kind kind = fault_kind::pause;
    int start = 0; ///< step
    int length = 0; ///< steps
    std::uint32_t hosts = 0; ///< bit i stands for host i
    [[nodiscard]] bool affects(std::size_t host) const { return (hosts >> host & 1U) != 0; }
};

/// One generation as written to the store.
struct sim_config {
    std::string changeId;
    std::vector<std::string> hosts;
};

/// Runs the hosts and writers step by step and checks the freshness rules at each step.
class freshness_sim
{
public:
    static constexpr int kStepMs = 50;
    static constexpr int kSteps = 400;

    freshness_sim(std::size_t hosts, std::uint32_t seed, std::vector<fault> faults);

    /// @returns the first violated rule, or an empty string.
    [[nodiscard]] std::string run();

    [[nodiscard]] std::size_t acceptedChanges() const { return m_acceptedCount; }
    [[nodiscard]] std::size_t dispatches() const { return m_dispatches; }
    [[nodiscard]] std::size_t quorumLeases() const { return m_quorumLeases; }
    [[nodiscard]] std::size_t quorumRecoveries() const { return m_quorumRecoveries; }

private:
    struct sim_host {
        std::string name;
        instant clockOffset{}; ///< clocks of hosts differ, and a restart sets a new offset
        std::uint32_t incarnation = 0;
        std::unique_ptr<freshness> state;
        std::map<std::string, instant> acknowledgedAt; ///< by host, for the adopted generation
        generation_number acknowledgedGeneration = 0;
        std::map<std::string, instant> issued; ///< clock value last sent to each host
        std::map<std::string, instant> echo; ///< clock value last received from each host
        generation_number highest = 0; ///< since the restart
    };
    struct message {
        int deliverAt = 0;
        std::size_t from = 0;
        std::size_t to = 0;
        std::uint32_t fromIncarnation = 0;
        std::uint32_t toIncarnation = 0; ///< of a response: a restarted host gets no responses to its earlier calls
        bool isResponse = false;
        generation_number generation = 0;
        bool recovering = false;
        bool isAcknowledgement = false;
        instant echoed{};
        instant clock{};
        instant sentAt{}; ///< of the request, on the caller's clock
        std::optional<freshness_stamp> stamp; ///< currentAt is its age
    };
    struct store_response {
        int deliverAt = 0;
        std::size_t host = 0;
        std::uint32_t incarnation = 0;
        generation_number generation = 0;
        instant readStarted{};
    };
    struct writer {
        enum class phase : std::uint8_t { idle, writing, unconfirmed, waiting } currentPhase = phase::idle;
        int nextStep = 0;
        generation_number base = 0;
        generation_number written = 0;
        std::string changeId;
        int majorityAt = -1;
    };

    [[nodiscard]] bool isActive(fault_kind kind, std::size_t host) const;
    [[nodiscard]] bool isCut(std::size_t first, std::size_t second) const;
    [[nodiscard]] instant clockOf(const sim_host &host) const;
    [[nodiscard]] int delay();
    void boot(sim_host &host);
    void adopt(sim_host &host, generation_number generation);
    void readStore(std::size_t index);
    void sendRequests(std::size_t index);
    void receive(const message &incoming);
    void handleRequest(const message &request);
    void handleResponse(const message &response);
    void applyStamps(sim_host &host);
    void deliver();
    void stepHost(std::size_t index);
    void stepWriter(writer &state);
    void tryWrite(writer &state);
    void resolveWrite(writer &state);
    void checkAccepted(writer &state);
    [[nodiscard]] std::vector<std::string> acknowledgedBy(std::size_t observer) const;
    [[nodiscard]] bool majorityHolds(generation_number generation) const;
    [[nodiscard]] std::vector<std::string> nextHosts(generation_number base);
    void fail(std::string text);

    std::mt19937 m_random;
    std::vector<fault> m_faults;
    std::vector<sim_host> m_hosts;
    std::vector<sim_config> m_store; ///< index is the generation; entry 0 is unused
    std::vector<message> m_messages;
    std::vector<store_response> m_storeResponses;
    std::vector<writer> m_writers;
    generation_number m_accepted = 0; ///< highest generation reported as accepted
    std::map<generation_number, std::string> m_acceptedIds;
    std::size_t m_acceptedCount = 0;
    std::size_t m_dispatches = 0;
    std::size_t m_quorumLeases = 0;
    std::size_t m_quorumRecoveries = 0;
    int m_step = 0;
    std::string m_failure;
};

} // namespace foxtaildyke::sim
