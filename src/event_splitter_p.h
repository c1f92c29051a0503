// Splits an event stream (text/event-stream) into complete events, so that a stream that breaks off can be forwarded up
// to its last complete event, and so that its end inside an event is detected.
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
    /// @param id id of the event, if it has a numeric one.
    using event_sink = std::function<void(std::string_view event, std::optional<std::uint64_t> id)>;

    /// Consumes bytes of the stream and calls the sink with each complete event, including its blank line. Lines end
    /// with CRLF, LF or CR.
    void feed(std::string_view bytes, const event_sink &onEvent);

    /// Reports the end of the stream, which completes an event whose blank line ends with CR.
    /// @returns whether the stream ended between two events.
    [[nodiscard]] bool finish(const event_sink &onEvent);

    /// @returns the bytes after the last complete event.
    [[nodiscard]] std::string_view rest() const { return m_rest; }

    void reset();

private:
    void splitLines(bool isEnd, const event_sink &onEvent);

    std::string m_rest;
    std::size_t m_lineStart = 0; ///< in m_rest; all lines before it are complete and not blank
};

} // namespace foxtaildyke
