// Requests that crash the replicas that run them, sent again through any of several gateway processes.
#include "gateway_process.h"

using namespace foxtaildyke;

namespace
{

/// After this many crashes, once the hosts have shared them, at most kMaxLaterRetries may reach a replica.
constexpr std::size_t kMaxCrashes = 3;
constexpr std::size_t kMaxLaterRetries = 3;

/// More replicas than may crash, so that one is left for other requests.
constexpr int kReplicas = 14;

/// Two hosts with replicas that crash on each request whose body is "poison".
struct crashing_fixture : gateway_process {
    crashing_fixture()
    {
        publish(1);
        for (int index = 0; index < kReplicas; ++index) {
            const auto id = "r" + std::to_string(index);
            replicas.push_back(std::make_unique<scripted_replica>(loop, id, respond));
            registerReplica(*replicas.back());
        }
        REQUIRE(startReady());
        ports = {callerPort, addHost("host-2")};
    }

    static replica_script respond(const received_request &request)
    {
        const auto parts = request.head.header("Foxtaildyke-Prompt-Prefix");
        if (request.body == "poison" || parts.find("dead:") != std::string_view::npos)
            return {.bytes = "", .crashes = true};
        return {responseText(200, std::string(request.head.header("Foxtaildyke-Request-Id")), "whole body")};
    }

    /// Sends the crashing request through one of the hosts, and waits until that host has detected a crash.
    int sendPoison(std::uint16_t port)
    {
        const auto crashesBefore = crashes();
        const auto id = "id-" + std::to_string(++m_lastId);
        const auto status = sendRequest(requestText("POST", "/once/x", id, {}, "poison"), port).head.status;
        if (crashes() > crashesBefore)
            REQUIRE(waitForLog("\"event\":\"replica_crashed\",\"request_id\":\"" + id, "\"counted\":true"));
        return status;
    }

    /// Sends a request that no other equals, with the given shared prompt parts and a part of its own.
    int sendPrompt(const std::string &sharedParts, std::uint16_t port)
    {
        const auto number = std::to_string(++m_lastId);
        const auto parts = "Foxtaildyke-Prompt-Prefix: " + sharedParts + ",f" + number + ":50\r\n";
        const auto crashesBefore = crashes();
        const auto status =
            sendRequest(requestText("POST", "/once/" + number, "id-" + number, parts, "body " + number), port)
                .head.status;
        if (crashes() > crashesBefore)
            REQUIRE(waitForLog("\"event\":\"replica_crashed\",\"request_id\":\"id-" + number, "\"counted\":true"));
        return status;
    }

    /// @returns the number of crashes that a host has stored for the first request that it reports.
    [[nodiscard]] std::size_t storedCrashes(const std::string &host) const
    {
        const auto spec = store.specOf("crash-reports", host);
        return spec.is_object() ? spec["reports"][0]["crashes"].size() : 0;
    }

    [[nodiscard]] std::size_t crashes() const { return crashesOf(replicas); }

    std::vector<std::unique_ptr<scripted_replica>> replicas;
    std::vector<std::uint16_t> ports;

private:
    int m_lastId = 0;
};

} // namespace

TEST_CASE("crashing request: hosts share crashes, so that no host sends a request that crashed replicas elsewhere")
{
    crashing_fixture fixture;
    for (std::size_t sent = 0; sent < kMaxCrashes; ++sent)
        fixture.sendPoison(fixture.ports[sent % 2]);
    CHECK(fixture.crashes() == kMaxCrashes);
    for (const auto *host : {"\"host\":\"host-1\"", "\"host\":\"host-2\""})
        CHECK(fixture.waitForLog(host, "\"event\":\"quarantine_begun\""));
    for (int repetition = 0; repetition < 10; ++repetition)
        CHECK(fixture.sendPoison(fixture.ports[repetition % 2]) == 503);
    CHECK(fixture.crashes() <= kMaxCrashes + kMaxLaterRetries);
    CHECK(fixture.metrics().find("foxtaildyke_gateway_quarantined_requests 1") != std::string::npos);
    const auto other = requestText("POST", "/once/x", "id-other", {}, "another body");
    CHECK(fixture.sendRequest(other, fixture.ports[1]).head.status == 200);
}

TEST_CASE("crashing request: a host that was killed and restarted refuses a request that crashed replicas before")
{
    crashing_fixture fixture;
    for (std::size_t sent = 0; sent < kMaxCrashes; ++sent)
        fixture.sendPoison(fixture.callerPort);
    CHECK(fixture.crashes() == kMaxCrashes);
    CHECK(fixture.runUntil([&] { return fixture.storedCrashes("host-1") == kMaxCrashes; }));
    fixture.process().kill();
    REQUIRE(fixture.startReady());
    for (int repetition = 0; repetition < 5; ++repetition)
        fixture.sendPoison(fixture.callerPort);
    CHECK(fixture.crashes() <= kMaxCrashes + kMaxLaterRetries);
}

