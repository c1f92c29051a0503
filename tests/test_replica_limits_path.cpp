// Rate limits advertised by replicas, kept by a gateway between scripted callers and replicas.
#include "rate_limit_rule.h"
#include "steady_load.h"

using namespace foxtaildyke;
using rate_limit_rule::allowedInWindow;

namespace
{

/// Replicas that advertise limits, beside others.
struct limited_fixture : steady_load {
    /// @param limit value of the header with the limit; empty: none.
    scripted_replica &addReplica(const std::string &id, const std::string &limit)
    {
        limits[id] = limit;
        return steady_load::addReplica(id, [this, id](const received_request &request) {
            const auto &advertised = limits.at(id);
            return respondTo(request, advertised.empty() ? std::string() : "Server-Limit: " + advertised + "\r\n");
        });
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

    /// @returns the largest number of requests that a replica received in a window; it advertises its limit from the
    /// first one on.
    std::size_t mostInWindow(const std::string &id)
    {
        const auto &times = arrivals[id];
        return times.empty() ? 0 : rate_limit_rule::mostInWindow(times, times.front());
    }

    std::map<std::string, std::string> limits; ///< by replica
    bool rejects = false; ///< see respondTo()

private:
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
