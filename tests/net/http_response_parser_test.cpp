#include "net/http_response_parser.h"

#include <initializer_list>
#include <stdexcept>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::net;
using detail::http_response_parser;
using state = detail::http_response_parser::state;

namespace {

detail::response_options options()
{
    detail::response_options result;
    result.max_body_bytes = 100;
    return result;
}

state parsed(const std::string& bytes)
{
    http_response_parser parser(options());
    parser.parse(bytes);
    parser.on_orderly_end();
    return parser.current_state();
}

} // namespace

TEST_GROUP(http_response_parser){};

// Guards against an answer with a status that HTTP does not have, which callers got as it was or
// under another status.
TEST(http_response_parser, status_outside_the_range_is_no_response)
{
    for (const char* status : {"000", "099", "600", "999", "1000", "0200", "20", "2", "-20", "+20",
                               "2x0", " 200", "200x", "65736", "4294967496"}) {
        const std::string line = "HTTP/1.1 " + std::string(status);
        CHECK(parsed(line + " OK\r\ncontent-length: 0\r\n\r\n") == state::rejected);
        CHECK(parsed(line + "\r\n\r\n") == state::rejected);
    }
    for (const char* status : {"200", "204", "304", "421", "599"}) {
        CHECK(parsed("HTTP/1.1 " + std::string(status) + " Text\r\ncontent-length: 0\r\n\r\n") ==
              state::complete);
    }
    CHECK(parsed("HTTP/1.1 200\r\n\r\n") == state::complete);
    CHECK(parsed("HTTP/1.0 200 OK\r\n\r\nbody") == state::complete);
}

// Guards against bytes of another protocol, or of another version, that are taken for a response.
TEST(http_response_parser, status_line_of_another_form_is_no_response)
{
    for (const char* line : {"HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "http/1.1 200 OK",
                             "HTTP/1.1\t200 OK", "HTTP/11 200", " HTTP/1.1 200 OK",
                             "\r\nHTTP/1.1 200 OK", "ICY 200 OK", "HTTP/1.1200 OK"}) {
        CHECK(parsed(std::string(line) + "\r\ncontent-length: 0\r\n\r\n") == state::rejected);
    }
}

// Guards against a field whose name holds a blank or a control byte: it may hide the length of the
// body, or reach the client as it is.
TEST(http_response_parser, invalid_fields_reject_the_response)
{
    for (const std::string field : {"content-length : 4", "content length: 4", " content-length: 4",
                                    "x\x01: y", "x\x7f: y", "x: a\x01z", ": y", "x", "x\ty: z"}) {
        CHECK(parsed("HTTP/1.1 200 OK\r\n" + field + "\r\n\r\nbody") == state::rejected);
        CHECK(parsed("HTTP/1.1 200 OK\r\na: b\r\n" + field + "\r\n\r\nbody") == state::rejected);
    }
}

// Guards against an interim response, or a switch of the protocol, that is taken for the response.
TEST(http_response_parser, only_a_final_response_completes)
{
    http_response_parser parser(options());
    parser.parse("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n");
    CHECK(parser.current_state() == state::reading);
    const std::string rest = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbodyHTTP/1.1 201";
    LONGS_EQUAL(rest.size() - 12, parser.parse(rest));
    CHECK(parser.current_state() == state::complete);
    CHECK(parser.may_reuse_connection());
    const auto response = parser.take();
    STRCMP_EQUAL("body", response.body.c_str());
    LONGS_EQUAL(1, response.headers.size());
    CHECK(parsed("HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n") ==
          state::rejected);
}

// Guards against fields behind the body that count as fields of the head, such as a seal.
TEST(http_response_parser, trailers_are_left_out)
{
    http_response_parser parser(options());
    parser.parse("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
                 "response-seal: forged\r\n\r\n");
    CHECK(parser.current_state() == state::complete);
    const auto response = parser.take();
    STRCMP_EQUAL("body", response.body.c_str());
    CHECK_FALSE(find_header(response.headers, "response-seal").has_value());
}

// Guards against a part of a response that completes with the connection.
TEST(http_response_parser, an_orderly_end_completes_only_a_response_without_a_length)
{
    CHECK(parsed("HTTP/1.1 200 OK\r\n\r\npart") == state::complete);
    for (const char* part :
         {"", "HTTP/1.1 2", "HTTP/1.1 200 OK\r\nx: y\r\n", "HTTP/1.1 100 Continue\r\n\r\n",
          "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhalf",
          "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n"}) {
        CHECK(parsed(part) == state::reading);
    }
}

// Guards against a callback whose exception propagates through the parser, and against a skipped
// response that hides the one behind it.
TEST(http_response_parser, verdicts_on_heads)
{
    auto skipping = options();
    skipping.accept_head = [](const http_response& head) {
        return find_header(head.headers, "id") == "mine" ? head_verdict::accept_last
                                                         : head_verdict::skip;
    };
    http_response_parser parser(skipping);
    parser.parse("HTTP/1.1 200 OK\r\nid: other\r\ncontent-length: 4\r\n\r\nlate"
                 "HTTP/1.1 200 OK\r\nid: mine\r\ncontent-length: 4\r\n\r\nbody");
    CHECK(parser.current_state() == state::complete);
    CHECK_FALSE(parser.may_reuse_connection());
    STRCMP_EQUAL("body", parser.take().body.c_str());
    auto throwing = options();
    throwing.accept_head = [](const http_response&) -> head_verdict {
        throw std::runtime_error("unreadable");
    };
    http_response_parser failed(throwing);
    failed.parse("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
    CHECK(failed.current_state() == state::rejected);
}
