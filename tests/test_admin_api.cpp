// Administration API: operators without the required role must not change anything, responses must distinguish
// "accepted" from "written, pending", and keys must not leak.
#include "admin_json_p.h"
#include "control_fakes_p.h"

#include <doctest/doctest.h>

using namespace foxtaildyke;

namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

struct api_fixture {
    fake_store store;
    fake_status status;
    fake_orders orders;
    std::vector<controller_event> events;
    controller control{store, status, orders, "h1", "1", [](const controller_event &) {
                       }};
    admin_api api{
        control,
        {{"ada", "ada-operator-key", operator_role::editor}, {"vi", "viewer-operator-key", operator_role::viewer}},
        [this](controller_event event) {
            events.push_back(std::move(event));
        }};
    instant now{1};

    api_fixture()
    {
        const auto response = post("/v1/apply", files(controlLayers(3), "first"));
        REQUIRE(response.status == 202);
    }

    static json files(const config_layers &layers, const std::string &changeId)
    {
        return {{"base", formatIni(layers.base)}, {"change_id", changeId}};
    }

    void run(milliseconds duration)
    {
        for (const auto end = now + duration; now < end; now += milliseconds(50)) {
            control.tick(now, 1'700'000'000'000);
            api.tick(now, 1'700'000'000'000);
        }
    }

    std::optional<admin_response> send(admin_request request, const std::string &key)
    {
        m_response = std::make_shared<std::optional<admin_response>>();
        request.authorization = "Bearer " + key;
        api.handle(request, [response = m_response](admin_response received) { *response = std::move(received); });
        return *m_response;
    }

    admin_response post(const std::string &path, const json &body, const std::string &key = "ada-operator-key")
    {
        return send({"POST", path, {}, {}, body.dump()}, key).value_or(admin_response{0, ""});
    }

    json get(const std::string &path, const std::map<std::string, std::string> &query = {})
    {
        return json::parse(send({"GET", path, query, {}, {}}, "viewer-operator-key").value().body);
    }

    [[nodiscard]] const std::optional<admin_response> &lastResponse() const { return *m_response; }

    void acknowledge(std::vector<std::string> hosts)
    {
        host_status response;
        response.generation = store.config().generation;
        response.acknowledged = std::move(hosts);
        status.response = response;
    }

private:
    std::shared_ptr<std::optional<admin_response>> m_response;
};

std::string codeOf(const admin_response &response)
{
    return json::parse(response.body)["error"]["code"];
}

} // namespace

TEST_CASE("requests without a key, with a wrong key or without the role are refused")
{
    api_fixture test;
    const json body{{"version", "v2"}, {"change_id", "w"}};
    CHECK(test.post("/v1/withdraw", body, "wrong").status == 401);
    CHECK(test.post("/v1/withdraw", body, "").status == 401);
    CHECK(test.post("/v1/withdraw", body, "viewer-operator-key").status == 403);
    CHECK(test.store.config().generation == 1);
    CHECK(test.post("/v1/nothing", body).status == 404);
    CHECK(test.send({"GET", "/v1/withdraw", {}, {}, {}}, "ada-operator-key")->status == 404);
}

TEST_CASE("malformed bodies yield a typed error that names the field")
{
    api_fixture test;
    CHECK(test.post("/v1/withdraw", json::array()).status == 400);
    CHECK(codeOf(test.post("/v1/withdraw", {{"version", 5}, {"change_id", "w"}})) == "protocol_violation");
    CHECK(json::parse(test.post("/v1/withdraw", {{"version", "v2"}}).body)["error"]["field"] == "change_id");
    CHECK(json::parse(test.post("/v1/apply", {{"base", "[x"}, {"change_id", "w"}}).body)["error"]["field"]
          == "base: line 1");
    CHECK(codeOf(test.post("/v1/rollout", {{"version", "v2"}, {"action", "jump"}, {"change_id", "w"}}))
          == "protocol_violation");
    CHECK(test.post("/v1/withdraw", {{"version", "v9"}, {"change_id", "w"}}).status == 404);
}

TEST_CASE("a change is pending until it is accepted, and waiting requests receive a response then")
{
    api_fixture test;
    test.acknowledge(hostNames(1, 3));
    test.run(milliseconds(1000));
    const auto pending = test.post("/v1/withdraw", {{"version", "v2"}, {"change_id", "w"}});
    CHECK(pending.status == 202);
    CHECK(json::parse(pending.body)["state"] == "written, pending");
    CHECK(json::parse(pending.body)["unacknowledged_hosts"].size() == 3);
    CHECK(test.get("/v1/pending")["pending"].size() == 1);

    test.send({"GET", "/v1/acceptance", {{"generation", "2"}, {"wait_ms", "20000"}}, {}, {}}, "viewer-operator-key");
    CHECK_FALSE(test.lastResponse().has_value());
    test.acknowledge(hostNames(1, 3));
    test.run(milliseconds(1000));
    REQUIRE(test.lastResponse().has_value());
    CHECK(test.lastResponse()->status == 200);
    CHECK(json::parse(test.lastResponse()->body)["state"] == "accepted");
    CHECK(test.get("/v1/pending")["pending"].empty());
    // Retrying with the same change id makes no second change.
    CHECK(json::parse(test.post("/v1/withdraw", {{"version", "v2"}, {"change_id", "w"}}).body)["generation"] == 2);
    CHECK(test.store.config().generation == 2);
}

