// Platform client and load reports: a malformed or stale response must not be used as an upstream, a rating or a load.
#include "load_poller_p.h"
#include "loopback_p.h"
#include "platform_client_p.h"

using namespace foxtaildyke;

TEST_CASE("a host list is decoded, and an unknown state is treated as leaving")
{
    const auto list = decodeHostList(R"({"version":3,"hosts":[
        {"name":"u1","role":"upstream","address":"127.0.0.1","port":7,"state":"live","failure_domain":"d",
         "service":"s","model":"m","versions":["m-1","m-2"],"slots":4},
        {"name":"h1","role":"entry","address":"127.0.0.1","port":8,"state":"booting"}]})");
    REQUIRE(list.has_value());
    CHECK(list.value().version == 3);
    const auto &upstream = list.value().hosts[0];
    CHECK(upstream.info.state == host_state::live);
    CHECK(upstream.info.versions == std::vector<std::string>{"m-1", "m-2"});
    CHECK(upstream.info.slots == 4);
    CHECK(list.value().hosts[1].info.state == host_state::leaving);
}

TEST_CASE("a malformed host list is rejected entirely")
{
    for (const char *body : {"", "[]", R"({"version":1})", R"({"version":1,"hosts":[{"name":"u"}]})",
                             R"({"version":1,"hosts":[{"name":"u","address":"a","port":70000000,"state":1}]})"}) {
        CAPTURE(body);
        const auto list = decodeHostList(body);
        REQUIRE(list.has_error());
        CHECK(list.error().code == error_code::protocol_violation);
    }
}

TEST_CASE("a rating is a score from 0 to 1, and any other response yields no rating")
{
    struct expectation {
        int status;
        const char *body;
        std::optional<std::uint32_t> score;
    };
    const std::vector<expectation> expectations{
        {200, R"({"score":0.873})", 873},        {200, R"({"score":1})", 1000}, {200, R"({"score":1.5})", std::nullopt},
        {200, R"({"score":"x"})", std::nullopt}, {200, "", std::nullopt},       {503, R"({"score":1})", std::nullopt},
    };
    loopback net;
    platform_client platform(net.client, net.endpoint);
    for (const auto &expected : expectations) {
        CAPTURE(expected.body);
        net.serve = [&](const http_exchange_ptr &exchange) {
            exchange->respond(expected.status, expected.body);
        };
        std::vector<std::optional<std::uint32_t>> scores;
        platform.rate("k", "text", [&](std::optional<std::uint32_t> score) {
            scores.push_back(score);
            net.loop.stop();
        });
        REQUIRE(net.run());
        CHECK(scores == std::vector{expected.score});
    }
}

TEST_CASE("the age of a load report is measured by the upstream's own clock")
{
    const auto requestedAt = instant(std::chrono::seconds(100));
    const auto report =
        decodeLoad("u", R"({"running":1,"queued":2,"slots":8,"measured_at_ms":1700000000000,"now_ms":1700000000250})",
                   requestedAt);
    REQUIRE(report.has_value());
    CHECK(report->measuredAt == requestedAt - std::chrono::milliseconds(250));
    CHECK(report->running == 1);
    CHECK(report->queued == 2);
    const auto withoutClock = decodeLoad("u", R"({"running":1,"queued":2,"slots":8,"measured_at_ms":1})", requestedAt);
    CHECK(withoutClock->measuredAt == requestedAt);
    const auto backwards =
        decodeLoad("u", R"({"running":1,"queued":2,"slots":8,"measured_at_ms":9,"now_ms":1})", requestedAt);
    CHECK(backwards->measuredAt == requestedAt);
    CHECK(!decodeLoad("u", R"({"running":-1,"queued":2,"slots":8})", requestedAt));
    CHECK(!decodeLoad("u", "", requestedAt));
}

TEST_CASE("a host uses a bounded subset of each version's replicas that changes little when a replica is removed")
{
    constexpr std::size_t kReplicas = 300;
    constexpr std::size_t kLimit = 64;
    std::vector<upstream_info> all;
    for (std::size_t number = 0; number < kReplicas; ++number) {
        upstream_info info;
        info.name = "u" + std::to_string(number);
        info.versions = {"v-" + std::to_string(number % 2)};
        all.push_back(info);
    }
    const auto first = replicaSubset("host-1", all, kLimit);
    CHECK(first.size() == 2 * kLimit);
    CHECK(replicaSubset("host-2", all, kLimit).size() == 2 * kLimit);
    const auto isFirst = [&](const upstream_info &info) {
        return std::ranges::find(first, info.name, &upstream_info::name) != first.end();
    };
    CHECK(std::ranges::count_if(replicaSubset("host-2", all, kLimit), isFirst)
          < static_cast<std::ptrdiff_t>(kReplicas / 3));
    const auto removed = first.front().name;
    std::erase_if(all, [&](const upstream_info &info) { return info.name == removed; });
    const auto second = replicaSubset("host-1", all, kLimit);
    CHECK(second.size() == 2 * kLimit);
    CHECK(std::ranges::count_if(second, isFirst) == static_cast<std::ptrdiff_t>(2 * kLimit - 1));
}

TEST_CASE("a leaving replica remains in the subset but does not displace a live one")
{
    std::vector<upstream_info> all(3);
    for (std::size_t number = 0; number < all.size(); ++number) {
        all[number].name = "u" + std::to_string(number);
        all[number].versions = {"v"};
    }
    all[0].state = host_state::leaving;
    const auto used = replicaSubset("h", all, 2);
    CHECK(used.size() == 3);
}

// Guards against every host downloading and parsing a list of thousands of replicas each second.
TEST_CASE("a host list of a known version is not sent again")
{
    loopback net;
    platform_client platform(net.client, net.endpoint);
    net.serve = [](const http_exchange_ptr &exchange) {
        if (exchange->header("If-None-Match") == "\"7\"")
            return exchange->respond(304, {});
        exchange->respond(200, R"({"version":7,"hosts":[]})");
    };
    std::vector<std::optional<std::uint64_t>> versions;
    const auto recordVersion = [&](const result<std::optional<host_list>> &list) {
        REQUIRE(list.has_value());
        versions.push_back(list.value() ? std::optional(list.value()->version) : std::nullopt);
        net.loop.stop();
    };
    platform.hosts(std::nullopt, recordVersion);
    REQUIRE(net.run());
    platform.hosts(7, recordVersion);
    REQUIRE(net.run());
    CHECK(versions == std::vector<std::optional<std::uint64_t>>{7, std::nullopt});
}
