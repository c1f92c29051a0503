// Requests that crash the replicas that run them, sent again by their caller: how many replicas they reach, and that
// other requests are still served.
#include "gateway_harness.h"

using namespace foxtaildyke;

namespace
{

/// Crashes at which a request must not reach another replica.
constexpr std::size_t kMaxCrashes = 3;

/// A gateway with replicas that crash on each request whose body is "poison".
struct crashing_fixture : gateway_harness {
    explicit crashing_fixture(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index)
            replicas.push_back(std::make_unique<scripted_replica>(
                loop, "r" + std::to_string(index),
                [this](const received_request &request) { return respond(request); }));
        publish(makeConfig());
        publishEntries();
    }

    [[nodiscard]] replica_script respond(const received_request &request) const
    {
        if (losesResponses)
            return {.bytes = "", .resets = true};
        if (hangs)
            return {.bytes = "", .delay = std::chrono::seconds(30)};
        if (errorStatus != 0)
            return {responseText(errorStatus, std::string(request.head.header("Foxtaildyke-Request-Id")), "error")};
        if (request.body == "poison")
            return {.bytes = "", .crashes = true};
        const std::string id(request.head.header("Foxtaildyke-Request-Id"));
        const bool isStream = request.head.target.starts_with("/stream/");
        return {isStream ? streamText(id, 1, 3) : responseText(200, id, "whole body")};
    }

    void publishEntries()
    {
        std::vector<replica_entry> entries;
        for (const auto &replica : replicas)
            if (replica->isRunning()) {
                entries.push_back(replica->entry("s"));
                entries.back().startedAtMs = static_cast<std::int64_t>(1 + replica->crashCount);
            }
        publishReplicas(std::move(entries));
    }

    /// Restarts all crashed replicas and publishes them.
    void restartReplicas()
    {
        for (const auto &replica : replicas)
            replica->restart();
        publishEntries();
    }

    received_response sendRequest(const std::string &method, const std::string &target, const std::string &body)
    {
        scripted_caller caller(loop, task.callerPort());
        caller.send(requestText(method, target, "id-" + std::to_string(++m_lastId), {}, body));
        runUntil([&] { return caller.isClosed || (!caller.responses.empty() && caller.responses[0].isComplete); });
        return caller.responses.empty() ? received_response{} : caller.responses[0];
    }

    [[nodiscard]] std::size_t crashes() const { return crashesOf(replicas); }

    /// @returns the replica that holds a request without responding, or null.
    [[nodiscard]] scripted_replica *hungReplica() const
    {
        const auto found =
            std::ranges::find_if(replicas, [](const auto &replica) { return replica->hasOpenRequest(); });
        return found == replicas.end() ? nullptr : found->get();
    }

    std::vector<std::unique_ptr<scripted_replica>> replicas;
    bool hangs = false; ///< replicas don't respond
    bool losesResponses = false; ///< replicas keep running, but reset the connections of requests
    int errorStatus = 0; ///< replicas respond with this error without running the request; 0: they run it

private:
    int m_lastId = 0;
};

} // namespace

TEST_CASE("crashing request: a stream that has crashed three replicas reaches no further replica when sent again")
{
    crashing_fixture fixture(6);
    fixture.sendRequest("POST", "/stream/x", "poison");
    CHECK(fixture.crashes() == kMaxCrashes); // the attempts of its route
    fixture.restartReplicas();
    for (int repetition = 0; repetition < 5; ++repetition) {
        const auto response = fixture.sendRequest("POST", "/stream/x", "poison");
        CHECK(response.head.status == 503);
        CHECK_FALSE(response.head.header("Retry-After").empty());
    }
    CHECK(fixture.crashes() == kMaxCrashes);
    CHECK(fixture.sendRequest("POST", "/stream/x", "another body").body == eventsText(1, 3));
    CHECK(fixture.sendRequest("POST", "/stream/y", "another path").body == eventsText(1, 3));
}

TEST_CASE("crashing request: crashes of an at-most-once request add up over the caller's retries")
{
    crashing_fixture fixture(3);
    for (int repetition = 0; repetition < 8; ++repetition) {
        fixture.sendRequest("POST", "/once/x", "poison");
        fixture.runFor(std::chrono::milliseconds(20)); // lets the gateway detect the crash
        fixture.restartReplicas();
    }
    CHECK(fixture.crashes() == kMaxCrashes);
    CHECK(fixture.sendRequest("POST", "/once/x", "another body").head.status == 200);
}

TEST_CASE("crashing request: lost responses of replicas that keep running don't block a request")
{
    crashing_fixture fixture(4);
    fixture.losesResponses = true;
    for (std::size_t sent = 0; sent < 4 * kMaxCrashes; ++sent)
        CHECK(fixture.sendRequest("POST", "/once/x", "the body").head.status == 502);
    const auto isTried = [](const auto &replica) {
        return !replica->requests.empty();
    };
    REQUIRE(std::ranges::count_if(fixture.replicas, isTried) >= static_cast<std::ptrdiff_t>(kMaxCrashes));
    fixture.losesResponses = false;
    CHECK(fixture.sendRequest("POST", "/once/x", "the body").head.status == 200);
}

TEST_CASE("crashing request: a request that was answered before is served again after replicas crashed during it")
{
    crashing_fixture fixture(4);
    CHECK(fixture.sendRequest("POST", "/once/popular", "the body").head.status == 200);
    for (std::size_t round = 0; round < kMaxCrashes; ++round) {
        fixture.hangs = true;
        scripted_caller caller(fixture.loop, fixture.task.callerPort());
        caller.send(requestText("POST", "/once/popular", "hung-" + std::to_string(round), {}, "the body"));
        REQUIRE(fixture.runUntil([&] { return fixture.hungReplica() != nullptr; }));
        fixture.hungReplica()->crash();
        fixture.hangs = false;
        REQUIRE(fixture.runUntil([&] { return !caller.responses.empty(); }));
        CHECK(caller.responses[0].head.status == 502);
        fixture.runFor(std::chrono::milliseconds(20)); // lets the gateway detect the crash
        fixture.restartReplicas();
    }
    CHECK(fixture.crashes() == kMaxCrashes);
    CHECK(fixture.sendRequest("POST", "/once/popular", "the body").head.status == 200);
}

TEST_CASE("crashing request: a replica's error response between crashes doesn't clear a request")
{
    for (const int status : {500, 504}) {
        crashing_fixture fixture(3);
        for (std::size_t round = 0; round < 3 * kMaxCrashes; ++round) {
            fixture.errorStatus = round % 2 == 1 ? status : 0;
            fixture.sendRequest("GET", "/safe/x", "poison");
            fixture.runFor(std::chrono::milliseconds(20)); // lets the gateway detect the crash
            fixture.restartReplicas();
        }
        CHECK(fixture.crashes() <= kMaxCrashes + 1); // two attempts of the same request may end one replica more
    }
}
