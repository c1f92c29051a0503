// Splits an event stream (text/event-stream) into whole events, so that a stream that breaks off never ends within one.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace foxtaildyke
{

class event_splitter
{
public:
    /// @param id of the event, or nothing where it has none.
    using event_sink = std::function<void(std::string_view event, std::optional<std::uint64_t> id)>;

    /// Takes bytes of the stream; calls the sink with each event that is complete, its blank line included.
    void feed(std::string_view bytes, const event_sink &onEvent);

    /// @returns bytes after the last whole event.
    [[nodiscard]] std::string_view rest() const { return m_rest; }

    void reset() { m_rest.clear(); }

private:
    std::string m_rest;
};

} // namespace foxtaildyke
