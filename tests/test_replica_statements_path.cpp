// What replicas state about themselves in their responses, followed by a gateway between scripted callers and replicas:
// that they leave, and for how long they want no requests.
#include "replica_statement_rule.h"
#include "steady_load.h"

using namespace foxtaildyke;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr const char *kLeaving = "Server-Leaving: 1\r\n";

std::string retryAfter(const std::string &value)
{
    return "Retry-After: " + value + "\r\n";
}

/// @returns the requests that a replica received which its leaving forbids, if it has stated it since its first
/// response.
std::size_t lateRequests(steady_load &fixture, const std::string &id)
{
    const auto &times = fixture.arrivals[id];
    return times.empty() ? 0 : replica_statement_rule::afterLeaving(times, times.front());
}

/// Counts the rejections of a replica and checks the users' rule on each of them.
struct rejecting_replica {
    rejecting_replica(steady_load &target, std::string name, const std::string &value, int status = 503)
        : fixture(target)
        , id(std::move(name))
    {
        fixture.addReplica(id, [this, status, value](const received_request &request) {
            rejectedAt.push_back(suspendAwareNow());
            return steady_load::rejecting(retryAfter(value), status)(request);
        });
    }

    /// @returns the largest number of requests after a rejection within the time in which the replica wanted none.
    [[nodiscard]] std::size_t mostAfterRejection(double pauseSeconds) const
    {
        return replica_statement_rule::mostAfterRejection(fixture.arrivals[id], rejectedAt, pauseSeconds);
    }

    steady_load &fixture;
    std::string id;
    std::vector<instant> rejectedAt;
};

} // namespace

TEST_CASE("leaving: a replica that states it gets no new requests, and another replica gets them")
{
    steady_load fixture;
    fixture.addReplica("leaving", steady_load::answering(kLeaving));
    fixture.addReplica("sound", steady_load::answering());
    fixture.publishAll();
    fixture.load(50, seconds{4});
    CHECK(lateRequests(fixture, "leaving") == 0);
    CHECK(fixture.arrivals["leaving"].size() >= 1);
    CHECK(fixture.statuses[200] == 200);
}

TEST_CASE("leaving: requests for which no other replica is left are rejected at once as not run")
{
    steady_load fixture;
    fixture.addReplica("leaving", steady_load::answering(kLeaving));
    fixture.publishAll();
    fixture.load(50, seconds{4}, {"/safe/x", "/once/x", "/stream/x", "/sized/x"});
    CHECK(lateRequests(fixture, "leaving") == 0);
    CHECK(fixture.statuses[200] == fixture.arrivals["leaving"].size());
    CHECK(fixture.statuses[200] + fixture.statuses[503] == 200);
    CHECK_FALSE(fixture.retryAfters.contains(""));
}

TEST_CASE("leaving: retries, resumed streams and escalations don't reach a replica that states it")
{
    steady_load fixture;
    for (const std::string id : {"leaving", "leaving-2"})
        fixture.addReplica(id, [](const received_request &request) {
            const std::string requestId(request.head.header("Foxtaildyke-Request-Id"));
            if (request.head.target.starts_with("/sized/"))
                return replica_script{
                    streamText(requestId, 1, 3, true, std::string(kLeaving) + "Foxtaildyke-Confidence: 5\r\n")};
            if (request.head.target.starts_with("/stream/"))
                return replica_script{.bytes = streamText(requestId, 1, 3, false, kLeaving), .resets = true};
            return steady_load::rejecting(kLeaving)(request);
        });
    fixture.addReplica("sound", [](const received_request &request) {
        const std::string requestId(request.head.header("Foxtaildyke-Request-Id"));
        if (request.head.header("Last-Event-Id").empty())
            return steady_load::answering()(request);
        return replica_script{streamText(requestId, 4, 6)};
    });
    fixture.publishAll();
    const std::vector<std::string> targets{"/safe/x", "/stream/x", "/sized/x", "/once/x"};
    fixture.load(50, seconds{1}, targets); // a request may have no attempt left after both
    fixture.statuses.clear();
    fixture.load(50, seconds{3}, targets);
    CHECK(lateRequests(fixture, "leaving") == 0);
    CHECK(lateRequests(fixture, "leaving-2") == 0);
    CHECK(fixture.statuses[200] == 150);
}

