// End-to-end tests across processes: requests of each kind from a caller to an upstream and back.
#include "failure_deployment.h"

#include <doctest/doctest.h>

using namespace foxtaildyke;
using namespace foxtaildyke::testing;

namespace
{

void addStandardUpstreams(deployment &fleet)
{
    fleet.addUpstream({"u1", "models", "swift-1,grand-1"});
    fleet.addUpstream({"u2", "models", "swift-1,grand-1"});
    fleet.addUpstream({"u3", "desk", "desk-1"});
}

} // namespace

// Guards against programs that work separately but not together: each request passes from the caller through router,
// upstream and ledger.
TEST_CASE("path: every kind gets a complete response, runs once and is billed once")
{
    deployment fleet(1);
    addStandardUpstreams(fleet);
    REQUIRE(fleet.waitUntilServing(0));
    for (const std::string kind : {"tone-check", "dossier-summary", "reminder-draft", "payment-promise"}) {
        CAPTURE(kind);
        const auto id = makeRequestId(kind);
        const auto response = fleet.call(0, {.kind = kind, .requestId = id});
        CHECK(response.status == 200);
        CHECK(response.isComplete);
        const auto body = bodyOf(response);
        CHECK(body.value("outcome", "") == "complete");
        CHECK(body.value("request_id", "") == id);
        CHECK(!body.value("text", "").empty());
    }
}

// Guards against dispatching a request whose client account has no grant for the model.
TEST_CASE("path: an account without a grant is refused without an upstream run")
{
    deployment fleet(1);
    addStandardUpstreams(fleet);
    REQUIRE(fleet.waitUntilServing(0));
    const auto id = makeRequestId("refused");
    const auto response = fleet.call(0, {.kind = "reminder-draft", .requestId = id, .apiKey = "test-key-account-b"});
    CHECK(response.status == 403);
    CHECK(bodyOf(response).value("outcome", "") == "not_run");
    CHECK(bodyOf(response).value("reason", "") == "not_allowed");
    CHECK(fleet.runsOf(id) == 0);
}
