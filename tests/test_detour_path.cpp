// Requests that a host which is cut off from the replicas sends through another one: two gateways in one process, of
// which the first reaches the replicas over links that the test cuts.
#include "failure_support.h"
#include "gateway_harness.h"
#include "severable_link.h"
#include "wire_names.h"

using namespace foxtaildyke;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

struct two_gateways : test_loop {
    static constexpr int kReplicas = 3;

    two_gateways()
        : helper(loop, settingsOf("host-2", helperPort, ownPort), platform::makeHeaderNames(), platform::kReadinessPath)
        , own(loop, settingsOf("host-1", ownPort, helperPort), platform::makeHeaderNames(), platform::kReadinessPath)
    {
        REQUIRE(helper.start(helperFeed).has_value());
        REQUIRE(own.start(ownFeed).has_value());
        std::vector<replica_entry> direct;
        std::vector<replica_entry> overLinks;
        for (int index = 0; index < kReplicas; ++index) {
            const auto id = "r" + std::to_string(index);
            replicas.push_back(std::make_unique<scripted_replica>(loop, id, [this](const received_request &request) {
                received.push_back(request);
                return respond(request);
            }));
            direct.push_back(replicas.back()->entry("s"));
            links.push_back(std::make_unique<severable_link>(loop, direct.back().address));
            overLinks.push_back(direct.back());
            overLinks.back().address = links.back()->address();
        }
        publish(ownFeed, overLinks);
        publish(helperFeed, direct);
        configure(gateway_harness::makeConfig());
        confirm();
    }

    /// Keeps the key leases of both hosts.
    void confirm()
    {
        for (auto *feed : {&ownFeed, &helperFeed})
            feed->listener->onConfigConfirmed(suspendAwareNow());
        confirmTimer.start(milliseconds{200});
    }

    static gateway_settings settingsOf(const std::string &host, std::uint16_t ownPort, std::uint16_t otherPort)
    {
        auto settings = gateway_harness::makeSettings();
        settings.host = host;
        settings.detour = {"127.0.0.1", ownPort};
        settings.detourHosts = {{"127.0.0.1", otherPort}};
        return settings;
    }

    static void publish(scripted_feed &feed, const std::vector<replica_entry> &entries)
    {
        feed.listener->onRollouts({});
        feed.listener->onReplicaList(entries);
    }

    void configure(const std::shared_ptr<gateway_config> &config)
    {
        for (auto *feed : {&ownFeed, &helperFeed}) {
            feed->listener->onConfig(config);
            feed->listener->onConfigConfirmed(suspendAwareNow());
        }
    }

    void cut(cut_form form)
    {
        for (const auto &link : links)
            link->cut(form);
    }

    void heal()
    {
        for (const auto &link : links)
            link->heal();
    }

    std::unique_ptr<scripted_caller> start(const std::string &target, const std::string &moreHeaders = {})
    {
        auto caller = std::make_unique<scripted_caller>(loop, own.callerPort());
        caller->send(requestText("POST", target, "id-" + std::to_string(++lastId), moreHeaders, "the body"));
        return caller;
    }

    received_response finish(scripted_caller &caller)
    {
        runUntil([&] { return caller.isClosed || (!caller.responses.empty() && caller.responses[0].isComplete); });
        return caller.responses.empty() ? received_response{} : caller.responses[0];
    }

    received_response request(const std::string &target)
    {
        const auto caller = start(target);
        return finish(*caller);
    }

    /// Cuts the first host off and waits until it sends its requests through the other one.
    void cutAndWait(cut_form form = cut_form::resetting)
    {
        cut(form);
        REQUIRE(runUntil([this] {
            const auto response = request("/safe/x");
            return response.head.status == 200;
        }));
        received.clear();
    }

    /// Starts as many requests as the other host serves at most, which get no response. @returns their callers.
    std::vector<std::unique_ptr<scripted_caller>> fillHelper()
    {
        constexpr std::size_t kServed = 256;
        respond = [](const received_request &) {
            return replica_script{.bytes = "", .delay = seconds{30}};
        };
        std::vector<std::unique_ptr<scripted_caller>> callers;
        callers.reserve(kServed);
        for (std::size_t index = 0; index < kServed; ++index)
            callers.push_back(start("/once/b"));
        REQUIRE(runUntil([this] { return receivedCount("/once/b") == kServed; }));
        return callers;
    }

