// Splits a stream of server-sent events at blank lines; see event_splitter_p.h.
#include "event_splitter_p.h"

#include <charconv>

namespace foxtaildyke
{

namespace
{

std::optional<std::uint64_t> idOf(std::string_view event)
{
    constexpr std::string_view kField = "id:";
    std::size_t position = 0;
    while (position < event.size()) {
        auto line = event.substr(position, event.find_first_of("\r\n", position) - position);
        position += line.size() + 1;
        if (!line.starts_with(kField))
            continue;
        line.remove_prefix(kField.size());
        line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
        std::uint64_t id = 0;
        const auto [end, failure] = std::from_chars(line.data(), line.data() + line.size(), id);
        if (failure == std::errc{})
            return id;
    }
    return std::nullopt;
}

/// @returns the length of the line terminator at the start of a text: 0 if more bytes are needed to determine it.
std::size_t terminatorLength(std::string_view text, bool isEnd)
{
    if (text.starts_with("\r\n"))
        return 2;
    return text.starts_with('\r') && text.size() == 1 && !isEnd ? 0 : 1;
}

bool isComment(std::string_view line)
{
    return line.starts_with(':');
}

} // namespace

void event_splitter::reset()
{
    m_rest.clear();
    m_lineStart = 0;
}

void event_splitter::feed(std::string_view bytes, const event_sink &onEvent)
{
    m_rest.append(bytes);
    splitLines(false, onEvent);
}

bool event_splitter::finish(const event_sink &onEvent)
{
    splitLines(true, onEvent);
    if (m_lineStart < m_rest.size())
        return false;
    // Complete comment lines belong to no event.
    auto lines = std::string_view(m_rest);
    while (isComment(lines))
        lines.remove_prefix(std::min(lines.find_first_of("\r\n"), lines.size() - 1) + 1);
    return lines.find_first_not_of("\r\n") == std::string_view::npos;
}

void event_splitter::splitLines(bool isEnd, const event_sink &onEvent)
{
    std::size_t eventStart = 0;
    while (true) {
        const auto lineEnd = m_rest.find_first_of("\r\n", m_lineStart);
        const auto terminator =
            lineEnd == std::string::npos ? 0 : terminatorLength(std::string_view(m_rest).substr(lineEnd), isEnd);
        if (terminator == 0)
            break;
        const bool isBlank = lineEnd == m_lineStart;
        m_lineStart = lineEnd + terminator;
        if (!isBlank)
            continue;
        const auto event = std::string_view(m_rest).substr(eventStart, m_lineStart - eventStart);
        onEvent(event, idOf(event));
        eventStart = m_lineStart;
    }
    m_rest.erase(0, eventStart);
    m_lineStart -= eventStart;
}

} // namespace foxtaildyke
