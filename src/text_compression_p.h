// Compression of text that hosts send to each other (zlib).
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace foxtaildyke
{

/// Name of the coding in Accept-Encoding and Content-Encoding: zlib format (RFC 9110, section 8.4.1.2).
inline constexpr const char *kDeflateCoding = "deflate";

/// @returns the compressed text.
[[nodiscard]] std::string compressText(std::string_view text);

/// @param maxBytes limit of the result; compressed data can expand to a thousand times its size.
/// @returns the original text, or nothing if the data is damaged, incomplete, or expands beyond the limit.
[[nodiscard]] std::optional<std::string> decompressText(std::string_view data, std::size_t maxBytes);

} // namespace foxtaildyke
