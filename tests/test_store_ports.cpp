// Ports on the object store: records that another writer has left under a session's or a request's key.
#include "store_ports_p.h"

#include "control_fakes_p.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace foxtaildyke;

namespace
{

struct ledger_with_store {
    fake_store store;
    std::vector<ledger_response> responses;
    store_ledger ledger{store, "host-1", [this](const core_input &input) {
                            responses.push_back(std::get<ledger_response>(input));
                        }};

    void put(const std::string &key, const std::string &body)
    {
        store.write(key, body, 0, [](const result<object_version> &) {});
    }
};

} // namespace

// Guards against a router that ends by an exception because of one record.
TEST_CASE("store ledger: a pin that can't be read is no pin, and the session is refused")
{
    for (const auto *body :
         {"", "17", "[]", "{}", R"({"versions":17})", R"({"versions":"v1"})", R"({"versions":[1,2]})",
          R"({"versions":["v1",null]})", R"({"versions":{"a":"b"}})", "\xff"}) {
        CAPTURE(body);
        ledger_with_store net;
        net.put("pins/account/session", body);
        write_pin pin;
        pin.account = "account";
        pin.sessionId = "session";
        pin.versions = {"v1"};
        net.ledger.pin(pin);
        REQUIRE(net.responses.size() == 1);
        CHECK(net.responses[0].status == ledger_status::unavailable);
        CHECK(net.ledger.isIdle());
    }
}

TEST_CASE("store ledger: a bill that can't be read is a bill without a stored response")
{
    for (const auto *body : {"", "17", R"({"answer":17})", R"({"answer":null})", "\xff"}) {
        CAPTURE(body);
        ledger_with_store net;
        net.put("claims/account/request", "{}");
        net.put("bills/account/request", body);
        write_claim claim;
        claim.account = "account";
        claim.requestId = "request";
        net.ledger.claim(claim);
        REQUIRE(net.responses.size() == 1);
        CHECK(net.responses[0].status == ledger_status::exists_billed);
        CHECK(net.responses[0].answer.empty());
    }
}
