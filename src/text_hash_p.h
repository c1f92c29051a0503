// Text hash for placement and load distribution. Its values must be the same on all hosts and in all versions of the
// programs.
#pragma once

#include <cstdint>
#include <string_view>
#include <xxhash.h>

namespace foxtaildyke
{

[[nodiscard]] inline std::uint64_t hashOf(std::string_view text, std::uint64_t seed = 0)
{
    return XXH64(text.data(), text.size(), seed);
}

} // namespace foxtaildyke
