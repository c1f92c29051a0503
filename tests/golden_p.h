// Comparison of a transcript with its golden file, shared by the golden tests.
#pragma once

#include "core_simulation_p.h"

namespace foxtaildyke::test
{

/// Compares the transcript with tests/golden/NAME.txt, or writes the file where FOXTAILDYKE_GOLDEN_UPDATE is set.
void checkGolden(const std::string &name, const core_simulation &simulation);

/// Checks that a request got exactly one final answer, with this outcome and reason.
void checkResponse(core_simulation &simulation, request_token request, outcome_kind outcome,
                   reason_code reason = reason_code::none);

/// A script that fails before any text.
[[nodiscard]] inline attempt_script failing(attempt_failure failure)
{
    return {.chunks = {}, .failure = failure};
}

} // namespace foxtaildyke::test
