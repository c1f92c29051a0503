// Text of HTTP headers: names, lists and numbers.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace foxtaildyke
{

/// @returns whether two header names or tokens are equal; ASCII case is ignored.
[[nodiscard]] bool isSameHeader(std::string_view left, std::string_view right);

/// @returns the text without spaces and tabs around it.
[[nodiscard]] std::string_view trimmed(std::string_view text);

/// @returns the entries of a list between commas, trimmed, without empty ones.
[[nodiscard]] std::vector<std::string> splitList(std::string_view list);

/// @returns the number, or nothing where the text is anything else than decimal digits.
[[nodiscard]] std::optional<std::uint64_t> parseNumber(std::string_view text);

} // namespace foxtaildyke
