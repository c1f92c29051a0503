// Parsing of HTTP header text; see header_text_p.h.
#include "header_text_p.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>

namespace foxtaildyke
{

bool isAlphanumeric(char letter)
{
    return (letter >= '0' && letter <= '9') || (letter >= 'A' && letter <= 'Z') || (letter >= 'a' && letter <= 'z');
}

bool isToken(std::string_view text)
{
    static constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::ranges::all_of(text, [](char letter) {
        return isAlphanumeric(letter) || kSymbols.find(letter) != std::string_view::npos;
    });
}

bool isFieldContent(std::string_view text)
{
    constexpr char kDelete = 0x7f;
    return std::ranges::none_of(text, [](char letter) {
        const bool isControl = (letter >= 0 && letter < ' ' && letter != '\t') || letter == kDelete;
        return isControl;
    });
}

bool isSameHeader(std::string_view left, std::string_view right)
{
    return std::ranges::equal(left, right,
                              [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::vector<std::string> splitList(std::string_view list)
{
    std::vector<std::string> entries;
    while (!list.empty()) {
        const auto end = std::min(list.find(','), list.size());
        const auto entry = trimmed(list.substr(0, end));
        list.remove_prefix(std::min(end + 1, list.size()));
        if (!entry.empty())
            entries.emplace_back(entry);
    }
    return entries;
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (failure != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

std::optional<double> parseDecimal(std::string_view text)
{
    double value = 0;
    const auto [end, failure] =
        std::from_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
    const bool isWhole = failure == std::errc{} && end == text.data() + text.size();
    return isWhole && std::isfinite(value) ? std::optional(value) : std::nullopt;
}

} // namespace foxtaildyke
