// Rate limits advertised by replicas, kept by a gateway between scripted callers and replicas.
#include "gateway_harness.h"
#include "rate_limit_rule.h"

using namespace foxtaildyke;
using rate_limit_rule::allowedInWindow;

namespace
{

/// A gateway between callers that send at a steady rate, and replicas that count what they get.
struct limited_fixture : gateway_harness {
    limited_fixture() { publish(makeConfig()); }

    /// @param limit value of the header with the limit; empty: none.
    scripted_replica &addReplica(const std::string &id, const std::string &limit)
    {
        limits[id] = limit;
        auto respond = [this, id](const received_request &request) {
            arrivals[id].push_back(suspendAwareNow());
            const auto &advertised = limits.at(id);
            const auto header = advertised.empty() ? std::string() : "Server-Limit: " + advertised + "\r\n";
            return respondTo(request, header);
        };
        replicas.push_back(std::make_unique<scripted_replica>(loop, id, std::move(respond)));
        return *replicas.back();
    }

    /// Responds so that each kind of request needs further attempts: routes with models get a low confidence, streams
    /// are broken off until they are resumed, and every second one of the other requests is rejected if rejects is set.
    replica_script respondTo(const received_request &request, const std::string &limitHeader)
    {
        const std::string id(request.head.header("Foxtaildyke-Request-Id"));
        const auto &target = request.head.target;
        if (target.starts_with("/sized/"))
            return {streamText(id, 1, 3, true, limitHeader + "Foxtaildyke-Confidence: 5\r\n")};
        if (target.starts_with("/stream/") && request.head.header("Last-Event-Id").empty())
            return {.bytes = streamText(id, 1, 3, false, limitHeader), .resets = true};
        if (target.starts_with("/stream/"))
            return {streamText(id, 4, 6, true, limitHeader)};
        if (rejects && ++m_answered % 2 == 0)
            return {notRunText()};
        return {responseText(200, id, "whole body", limitHeader)};
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

    /// @returns the largest number of requests that a replica received in a window; it advertises its limit from the
    /// first one on.
    std::size_t mostInWindow(const std::string &id)
    {
        const auto &times = arrivals[id];
        return times.empty() ? 0 : rate_limit_rule::mostInWindow(times, times.front());
    }

    std::vector<std::unique_ptr<scripted_replica>> replicas;
    std::map<std::string, std::string> limits; ///< by replica
    std::map<std::string, std::vector<instant>> arrivals; ///< by replica
    std::map<int, std::size_t> statuses; ///< number of responses by status
    std::set<std::string> retryAfters; ///< distinct values
    bool rejects = false; ///< see respondTo()

private:
    int m_lastId = 0;
    int m_answered = 0;
};

} // namespace

TEST_CASE("rate limit: a replica that advertises a limit gets no more, and another replica gets the rest")
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

TEST_CASE("rate limit: retries, resumed streams and escalations count against the limit")
{
    limited_fixture fixture;
    fixture.rejects = true;
    fixture.addReplica("limited", "3");
    fixture.addReplica("limited-2", "2.5");
    fixture.addReplica("sound", "");
    fixture.publishAll();
    fixture.load(60, std::chrono::seconds{8}, {"/safe/x", "/stream/x", "/sized/x", "/once/x"});
    CHECK(fixture.mostInWindow("limited") <= allowedInWindow(3));
    CHECK(fixture.mostInWindow("limited-2") <= allowedInWindow(2.5));
}

TEST_CASE("rate limit: a value that isn't a limit changes nothing, and a response without one ends the limit")
{
    limited_fixture fixture;
    fixture.addReplica("limited", "3");
    fixture.addReplica("sound", "");
    fixture.publishAll();
    fixture.load(50, std::chrono::seconds{2});
    const auto limitedBefore = fixture.arrivals["limited"].size();
    for (const auto *text : {"many", "-3", "nan", "inf", "0x10", "1e3", "3 3"}) {
        fixture.limits["limited"] = text;
        fixture.load(50, std::chrono::milliseconds{500});
    }
    CHECK(fixture.arrivals["limited"].size() <= limitedBefore + allowedInWindow(3));
    fixture.limits["limited"] = "";
    // With the share of one of 16 assumed hosts, the next request is due within 6 s.
    CHECK(fixture.runUntil([&] {
        fixture.load(50, std::chrono::milliseconds{500});
        return fixture.arrivals["limited"].size() > limitedBefore + allowedInWindow(3) + 10;
    }));
}
