// Incremental HTTP/1.1 parser; see http_parser_p.h.
#include "http_parser_p.h"

#include "http_status_p.h"

#include <charconv>
#include <cstdlib>

namespace foxtaildyke
{

namespace
{

constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr int kStopParsing = -1;
/// Bounds of a chunk: far above any body's limit, and far below the range of sizes.
constexpr std::uint64_t kMaxChunkBytes = std::uint64_t{1} << 40U;
constexpr std::size_t kMaxChunkLineBytes = 64;

message_head &headOf(htparser *parser)
{
    return *static_cast<message_head *>(htparser_get_userdata(parser));
}

bool hasToken(std::string_view list, std::string_view token)
{
    return std::ranges::any_of(splitList(list),
                               [token](const std::string &entry) { return isSameHeader(entry, token); });
}

/// @returns the request target from the request line; libevhtp's hooks omit part of a target that has a query.
std::string_view targetOf(std::string_view head)
{
    const auto line = head.substr(0, head.find("\r\n"));
    const auto start = line.find(' ');
    if (start == std::string_view::npos)
        return {};
    return line.substr(start + 1, line.find(' ', start + 1) - start - 1);
}

/// @returns whether a text consists of characters that may occur in a request target (RFC 3986, 2).
bool isTarget(std::string_view text)
{
    static constexpr std::string_view kSymbols = "-._~:/?[]@!$&'()*+,;=%";
    return !text.empty() && std::ranges::all_of(text, [](char letter) {
        return isAlphanumeric(letter) || kSymbols.find(letter) != std::string_view::npos;
    });
}

bool isVersion(std::string_view text)
{
    return text == "HTTP/1.1" || text == "HTTP/1.0";
}

bool isRequestLine(std::string_view line)
{
    const auto methodEnd = line.find(' ');
    const auto targetEnd = line.rfind(' ');
    if (methodEnd == std::string_view::npos || targetEnd == methodEnd)
        return false;
    return isToken(line.substr(0, methodEnd)) && isTarget(line.substr(methodEnd + 1, targetEnd - methodEnd - 1))
        && isVersion(line.substr(targetEnd + 1));
}

constexpr std::size_t kStatusAt = 9; ///< of a status line, after the version
constexpr std::size_t kStatusSize = 3;

/// @returns the status in a status line (RFC 9112, 4), or nothing if the line is none. The reason may be missing.
std::optional<int> statusOf(std::string_view line)
{
    if (line.size() < kStatusAt + kStatusSize || !isVersion(line.substr(0, kStatusAt - 1))
        || line[kStatusAt - 1] != ' ')
        return std::nullopt;
    const auto status = parseNumber(line.substr(kStatusAt, kStatusSize)).value_or(0);
    const auto rest = line.substr(kStatusAt + kStatusSize);
    const bool isKnown =
        http_status::isInterim(static_cast<int>(status)) || http_status::isFinal(static_cast<int>(status));
    if (!isKnown || !(rest.empty() || rest.front() == ' ') || !isFieldContent(rest))
        return std::nullopt;
    return static_cast<int>(status);
}

/// @returns whether a line is one header without obsolete line folding, and without control characters.
bool isHeaderLine(std::string_view line)
{
    const auto colon = line.find(':');
    return colon != std::string_view::npos && isToken(line.substr(0, colon)) && isFieldContent(line);
}

/// @returns whether a head is written in such a way that no other recipient can read more or fewer lines from it: a
/// bare CR or LF, or an unexpected character, would be forwarded as it is.
bool isUnambiguousHead(message_type type, std::string_view head)
{
    constexpr std::string_view kLineEnd = "\r\n";
    auto rest = head.substr(0, head.size() - kLineEnd.size()); // without the empty line
    const auto isStartLine = [type](std::string_view line) {
        return type == message_type::request ? isRequestLine(line) : statusOf(line).has_value();
    };
    for (bool isFirst = true; !rest.empty(); isFirst = false) {
        const auto line = rest.substr(0, rest.find(kLineEnd));
        if (!(isFirst ? isStartLine(line) : isHeaderLine(line)))
            return false;
        rest.remove_prefix(line.size() + kLineEnd.size());
    }
    return true;
}

} // namespace

std::string_view message_head::header(std::string_view name) const
{
    const auto found =
        std::ranges::find_if(headers, [&](const auto &entry) { return isSameHeader(entry.first, name); });
    return found == headers.end() ? std::string_view{} : std::string_view(found->second);
}

http_parser::http_parser(message_type type)
    : m_type(type)
    , m_parser(htparser_new(), std::free)
{
    reset();
}

void http_parser::reset()
{
    htparser_init(m_parser.get(), m_type == message_type::request ? htp_type_request : htp_type_response);
    m_state = parse_state::head;
    m_isDone = false;
    m_chunkLine.clear();
    m_chunkLeft = 0;
    m_isLastChunk = false;
    m_headBytes.clear();
    m_head = {};
}

htparse_hooks http_parser::hooks()
{
    htparse_hooks table{};
    table.method = [](htparser *parser, const char *data, std::size_t size) {
        headOf(parser).method.assign(data, size);
        return 0;
    };
    table.hdr_key = [](htparser *parser, const char *data, std::size_t size) {
        headOf(parser).headers.emplace_back(std::string(data, size), std::string());
        return 0;
    };
    table.hdr_val = [](htparser *parser, const char *data, std::size_t size) {
        // A header line that begins with a colon yields a value without a name.
        if (headOf(parser).headers.empty())
            return kStopParsing;
        headOf(parser).headers.back().second = trimmed({data, size});
        return 0;
    };
    return table;
}

std::size_t http_parser::feed(std::string_view bytes, const body_sink &onBody, bool stopAfterHead)
{
    std::size_t consumed = 0;
    if (m_state == parse_state::head) {
        consumed = consumeHead(bytes);
        if (stopAfterHead || m_state != parse_state::body)
            return consumed;
    }
    if (m_state == parse_state::body && consumed < bytes.size())
        consumed += consumeBody(bytes.substr(consumed), onBody);
    return consumed;
}

std::size_t http_parser::consumeHead(std::string_view bytes)
{
    // Some clients send an empty line after a body (RFC 9112, 2.2).
    const auto skipped = m_type == message_type::request && m_headBytes.empty()
        ? std::min(bytes.find_first_not_of("\r\n"), bytes.size())
        : 0;
    bytes.remove_prefix(skipped);
    const auto before = m_headBytes.size();
    m_headBytes.append(bytes);
    const auto searchFrom = before < kHeadEnd.size() ? 0 : before - kHeadEnd.size();
    const auto end = m_headBytes.find(kHeadEnd, searchFrom);
    if (std::min(end, m_headBytes.size()) > m_headLimit) {
        m_state = parse_state::head_too_large;
        return skipped + bytes.size();
    }
    if (end == std::string::npos)
        return skipped + bytes.size();
    m_headBytes.resize(end + kHeadEnd.size());
    parseHead();
    return skipped + m_headBytes.size() - before;
}

void http_parser::parseHead()
{
    if (!isUnambiguousHead(m_type, m_headBytes)) {
        m_state = parse_state::malformed;
        return;
    }
    if (m_type == message_type::response)
        m_head.status = statusOf(std::string_view(m_headBytes).substr(0, m_headBytes.find("\r\n"))).value_or(0);
    // libevhtp's parser doesn't support interim responses, which end with their head.
    if (http_status::isInterim(m_head.status)) {
        m_state = parse_state::complete;
        return;
    }
    auto table = hooks();
    table.on_hdrs_complete = [](htparser *) {
        return 0;
    };
    // A message without a body ends with its head; the hook stops the parser before it starts on another message.
    table.on_msg_complete = [](htparser *) {
        return kStopParsing;
    };
    htparser_set_userdata(m_parser.get(), &m_head);
    const auto consumed = htparser_run(m_parser.get(), &table, m_headBytes.data(), m_headBytes.size());
    const auto failure = htparser_get_error(m_parser.get());
    const bool hasEnded = failure == htparse_error_user;
    if (m_type == message_type::request)
        m_head.target = targetOf(m_headBytes);
    if (consumed != m_headBytes.size() || (failure != htparse_error_none && !hasEnded) || !readFraming()) {
        m_state = parse_state::malformed;
        return;
    }
    m_head.keepAlive = htparser_get_minor(m_parser.get()) >= 1 ? !hasToken(m_head.header("Connection"), "close")
                                                               : hasToken(m_head.header("Connection"), "keep-alive");
    const bool hasNoBody = m_head.status == http_status::kNoContent || m_head.status == http_status::kNotModified;
    if (hasNoBody)
        m_head.framing = body_framing::none;
    else if (m_head.isChunked)
        m_head.framing = body_framing::chunks;
    else if (m_head.length)
        m_head.framing = body_framing::length;
    else if (m_type == message_type::response)
        m_head.framing = body_framing::connection_end;
    m_state = hasEnded && !isDelimitedByClose() ? parse_state::complete : parse_state::body;
}

/// Determines the message's body length from its headers. @returns whether it is valid and unambiguous.
bool http_parser::readFraming()
{
    for (const auto &[name, value] : m_head.headers) {
        if (isSameHeader(name, "Content-Length")) {
            const auto length = parseNumber(value);
            if (!length || m_head.length)
                return false;
            m_head.length = length;
        }
        if (isSameHeader(name, "Transfer-Encoding")) {
            if (m_head.isChunked || !isSameHeader(value, "chunked"))
                return false;
            m_head.isChunked = true;
        }
    }
    return !(m_head.length && m_head.isChunked);
}

std::size_t http_parser::consumeBody(std::string_view bytes, const body_sink &onBody)
{
    if (isDelimitedByClose()) {
        onBody(bytes);
        return bytes.size();
    }
    if (!m_head.isChunked)
        return parseBody(bytes, onBody);
    std::size_t consumed = 0;
    while (m_state == parse_state::body && consumed < bytes.size()) {
        const auto part = nextChunkPart(bytes.substr(consumed));
        if (part)
            consumed += parseBody(*part, onBody);
        else
            m_state = parse_state::malformed;
    }
    return consumed;
}

/// @returns the bytes up to the end of the present chunk or size line, or nothing if the size is invalid. libevhtp's
/// parser loses the leading digits of a size that its type can't hold, and takes what follows for the rest of the
/// message.
std::optional<std::string_view> http_parser::nextChunkPart(std::string_view bytes)
{
    constexpr int kBase = 16;
    constexpr std::string_view kLineEnd = "\r\n";
    if (m_isLastChunk)
        return bytes;
    if (m_chunkLeft > 0) {
        const auto size = std::min<std::uint64_t>(m_chunkLeft, bytes.size());
        m_chunkLeft -= size;
        return bytes.substr(0, size);
    }
    const auto end = bytes.find('\n');
    const auto part = bytes.substr(0, end == std::string_view::npos ? end : end + 1);
    m_chunkLine.append(part);
    if (m_chunkLine.size() > kMaxChunkLineBytes)
        return std::nullopt;
    if (end == std::string_view::npos)
        return part;
    const std::string_view line = std::string_view(m_chunkLine).substr(0, m_chunkLine.size() - 1);
    std::uint64_t size = 0;
    const auto digits = line.substr(0, line.find('\r'));
    const auto [rest, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), size, kBase);
    if (failure != std::errc{} || rest != digits.data() + digits.size() || digits.size() + 1 != line.size()
        || size > kMaxChunkBytes)
        return std::nullopt;
    m_isLastChunk = size == 0;
    m_chunkLeft = size == 0 ? 0 : size + kLineEnd.size();
    m_chunkLine.clear();
    return part;
}

