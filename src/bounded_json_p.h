// Reads JSON that other processes wrote: bounds its nesting before it is parsed, and finds the parts of a text, so that
// a part that can't be read doesn't affect the others.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <vector>

namespace foxtaildyke
{

/// Copies and encodings of a value recurse to its depth.
constexpr std::size_t kMaxJsonDepth = 64;

/// @returns the value, or a discarded one if the text can't be read or is nested deeper than kMaxJsonDepth.
[[nodiscard]] nlohmann::json parseBounded(std::string_view text);

/// Member of an object, as text.
struct json_member {
    std::string_view name; ///< without quotes, escapes as written
    std::string_view value;
};

using json_members = std::vector<json_member>;

/// The values aren't checked.
/// @returns the members in their order, or std::nullopt if the text isn't an object with balanced brackets.
[[nodiscard]] std::optional<json_members> membersOf(std::string_view object);

/// The values aren't checked.
/// @returns the elements in their order, or std::nullopt if the text isn't an array with balanced brackets.
[[nodiscard]] std::optional<std::vector<std::string_view>> elementsOf(std::string_view array);

/// @returns the text of the last member of that name, or an empty text.
[[nodiscard]] std::string_view memberText(const json_members &members, std::string_view name);

/// @returns the value of the last member of that name: null if there is none, discarded if it can't be read.
[[nodiscard]] nlohmann::json memberValue(const json_members &members, std::string_view name);

} // namespace foxtaildyke
