// Checks of the shape of JSON values before they are converted, which throws if a type differs.
#pragma once

#include <algorithm>
#include <nlohmann/json.hpp>

namespace foxtaildyke
{

/// @returns whether a value is an array of strings.
[[nodiscard]] inline bool isStringList(const nlohmann::json &value)
{
    return value.is_array() && std::ranges::all_of(value, [](const auto &entry) { return entry.is_string(); });
}

} // namespace foxtaildyke
