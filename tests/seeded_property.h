// Properties that are checked with a fixed seed, so that each run has the same verdict and a failure can be reproduced.
#pragma once

#include <cstdlib>
#include <rapidcheck.h>

namespace foxtaildyke::testing
{

/// @param parameters seed and number of runs, unless RC_PARAMS sets them.
/// @returns whether the property holds.
template <typename property>
[[nodiscard]] bool propertyHolds(property &&checked, const char *parameters = "seed=20261203 max_success=300")
{
    setenv("RC_PARAMS", parameters, 0); // NOLINT(concurrency-mt-unsafe): single-threaded test
    return rc::check(std::forward<property>(checked));
}

} // namespace foxtaildyke::testing
