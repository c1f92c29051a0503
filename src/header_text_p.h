// Parsing of HTTP header text: names, lists and numbers.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace foxtaildyke
{

/// @returns whether a character is an ASCII letter or digit, in any locale.
[[nodiscard]] bool isAlphanumeric(char letter);

/// @returns whether a text consists of at least one character of a method or header name (RFC 9110, 5.6.2).
[[nodiscard]] bool isToken(std::string_view text);

/// @returns whether a text holds no control characters other than tabs, as the value of a header or a reason.
[[nodiscard]] bool isFieldContent(std::string_view text);

/// @returns whether two header names or tokens are equal, ignoring ASCII case.
[[nodiscard]] bool isSameHeader(std::string_view left, std::string_view right);

/// @returns the text without leading and trailing spaces and tabs.
[[nodiscard]] std::string_view trimmed(std::string_view text);

/// @returns the non-empty entries of a comma-separated list, trimmed.
[[nodiscard]] std::vector<std::string> splitList(std::string_view list);

/// @returns the number, or nothing if the text doesn't consist of decimal digits only or the value is out of range.
[[nodiscard]] std::optional<std::uint64_t> parseNumber(std::string_view text);

/// @returns the number, or nothing if the text isn't a finite decimal number without exponent, such as "2.9" or "-1".
[[nodiscard]] std::optional<double> parseDecimal(std::string_view text);

} // namespace foxtaildyke
