// Golden sessions: whole sessions through the decision core in virtual time, compared with tests/golden/NAME.txt.
// Guards against any unintended change of what callers, upstreams, the ledger or the time line see.
// FOXTAILDYKE_GOLDEN_UPDATE=1 writes the files instead; see scripts/golden.
#include "core_simulation_p.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <fstream>
#include <iterator>

using namespace foxtaildyke;
using namespace foxtaildyke::test;

namespace
{

/// Compares a transcript with its golden file, or writes the file.
void check(const std::string &name, const core_simulation &simulation)
{
    CHECK(simulation.openRequests() == 0);
    const auto path = std::string(FOXTAILDYKE_SOURCE_DIR) + "/tests/golden/" + name + ".txt";
    if (std::getenv("FOXTAILDYKE_GOLDEN_UPDATE")) { // NOLINT(concurrency-mt-unsafe): single-threaded test
        std::ofstream(path) << simulation.transcript();
        return;
    }
    std::ifstream file(path);
    const std::string expected{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    CHECK_MESSAGE(simulation.transcript() == expected, "differs from ", path, "\n", simulation.transcript());
}

} // namespace

TEST_CASE("golden session: appeal-draft streams a whole answer")
{
    core_simulation simulation(linShou(), linShouUpstreams());
    simulation.upstream = [](const auto &) {
        return attempt_script{.chunks = {"To the ", "agency"}};
    };
    const auto draft =
        simulation.ask(milliseconds{10}, "appeal-draft", [](caller_request &request) { request.stream = true; });
    simulation.run(milliseconds{5000});
    REQUIRE(simulation.answers(draft).size() == 1);
    CHECK(simulation.answers(draft).front().outcome == outcome_kind::complete);
    check("appeal-draft", simulation);
}
