#include "seeded_property.h"
#include "text_compression_p.h"

#include <doctest/doctest.h>

using namespace foxtaildyke;
using foxtaildyke::testing::propertyHolds;

TEST_CASE("text compression: any text comes back (property), and damaged or oversized data doesn't")
{
    CHECK(propertyHolds([](const std::string &text, std::size_t at) {
        const auto data = compressText(text);
        RC_ASSERT(decompressText(data, text.size()) == text);
        RC_ASSERT(!decompressText(data.substr(0, at % data.size()), text.size()));
        if (!text.empty())
            RC_ASSERT(!decompressText(data, text.size() - 1));
    }));
    const std::string large(4'000'000, 'x');
    const auto data = compressText(large);
    CHECK(data.size() < 40'000);
    CHECK(decompressText(data, large.size()) == large);
    CHECK_FALSE(decompressText(data, large.size() - 1));
    for (const auto *garbage : {"", "x", "not compressed at all"})
        CHECK_FALSE(decompressText(garbage, 1000));
}
