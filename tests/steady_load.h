// Harness of a gateway between callers that send at a steady rate and replicas that state something about themselves in
// their responses.
#pragma once

#include "gateway_harness.h"

#include <set>

namespace foxtaildyke
{

struct steady_load : gateway_harness {
    /// Response of a replica to a request.
    using responder = std::function<replica_script(const received_request &)>;

    steady_load() { publish(makeConfig()); }

    /// Adds a replica whose responder may be replaced later in `responders`.
    scripted_replica &addReplica(const std::string &id, responder respond)
    {
        responders[id] = std::move(respond);
        replicas.push_back(std::make_unique<scripted_replica>(loop, id, [this, id](const received_request &request) {
            arrivals[id].push_back(suspendAwareNow());
            return responders.at(id)(request);
        }));
        return *replicas.back();
    }

    /// @returns a responder that answers every request, with additional headers.
    static responder answering(const std::string &headers = {})
    {
        return [headers](const received_request &request) {
            const std::string id(request.head.header("Foxtaildyke-Request-Id"));
            if (request.head.target.starts_with("/safe/") || request.head.target.starts_with("/once/"))
                return replica_script{responseText(200, id, "whole body", headers)};
            return replica_script{streamText(id, 1, 3, true, headers)};
        };
    }

    /// @returns a responder that rejects every request as not run, with additional headers.
    static responder rejecting(const std::string &headers, int status = 503)
    {
        return [headers, status](const received_request &request) {
            const std::string id(request.head.header("Foxtaildyke-Request-Id"));
            return replica_script{responseText(status, id, {}, "Foxtaildyke-Not-Executed: 1\r\n" + headers)};
        };
    }

    void publishAll()
    {
        std::vector<replica_entry> entries;
        std::ranges::transform(replicas, std::back_inserter(entries),
                               [](const auto &replica) { return replica->entry("s"); });
        publishReplicas(std::move(entries));
    }

    /// Sends requests at the given rate to the targets in turn, each on a connection of its own, and waits for the last
    /// responses.
    void load(double perSecond, std::chrono::milliseconds time, const std::vector<std::string> &targets = {"/safe/x"})
    {
        const auto interval = std::chrono::microseconds{static_cast<std::int64_t>(1e6 / perSecond)};
        std::vector<std::unique_ptr<scripted_caller>> callers;
        const auto end = suspendAwareNow() + time;
        for (auto next = suspendAwareNow(); next < end; next += interval) {
            runUntil([next] { return suspendAwareNow() >= next; });
            feed.listener->onConfigConfirmed(suspendAwareNow()); // keeps the key lease
            callers.push_back(std::make_unique<scripted_caller>(loop, task.callerPort()));
            const auto &target = targets.at(static_cast<std::size_t>(m_lastId) % targets.size());
            callers.back()->send(requestText("GET", target, "id-" + std::to_string(++m_lastId)));
        }
        for (const auto &caller : callers) {
            REQUIRE(runUntil(
                [&] { return caller->isClosed || (!caller->responses.empty() && caller->responses[0].isComplete); }));
            REQUIRE_FALSE(caller->responses.empty());
            ++statuses[caller->responses[0].head.status];
            if (caller->responses[0].head.status == 503)
                retryAfters.insert(std::string(caller->responses[0].head.header("Retry-After")));
        }
    }

    /// @returns the number of requests that a replica received in an interval.
    std::size_t arrivalsBetween(const std::string &id, instant from, instant to)
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(arrivals[id], [&](instant at) { return at >= from && at < to; }));
    }

    std::vector<std::unique_ptr<scripted_replica>> replicas;
    std::map<std::string, responder> responders; ///< by replica
    std::map<std::string, std::vector<instant>> arrivals; ///< by replica
    std::map<int, std::size_t> statuses; ///< number of responses by status
    std::set<std::string> retryAfters; ///< distinct values

private:
    int m_lastId = 0;
};

} // namespace foxtaildyke