TEST_CASE("crashing request: crashes that hosts saw while the store was away are shared when it returns")
{
    crashing_fixture fixture;
    fixture.store.setState(store_state::dropping);
    for (std::size_t sent = 0; sent < kMaxCrashes; ++sent)
        fixture.sendPoison(fixture.ports[sent % 2]);
    CHECK(fixture.crashes() == kMaxCrashes);
    fixture.store.setState(store_state::serving);
    for (const auto *host : {"\"host\":\"host-1\"", "\"host\":\"host-2\""})
        CHECK(fixture.waitForLog(host, "\"event\":\"quarantine_begun\""));
    CHECK(fixture.sendPoison(fixture.ports[0]) == 503);
    CHECK(fixture.sendPoison(fixture.ports[1]) == 503);
    CHECK(fixture.crashes() == kMaxCrashes);
}

TEST_CASE("crashing request: hosts find a prompt part that crashes replicas, though no two requests with it are alike")
{
    crashing_fixture fixture;
    constexpr std::size_t kCrashesUntilAgreement = 5;
    for (std::size_t sent = 0; sent < kMaxCrashes; ++sent)
        fixture.sendPrompt("aaaa:500,5ab2:900,dead:40", fixture.ports[sent % 2]);
    for (const auto *host : {"\"host\":\"host-1\"", "\"host\":\"host-2\""})
        CHECK(fixture.waitForLog(host, "\"event\":\"quarantine_begun\""));
    for (int repetition = 0; repetition < 10; ++repetition)
        CHECK(fixture.sendPrompt("aaaa:500,5ab2:900,dead:40", fixture.ports[repetition % 2]) == 503);
    CHECK(fixture.crashes() <= kCrashesUntilAgreement);
    for (const auto port : fixture.ports) {
        CHECK(fixture.sendPrompt("aaaa:500,5ab2:900", port) == 200);
        CHECK(fixture.sendPrompt("aaaa:500,5ab3:900", port) == 200);
    }
}

TEST_CASE("crashing request: a service of three replicas that all end and come back isn't ended again and again")
{
    gateway_process hosts;
    std::size_t started = 0;
    const auto respond = [](const received_request &request) {
        if (request.head.target == "/safe/deadly")
            return replica_script{.bytes = "", .crashes = true, .delay = std::chrono::milliseconds{80}};
        return replica_script{responseText(200, std::string(request.head.header("Foxtaildyke-Request-Id")), "whole")};
    };
    hosts.publish(1);
    std::vector<std::unique_ptr<scripted_replica>> replicas;
    const auto registerNew = [&](const scripted_replica &replica) {
        hosts.registerReplica(replica, "v1", "ready", static_cast<std::int64_t>(1'700'000'000'000 + ++started));
    };
    for (int index = 0; index < 3; ++index) {
        replicas.push_back(std::make_unique<scripted_replica>(hosts.loop, "r" + std::to_string(index), respond));
        registerNew(*replicas.back());
    }
    REQUIRE(hosts.startReady());
    const std::array ports{hosts.callerPort, hosts.addHost("host-2")};
    const auto crashes = [&replicas] {
        return crashesOf(replicas);
    };
    std::map<const scripted_replica *, instant> downSince;
    std::size_t sent = 0;
    int soundSince = 0; // sound requests served after the hosts have agreed
    std::optional<instant> agreedBy; // when the rule on later retries begins
    std::size_t crashesBefore = 0;
    const auto end = suspendAwareNow() + std::chrono::seconds{10};
    for (generation_number generation = 2; suspendAwareNow() < end; ++generation) {
        const auto number = std::to_string(++sent);
        const auto port = ports[sent % ports.size()];
        hosts.sendRequest(requestText("GET", "/safe/deadly", "deadly-" + number), port);
        if (!agreedBy && crashes() >= kMaxCrashes)
            agreedBy = suspendAwareNow() + std::chrono::seconds{3};
        if (agreedBy && suspendAwareNow() < *agreedBy)
            crashesBefore = crashes();
        const auto sound = hosts.sendRequest(requestText("GET", "/safe/sound-" + number, "sound-" + number), port);
        if (agreedBy && suspendAwareNow() >= *agreedBy && sound.head.status == 200)
            ++soundSince;
        if (sent % 10 == 0)
            hosts.publish(generation);
        for (const auto &replica : replicas) {
            if (replica->isRunning())
                continue;
            const auto since = downSince.try_emplace(replica.get(), suspendAwareNow()).first->second;
            if (suspendAwareNow() - since < std::chrono::milliseconds{1200})
                continue;
            downSince.erase(replica.get());
            hosts.store.remove("servers", replica->entry("s").id);
            replica->restartAs("r" + std::to_string(replicas.size() + started));
            registerNew(*replica);
        }
        hosts.runFor(std::chrono::milliseconds{100});
    }
    REQUIRE(agreedBy);
    CHECK(crashes() - crashesBefore <= kMaxLaterRetries);
    CHECK(soundSince > 0);
}
