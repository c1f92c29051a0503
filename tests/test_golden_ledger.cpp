// Golden tests for claims, pins and bills that are lost, late or unused. See test_golden.cpp.
#include "golden_p.h"

#include <doctest/doctest.h>

using namespace foxtaildyke;
using namespace foxtaildyke::test;
using namespace std::chrono_literals;

namespace
{

void resendFirst(caller_request &request)
{
    request.requestId = "1790000000-r1";
}

bool isResponseTo(const core_input &input, ledger_step step)
{
    const auto *response = std::get_if<ledger_response>(&input);
    return response && response->step == step;
}

} // namespace

TEST_CASE("golden session: a request whose claim was written but whose attempt was never sent may run when the caller "
          "resends it")
{
    core_simulation simulation(sollecitiPadani(), sollecitiPadaniUpstreams());
    bool isDown = true;
    simulation.upstream = [&](const start_attempt &) {
        return isDown ? failing(attempt_failure::not_sent) : attempt_script{};
    };
    const auto refused = simulation.submit(10ms, "payment-promise");
    simulation.call(900ms, "the upstreams are back", [&] { isDown = false; });
    const auto resend = simulation.submit(1000ms, "payment-promise", resendFirst);
    const auto secondResend = simulation.submit(1500ms, "payment-promise", resendFirst);
    simulation.call(1600ms, "another host claims", [&] {
        simulation.ledger.entries[{"cremona-recupero", "1790000000-other"}].claimed = true;
    });
    const auto other = simulation.submit(1700ms, "payment-promise",
                                         [](caller_request &request) { request.requestId = "1790000000-other"; });
    simulation.run(10s);
    checkResponse(simulation, refused, outcome_kind::not_run, reason_code::no_upstream);
    checkResponse(simulation, resend, outcome_kind::complete);
    checkResponse(simulation, secondResend, outcome_kind::complete);
    checkResponse(simulation, other, outcome_kind::may_have_run, reason_code::duplicate_in_progress);
    CHECK(simulation.ledger.billsAccepted == 1);
    checkGolden("unsent-claim", simulation);
}

TEST_CASE("golden session: a non-idempotent attempt continues past its caller's deadline")
{
    core_simulation simulation(sollecitiPadani(), sollecitiPadaniUpstreams());
    simulation.upstream = [](const start_attempt &) {
        return attempt_script{.chunks = {"noted"}, .first = 800ms};
    };
    const auto late =
        simulation.submit(10ms, "payment-promise", [](caller_request &request) { request.timeout = 300ms; });
    const auto early = simulation.submit(500ms, "payment-promise", resendFirst);
    const auto resend = simulation.submit(1500ms, "payment-promise", resendFirst);
    simulation.run(20s);
    checkResponse(simulation, late, outcome_kind::failed_after_run, reason_code::deadline_exceeded);
    checkResponse(simulation, early, outcome_kind::may_have_run, reason_code::duplicate_in_progress);
    checkResponse(simulation, resend, outcome_kind::complete);
    checkGolden("late-bill", simulation);
}

TEST_CASE("golden session: lost ledger responses never lead to a wrong outcome")
{
    core_simulation simulation(sollecitiPadani(), sollecitiPadaniUpstreams());
    std::optional<ledger_step> lost = ledger_step::claim;
    simulation.copies = [&](const core_input &input) {
        return lost && isResponseTo(input, *lost) ? 0 : 1;
    };
    const auto claim = simulation.submit(10ms, "payment-promise");
    simulation.call(4s, "replies to bills are lost", [&] { lost = ledger_step::bill; });
    const auto bill = simulation.submit(4100ms, "payment-promise");
    simulation.call(8s, "replies to pins are lost", [&] { lost = ledger_step::pin; });
    const auto pin =
        simulation.submit(8100ms, "ledger-lookup", [](caller_request &request) { request.sessionId = "call-3"; });
    simulation.call(12s, "the ledger answers, the store is down", [&] {
        lost.reset();
        simulation.ledger.down = true;
    });
    const auto copied = simulation.submit(12100ms, "ledger-lookup");
    simulation.run(20s);
    checkResponse(simulation, claim, outcome_kind::may_have_run, reason_code::store_unavailable);
    checkResponse(simulation, bill, outcome_kind::failed_after_run, reason_code::store_unavailable);
    checkResponse(simulation, pin, outcome_kind::not_run, reason_code::store_unavailable);
    checkResponse(simulation, copied, outcome_kind::complete);
    checkGolden("lost-ledger-replies", simulation);
}
