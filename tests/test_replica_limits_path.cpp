// Rate limits named by replicas, kept by a gateway between scripted callers and replicas.
#include "gateway_harness.h"

using namespace foxtaildyke;

namespace
{

/// Requests that a replica with a limit may get in any kWindow, from kSettleTime after it first named the limit.
constexpr std::chrono::seconds kWindow{4};
constexpr std::chrono::seconds kSettleTime{3};

std::size_t allowedInWindow(double perSecond)
{
    return static_cast<std::size_t>(1.5 * perSecond * static_cast<double>(kWindow.count()) + 5);
}

/// A gateway between callers that send at a steady rate, and replicas that count what they get.
struct limited_fixture : gateway_harness {
    limited_fixture() { publish(makeConfig()); }

    /// @param limit value of the header with the limit; empty: none.
    scripted_replica &addReplica(const std::string &id, const std::string &limit)
    {
        limits[id] = limit;
        auto respond = [this, id](const received_request &request) {
            arrivals[id].push_back(suspendAwareNow());
            const auto &named = limits.at(id);
            const auto header = named.empty() ? std::string() : "Server-Limit: " + named + "\r\n";
            const std::string requestId(request.head.header("Foxtaildyke-Request-Id"));
            return replica_script{responseText(200, requestId, "whole body", header)};
        };
        replicas.push_back(std::make_unique<scripted_replica>(loop, id, std::move(respond)));
        return *replicas.back();
    }

    void publishAll()
    {
        std::vector<replica_entry> entries;
        std::ranges::transform(replicas, std::back_inserter(entries),
                               [](const auto &replica) { return replica->entry("s"); });
        publishReplicas(std::move(entries));
    }

    /// Sends requests at the given rate, each on a connection of its own, and waits for the last responses.
    void load(double perSecond, std::chrono::milliseconds time)
    {
        const auto interval = std::chrono::microseconds{static_cast<std::int64_t>(1e6 / perSecond)};
        std::vector<std::unique_ptr<scripted_caller>> callers;
        const auto end = suspendAwareNow() + time;
        for (auto next = suspendAwareNow(); next < end; next += interval) {
            runUntil([next] { return suspendAwareNow() >= next; });
            feed.listener->onConfigConfirmed(suspendAwareNow()); // keeps the key lease
            callers.push_back(std::make_unique<scripted_caller>(loop, task.callerPort()));
            callers.back()->send(requestText("GET", "/safe/x", "id-" + std::to_string(++m_lastId)));
        }
        for (const auto &caller : callers) {
            REQUIRE(runUntil([&] { return !caller->responses.empty() && caller->responses[0].isComplete; }));
            ++statuses[caller->responses[0].head.status];
            if (caller->responses[0].head.status == 503)
                retryAfters.insert(std::string(caller->responses[0].head.header("Retry-After")));
        }
    }

    /// @returns the most requests that a replica got in a window that begins kSettleTime or more after the first.
    std::size_t mostInWindow(const std::string &id)
    {
        const auto &times = arrivals[id];
        std::size_t most = 0;
        for (auto first = times.begin(); first != times.end(); ++first) {
            if (*first - times.front() < kSettleTime)
                continue;
            const auto last =
                std::ranges::find_if(first, times.end(), [&](instant at) { return at - *first >= kWindow; });
            most = std::max(most, static_cast<std::size_t>(last - first));
        }
        return most;
    }

    std::vector<std::unique_ptr<scripted_replica>> replicas;
    std::map<std::string, std::string> limits; ///< by replica
    std::map<std::string, std::vector<instant>> arrivals; ///< by replica
    std::map<int, std::size_t> statuses; ///< number of responses by status
    std::set<std::string> retryAfters; ///< distinct values

private:
    int m_lastId = 0;
};

} // namespace

TEST_CASE("rate limit: a replica that names a limit gets no more, and another replica gets the rest")
{
    limited_fixture fixture;
    fixture.addReplica("limited", "3");
    fixture.addReplica("sound", "");
    fixture.publishAll();
    fixture.load(50, std::chrono::seconds{8});
    CHECK(fixture.mostInWindow("limited") <= allowedInWindow(3));
    CHECK(fixture.statuses[200] == 400);
}

TEST_CASE("rate limit: requests beyond the limit of the only replica are refused as not run, with spread retry times")
{
    limited_fixture fixture;
    fixture.addReplica("limited", "2.9");
    fixture.publishAll();
    fixture.load(50, std::chrono::seconds{8});
    CHECK(fixture.mostInWindow("limited") <= allowedInWindow(2.9));
    CHECK(fixture.statuses[200] == fixture.arrivals["limited"].size());
    CHECK(fixture.statuses[200] + fixture.statuses[503] == 400);
    CHECK(fixture.retryAfters.size() > 50);
}
