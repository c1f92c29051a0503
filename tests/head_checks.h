// How http_parser reads a message that arrives in chunks of any size.
#pragma once

#include "http_parser_p.h"

#include <doctest/doctest.h>
#include <string>
#include <string_view>

namespace foxtaildyke::testing
{

/// @param chunkSize in bytes, above 0.
/// @returns the state of a parser that was fed a message in chunks, until it needed no more.
inline parse_state stateAfter(message_type type, std::string_view text, std::size_t chunkSize)
{
    http_parser parser(type);
    while (!text.empty() && (parser.state() == parse_state::head || parser.state() == parse_state::body)) {
        const auto used = parser.feed(text.substr(0, chunkSize), [](std::string_view) {});
        if (used == 0)
            break;
        text.remove_prefix(used);
    }
    return parser.state();
}

/// Checks a message without a body whose head arrives at once, and a byte at a time.
inline void checkHead(message_type type, const std::string &text, bool isValid)
{
    CAPTURE(text);
    const auto expected = isValid ? parse_state::complete : parse_state::malformed;
    CHECK(stateAfter(type, text, text.size()) == expected);
    CHECK(stateAfter(type, text, 1) == expected);
}

} // namespace foxtaildyke::testing
