// Event log and metrics. The timeline program merges event log lines, so each line must be one JSON object with fixed
// keys.
#include "event_log_p.h"
#include "metrics_p.h"

#include <cstdio>
#include <doctest/doctest.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <unistd.h>

using namespace foxtaildyke;

TEST_CASE("an event is one line of JSON with keys in a fixed order, also for text with invalid UTF-8")
{
    record_event event;
    event.type = "dispatched";
    event.requestId = "1-a\n\xff";
    event.account = "a\"b";
    event.version = "m-1";
    event.generation = 7;
    event.reason = "first attempt";
    const auto line = formatEvent(event, "router", "h1", 3, 1234567);
    CHECK(line.find('\n') == std::string::npos);
    CHECK(line.find(R"({"time_us":1234567,"process":"router","host":"h1","seq":3,"event":"dispatched","request_id":)")
          == 0);
    const auto parsed = nlohmann::json::parse(line);
    CHECK(parsed["account"] == "a\"b");
    CHECK(parsed["generation"] == 7);
    CHECK(!parsed.contains("upstream"));
}

TEST_CASE("events are written to the file with sequence numbers in line order")
{
    std::string path = "/tmp/foxtaildyke-events-XXXXXX";
    const int descriptor = mkstemp(path.data());
    REQUIRE(descriptor >= 0);
    close(descriptor);
    {
        event_log log("router", "h1", path);
        log.recordEvent("first");
        log.recordEvent("second", "why", 2);
    }
    std::ifstream file(path);
    std::vector<nlohmann::json> lines;
    for (std::string line; std::getline(file, line);)
        lines.push_back(nlohmann::json::parse(line));
    std::remove(path.c_str());
    REQUIRE(lines.size() == 2);
    CHECK(lines[0]["seq"] == 1);
    CHECK(lines[1]["seq"] == 2);
    CHECK(lines[1]["event"] == "second");
    CHECK(lines[1]["reason"] == "why");
}

TEST_CASE("metrics are counted by outcome and written in the Prometheus text format with units")
{
    metrics stats;
    stats.recordRequest(outcome_kind::complete, reason_code::none, std::chrono::milliseconds(20));
    stats.recordRequest(outcome_kind::not_run, reason_code::draining, std::chrono::milliseconds(1));
    stats.recordAttempt("m-1", attempt_failure::truncated);
    stats.recordBill(10, 20, 300);
    const auto text = stats.text();
    for (const char *line :
         {"foxtaildyke_requests_total{outcome=\"complete\",reason=\"none\"} 1",
          "foxtaildyke_requests_total{outcome=\"not_run\",reason=\"draining\"} 1",
          "foxtaildyke_attempts_total{end=\"truncated\",version=\"m-1\"} 1",
          "foxtaildyke_billed_tokens_total{type=\"completion\"} 20", "foxtaildyke_billed_cost_microunits_total 300",
          "foxtaildyke_request_duration_seconds_count 2"}) {
        CAPTURE(line);
        CHECK(text.find(line) != std::string::npos);
    }
}
