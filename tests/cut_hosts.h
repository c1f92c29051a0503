// Two hosts with the same replicas, of which the first reaches them over paths that the test can cut. The hosts reach
// each other, the callers and the store all the time.
#pragma once

#include "gateway_process.h"
#include "severable_link.h"

namespace foxtaildyke
{

struct cut_hosts : gateway_process {
    struct counted_replica {
        std::unique_ptr<scripted_replica> server;
        std::unique_ptr<severable_link> link; ///< of the first host
    };

    explicit cut_hosts(const std::vector<std::string> &ids)
    {
        publish(1);
        otherStore.put("config", "main", store.specOf("config", "main"));
        for (const auto &id : ids)
            addReplica(id);
    }

    void addReplica(const std::string &id)
    {
        auto &added = replicas[id];
        added.server = std::make_unique<scripted_replica>(loop, id, [this](const received_request &request) {
            const std::string requestId(request.head.header("Foxtaildyke-Request-Id"));
            ++runs[requestId];
            runOrder.push_back(request);
            return respond(request);
        });
        const auto entry = added.server->entry("s");
        added.link = std::make_unique<severable_link>(loop, entry.address);
        put(store, entry, added.link->address());
        put(otherStore, entry, entry.address);
    }

    /// Starts the first host, and the second one, which always reaches the replicas.
    void startHosts()
    {
        otherPort = addHost("host-2", otherStore, detourSettings(m_otherDetour, m_ownDetour));
        callerPort = addHost("host-1", store, detourSettings(m_ownDetour, m_otherDetour));
    }

    void cut(cut_form form)
    {
        for (auto &[id, replica] : replicas)
            replica.link->cut(form);
    }

    void heal()
    {
        for (auto &[id, replica] : replicas)
            replica.link->heal();
    }

    /// Sends requests at a steady rate to the targets in turn, each on a connection of its own, and waits for the last
    /// responses. @returns the number of requests that were served.
    std::size_t load(std::uint16_t port, double perSecond, std::chrono::milliseconds time,
                     const std::vector<std::string> &targets = {"/safe/x", "/once/x", "/stream/x"})
    {
        const auto interval = std::chrono::microseconds{static_cast<std::int64_t>(1e6 / perSecond)};
        std::vector<std::unique_ptr<scripted_caller>> callers;
        const auto end = suspendAwareNow() + time;
        for (auto next = suspendAwareNow(); next < end; next += interval) {
            runUntil([next] { return suspendAwareNow() >= next; });
            callers.push_back(std::make_unique<scripted_caller>(loop, port));
            callers.back()->send(requestText("GET", targets.at(sent % targets.size()), "id-" + std::to_string(sent)));
            ++sent;
        }
        std::size_t served = 0;
        for (const auto &caller : callers) {
            REQUIRE(runUntil(
                [&] { return caller->isClosed || (!caller->responses.empty() && caller->responses[0].isComplete); }));
            const bool hasStatus = !caller->responses.empty();
            ++statuses[hasStatus ? caller->responses[0].head.status : 0];
            served += hasStatus && caller->responses[0].head.status == 200 && caller->responses[0].isComplete ? 1 : 0;
        }
        lastCount = callers.size();
        return served;
    }

    /// @returns the largest number of times that a replica received a request which may run once only.
    [[nodiscard]] std::size_t mostRunsOfOnce() const
    {
        std::map<std::string, std::size_t> counts;
        for (const auto &request : runOrder)
            if (request.head.target.starts_with("/once/"))
                ++counts[std::string(request.head.header("Foxtaildyke-Request-Id"))];
        std::size_t most = 0;
        for (const auto &[id, count] : counts)
            most = std::max(most, count);
        return most;
    }

    /// Response of every replica.
    std::function<replica_script(const received_request &)> respond = [](const received_request &request) {
        const std::string id(request.head.header("Foxtaildyke-Request-Id"));
        if (request.head.target.starts_with("/stream/"))
            return replica_script{streamText(id, 1, 3)};
        return replica_script{responseText(200, id, "whole body")};
    };

    standin_store otherStore{loop};
    std::map<std::string, counted_replica> replicas; ///< by id
    std::uint16_t otherPort = 0; ///< of the second host, for callers
    std::map<std::string, std::size_t> runs; ///< requests received by the replicas, by request id
    std::vector<received_request> runOrder; ///< the same, in order
    std::map<int, std::size_t> statuses; ///< number of responses by status; 0: none
    std::size_t sent = 0;
    std::size_t lastCount = 0; ///< requests of the last load()

private:
    static void put(standin_store &target, const replica_entry &entry, const http_endpoint &address)
    {
        target.put("servers", entry.id,
                   {{"service", entry.service},
                    {"address", address.address + ':' + std::to_string(address.port)},
                    {"zone", entry.failureDomain},
                    {"version", entry.version},
                    {"batch_slots", entry.slots},
                    {"state", "ready"},
                    {"born", std::int64_t{1'700'000'000'000}}});
    }

    [[nodiscard]] static std::string detourSettings(std::uint16_t own, std::uint16_t other)
    {
        return "detour = 127.0.0.1:" + std::to_string(own) + "\ndetour_hosts = 127.0.0.1:" + std::to_string(other)
            + "\n";
    }

    std::uint16_t m_ownDetour = testing::reservePort();
    std::uint16_t m_otherDetour = testing::reservePort();
};

} // namespace foxtaildyke
