// Ledger port of a router on the event loop: when its segments get to run.
#include "relay_ledger_p.h"

#include <doctest/doctest.h>

using namespace foxtaildyke;
using namespace std::chrono_literals;

namespace
{

/// Object store in memory that refuses all calls while it is down.
class memory_store : public object_store
{
public:
    explicit memory_store(event_loop &loop)
        : m_loop(loop)
    {
    }
    void read(const std::string &key, read_done done) override
    {
        m_loop.post([this, key, done = std::move(done)] {
            const auto found = m_objects.find(key);
            if (!isUp)
                return done(error{error_code::unavailable, "store"});
            if (found == m_objects.end())
                return done(error{error_code::not_found, key});
            done(found->second);
        });
    }
    void write(const std::string &key, std::string body, object_version expected, write_done done) override
    {
        m_loop.post([this, key, body = std::move(body), expected, done = std::move(done)] {
            if (!isUp)
                return done(error{error_code::unavailable, "store"});
            auto &object = m_objects[key];
            if (object.version != expected)
                return done(error{error_code::conflict, key});
            object = {body, expected + 1};
            done(object.version);
        });
    }
    void remove(const std::string &, object_version, remove_done) override { }
    void list(const std::string &, const std::string &, std::size_t, list_done) override { }

    bool isUp = true;

private:
    event_loop &m_loop;
    std::map<std::string, stored_object> m_objects;
};

router_config_ptr makeConfig()
{
    auto config = std::make_shared<router_config>();
    config->generation = 1;
    config->hosts.push_back({.name = "entry-0"});
    return config;
}

process_settings makeSettings()
{
    process_settings settings;
    settings.host = "entry-0";
    settings.failureDomain = "d";
    settings.peerListen = {"127.0.0.1", 0};
    return settings;
}

} // namespace

TEST_CASE("relay ledger: callers that retry without pause don't keep it from noticing the end of a store outage")
{
    event_loop loop;
    memory_store store(loop);
    const auto relay = std::make_shared<relay_task>(
        loop, store, makeSettings(), [](const core_input &) {},
        [](const std::string &, const std::string &, generation_number) {});
    std::vector<ledger_status> statuses;
    relay_ledger ledger(loop, store, relay, "entry-0", "run-1", [&statuses](const core_input &input) {
        statuses.push_back(std::get<ledger_response>(input).status);
    });
    ledger.onConfig(makeConfig());
    constexpr std::size_t kOutageEnd = 50;
    constexpr std::size_t kClaims = 150;
    std::size_t claims = 0;
    std::function<void()> claimNext = [&] {
        if (claims == kClaims)
            return loop.stop();
        store.isUp = claims >= kOutageEnd;
        ledger.claim({.request = request_token{++claims}, .account = "studio", .requestId = "1790000000-r1"});
        loop.after(10ms, claimNext);
    };
    loop.after(500ms, claimNext); // after the segments have been loaded
    loop.run();
    REQUIRE(!statuses.empty());
    CHECK(statuses.front() == ledger_status::unavailable);
    CHECK(std::ranges::find(statuses, ledger_status::written) != statuses.end());
}
