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
        auto line = event.substr(position, event.find('\n', position) - position);
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

/// @returns the length of the first event including its blank line, or 0 if it is incomplete.
std::size_t eventLength(std::string_view text)
{
    const auto lfEnd = text.find("\n\n");
    const auto crlfEnd = text.find("\r\n\r\n");
    if (lfEnd != std::string_view::npos && lfEnd < crlfEnd)
        return lfEnd + 2;
    return crlfEnd == std::string_view::npos ? 0 : crlfEnd + 4;
}

} // namespace

void event_splitter::feed(std::string_view bytes, const event_sink &onEvent)
{
    m_rest.append(bytes);
    std::size_t consumed = 0;
    while (const auto length = eventLength(std::string_view(m_rest).substr(consumed))) {
        const auto event = std::string_view(m_rest).substr(consumed, length);
        onEvent(event, idOf(event));
        consumed += length;
    }
    m_rest.erase(0, consumed);
}

} // namespace foxtaildyke
