// Measures the relay tree on the in-memory bus for several fleet sizes and prints a Markdown table; run by
// scripts/measure-relay.
#include "relay_bus.h"

#include <ctime>
#include <iomanip>
#include <iostream>

using namespace foxtaildyke;
using namespace foxtaildyke::sim;
using namespace std::chrono_literals;

namespace
{

struct setup {
    std::size_t hosts = 0;
    std::size_t fanOut = 0;
    std::chrono::milliseconds period{};
};

constexpr auto kMeasuredTime = 60s;
constexpr auto kStep = 500ms;

/// One change every 4 s, 21,600 a day.
constexpr int kStepsBetweenChanges = 8;
constexpr std::size_t kVersions = 31;
constexpr std::size_t kAccounts = 10;

/// 15,000 requests/s spread over 350 hosts, per step of 0.5 s.
constexpr double kRequestsPerHostAndStep = 15000.0 / 350 * 0.5;

constexpr std::array kLoadNames{"idle", "first minute", "after an hour"};

enum class load_kind : std::uint8_t { idle, first_minute, after_an_hour };

/// Adds the results and the demand of one step at one host.
/// @param factor multiplier of the results.
void addLoad(relay_bus &bus, std::size_t host, std::mt19937 &random, std::uint64_t factor = 1)
{
    std::vector<shared_count> counts;
    demand_map demand;
    for (std::size_t v = 0; v < kVersions; ++v) {
        const auto number = random() % static_cast<unsigned>(2 * kRequestsPerHostAndStep / kVersions + 1);
        const auto failed = random() % 20 == 0 ? std::min<std::uint64_t>(number, 1) : 0;
        if (number > 0)
            counts.push_back({{{}, "model-" + std::to_string(v) + "-v1"},
                              {(number - failed) * factor, failed * factor, number * factor, number * factor}});
    }
    for (std::size_t a = 0; a < kAccounts; ++a)
        demand["account-" + std::to_string(a)] = 4000 + random() % 800;
    bus.relayOf(host).addEvidence(counts);
    bus.relayOf(host).setDemand(std::move(demand));
}

/// Publishes a generation. @returns the virtual time until all hosts have it, in ms.
double propagationTime(relay_bus &bus)
{
    const auto start = bus.now();
    bus.publish();
    while (bus.adoptedCount(bus.published()) < bus.hostCount() && bus.now() - start < 30s)
        bus.run(5ms);
    return static_cast<double>((bus.now() - start).count()) / 1000;
}

void measure(const setup &config, load_kind load)
{
    relay_bus bus(config.hosts, config.period, config.fanOut);
    std::mt19937 random(1);
    bus.run(15s);
    double propagation = 0;
    for (int i = 0; i < 10; ++i) {
        propagation = std::max(propagation, propagationTime(bus));
        bus.run(3s);
    }
    const bool isLoaded = load != load_kind::idle;
    // Adds the results of an hour in one step and waits until they have propagated.
    for (std::size_t i = 0; load == load_kind::after_an_hour && i < config.hosts; ++i)
        addLoad(bus, i, random, 7200);
    bus.run(100s);
    bus.resetCounts();
    const auto startedAt = std::clock();
    int step = 0;
    for (instant elapsed{}; elapsed < kMeasuredTime; elapsed += kStep) {
        if (isLoaded)
            for (std::size_t i = 0; i < config.hosts; ++i)
                addLoad(bus, i, random);
        if (isLoaded && ++step % kStepsBetweenChanges == 0)
            bus.publish();
        bus.run(kStep);
    }
    const auto cpu = static_cast<double>(std::clock() - startedAt) / CLOCKS_PER_SEC;
    constexpr double kSeconds = std::chrono::duration<double>(kMeasuredTime).count();
    std::uint64_t bytes = 0;
    std::uint64_t largest = 0;
    std::uint64_t messages = 0;
    for (std::size_t i = 0; i < config.hosts; ++i) {
        bytes += bus.countsOf(i).bytes;
        messages += bus.countsOf(i).messages;
        largest = std::max(largest, bus.countsOf(i).bytes);
    }
    const auto hosts = static_cast<double>(config.hosts);
    const auto storeReads = static_cast<double>(bus.storeReads()) / kSeconds;
    bus.setStoreUp(false);
    std::size_t fewestDispatchers = config.hosts;
    for (int i = 0; i < 200; ++i) {
        bus.run(100ms);
        fewestDispatchers = std::min(fewestDispatchers, bus.dispatcherCount());
    }
    std::cout << std::fixed << std::setprecision(0) << "| " << config.hosts << " | " << config.fanOut << " | "
              << config.period.count() << " | " << kLoadNames[static_cast<std::size_t>(load)] << " | "
              << static_cast<double>(bytes) / hosts / kSeconds << " | " << static_cast<double>(largest) / kSeconds
              << " | " << std::setprecision(1) << static_cast<double>(messages) / hosts / kSeconds << " | "
              << storeReads << " | " << std::setprecision(0) << propagation << " | "
              << cpu * 2e6 / static_cast<double>(messages) << " | " << std::setprecision(3)
              << cpu / kSeconds / hosts * 100 << " | " << fewestDispatchers << " |" << std::endl;
}

} // namespace

int main()
{
    std::cout << "| hosts | fan-out | period ms | load | bytes/s mean | bytes/s largest | messages/s per node | store "
                 "reads/s | change to all ms | µs per exchange | % core mean | leases in outage |\n"
                 "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for (const auto &config :
         {setup{9, 8, 500ms}, setup{50, 8, 500ms}, setup{150, 8, 500ms}, setup{350, 8, 500ms}, setup{350, 8, 1000ms},
          setup{350, 4, 500ms}, setup{350, 4, 700ms}, setup{350, 20, 1000ms}})
        for (const auto load : {load_kind::idle, load_kind::first_minute, load_kind::after_an_hour})
            measure(config, load);
}
