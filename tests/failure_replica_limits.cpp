// Rate limits advertised by replicas, kept by several gateway processes together.
#include "gateway_process.h"
#include "rate_limit_rule.h"

using namespace foxtaildyke;
using rate_limit_rule::allowedInWindow;

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Several hosts, and replicas that count what they get.
struct limited_hosts : gateway_process {
    struct counted_replica {
        std::string limit; ///< value of the header; empty: none
        std::vector<instant> arrivals;
        std::unique_ptr<scripted_replica> server;
    };

    void addReplica(const std::string &id, const std::string &limit)
    {
        auto &replica = replicas[id];
        replica.limit = limit;
        replica.server = std::make_unique<scripted_replica>(loop, id, [&replica](const received_request &request) {
            replica.arrivals.push_back(suspendAwareNow());
            const std::string requestId(request.head.header("Foxtaildyke-Request-Id"));
            const auto header = replica.limit.empty() ? std::string() : "Server-Limit: " + replica.limit + "\r\n";
            return replica_script{responseText(200, requestId, "whole body", header)};
        });
        registerReplica(*replica.server);
    }

    void startHosts(std::size_t count)
    {
        REQUIRE(startReady());
        ports = {callerPort};
        while (ports.size() < count)
            ports.push_back(addHost("host-" + std::to_string(ports.size() + 1)));
    }

    /// Sends one request after the other, to the hosts in turn.
    void load(milliseconds time)
    {
        for (const auto end = suspendAwareNow() + time; suspendAwareNow() < end;) {
            const auto port = ports[++m_sent % ports.size()];
            const auto response = sendRequest(requestText("GET", "/safe/x", "id-" + std::to_string(m_sent)), port);
            ++statuses[response.head.status];
            if (response.head.status == 503 && response.head.header("Retry-After").empty())
                ++refusedWithoutTime;
            runFor(milliseconds{5});
        }
    }

    [[nodiscard]] std::size_t mostInWindow(const std::string &id) const
    {
        const auto &times = replicas.at(id).arrivals;
        return times.empty() ? 0 : rate_limit_rule::mostInWindow(times, times.front());
    }

    /// @returns the number of requests that a replica got in the last window.
    [[nodiscard]] std::size_t inLastWindow(const std::string &id) const
    {
        const auto since = suspendAwareNow() - rate_limit_rule::kWindow;
        return static_cast<std::size_t>(
            std::ranges::count_if(replicas.at(id).arrivals, [since](instant at) { return at >= since; }));
    }

    std::map<std::string, counted_replica> replicas; ///< by id
    std::vector<std::uint16_t> ports; ///< of the hosts
    std::map<int, std::size_t> statuses; ///< number of responses by status
    std::size_t refusedWithoutTime = 0;

private:
    std::size_t m_sent = 0;
};

} // namespace

TEST_CASE("rate limit: three hosts together keep the limit that a replica advertises")
{
    limited_hosts fixture;
    fixture.publish(1);
    fixture.addReplica("limited", "3");
    fixture.addReplica("sound", "");
    fixture.startHosts(3);
    fixture.load(seconds{11});
    CHECK(fixture.mostInWindow("limited") <= allowedInWindow(3));
    CHECK(fixture.inLastWindow("limited") >= 6); // half of what the replica accepts
    CHECK(fixture.statuses.size() == 1);
    CHECK(fixture.statuses.contains(200));
}

TEST_CASE("rate limit: six hosts keep the limits of all replicas of a service when a host and the store come and go")
{
    limited_hosts fixture;
    fixture.publish(1);
    const std::map<std::string, double> limits{{"r1", 3}, {"r2", 2.9}, {"r3", 0.5}};
    for (const auto &[id, perSecond] : limits)
        fixture.addReplica(id, std::to_string(perSecond));
    fixture.startHosts(6);
    fixture.load(seconds{5});
    fixture.process().kill();
    REQUIRE(fixture.startReady());
    fixture.load(seconds{3});
    fixture.store.setState(store_state::silent);
    fixture.load(seconds{3});
    fixture.store.setState(store_state::serving);
    fixture.load(seconds{6});
    for (const auto &entry : limits) {
        CAPTURE(entry.first);
        CHECK(fixture.mostInWindow(entry.first) <= allowedInWindow(entry.second));
    }
    CHECK(fixture.inLastWindow("r1") >= 6); // half of what the replica accepts
    CHECK(fixture.inLastWindow("r2") >= 5);
    CHECK(fixture.statuses[503] > 0);
    CHECK(fixture.refusedWithoutTime == 0);
    // A lower limit holds as well, and one that is no longer advertised ends.
    fixture.replicas.at("r1").limit = "1";
    fixture.load(seconds{4});
    CHECK(fixture.inLastWindow("r1") <= allowedInWindow(1));
    fixture.replicas.at("r2").limit.clear();
    fixture.load(seconds{5});
    CHECK(fixture.inLastWindow("r2") > allowedInWindow(2.9));
}
