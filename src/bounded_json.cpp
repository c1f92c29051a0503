// Bounded reading of JSON from other processes; see bounded_json_p.h.
#include "bounded_json_p.h"

#include <algorithm>
#include <utility>

namespace foxtaildyke
{

namespace
{

constexpr std::string_view kBlanks = " \t\r\n";

std::string_view trimmedJson(std::string_view text)
{
    const auto begin = text.find_first_not_of(kBlanks);
    return begin == std::string_view::npos ? std::string_view()
                                           : text.substr(begin, text.find_last_not_of(kBlanks) - begin + 1);
}

/// Walks over a text byte by byte; tracks strings and nesting.
class json_cursor
{
public:
    /// @returns whether the byte belongs to a string, quotes included.
    bool consume(char byte)
    {
        if (m_isInString) {
            const bool isEscaped = std::exchange(m_isEscaped, !m_isEscaped && byte == '\\');
            m_isInString = isEscaped || byte != '"';
            return true;
        }
        m_isInString = byte == '"';
        if (byte == '{' || byte == '[')
            ++m_depth;
        else if (byte == '}' || byte == ']')
            --m_depth;
        return m_isInString;
    }
    [[nodiscard]] std::ptrdiff_t depth() const { return m_depth; }
    [[nodiscard]] bool isBalanced() const { return m_depth == 0 && !m_isInString; }

private:
    std::ptrdiff_t m_depth = 0; ///< of open brackets outside of strings
    bool m_isInString = false;
    bool m_isEscaped = false; ///< the byte before is the backslash of an escape
};

bool isTooDeep(std::string_view text)
{
    json_cursor cursor;
    return std::ranges::any_of(text, [&](char byte) {
        cursor.consume(byte);
        return cursor.depth() > static_cast<std::ptrdiff_t>(kMaxJsonDepth);
    });
}

/// @returns the parts between the commas of an object or array, or std::nullopt if its brackets aren't balanced.
std::optional<std::vector<std::string_view>> partsOf(std::string_view text, char opening, char closing)
{
    text = trimmedJson(text);
    if (text.size() < 2 || text.front() != opening || text.back() != closing)
        return std::nullopt;
    const auto content = text.substr(1, text.size() - 2);
    std::vector<std::string_view> parts;
    json_cursor cursor;
    std::size_t begin = 0;
    for (std::size_t at = 0; at < content.size(); ++at) {
        const bool isText = cursor.consume(content[at]);
        if (cursor.depth() < 0)
            return std::nullopt;
        if (isText || cursor.depth() > 0 || content[at] != ',')
            continue;
        parts.push_back(trimmedJson(content.substr(begin, at - begin)));
        begin = at + 1;
    }
    if (!cursor.isBalanced())
        return std::nullopt;
    const auto last = trimmedJson(content.substr(begin));
    if (!last.empty() || !parts.empty())
        parts.push_back(last);
    return parts;
}

std::optional<json_member> memberOf(std::string_view part)
{
    json_cursor cursor;
    std::size_t end = 0;
    while (end < part.size() && cursor.consume(part[end]))
        ++end;
    const auto name = part.substr(0, end);
    const auto value = trimmedJson(part.substr(end));
    if (name.size() < 2 || !value.starts_with(':'))
        return std::nullopt;
    return json_member{name.substr(1, name.size() - 2), trimmedJson(value.substr(1))};
}

} // namespace

nlohmann::json parseBounded(std::string_view text)
{
    if (isTooDeep(text))
        return nlohmann::json(nlohmann::json::value_t::discarded);
    return nlohmann::json::parse(text, nullptr, false);
}

std::optional<json_members> membersOf(std::string_view object)
{
    const auto parts = partsOf(object, '{', '}');
    if (!parts)
        return std::nullopt;
    json_members members;
    for (const auto &part : *parts)
        if (const auto member = memberOf(part))
            members.push_back(*member);
    return members;
}

std::optional<std::vector<std::string_view>> elementsOf(std::string_view array)
{
    return partsOf(array, '[', ']');
}

std::string_view memberText(const json_members &members, std::string_view name)
{
    const auto found =
        std::find_if(members.rbegin(), members.rend(), [name](const auto &member) { return member.name == name; });
    return found == members.rend() ? std::string_view() : found->value;
}

nlohmann::json memberValue(const json_members &members, std::string_view name)
{
    const auto text = memberText(members, name);
    return text.empty() ? nlohmann::json() : parseBounded(text);
}

} // namespace foxtaildyke
