// Prompt parts that crash each replica that begins to respond to them: how many requests with such a part reach
// replicas, and that requests which share the other parts are still served.
#include "gateway_harness.h"

using namespace foxtaildyke;

namespace
{

/// Crashes after which the hosts agree on the part, and the requests with it that may reach replicas later.
constexpr std::size_t kMaxCrashes = 5;

/// A gateway with replicas that crash on each request with the prompt part "dead".
struct deadly_prompt_fixture : gateway_harness {
    explicit deadly_prompt_fixture(std::size_t count = 8)
    {
        for (std::size_t index = 0; index < count; ++index)
            replicas.push_back(std::make_unique<scripted_replica>(
                loop, "r" + std::to_string(index), [](const received_request &request) { return respond(request); }));
        publish(makeConfig());
        restartReplicas();
    }

    static replica_script respond(const received_request &request)
    {
        if (request.head.header("Foxtaildyke-Prompt-Prefix").find("dead:") != std::string_view::npos)
            return {.bytes = "", .crashes = true};
        return {streamText(std::string(request.head.header("Foxtaildyke-Request-Id")), 1, 3)};
    }

    void restartReplicas()
    {
        std::vector<replica_entry> entries;
        for (const auto &replica : replicas) {
            replica->restart();
            entries.push_back(replica->entry("s"));
            entries.back().startedAtMs = static_cast<std::int64_t>(1 + replica->crashCount);
        }
        publishReplicas(std::move(entries));
        feed.listener->onConfigConfirmed(suspendAwareNow()); // keeps the key lease during long tests
    }

    /// Sends a request that no other equals, with the given shared prompt parts and a part of its own.
    /// @returns the status, or 0 if the connection ended without a response.
    int sendRequest(const std::string &sharedParts, const std::string &route = "/stream/")
    {
        const auto number = std::to_string(++m_lastId);
        const auto parts = "Foxtaildyke-Prompt-Prefix: " + sharedParts + ",f" + number + ":50\r\n";
        scripted_caller caller(loop, task.callerPort());
        caller.send(requestText("POST", route + number, "id-" + number, parts, "body " + number));
        runUntil([&] { return caller.isClosed || (!caller.responses.empty() && caller.responses[0].isComplete); });
        runFor(std::chrono::milliseconds(20)); // lets the gateway detect a crash
        return caller.responses.empty() ? 0 : caller.responses[0].head.status;
    }

    [[nodiscard]] std::size_t crashes() const { return crashesOf(replicas); }

    std::vector<std::unique_ptr<scripted_replica>> replicas;

private:
    int m_lastId = 0;
};

} // namespace

TEST_CASE("deadly prompt: different requests that share a part which crashes replicas are refused")
{
    deadly_prompt_fixture fixture;
    CHECK(fixture.sendRequest("aaaa:500,5ab1:900") == 200);
    for (int repetition = 0; repetition < 12; ++repetition) {
        fixture.sendRequest("aaaa:500,5ab2:900,dead:40");
        fixture.restartReplicas();
    }
    CHECK(fixture.crashes() <= kMaxCrashes);
    CHECK(fixture.sendRequest("aaaa:500,5ab2:900,dead:40") == 503);
}

TEST_CASE("deadly prompt: a part is found wherever it stands, on any route and among any other parts")
{
    for (const std::string front : {"dead:500,", "aaaa:500,dead:900,", "aaaa:500,5ab1:900,dead:40,"}) {
        deadly_prompt_fixture fixture;
        CHECK(fixture.sendRequest("aaaa:500,5ab1:900") == 200);
        for (int repetition = 0; repetition < 12; ++repetition) {
            fixture.sendRequest(front + "c" + std::to_string(repetition) + ":30",
                                repetition % 2 == 0 ? "/stream/" : "/once/");
            fixture.restartReplicas();
        }
        CAPTURE(front);
        CHECK(fixture.crashes() <= kMaxCrashes);
    }
}

TEST_CASE("deadly prompt: requests without the part are served, whatever else they share with the crashed ones")
{
    deadly_prompt_fixture fixture;
    for (int repetition = 0; repetition < 4; ++repetition) {
        fixture.sendRequest("aaaa:500,5ab2:900,dead:40");
        fixture.restartReplicas();
    }
    for (const auto *parts :
         {"aaaa:500,5ab2:900", "aaaa:500", "aaaa:500,5ab3:900", "5ab2:900", "aaaa:500,5ab2:900,beef:40"})
        CHECK(fixture.sendRequest(parts) == 200);
    CHECK(fixture.crashes() <= kMaxCrashes);
}

TEST_CASE("deadly prompt: a part that was served before and then begins to crash replicas is found")
{
    deadly_prompt_fixture fixture(16);
    bool isDeadly = false;
    for (const auto &replica : fixture.replicas)
        replica->setScript([&isDeadly](const received_request &request) {
            if (isDeadly)
                return deadly_prompt_fixture::respond(request);
            return replica_script{streamText(std::string(request.head.header("Foxtaildyke-Request-Id")), 1, 3)};
        });
    for (int repetition = 0; repetition < 5; ++repetition)
        CHECK(fixture.sendRequest("aaaa:500,dead:40") == 200);
    isDeadly = true;
    for (int repetition = 0; repetition < 12; ++repetition) {
        fixture.sendRequest("aaaa:500,dead:40", "/once/");
        fixture.runFor(std::chrono::milliseconds(300));
        fixture.restartReplicas();
    }
    CHECK(fixture.crashes() <= kMaxCrashes + 3);
    CHECK(fixture.sendRequest("aaaa:500") == 200);
}