TEST_CASE("leaving: neither the store's entry nor a store outage brings a replica back, a new start does")
{
    steady_load fixture;
    auto &replica = fixture.addReplica("leaving", steady_load::answering(kLeaving));
    fixture.addReplica("sound", steady_load::answering());
    fixture.publishAll();
    fixture.load(50, seconds{1});
    REQUIRE(fixture.arrivals["leaving"].size() >= 1);
    // The entry disappears, comes back and changes, and the store is lost, comes back and has lost its newest content.
    auto entry = replica.entry("s");
    auto &listener = *fixture.feed.listener;
    listener.onReplicaRemoved("leaving");
    listener.onReplicaChanged(entry);
    entry.coldRemaining = milliseconds{50};
    listener.onReplicaChanged(entry);
    listener.onFeedReachable(false);
    listener.onFeedReachable(true);
    listener.onStoreRewound();
    fixture.publishAll();
    fixture.load(50, seconds{3});
    CHECK(lateRequests(fixture, "leaving") == 0);
    fixture.responders["leaving"] = steady_load::answering();
    entry.startedAtMs = 1;
    entry.coldRemaining = milliseconds{0};
    listener.onReplicaChanged(entry);
    const auto before = fixture.arrivals["leaving"].size();
    fixture.load(50, seconds{1});
    CHECK(fixture.arrivals["leaving"].size() > before);
}

TEST_CASE("leaving: requests under way are completed")
{
    steady_load fixture;
    fixture.addReplica("leaving", [](const received_request &request) {
        auto script = steady_load::answering(kLeaving)(request);
        if (request.head.target == "/safe/slow")
            script.delay = milliseconds{600};
        return script;
    });
    fixture.publishAll();
    scripted_caller slow(fixture.loop, fixture.task.callerPort());
    slow.send(requestText("GET", "/safe/slow", "id-slow"));
    REQUIRE(fixture.runUntil([&] { return fixture.arrivals["leaving"].size() == 1; }));
    fixture.load(50, milliseconds{100});
    REQUIRE(fixture.runUntil([&] { return !slow.responses.empty() && slow.responses[0].isComplete; }));
    CHECK(slow.responses[0].head.status == 200);
}

TEST_CASE("leaving: other values, and responses of another replica or to another request, say nothing")
{
    steady_load fixture;
    // Each response is preceded by one to an earlier request that states it, and by an interim response.
    fixture.addReplica("sound", [](const received_request &request) {
        const std::string id(request.head.header("Foxtaildyke-Request-Id"));
        return replica_script{"HTTP/1.1 103 X\r\nServer-Leaving: 1\r\n\r\n"
                              + responseText(200, "id-other", "of another request", kLeaving)
                              + responseText(200, id, "whole body", "Server-Leaving: 0\r\n")};
    });
    fixture.publishAll();
    fixture.load(50, milliseconds{500});
    for (const auto *value : {"", "0", "no", "2", "1, 1", "true"}) {
        fixture.responders["sound"] = steady_load::answering(std::string("Server-Leaving: ") + value + "\r\n");
        fixture.load(50, milliseconds{200});
    }
    CHECK(fixture.statuses[200] == 25 + 6 * 10);
    // The address now belongs to another replica, which leaves.
    fixture.responders["sound"] = steady_load::rejecting(kLeaving, 421);
    fixture.load(50, milliseconds{100});
    fixture.responders["sound"] = steady_load::answering();
    fixture.statuses.clear();
    fixture.runFor(milliseconds{1100}); // until the replica is no longer ejected
    fixture.load(50, milliseconds{200});
    CHECK(fixture.statuses[200] == 10);
}