/// Passes a part of a body, other than one delimited by close, to libevhtp's parser.
std::size_t http_parser::parseBody(std::string_view bytes, const body_sink &onBody)
{
    auto table = hooks();
    table.hdr_key = [](htparser *, const char *, std::size_t) {
        return 0;
    }; // trailers are discarded
    table.hdr_val = table.hdr_key;
    table.body = [](htparser *parser, const char *data, std::size_t size) {
        (*static_cast<http_parser *>(htparser_get_userdata(parser))->m_onBody)({data, size});
        return 0;
    };
    table.on_msg_complete = [](htparser *parser) {
        static_cast<http_parser *>(htparser_get_userdata(parser))->m_isDone = true;
        return kStopParsing;
    };
    m_onBody = &onBody;
    htparser_set_userdata(m_parser.get(), this);
    const auto consumed = htparser_run(m_parser.get(), &table, bytes.data(), bytes.size());
    m_onBody = nullptr;
    if (m_isDone)
        m_state = parse_state::complete;
    else if (htparser_get_error(m_parser.get()) != htparse_error_none || consumed != bytes.size())
        m_state = parse_state::malformed;
    return consumed;
}

bool http_parser::finishAtClose()
{
    if (m_state == parse_state::body && isDelimitedByClose())
        m_state = parse_state::complete;
    return m_state == parse_state::complete;
}

} // namespace foxtaildyke
