// Tests of the HTTP parser: framing, limits and malformed input.
#include "http_parser_p.h"

#include <doctest/doctest.h>
#include <random>

using namespace foxtaildyke;

namespace
{

struct parsed {
    parse_state state;
    std::string body;
    std::string rest;
};

/// Feeds a message in chunks of the given size, as it may arrive from a network.
parsed parse(http_parser &parser, std::string_view text, std::size_t chunkSize)
{
    parsed result{parse_state::head, {}, {}};
    const auto onBody = [&](std::string_view bytes) {
        result.body.append(bytes);
    };
    const auto isOpen = [&] {
        return parser.state() == parse_state::head || parser.state() == parse_state::body;
    };
    while (!text.empty() && isOpen()) {
        const auto part = text.substr(0, chunkSize);
        const auto used = parser.feed(part, onBody);
        text.remove_prefix(used);
        if (used == 0)
            break;
    }
    result.state = parser.state();
    result.rest = text;
    return result;
}

} // namespace

TEST_CASE("http parser: parses messages in chunks of any size without consuming bytes of the next message")
{
    struct sample {
        message_type type;
        std::string text;
        std::string body;
    };
    const std::vector<sample> samples{
        {message_type::response, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nA: b\r\n\r\nhello", "hello"},
        {message_type::response,
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", "abcde"},
        {message_type::response, "HTTP/1.1 204 No Content\r\n\r\n", ""},
        {message_type::request, "POST /a?b=c HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi", "hi"},
        {message_type::request, "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", ""},
    };
    for (const auto &entry : samples)
        for (std::size_t chunkSize = 1; chunkSize < 20; ++chunkSize) {
            http_parser parser(entry.type);
            const auto result = parse(parser, entry.text + "NEXT", chunkSize);
            CHECK(result.state == parse_state::complete);
            CHECK(result.body == entry.body);
            CHECK(std::string("NEXT").ends_with(result.rest));
            CHECK(result.rest.size() == 4);
        }
}

TEST_CASE("http parser: a response without a length is complete only after an orderly close")
{
    http_parser parser(message_type::response);
    const auto result = parse(parser, "HTTP/1.1 200 OK\r\nA: b\r\n\r\nall that comes", 7);
    CHECK(result.state == parse_state::body);
    CHECK(result.body == "all that comes");
    CHECK(parser.isDelimitedByClose());
    CHECK(parser.finishAtClose());
    http_parser sized(message_type::response);
    (void)parse(sized, "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\ncut", 7);
    CHECK_FALSE(sized.finishAtClose());
}

TEST_CASE("http parser: ambiguous lengths are malformed")
{
    for (const std::string headers :
         {"Content-Length: 3\r\nContent-Length: 3\r\n", "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
          "Transfer-Encoding: gzip, chunked\r\n", "Content-Length: -3\r\n", "Content-Length: 3 3\r\n",
          "Content-Length : 3\r\n"}) {
        http_parser parser(message_type::request);
        CHECK(parse(parser, "POST /a HTTP/1.1\r\nHost: h\r\n" + headers + "\r\nabc", 1000).state
              == parse_state::malformed);
    }
}

TEST_CASE("http parser: sizes of chunks, and what follows them")
{
    struct sample {
        std::string body; ///< in chunked encoding
        parse_state state = parse_state::malformed;
    };
    const std::array samples{sample{"5\r\nabcde\r\n0\r\n\r\n", parse_state::complete},
                             sample{"0000000000000005\r\nabcde\r\n00\r\n\r\n", parse_state::complete},
                             sample{"5\r\nabcde\r\n0\r\nA: b\r\n\r\n", parse_state::complete},
                             sample{"5\r\nabcde\r\n", parse_state::body},
                             sample{"5\r\nabcde\r\n0\r\n", parse_state::body},
                             sample{"10000000000000005\r\nabcde\r\n0\r\n\r\n"},
                             sample{"100000000000000005\r\nabcde\r\n0\r\n\r\n"},
                             sample{"ffffffffffffffff5\r\nabcde\r\n0\r\n\r\n"},
                             sample{"ffffffffffffffff\r\nabcde\r\n0\r\n\r\n"},
                             sample{"10000000000000000\r\n\r\n"},
                             sample{"-5\r\nabcde\r\n0\r\n\r\n"},
                             sample{"+5\r\nabcde\r\n0\r\n\r\n"},
                             sample{"0x5\r\nabcde\r\n0\r\n\r\n"},
                             sample{" 5\r\nabcde\r\n0\r\n\r\n"},
                             sample{"5 \r\nabcde\r\n0\r\n\r\n"},
                             sample{"5\n\nabcde\r\n0\r\n\r\n"},
                             sample{"5\x01\r\nabcde\r\n0\r\n\r\n"},
                             sample{"\r\nabcde\r\n0\r\n\r\n"},
                             sample{std::string(100, '0') + "5\r\nabcde\r\n0\r\n\r\n"},
                             sample{"5\r\nabcdefg\r\n0\r\n\r\n"},
                             sample{"5\r\nabcde0\r\n\r\n"}};
    for (const auto &entry : samples)
        for (const std::size_t chunkSize : {1U, 3U, 7U, 1000U}) {
            CAPTURE(entry.body);
            CAPTURE(chunkSize);
            http_parser parser(message_type::response);
            const auto result =
                parse(parser, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + entry.body, chunkSize);
            CHECK(result.state == entry.state);
            CHECK((result.state == parse_state::malformed || result.body == "abcde"));
        }
}

TEST_CASE("http parser: a header line without a name doesn't crash the parser")
{
    for (const std::string text : {"HTTP/1.1 200 OK\r\n: value\r\n\r\n", "HTTP/1.1 200 OK\r\n:\r\n\r\n",
                                   "GET / HTTP/1.1\r\n: value\r\n\r\n", "GET / HTTP/1.1\r\n value\r\n\r\n"}) {
        http_parser parser(text[0] == 'H' ? message_type::response : message_type::request);
        CHECK(parse(parser, text, 1000).state != parse_state::complete);
    }
}

TEST_CASE("http parser: random corruption never crashes the parser or yields more bytes than were fed")
{
    const std::string text = "HTTP/1.1 200 OK\r\nServer-Stamp: abc\r\nContent-Length: 5\r\n"
                             "Content-Type: text/plain\r\n\r\nhello";
    std::mt19937 random(7);
    for (int round = 0; round < 20000; ++round) {
        std::string damaged = text;
        const auto edits = 1 + random() % 4;
        for (unsigned edit = 0; edit < edits; ++edit) {
            const auto at = random() % damaged.size();
            if (random() % 2 == 0)
                damaged[at] = static_cast<char>(random() % 256);
            else
                damaged.erase(at, 1 + random() % 6);
        }
        http_parser parser(message_type::response);
        const auto result = parse(parser, damaged, 1 + random() % 40);
        CHECK(result.body.size() <= damaged.size());
    }
}