TEST_CASE("pause: a replica that rejects with a time to come back gets no request before, and another one gets them")
{
    for (const int status : {503, 429}) {
        CAPTURE(status);
        steady_load fixture;
        rejecting_replica paused(fixture, "paused", "3", status);
        fixture.addReplica("sound", steady_load::answering());
        fixture.publishAll();
        fixture.load(50, milliseconds{6600});
        CHECK(paused.mostAfterRejection(3) <= 2);
        CHECK(paused.rejectedAt.size() >= 2); // it is used again afterwards
        CHECK(fixture.statuses[200] == 330);
    }
}

TEST_CASE("pause: requests are rejected at once while all replicas want none, with spread times after its end")
{
    steady_load fixture;
    rejecting_replica first(fixture, "first", "3");
    rejecting_replica second(fixture, "second", "2.5");
    fixture.publishAll();
    const auto start = suspendAwareNow();
    fixture.load(50, seconds{2}, {"/safe/x", "/once/x", "/stream/x", "/sized/x"});
    CHECK(first.mostAfterRejection(3) <= 2);
    CHECK(second.mostAfterRejection(2.5) <= 2);
    CHECK(fixture.statuses[503] == 100);
    CHECK(fixture.retryAfters.size() > 20);
    // The first one is told to come back after the earlier end, at 2.5 s, the last one at 2 s into it.
    for (const auto &text : fixture.retryAfters)
        CHECK(std::stod(text) >= 0.3);
    first.fixture.responders["first"] = steady_load::answering();
    first.fixture.responders["second"] = steady_load::answering();
    REQUIRE(fixture.runUntil([start] { return suspendAwareNow() >= start + milliseconds{3500}; }));
    fixture.statuses.clear();
    fixture.load(50, seconds{1});
    CHECK(fixture.statuses[200] == 50);
}

TEST_CASE("pause: it is no sign of failure")
{
    steady_load fixture;
    bool isFull = true;
    fixture.addReplica("full", [&isFull](const received_request &request) {
        return isFull ? steady_load::rejecting(retryAfter("0.2"))(request) : steady_load::answering()(request);
    });
    fixture.addReplica("sound", steady_load::answering());
    fixture.publishAll();
    // Three rejections in a row would eject a replica that fails.
    fixture.load(50, seconds{4});
    REQUIRE(fixture.arrivals["full"].size() >= 5);
    isFull = false;
    fixture.runFor(milliseconds{500});
    const auto before = fixture.arrivals["full"].size();
    fixture.load(50, seconds{1});
    CHECK(fixture.arrivals["full"].size() > before + 5);
    CHECK(fixture.statuses[200] == 250);
}

namespace
{

/// A replica that rejects its first request with a Retry-After, and a sound one.
struct first_rejection : steady_load {
    explicit first_rejection(const std::string &value)
    {
        addReplica("full", [value, isFirst = true](const received_request &request) mutable {
            return std::exchange(isFirst, false) ? rejecting(retryAfter(value))(request) : answering()(request);
        });
        addReplica("sound", answering());
        publishAll();
        load(50, seconds{1});
    }
};

} // namespace

TEST_CASE("pause: values that are no time have no effect")
{
    for (const auto *text :
         {" ", "0", "0.0", "-3", "nan", "inf", "1e3", "0x10", "3 3", "soon", "3s", "Fri, 04 Dec 2026 16:00:00 GMT"}) {
        CAPTURE(text);
        first_rejection fixture(text);
        CHECK(fixture.arrivals["full"].size() > 1);
        CHECK(fixture.statuses[200] == 50);
    }
}

TEST_CASE("pause: a time beyond all bounds is none that ends at once")
{
    for (const auto *text : {"3", "5000", "99999999999999999999999"}) {
        CAPTURE(text);
        first_rejection fixture(text);
        CHECK(fixture.arrivals["full"].size() == 1);
        CHECK(fixture.statuses[200] == 50);
    }
}

TEST_CASE("pause: a time in a response that doesn't reject the request has no effect")
{
    steady_load fixture;
    fixture.addReplica("sound", steady_load::answering(retryAfter("30")));
    fixture.publishAll();
    fixture.load(50, seconds{1});
    CHECK(fixture.statuses[200] == 50);
}
