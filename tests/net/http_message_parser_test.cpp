#include "net/http_message_parser.h"

#include <optional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw::net;
using detail::http_message_parser;
using state = http_message_parser::state;

namespace {

const detail::message_limits limits{500, 1000};

/// Parses `input` in pieces of `piece` bytes, as the network may split it. Stops at the end of a
/// request.
void parse(http_message_parser& parser, std::string_view input, std::size_t piece)
{
    while (!input.empty() && parser.current_state() != state::complete &&
           parser.current_state() != state::refused) {
        auto next = input.substr(0, piece);
        input.remove_prefix(next.size());
        while (!next.empty() && parser.current_state() != state::complete &&
               parser.current_state() != state::refused) {
            next.remove_prefix(parser.parse(next, limits));
        }
    }
}

int refusal_of(const std::string& input, std::size_t piece)
{
    http_message_parser parser;
    parse(parser, input, piece);
    return parser.current_state() == state::refused ? parser.refusal_status() : 0;
}

const std::string post = "POST /a HTTP/1.1\r\nhost: h\r\n";
const std::string chunked = post + "transfer-encoding: chunked\r\n\r\n";

} // namespace

TEST_GROUP(http_message_parser){};

// Guards against a request that is read differently after the network splits it.
TEST(http_message_parser, requests_are_the_same_in_pieces_of_any_size)
{
    const std::vector<std::string> inputs{
        post + "content-length: 5\r\nX-Name:  value \r\n\r\nhello",
        "\r\n" + chunked + "2;ext=\"a b\"\r\nhe\r\n003\r\nllo\r\n0\r\nx-trailer: 1\r\n\r\n",
        "POST http://h/a HTTP/1.1\r\nhost: other\r\ncontent-length: 5\r\n\r\nhello"};
    for (const auto& input : inputs) {
        for (std::size_t piece = 1; piece <= input.size(); ++piece) {
            http_message_parser parser;
            parse(parser, input, piece);
            CHECK(parser.current_state() == state::complete);
            const auto parsed = parser.take();
            STRCMP_EQUAL("POST", parsed.request.method.c_str());
            STRCMP_EQUAL("/a", parsed.request.path.c_str());
            STRCMP_EQUAL("hello", parsed.request.body.c_str());
            CHECK(find_header(parsed.request.headers, "host") == "h");
            CHECK(find_header(parsed.request.headers, "x-name").value_or("value") == "value");
            CHECK_FALSE(find_header(parsed.request.headers, "content-length").has_value());
            CHECK(parsed.keep_alive);
        }
    }
}

// Guards against input that this server and another one divide into different requests.
TEST(http_message_parser, ambiguous_input_is_refused)
{
    const std::vector<std::string> inputs{
        post + "content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        post + "transfer-encoding: chunked\r\ncontent-length: 5\r\n\r\n0\r\n\r\n",
        post + "content-length: 5\r\ncontent-length: 6\r\n\r\nhello!",
        post + "content-length: 5, 6\r\n\r\nhello!",
        post + "content-length: +5\r\n\r\nhello",
        post + "content-length: 18446744073709551617\r\n\r\nhello",
        post + "transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        post + "transfer-encoding: xchunked\r\n\r\n0\r\n\r\n",
        "POST /a HTTP/1.0\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        post + "host: other\r\n\r\n",
        post + "content-length : 5\r\n\r\nhello",
        post + "x: y\r\n folded\r\n\r\n",
        "POST /a HTTP/1.1\nhost: h\r\n\r\n",
        post + "x: y\n\r\n",
        post + "x: y\r\n\n",
        post + "x: a\rb\r\n\r\n",
        chunked + "5\nhello\r\n0\r\n\r\n",
        chunked + "5;a\nhello\r\n0\r\n\r\n",
        chunked + "5 \r\nhello\r\n0\r\n\r\n",
        chunked + "0x5\r\nhello\r\n0\r\n\r\n",
        chunked + "-5\r\nhello\r\n0\r\n\r\n",
        chunked + "5\r\nhelloab3\r\nxyz\r\n0\r\n\r\n",
        chunked + "5\r\nhello\n\n0\r\n\r\n",
        chunked + "fffffffffffffffff\r\nhello",
        chunked + "0\r\nx: y\r\n folded\r\n\r\n",
        chunked + "0\r\nx: y\n\r\n",
        chunked + "1;" + std::string(300, 'e'),
        "GET /a b HTTP/1.1\r\n\r\n",
        "GET /a HTTP/2.0\r\n\r\n",
        "GET nowhere HTTP/1.1\r\n\r\n",
        "CONNECT h:80 HTTP/1.1\r\n\r\n"};
    for (const auto& input : inputs) {
        for (const std::size_t piece : {std::size_t{1}, std::size_t{7}, input.size()}) {
            const int status = refusal_of(input, piece);
            CHECK_TEXT(status == 400, input.c_str());
        }
    }
}

// Guards against requests above the limits, announced or not, and against framing without an end.
TEST(http_message_parser, limits_have_their_statuses)
{
    LONGS_EQUAL(413, refusal_of(post + "content-length: 1001\r\n\r\n", 7));
    LONGS_EQUAL(413, refusal_of(chunked + "3e9\r\n", 7));
    LONGS_EQUAL(0, refusal_of(chunked + "3e8\r\n", 7));
    LONGS_EQUAL(431, refusal_of(post + "x: " + std::string(600, 'v'), 7));
    LONGS_EQUAL(417, refusal_of(post + "expect: tea\r\ncontent-length: 1\r\n\r\n", 7));
    std::string tiny_headers = post;
    std::string trailers = chunked + "0\r\n";
    std::string extensions = chunked;
    for (int i = 0; i < 300; ++i) {
        tiny_headers += "a:\r\n";
        trailers += "trailer: value\r\n";
        extensions += "1;" + std::string(200, 'e') + "\r\nx\r\n";
    }
    LONGS_EQUAL(431, refusal_of(tiny_headers, 7));
    LONGS_EQUAL(431, refusal_of(trailers, 7));
    LONGS_EQUAL(400, refusal_of(extensions, 7));
}

// Guards against bodies in tiny chunks, or announced and never sent, that cost far more memory than
// their bytes.
TEST(http_message_parser, unfinished_requests_hold_their_bytes_and_little_more)
{
    http_message_parser parser;
    const detail::message_limits large{500, 64'000'000};
    std::string input = chunked;
    for (int i = 0; i < 200'000; ++i) {
        input += "1\r\nx\r\n";
    }
    for (std::string_view rest = input; !rest.empty();) {
        rest.remove_prefix(parser.parse(rest, large));
    }
    LONGS_EQUAL(200'000, parser.body_bytes());
    CHECK(parser.held_bytes() < 2 * parser.body_bytes() + 4096);
    http_message_parser announced;
    const std::string begin = post + "content-length: 60000000\r\n\r\nx";
    for (std::string_view rest = begin; !rest.empty();) {
        rest.remove_prefix(announced.parse(rest, large));
    }
    CHECK(announced.held_bytes() < 4096);
    announced.abandon();
    LONGS_EQUAL(0, announced.body_bytes());
}