    [[nodiscard]] std::size_t receivedCount(const std::string &target) const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(received, [&](const auto &request) { return request.head.target == target; }));
    }

    /// @returns a newer configuration whose routes have this timeout.
    static std::shared_ptr<gateway_config> withTimeout(milliseconds timeout)
    {
        auto config = gateway_harness::makeConfig(2);
        for (auto &route : config->routes)
            route.timeout = timeout;
        return config;
    }

    /// @returns the number of connections of the first host to the replicas so far.
    [[nodiscard]] std::size_t connections() const
    {
        std::size_t sum = 0;
        for (const auto &link : links)
            sum += link->connections;
        return sum;
    }

    std::uint16_t ownPort = testing::reservePort();
    std::uint16_t helperPort = testing::reservePort();
    scripted_feed helperFeed;
    scripted_feed ownFeed;
    std::vector<std::unique_ptr<scripted_replica>> replicas;
    std::vector<std::unique_ptr<severable_link>> links;
    std::vector<received_request> received; ///< by all replicas, in order
    std::function<replica_script(const received_request &)> respond = [](const received_request &request) {
        const std::string id(request.head.header("Foxtaildyke-Request-Id"));
        const bool isStream = request.head.target.starts_with("/stream/") || request.head.target.starts_with("/sized/");
        return replica_script{isStream ? streamText(id, 1, 3, true, "Foxtaildyke-Confidence: 99\r\n")
                                       : responseText(200, id, "whole body")};
    };
    int lastId = 0;
    loop_timer confirmTimer{loop, [this] {
                                confirm();
                            }};

    gateway_task helper; ///< reaches the replicas
    gateway_task own; ///< reaches them over the links
};

} // namespace

TEST_CASE("detour: plain, streamed and escalated requests of a host that is cut off are served once")
{
    two_gateways hosts;
    CHECK(hosts.request("/once/a").head.status == 200);
    hosts.cutAndWait();
    CHECK(hosts.request("/once/b").body == "whole body");
    CHECK(hosts.request("/stream/b").body == eventsText(1, 3));
    CHECK(hosts.request("/sized/b").body == eventsText(1, 3));
    CHECK(hosts.receivedCount("/once/b") == 1);
    CHECK(hosts.receivedCount("/stream/b") == 1);
    CHECK(hosts.receivedCount("/sized/b") == 1);
    const auto &head = hosts.received.front().head;
    CHECK(head.header("Foxtaildyke-Tenant") == "account-1");
    CHECK(head.header("Authorization").empty());
    CHECK(std::stoi(std::string(head.header("Foxtaildyke-Deadline-Ms"))) <= 1000); // the route's timeout
    CHECK_FALSE(head.header("Foxtaildyke-Expect-Replica").empty());
    CHECK(std::ranges::none_of(head.headers, [](const auto &entry) { return entry.first.starts_with("Detour-"); }));
    CHECK(hosts.received.front().body == "the body");
}

TEST_CASE("detour: the caller gets the replica's headers, and none of those between hosts")
{
    two_gateways hosts;
    hosts.cutAndWait();
    const auto response = hosts.request("/once/b");
    CHECK(response.head.header("Foxtaildyke-Server-Stamp") == "stamp");
    CHECK(response.head.header("Foxtaildyke-Request-Id") == "id-" + std::to_string(hosts.lastId));
    CHECK(std::ranges::none_of(response.head.headers,
                               [](const auto &entry) { return entry.first.starts_with("Detour-"); }));
}

TEST_CASE("detour: a host whose connections live on while new ones are refused serves its callers")
{
    two_gateways hosts;
    for (int request = 0; request < 5; ++request)
        CHECK(hosts.request("/safe/a").head.status == 200);
    hosts.cut(cut_form::refusing);
    std::size_t served = 0;
    for (int request = 0; request < 40; ++request)
        served += hosts.request("/once/b").head.status == 200 ? 1 : 0;
    CHECK(served >= 38); // those that are open when the cut is found may be rejected as not run
    CHECK(hosts.receivedCount("/once/b") == served);
}

TEST_CASE("detour: an at-most-once request that gets no response in time is not sent again, and not told as not run")
{
    two_gateways hosts;
    hosts.cutAndWait();
    hosts.respond = [](const received_request &) {
        return replica_script{.bytes = "", .delay = seconds{30}};
    };
    hosts.configure(two_gateways::withTimeout(milliseconds{300}));
    const auto caller = hosts.start("/once/b");
    REQUIRE(hosts.runUntil([&] { return hosts.receivedCount("/once/b") == 1; }));
    const auto response = hosts.finish(*caller);
    CHECK(response.head.status == 504);
    CHECK(hosts.receivedCount("/once/b") == 1);
}

