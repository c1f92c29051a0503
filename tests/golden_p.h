// Helpers shared by the golden tests, such as the comparison of a transcript with its golden file.
#pragma once

#include "core_simulation_p.h"

namespace foxtaildyke::test
{

/// Compares the transcript with tests/golden/NAME.txt, or writes that file if FOXTAILDYKE_GOLDEN_UPDATE is set.
void checkGolden(const std::string &name, const core_simulation &simulation);

/// Checks that a request received exactly one final response, with the given outcome and reason.
void checkResponse(core_simulation &simulation, request_token request, outcome_kind outcome,
                   reason_code reason = reason_code::none);

/// @returns a script of an attempt that fails before it sends any text.
[[nodiscard]] inline attempt_script failing(attempt_failure failure)
{
    return {.chunks = {}, .failure = failure};
}

} // namespace foxtaildyke::test
