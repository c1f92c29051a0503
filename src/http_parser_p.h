// Incremental HTTP/1.1 parser based on the parser of libevhtp: heads of requests and responses, and bodies delimited by
// length, by chunked encoding or by the end of the connection. Rejects messages whose length is ambiguous.
#pragma once

#include "header_text_p.h"
#include "http_client_p.h"

#include <evhtp/parser.h>

namespace foxtaildyke
{

enum class message_type : std::uint8_t { request, response, count };

/// How the end of a message's body is determined.
enum class body_framing : std::uint8_t {
    none, ///< the message has no body
    length, ///< Content-Length
    chunks, ///< chunked transfer encoding
    connection_end, ///< of a response: the body extends to the end of the connection
    count
};

template <>
struct enum_names<body_framing> {
    static constexpr std::array kNames{"none", "length", "chunks", "connection_end"};
};

/// Start line and headers of a message.
struct message_head {
    std::string method; ///< of a request
    std::string target; ///< of a request: path with query, as received
    int status = 0; ///< of a response
    http_headers headers; ///< in the order received
    std::optional<std::uint64_t> length; ///< Content-Length
    bool isChunked = false;
    body_framing framing = body_framing::none;
    bool keepAlive = true; ///< HTTP version and Connection header allow another message on the connection

    /// @returns the value of the first header with this name (ignoring ASCII case), or an empty string.
    [[nodiscard]] std::string_view header(std::string_view name) const;
};

enum class parse_state : std::uint8_t {
    head, ///< the head is incomplete
    body,
    complete, ///< the message is complete; bytes after it were not consumed
    malformed,
    head_too_large,
    count
};

/// Parses one message at a time.
class http_parser
{
public:
    using body_sink = std::function<void(std::string_view)>;

    explicit http_parser(message_type type);

    /// Starts a new message.
    void reset();

    /// Sets the maximum head size; a larger head leads to the state head_too_large.
    void setHeadLimit(std::size_t bytes) { m_headLimit = bytes; }

    /// Consumes bytes up to the end of the head (with stopAfterHead) or of the message.
    /// @param stopAfterHead returns as soon as the head is complete, so that it can be inspected before the body.
    /// @returns the number of bytes consumed.
    std::size_t feed(std::string_view bytes, const body_sink &onBody, bool stopAfterHead = false);

    /// Reports that the peer closed its side in an orderly way.
    /// @returns whether the message is complete, which includes a response delimited by the end of the connection.
    bool finishAtClose();

    [[nodiscard]] parse_state state() const { return m_state; }
    [[nodiscard]] const message_head &head() const { return m_head; }
    [[nodiscard]] bool hasBegun() const { return !m_headBytes.empty() || m_state != parse_state::head; }

    /// @returns whether the body is delimited by the end of the connection.
    [[nodiscard]] bool isDelimitedByClose() const { return m_head.framing == body_framing::connection_end; }

private:
    std::size_t consumeHead(std::string_view bytes);
    void parseHead();
    bool readFraming();
    std::size_t consumeBody(std::string_view bytes, const body_sink &onBody);
    std::size_t parseBody(std::string_view bytes, const body_sink &onBody);
    [[nodiscard]] std::optional<std::string_view> nextChunkPart(std::string_view bytes);
    static htparse_hooks hooks();

    message_type m_type;
    std::unique_ptr<htparser, void (*)(void *)> m_parser;
    std::size_t m_headLimit = 64U << 10U; ///< bytes
    parse_state m_state = parse_state::head;
    bool m_isDone = false; ///< the parser has reached the end of the message
    std::string m_headBytes;
    message_head m_head;
    const body_sink *m_onBody = nullptr; ///< valid only during feed()
    std::string m_chunkLine; ///< the part received of a line with a chunk's size
    std::uint64_t m_chunkLeft = 0; ///< bytes of the present chunk, with its line end, that aren't consumed
    bool m_isLastChunk = false; ///< trailers follow
};

} // namespace foxtaildyke