TEST_CASE("detour: a caller that leaves ends the work at the replica")
{
    two_gateways hosts;
    hosts.cutAndWait();
    hosts.respond = [](const received_request &) {
        return replica_script{.bytes = "", .delay = seconds{30}};
    };
    const auto caller = hosts.start("/once/b");
    REQUIRE(hosts.runUntil([&] { return hosts.receivedCount("/once/b") == 1; }));
    const auto isAtWork = [&] {
        return std::ranges::any_of(hosts.replicas, [](const auto &replica) { return replica->hasOpenRequest(); });
    };
    CHECK(isAtWork());
    caller->close();
    CHECK(hosts.runUntil([&] { return !isAtWork(); }));
}

TEST_CASE("detour: a request isn't sent on by a second host that is cut off, but rejected at once as not run")
{
    two_gateways hosts;
    hosts.cutAndWait();
    for (const auto &replica : hosts.replicas)
        replica->crash();
    REQUIRE(hosts.runUntil([&] { return hosts.request("/once/b").head.status == 503; }));
    hosts.runFor(seconds{1});
    const auto before = suspendAwareNow();
    const auto response = hosts.request("/once/b");
    CHECK(response.head.status == 503);
    CHECK_FALSE(response.head.header("Retry-After").empty());
    CHECK(response.head.header("Connection") == "close");
    CHECK(suspendAwareNow() - before < milliseconds{500});
}

TEST_CASE("detour: a host serves a bounded number of another one's requests, the rest is rejected soon as not run")
{
    constexpr std::size_t kMore = 40;
    two_gateways hosts;
    hosts.configure(two_gateways::withTimeout(seconds{8}));
    hosts.cutAndWait();
    const auto served = hosts.fillHelper();
    const auto before = suspendAwareNow();
    std::vector<std::unique_ptr<scripted_caller>> callers;
    for (std::size_t index = 0; index < kMore; ++index)
        callers.push_back(hosts.start("/once/b"));
    for (const auto &caller : callers) {
        const auto response = hosts.finish(*caller);
        CHECK(response.head.status == 503);
        CHECK_FALSE(response.head.header("Retry-After").empty());
    }
    CHECK(suspendAwareNow() - before < seconds{2}); // much earlier than the deadline
    CHECK(hosts.receivedCount("/once/b") == served.size());
}

TEST_CASE("detour: while the only other host is busy, requests wait until it has finished some, and are served once")
{
    constexpr std::size_t kMore = 20;
    two_gateways hosts;
    hosts.configure(two_gateways::withTimeout(seconds{8}));
    hosts.cutAndWait();
    const auto served = hosts.fillHelper();
    hosts.respond = [](const received_request &request) {
        return replica_script{responseText(200, std::string(request.head.header("Foxtaildyke-Request-Id")), "whole")};
    };
    std::vector<std::unique_ptr<scripted_caller>> callers;
    for (std::size_t index = 0; index < kMore; ++index)
        callers.push_back(hosts.start("/once/c"));
    hosts.runFor(milliseconds{20}); // some are refused
    for (std::size_t index = 0; index < kMore; ++index)
        callers.push_back(hosts.start("/once/c"));
    hosts.runFor(milliseconds{20});
    CHECK(hosts.receivedCount("/once/c") == 0);
    for (std::size_t index = 0; index < callers.size(); ++index)
        served[index]->close();
    for (const auto &caller : callers)
        CHECK(hosts.finish(*caller).head.status == 200);
    CHECK(hosts.receivedCount("/once/c") == callers.size());
}

TEST_CASE("detour: a host that knows an older configuration doesn't serve another one's request")
{
    two_gateways hosts;
    hosts.cutAndWait();
    const auto newer = gateway_harness::makeConfig(2);
    hosts.ownFeed.listener->onConfig(newer);
    hosts.ownFeed.listener->onConfigConfirmed(suspendAwareNow());
    const auto response = hosts.request("/once/b");
    CHECK(response.head.status == 503);
    CHECK(hosts.receivedCount("/once/b") == 0);
    hosts.helperFeed.listener->onConfig(newer);
    hosts.helperFeed.listener->onConfigConfirmed(suspendAwareNow());
    REQUIRE(hosts.runUntil([&] { return hosts.request("/once/b").head.status == 200; }));
}

