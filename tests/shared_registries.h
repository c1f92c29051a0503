// Test helper: crash registries of several hosts that share their reports through a store, on one clock.
#pragma once

#include "crash_registry_p.h"

namespace foxtaildyke
{

struct shared_registries {
    explicit shared_registries(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index)
            hosts.emplace_back("host-" + std::to_string(index));
        deliver();
    }

    void publish(std::size_t index)
    {
        const auto reports = hosts[index].takeUnpublished(now);
        if (!reports)
            return;
        ++writes;
        const auto name = "host-" + std::to_string(index);
        if (reports->empty())
            stored.erase(name);
        else
            stored[name] = *reports;
    }

    void deliver()
    {
        for (auto &host : hosts)
            host.setStoredReports(stored, now);
    }

    /// Lets time pass in which the hosts store and read reports.
    void advance(std::chrono::milliseconds time)
    {
        constexpr auto kTick = std::chrono::milliseconds{250};
        for (std::chrono::milliseconds passed{0}; passed < time; passed += kTick) {
            now += kTick;
            for (std::size_t index = 0; index < hosts.size(); ++index) {
                hosts[index].expire(now);
                publish(index);
            }
            deliver();
        }
    }

    /// @param traits of a request. @returns the number of hosts that block it.
    [[nodiscard]] std::size_t blocking(const std::vector<std::uint64_t> &traits) const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(hosts, [&](const auto &host) { return host.findBlock(traits, now).has_value(); }));
    }

    instant now{std::chrono::seconds{100}};
    std::vector<crash_registry> hosts;
    crash_reports_by_host stored;
    std::size_t writes = 0;
};

} // namespace foxtaildyke