TEST_CASE("a waiting request receives the missing hosts when its wait times out")
{
    api_fixture test;
    test.acknowledge(hostNames(1, 1));
    test.send({"GET", "/v1/acceptance", {{"generation", "1"}, {"wait_ms", "3000"}}, {}, {}}, "viewer-operator-key");
    test.run(milliseconds(2900));
    CHECK_FALSE(test.lastResponse().has_value());
    test.run(milliseconds(200));
    REQUIRE(test.lastResponse().has_value());
    CHECK(test.lastResponse()->status == 202);
    CHECK(json::parse(test.lastResponse()->body)["unacknowledged_hosts"] == json{"h2", "h3"});
    CHECK(test.api.waitingRequests() == 0);
}

TEST_CASE("changes record author and time and are reported as events")
{
    api_fixture test;
    test.run(milliseconds(100));
    CHECK(test.post("/v1/rollout", {{"version", "v2"}, {"action", "halt"}, {"change_id", "h"}}).status == 202);
    const auto change = test.store.config().history.back();
    CHECK(change.author == "ada");
    CHECK(change.unixMs == 1'700'000'000'000);
    CHECK(test.events.back().type == "change_published");
    CHECK(test.events.back().generation == 2);
    // Neither a retried change nor one without effect is reported again.
    const auto count = test.events.size();
    CHECK(test.post("/v1/rollout", {{"version", "v2"}, {"action", "halt"}, {"change_id", "h"}}).status == 202);
    CHECK(test.post("/v1/rollout", {{"version", "v2"}, {"action", "halt"}, {"change_id", "i"}}).status == 202);
    CHECK(test.events.size() == count);
}

TEST_CASE("an apply based on an older generation conflicts if the same keys have changed since")
{
    api_fixture test;
    auto mine = controlLayers(3);
    mine.base["account a"]["burst"] = "5";
    auto theirs = controlLayers(3);
    theirs.base["account a"]["burst"] = "6";
    auto body = api_fixture::files(mine, "mine");
    body["generation"] = 1;
    CHECK(test.post("/v1/apply", body).status == 202);
    auto late = api_fixture::files(theirs, "theirs");
    late["generation"] = 1;
    const auto response = test.post("/v1/apply", late);
    CHECK(response.status == 409);
    CHECK(codeOf(response) == "conflict");
}

TEST_CASE("apply keeps the registered hosts unless the request includes hosts")
{
    api_fixture test;
    auto body = api_fixture::files(controlLayers(1), "fewer");
    CHECK(test.post("/v1/apply", body).status == 202);
    CHECK(test.store.config().layers.base.contains("host h3"));
    CHECK(test.store.config().generation == 1);
    body["hosts"] = true;
    body["change_id"] = "fewer with hosts";
    CHECK(test.post("/v1/apply", body).status == 202);
    CHECK_FALSE(test.store.config().layers.base.contains("host h3"));
}

TEST_CASE("diff and history mask API keys and session keys")
{
    api_fixture test;
    auto layers = controlLayers(3);
    layers.base["account a"]["api_key"] = "another-secret";
    const auto diff = test.post("/v1/diff", api_fixture::files(layers, ""), "viewer-operator-key");
    CHECK(diff.status == 200);
    CHECK(diff.body.find("another-secret") == std::string::npos);
    CHECK(diff.body.find("api_key") != std::string::npos);
    CHECK(test.get("/v1/history").dump().find("0123456789abcdef") == std::string::npos);
    CHECK(test.get("/v1/history")["history"].size() == 1);
}

TEST_CASE("a store outage is reported as such, not as a rejected request")
{
    api_fixture test;
    test.store.outage = true;
    CHECK(test.post("/v1/withdraw", {{"version", "v2"}, {"change_id", "w"}}).status == 503);
    CHECK(test.get("/v1/status")["store_error"] == "unavailable");
}

TEST_CASE("check validates settings without accessing the store")
{
    api_fixture test;
    test.store.outage = true;
    auto layers = controlLayers(3);
    CHECK(test.post("/v1/check", api_fixture::files(layers, "")).status == 200);
    layers.base["account a"]["burst"] = "0";
    const auto response = test.post("/v1/check", api_fixture::files(layers, ""));
    CHECK(response.status == 422);
    CHECK(json::parse(response.body)["error"]["field"] == "account a/burst");
}

TEST_CASE("operator sections are parsed and removed from the settings file")
{
    const auto read = [](const std::string &text) {
        auto sections = parseIni(text).value();
        return extractOperators(sections);
    };
    auto sections = parseIni("[process]\nhost = h1\n[operator ada]\nkey = 0123456789abcdef\nrole = editor\n").value();
    const auto operators = extractOperators(sections);
    REQUIRE(operators.has_value());
    CHECK(operators.value().at(0).name == "ada");
    CHECK(operators.value().at(0).role == operator_role::editor);
    CHECK(sections.size() == 1);
    CHECK(read("[operator a]\nkey = short\n").error().code == error_code::value_out_of_range);
    CHECK(read("[operator a]\nkey = 0123456789abcdef\nrole = root\n").error().code == error_code::value_out_of_range);
    CHECK(read("[operator a]\nrole = viewer\n").error().code == error_code::missing_key);
    CHECK(read("[operator a]\nname = x\n").error().code == error_code::unknown_key);
    CHECK(read("[operator a]\nkey = 0123456789abcdef\n[operator b]\nkey = 0123456789abcdef\n").error().field
          == "operator b/key");
}
