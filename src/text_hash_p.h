// Text hash for placement, load distribution and request fingerprints. Its values must be the same on all hosts and in
// all versions of the programs.
#pragma once

#include <array>
#include <cinttypes>
#include <cstdint>
#include <cstdio>
#include <span>
#include <string>
#include <string_view>
#include <xxhash.h>

namespace foxtaildyke
{

[[nodiscard]] inline std::uint64_t hashOf(std::string_view text, std::uint64_t seed = 0)
{
    return XXH64(text.data(), text.size(), seed);
}

/// @returns 16 hexadecimal digits, as hashes appear in logs and stored data.
[[nodiscard]] inline std::string hexText(std::uint64_t value)
{
    std::array<char, 17> digits{};
    std::snprintf(digits.data(), digits.size(), "%016" PRIx64, value);
    return digits.data();
}

/// @returns the texts of several hashes, separated by spaces.
[[nodiscard]] inline std::string hexTexts(std::span<const std::uint64_t> values)
{
    std::string text;
    for (const auto value : values)
        text.append(text.empty() ? "" : " ").append(hexText(value));
    return text;
}

} // namespace foxtaildyke
