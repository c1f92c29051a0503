// Timeline: host clocks differ and step, and a process may be killed in the middle of a line. The merged order must
// never place an effect before its cause, and no event may be lost.
#include "timeline_p.h"

#include <doctest/doctest.h>

using namespace foxtaildyke;

namespace
{

std::string line(std::int64_t time, const std::string &host, int sequence, const std::string &type,
                 const std::string &extraFields = "")
{
    return R"({"time_us":)" + std::to_string(time) + R"(,"process":"router","host":")" + host + R"(","seq":)"
        + std::to_string(sequence) + R"(,"event":")" + type + '"' + extraFields + "}\n";
}

std::vector<timeline_event> parseAndOrder(const std::string &text)
{
    timeline_input input;
    readLog(text, input);
    return orderEvents(std::move(input.events));
}

std::string typesOf(const std::vector<timeline_event> &events)
{
    std::string types;
    for (const auto &event : events)
        types.append(types.empty() ? "" : " ").append(event.type);
    return types;
}

} // namespace

TEST_CASE("events of several hosts are ordered by time, equal times by host and sequence")
{
    CHECK(typesOf(parseAndOrder(line(30, "b", 1, "b1") + line(40, "b", 2, "b2") + line(10, "a", 1, "a1")
                                + line(30, "a", 2, "a2") + line(30, "a", 3, "a3")))
          == "a1 a2 a3 b1 b2");
}

TEST_CASE("a clock that steps back doesn't place the end of a request before its dispatch")
{
    const auto events =
        parseAndOrder(line(100, "a", 1, "dispatched") + line(40, "a", 2, "finished") + line(90, "b", 1, "b"));
    CHECK(typesOf(events) == "b dispatched finished");
    CHECK(events.back().orderUs == 100);
    CHECK(events.back().timeUs == 40);
}

TEST_CASE("no host shows a generation before it was published")
{
    const std::string generation = R"(,"generation":7)";
    const auto events = parseAndOrder(line(10, "a", 1, "config_adopted", generation) + line(12, "a", 2, "dispatched")
                                      + line(50, "c", 1, "change_published", generation) + line(20, "b", 1, "other"));
    CHECK(typesOf(events) == "other change_published config_adopted dispatched");
    CHECK(events.back().orderUs == 50);
}

TEST_CASE("contradictory causal links lose no event")
{
    const auto events = parseAndOrder(
        line(10, "a", 1, "x", R"(,"generation":2)") + line(20, "a", 2, "change_published", R"(,"generation":1)")
        + line(10, "b", 1, "y", R"(,"generation":1)") + line(20, "b", 2, "change_published", R"(,"generation":2)"));
    CHECK(events.size() == 4);
}

TEST_CASE("events of a restarted process follow its first run although its sequence numbers restart")
{
    CHECK(typesOf(parseAndOrder(line(50, "a", 1, "r1") + line(60, "a", 2, "r2") + line(40, "a", 1, "s1")
                                + line(70, "a", 2, "s2")))
          == "r1 r2 s1 s2");
}

TEST_CASE("malformed lines are counted and the rest is parsed")
{
    timeline_input input;
    readLog(line(1, "a", 1, "x") + "\n{\"time_us\":2,\"pro", input);
    readLog("[]\n", input);
    CHECK(input.events.size() == 1);
    CHECK(input.damagedLines == 2);
}

TEST_CASE("filters select by each field and refusals are counted by reason")
{
    const auto events =
        parseAndOrder(line(1, "a", 1, "refused", R"(,"reason":"not_run: rate_limited","request_id":"r1")")
                      + line(2, "a", 2, "finished", R"(,"reason":"not_run: rate_limited","session_id":"s")")
                      + line(3, "a", 3, "finished", R"(,"reason":"complete: none","version":"v1","generation":4)")
                      + line(4, "b", 1, "finished", R"(,"reason":"failed_after_run: upstream_failed")"));
    CHECK(
        countRefusals(events)
        == std::map<std::string, std::size_t>{{"failed_after_run: upstream_failed", 1}, {"not_run: rate_limited", 2}});
    const auto count = [&](const timeline_filter &filter) {
        return std::ranges::count_if(events, [&](const auto &event) { return matches(event, filter); });
    };
    CHECK(count({}) == 4);
    CHECK(count({.requestId = "r1"}) == 1);
    CHECK(count({.sessionId = "s"}) == 1);
    CHECK(count({.version = "v1"}) == 1);
    CHECK(count({.host = "a"}) == 3);
    CHECK(count({.generation = 4}) == 1);
}

TEST_CASE("calls to the store are added up by cause over hosts")
{
    const auto events = parseAndOrder(line(1, "a", 1, "store_calls", R"(,"servers/change":3,"config/renewal":1)")
                                      + line(2, "b", 1, "store_calls", R"(,"servers/change":4,"x":"y","z":-1)")
                                      + line(3, "b", 2, "other", R"(,"servers/change":9)"));
    CHECK(countStoreCalls(events)
          == std::map<std::string, std::uint64_t>{{"config/renewal", 1}, {"servers/change", 7}});
}

TEST_CASE("text and JSON contain all fields, and the original clock where the order was corrected")
{
    timeline_event event;
    event.timeUs = 1'700'000'000'000'001;
    event.orderUs = event.timeUs + 5;
    event.host = "a";
    event.process = "router";
    event.sequence = 3;
    event.type = "finished";
    event.reason = "complete: none";
    event.generation = 9;
    CHECK(formatEventText(event)
          == "2023-11-14T22:13:20.000006Z a router#3 finished reason=\"complete: none\" generation=9 "
             "clock=2023-11-14T22:13:20.000001Z");
    timeline_input input;
    readLog(formatEventJson(event), input);
    REQUIRE(input.events.size() == 1);
    CHECK(input.events[0].reason == event.reason);
}

TEST_CASE("a line of the gateway's log keeps all its fields, also after a prefix")
{
    timeline_input input;
    readLog(R"(   2.0153 edge-1 {"time_us":5,"process":"gateway","host":"edge-1","seq":7,"event":"request_end",)"
            R"("request_id":"ab","status":502,"reason":"failed","upstream":"i-1","generation":3,"sends":1})",
            input);
    REQUIRE(input.events.size() == 1);
    CHECK(input.damagedLines == 0);
    const auto text = formatEventText(input.events[0]);
    CHECK(text.find("status=502") != std::string::npos);
    CHECK(text.find("generation=3") != std::string::npos);
    CHECK(text.find("upstream=\"i-1\"") != std::string::npos);
    CHECK(formatEventJson(input.events[0]).find("\"sends\":1") != std::string::npos);
}