TEST_CASE("detour: a request that arrives while a configuration spreads is served once the other host knows it")
{
    two_gateways hosts;
    hosts.cutAndWait();
    hosts.runFor(seconds{1}); // the cut isn't new any more
    const auto newer = gateway_harness::makeConfig(2);
    hosts.ownFeed.listener->onConfig(newer);
    hosts.ownFeed.listener->onConfigConfirmed(suspendAwareNow());
    const auto caller = hosts.start("/once/b");
    hosts.runFor(milliseconds{60});
    hosts.helperFeed.listener->onConfig(newer);
    CHECK(hosts.finish(*caller).head.status == 200);
    CHECK(hosts.receivedCount("/once/b") == 1);
}

TEST_CASE("detour: a replica that states to a detour that it leaves gets nothing from either host afterwards")
{
    two_gateways hosts;
    hosts.cutAndWait();
    hosts.respond = [](const received_request &request) {
        const std::string id(request.head.header("Foxtaildyke-Request-Id"));
        return replica_script{responseText(200, id, "whole body", "Server-Leaving: 1\r\n")};
    };
    for (int replica = 0; replica < two_gateways::kReplicas; ++replica)
        CHECK(hosts.request("/once/b").head.status == 200);
    hosts.received.clear();
    hosts.heal();
    hosts.runFor(seconds{1});
    CHECK(hosts.request("/once/b").head.status == 503);
    CHECK(hosts.received.empty());
}

TEST_CASE("detour: a stream that loses its replica in the cut goes on through the other host, without a gap")
{
    two_gateways hosts;
    hosts.respond = [](const received_request &request) {
        const std::string id(request.head.header("Foxtaildyke-Request-Id"));
        if (!request.head.target.starts_with("/stream/"))
            return replica_script{responseText(200, id, "whole body")};
        const auto last = request.head.header("Last-Event-Id");
        if (!last.empty())
            return replica_script{streamText(id, std::stoi(std::string(last)) + 1, 6)};
        return replica_script{
            .bytes = streamText(id, 1, 3, false), .later = {chunkText(eventsText(4, 4))}, .laterDelay = seconds{20}};
    };
    const auto caller = hosts.start("/stream/b");
    REQUIRE(
        hosts.runUntil([&] { return !caller->responses.empty() && caller->responses[0].body == eventsText(1, 3); }));
    hosts.cut(cut_form::resetting);
    const auto response = hosts.finish(*caller);
    CHECK(response.isComplete);
    CHECK(response.body == eventsText(1, 6));
}

TEST_CASE("detour: replicas aren't blamed for a cut, and requests are sent to them again when it ends")
{
    two_gateways hosts;
    for (int request = 0; request < 5; ++request)
        CHECK(hosts.request("/safe/a").head.status == 200);
    hosts.cutAndWait();
    for (int request = 0; request < 10; ++request)
        CHECK(hosts.request("/safe/b").head.status == 200);
    const auto before = hosts.connections();
    hosts.heal();
    hosts.runFor(seconds{1});
    CHECK(hosts.request("/safe/c").head.status == 200);
    CHECK(hosts.connections() > before);
}

TEST_CASE("silent replica: one that says nothing for a second is waited for, and nothing is sent twice")
{
    two_gateways hosts;
    hosts.configure(two_gateways::withTimeout(seconds{3}));
    for (int request = 0; request < 6; ++request)
        CHECK(hosts.request("/once/a").head.status == 200);
    constexpr std::size_t kCallers = 12;
    std::vector<std::unique_ptr<scripted_caller>> callers;
    callers.reserve(kCallers);
    hosts.received.clear();
    hosts.links.front()->cut(cut_form::silent);
    for (std::size_t index = 0; index < kCallers; ++index)
        callers.push_back(hosts.start(index % 2 == 0 ? "/once/b" : "/stream/b"));
    hosts.runFor(milliseconds{1200});
    hosts.links.front()->heal();
    std::size_t served = 0;
    for (const auto &caller : callers) {
        const auto response = hosts.finish(*caller);
        served += response.head.status == 200 ? 1 : 0;
    }
    CHECK(served == callers.size());
    CHECK(hosts.received.size() == callers.size());
    hosts.runFor(seconds{1});
    std::set<std::string> used;
    hosts.respond = [&used](const received_request &request) {
        used.insert(std::string(request.head.header("Foxtaildyke-Expect-Replica")));
        return replica_script{responseText(200, std::string(request.head.header("Foxtaildyke-Request-Id")), "x")};
    };
    for (int request = 0; request < 60; ++request)
        CHECK(hosts.request("/safe/c").head.status == 200);
    CHECK(used.size() == two_gateways::kReplicas);
}
