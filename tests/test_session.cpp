// Session tokens: a forged or damaged token must never pin a version.
#include "session_p.h"

#include <doctest/doctest.h>

using namespace foxtaildyke;

TEST_CASE("a session token round-trips and a modified one is rejected")
{
    const session_pins pins{"studio-legale", "s-1", 7, {"grand-2", "swift-3"}};
    auto token = signPins(pins, "key");
    const auto read = verifyPins(token, "key");
    REQUIRE(read.has_value());
    CHECK(read.value().sessionId == "s-1");
    CHECK(read.value().versions == pins.versions);
    CHECK(verifyPins(token, "other").has_error());
    token[token.size() / 2] = token[token.size() / 2] == 'A' ? 'B' : 'A';
    CHECK(verifyPins(token, "key").has_error());
    CHECK(verifyPins("", "key").has_error());
}
