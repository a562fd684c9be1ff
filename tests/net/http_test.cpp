#include <atomic>
#include <optional>
#include <thread>
#include <vector>

#include "net/http.h"
#include "net/loop.h"
#include "net/sockets.h"
#include "tests/net/raw_client.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::net;

namespace {

constexpr milliseconds wait_limit{3000};
constexpr milliseconds call_timeout{2000};
const endpoint any_port{"127.0.0.1", 0};

struct result_box {
    std::optional<http_result> result;
    int calls = 0;
    http_client::callback into()
    {
        return [this](http_result got) {
            result = std::move(got);
            ++calls;
        };
    }
};

http_request get(const std::string& path)
{
    return {"GET", path, {}, ""};
}

} // namespace

TEST_GROUP(http)
{
    net::loop loop;
    std::vector<http_exchange> kept;
    std::optional<http_server> server;
    std::optional<http_client> client;

    void setup() override
    {
        client.emplace(loop, 2, 100000);
    }
    void teardown() override
    {
        kept.clear();
        client.reset();
        server.reset();
    }

    void serve_echo(http_server_limits limits = {})
    {
        server.emplace(
            loop, any_port,
            [](const http_exchange& exchange) {
                const auto& request = exchange.request;
                exchange.respond(
                    {201, {{"X-Method", request.method}, {"x-path", request.path}}, request.body});
            },
            limits);
    }

    void serve_never(http_server_limits limits = {})
    {
        server.emplace(
            loop, any_port, [this](http_exchange exchange) { kept.push_back(std::move(exchange)); },
            limits);
    }

    http_result call(http_request request, milliseconds timeout = call_timeout)
    {
        result_box box;
        client->send(server->address(), std::move(request), timeout, box.into());
        CHECK(loop.run_until([&] { return box.calls > 0; }, wait_limit));
        return *box.result;
    }

    /// Sends raw bytes and returns all that came until the server closed, or
    /// until `enough` was seen.
    std::string exchange_raw(const std::string& bytes, const std::string& enough)
    {
        test::raw_client raw(server->address());
        raw.send(bytes);
        std::string got;
        loop.run_until(
            [&] {
                got += raw.received();
                return raw.closed || got.find(enough) != std::string::npos;
            },
            wait_limit);
        return got;
    }
};

// Guards against requests or answers that lose a part on the way.
TEST(http, request_and_answer_arrive_whole)
{
    serve_echo();
    const std::string body(50000, 'b');
    const auto result = call({"POST", "/a/b?c=d", {{"Bulrush-Request-Id", "r1"}}, body});
    CHECK(result.response.has_value());
    LONGS_EQUAL(201, result.response->status);
    CHECK(result.response->body == body);
    CHECK(*find_header(result.response->headers, "x-method") == "POST");
    CHECK(*find_header(result.response->headers, "X-Path") == "/a/b?c=d");
}

// Guards against a new connection for each call, which costs 1 ms, and against
// more connections to one address than allowed.
TEST(http, connections_are_reused_and_bounded)
{
    serve_echo();
    std::vector<result_box> boxes(20);
    int done = 0;
    for (auto& box : boxes) {
        client->send(server->address(), get("/"), call_timeout, [&](http_result got) {
            box.result = std::move(got);
            ++done;
        });
    }
    CHECK(loop.run_until([&] { return done == 20; }, wait_limit));
    for (const auto& box : boxes) {
        CHECK(box.result->response.has_value());
    }
    CHECK(server->connections() <= 2);
    const auto before = server->connections();
    call(get("/again"));
    LONGS_EQUAL(before, server->connections());
}

// Guards against a refusal that claims more than "no byte was sent".
TEST(http, refused_connection_is_reported_as_connect)
{
    serve_echo();
    const auto address = server->address();
    server.reset();
    result_box box;
    client->send(address, get("/"), call_timeout, box.into());
    CHECK(loop.run_until([&] { return box.calls > 0; }, wait_limit));
    CHECK(!box.result->response);
    CHECK(box.result->failure == http_failure::connect);
}

// Guards against a request that is written although the lease ended meanwhile.
TEST(http, before_write_can_stop_the_request)
{
    serve_never();
    result_box box;
    client->send(server->address(), get("/"), call_timeout, box.into(), [] { return false; });
    CHECK(loop.run_until([&] { return box.calls > 0; }, wait_limit));
    CHECK(box.result->failure == http_failure::not_sent);
    LONGS_EQUAL(0, kept.size());
}

// Guards against a hanging call, and against a timeout that is taken for not run.
TEST(http, silent_server_ends_in_timeout)
{
    serve_never();
    const auto result = call(get("/"), milliseconds{50});
    CHECK(!result.response);
    CHECK(result.failure == http_failure::timeout);
    LONGS_EQUAL(1, kept.size());
}

// Guards against a target that goes on working for a client that is gone.
TEST(http, cancel_reaches_the_handler)
{
    serve_never();
    result_box box;
    const auto id = client->send(server->address(), get("/"), call_timeout, box.into());
    CHECK(loop.run_until([&] { return kept.size() == 1; }, wait_limit));
    bool cancelled = false;
    *kept[0].on_cancel = [&] { cancelled = true; };
    client->cancel(id);
    CHECK(loop.run_until([&] { return cancelled && box.calls == 1; }, wait_limit));
    CHECK(box.result->failure == http_failure::closed);
    kept[0].respond({200, {}, "late"});
    CHECK(loop.run_until([&] { return server->connections() == 0; }, wait_limit));
}

// Guards against a reused connection that the server closed: the call must run
// on a new connection or be reported as closed, never as not sent after a write.
TEST(http, connection_closed_while_idle_is_replaced)
{
    http_server_limits limits;
    limits.request_timeout = milliseconds{30};
    serve_echo(limits);
    CHECK(call(get("/")).response.has_value());
    LONGS_EQUAL(1, server->connections());
    CHECK(loop.run_until([&] { return server->connections() == 0; }, wait_limit));
    CHECK(call(get("/")).response.has_value());
}

// Guards against a lost request on a reused connection: once bytes were written,
// the call must not be reported as not sent.
TEST(http, connection_dropped_after_the_write_is_closed)
{
    int seen = 0;
    server.emplace(loop, any_port, [&](const http_exchange& exchange) {
        if (++seen == 1) {
            exchange.respond({200, {}, ""});
        }
        else {
            exchange.drop();
        }
    });
    CHECK(call(get("/")).response.has_value());
    const auto dropped = call(get("/"));
    CHECK(!dropped.response);
    CHECK(dropped.failure == http_failure::closed);
    LONGS_EQUAL(2, seen);
}

// Guards against a call that waits for a connection and is reported as if it could
// have run.
TEST(http, call_that_never_got_a_connection_was_not_sent)
{
    serve_never();
    result_box busy;
    for (int i = 0; i < 2; ++i) {
        client->send(server->address(), get("/busy"), call_timeout, [](const http_result&) {});
    }
    CHECK(call(get("/"), milliseconds{30}).failure == http_failure::not_sent);
    LONGS_EQUAL(2, kept.size());
    const auto id = client->send(server->address(), get("/"), call_timeout, busy.into());
    client->cancel(id);
    CHECK(loop.run_until([&] { return busy.calls == 1; }, wait_limit));
    CHECK(busy.result->failure == http_failure::not_sent);
}

// Guards against pools that grow with every address that was ever called.
TEST(http, many_addresses_work_one_after_another)
{
    std::vector<std::unique_ptr<http_server>> servers;
    for (int i = 0; i < 70; ++i) {
        servers.push_back(
            std::make_unique<http_server>(loop, any_port, [](const http_exchange& exchange) {
                exchange.respond({200, {}, "x"});
            }));
        result_box box;
        client->send(servers.back()->address(), get("/"), call_timeout, box.into());
        CHECK(loop.run_until([&] { return box.calls > 0; }, wait_limit));
        CHECK(box.result->response.has_value());
    }
    std::size_t open = 0;
    CHECK(loop.run_until(
        [&] {
            open = 0;
            for (const auto& each : servers) {
                open += each->connections();
            }
            return open <= 64;
        },
        wait_limit));
}

// Guards against an answer that is cut off and taken for whole.
TEST(http, cut_off_answer_is_closed)
{
    static std::string part = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nonly this";
    static h2o_iovec_t buffer = {part.data(), part.size()};
    std::optional<detail::listener> cutting;
    cutting.emplace(loop, any_port, [](h2o_socket_t* socket) {
        h2o_socket_write(socket, &buffer, 1,
                         [](h2o_socket_t* written, const char*) { h2o_socket_close(written); });
    });
    result_box box;
    client->send(cutting->address(), get("/"), call_timeout, box.into());
    CHECK(loop.run_until([&] { return box.calls > 0; }, wait_limit));
    CHECK(!box.result->response);
    CHECK(box.result->failure == http_failure::closed);
}

// Guards against memory that a server fills with an endless or oversized answer.
TEST(http, oversized_answers_are_malformed)
{
    static std::string text;
    static h2o_iovec_t buffer;
    for (const std::string& bytes :
         {"HTTP/1.1 200 OK\r\nx: " + std::string(300000, 'h'),
          "HTTP/1.1 200 OK\r\ncontent-length: 200000\r\n\r\n" + std::string(200000, 'b'),
          std::string("SSH-2.0\r\n\r\n")}) {
        text = bytes;
        buffer = {text.data(), text.size()};
        detail::listener hostile(loop, any_port, [](h2o_socket_t* socket) {
            h2o_socket_write(socket, &buffer, 1, [](h2o_socket_t* written, const char* failure) {
                if (failure != nullptr) {
                    h2o_socket_close(written);
                }
            });
        });
        result_box box;
        client->send(hostile.address(), get("/"), call_timeout, box.into());
        CHECK(loop.run_until([&] { return box.calls > 0; }, wait_limit));
        CHECK(!box.result->response);
        CHECK(box.result->failure == http_failure::malformed);
    }
}

// Guards against hostile sizes: a typed refusal, and the server goes on.
TEST(http, oversized_requests_are_refused)
{
    http_server_limits limits;
    limits.max_body_bytes = 1000;
    limits.max_header_bytes = 500;
    serve_echo(limits);
    STRCMP_CONTAINS("413",
                    exchange_raw("POST / HTTP/1.1\r\ncontent-length: 2000\r\n\r\n", "413").c_str());
    const std::string chunked = "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n7d0\r\n";
    STRCMP_CONTAINS(
        "413", exchange_raw(chunked + std::string(2000, 'c') + "\r\n0\r\n\r\n", "413").c_str());
    const std::string header(600, 'h');
    STRCMP_CONTAINS("431",
                    exchange_raw("GET / HTTP/1.1\r\nx: " + header + "\r\n\r\n", "431").c_str());
    exchange_raw("\x01\x02 garbage\r\n\r\n", "400");
    CHECK(call(get("/")).response.has_value());
}

// Guards against refusals by the library below that lack the outcome: a client must
// learn also from these that its request did not run.
TEST(http, refusals_without_the_handler_carry_the_given_headers)
{
    http_server_limits limits;
    limits.max_body_bytes = 1000;
    limits.max_header_bytes = 500;
    limits.refusal_headers = [](int status) {
        return header_list{{"Bulrush-Reason", "refused-" + std::to_string(status)}};
    };
    serve_echo(limits);
    STRCMP_CONTAINS(
        "bulrush-reason: refused-413",
        exchange_raw("POST / HTTP/1.1\r\ncontent-length: 2000\r\n\r\n", "\r\n\r\n").c_str());
    const std::string header(600, 'h');
    STRCMP_CONTAINS(
        "bulrush-reason: refused-431",
        exchange_raw("GET / HTTP/1.1\r\nx: " + header + "\r\n\r\n", "\r\n\r\n").c_str());
    STRCMP_CONTAINS(
        "bulrush-reason: refused-417",
        exchange_raw("POST / HTTP/1.1\r\nexpect: tea\r\ncontent-length: 1\r\n\r\n", "\r\n\r\n")
            .c_str());
}

// Guards against bytes that are no HTTP/1.1, against a sender that never finishes a
// request, and against connections that such a sender keeps.
TEST(http, broken_and_slow_senders_are_closed)
{
    http_server_limits limits;
    limits.request_timeout = milliseconds{200};
    serve_echo(limits);
    std::string many_headers = "GET / HTTP/1.1\r\n";
    for (int i = 0; i < 150; ++i) {
        many_headers += "x: y\r\n";
    }
    const std::vector<std::string> inputs = {
        "GET / HTTP/1.1\r\nx: ",
        "POST / HTTP/1.1\r\ncontent-length: 10\r\n\r\nabc",
        "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
        "POST / HTTP/1.1\r\ncontent-length: 18446744073709551617\r\n\r\n",
        "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
        "\x16\x03\x01 tls\r\n\r\n",
        many_headers + "\r\n",
        "GET / HTTP/1.1\r\nx: " + std::string(450000, 'h'),
    };
    for (const auto& input : inputs) {
        const auto got = exchange_raw(input, "never in an answer");
        CHECK_TEXT(got.find(" 201 ") == std::string::npos, input.substr(0, 60).c_str());
    }
    CHECK(loop.run_until([&] { return server->connections() == 0; }, wait_limit));
    CHECK(call(get("/")).response.has_value());
}

// Guards against memory and connections that a client holds by not reading.
TEST(http, slow_reader_is_closed)
{
    http_server_limits limits;
    limits.request_timeout = milliseconds{50};
    server.emplace(
        loop, any_port,
        [](const http_exchange& exchange) {
            exchange.respond({200, {}, std::string(20'000'000, 'x')});
        },
        limits);
    test::raw_client raw(server->address());
    raw.send("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
    CHECK(loop.run_until([&] { return server->connections() == 1; }, wait_limit));
    CHECK(loop.run_until([&] { return server->connections() == 0; }, wait_limit));
}

// Guards against crossed answers of requests that a client sends without waiting.
TEST(http, pipelined_requests_are_answered_in_order)
{
    serve_never();
    test::raw_client raw(server->address());
    raw.send("GET /1 HTTP/1.1\r\nhost: a\r\n\r\nGET /2 HTTP/1.1\r\nhost: a\r\n\r\n");
    CHECK(loop.run_until([&] { return kept.size() == 1; }, wait_limit));
    CHECK(!loop.run_until([&] { return kept.size() == 2; }, milliseconds{20}));
    kept[0].respond({200, {}, "first"});
    CHECK(loop.run_until([&] { return kept.size() == 2; }, wait_limit));
    kept[0].respond({200, {}, "again"});
    kept[1].respond({200, {}, "second"});
    std::string got;
    CHECK(loop.run_until(
        [&] {
            got += raw.received();
            return got.find("second") != std::string::npos;
        },
        wait_limit));
    CHECK(got.find("first") < got.find("second"));
    CHECK(got.find("again") == std::string::npos);
}

// Guards against an answer that a relayed header splits in two.
TEST(http, header_injection_is_refused)
{
    serve_echo();
    const auto result = call({"GET", "/", {{"x", "a\r\ny: b"}}, ""});
    CHECK(!result.response);
    CHECK(result.failure == http_failure::not_sent);
    CHECK(call(get("/a b")).failure == http_failure::not_sent);
}

// Guards against connections without bound.
TEST(http, connections_above_the_limit_are_closed)
{
    http_server_limits limits;
    limits.max_connections = 1;
    serve_echo(limits);
    test::raw_client first(server->address());
    CHECK(loop.run_until([&] { return server->connections() == 1; }, wait_limit));
    test::raw_client second(server->address());
    CHECK(loop.run_until(
        [&] {
            second.received();
            return second.closed;
        },
        wait_limit));
    LONGS_EQUAL(1, server->connections());
}

// Guards against lost work in a planned stop.
TEST(http, stop_accepting_lets_requests_finish)
{
    serve_never();
    result_box box;
    client->send(server->address(), get("/"), call_timeout, box.into());
    CHECK(loop.run_until([&] { return kept.size() == 1; }, wait_limit));
    server->stop_accepting();
    kept[0].respond({200, {}, "done"});
    CHECK(loop.run_until([&] { return box.calls == 1; }, wait_limit));
    CHECK(box.result->response->body == "done");
    CHECK(loop.run_until([&] { return server->connections() == 0; }, wait_limit));
}

TEST_GROUP(endpoints){};

// Guards against settings that are half understood.
TEST(endpoints, only_numbers_with_a_port_are_accepted)
{
    CHECK(parse_endpoint("127.0.0.1:80") == (endpoint{"127.0.0.1", 80}));
    CHECK(to_string(parse_endpoint("[::1]:80")) == "[::1]:80");
    for (const char* bad : {"localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:99999", "::1:80",
                            "127.0.0.1:8x", ""}) {
        CHECK_THROWS(address_error, parse_endpoint(bad));
    }
}

// Guards against calls that wait for a timer of the loop: a call that begins in
// the callback of another one took up to the longest wait of the loop (20 ms)
// before its answer was read. The server has a loop of its own, as another
// process would, because its events would end the client's waits.
TEST(http, calls_one_after_another_wait_for_no_timer)
{
    std::atomic<std::uint16_t> port{0};
    std::atomic<bool> finished_all{false};
    std::thread other([&] {
        net::loop server_loop;
        const http_server echo(server_loop, any_port, [](const http_exchange& exchange) {
            exchange.respond({200, {}, "answer"});
        });
        port = echo.address().port;
        server_loop.run_until([&] { return finished_all.load(); }, milliseconds{10000});
    });
    while (port == 0) {
        std::this_thread::yield();
    }
    constexpr int count = 200;
    int finished = 0;
    int answered = 0;
    std::function<void(http_result)> next = [&](const http_result& result) {
        answered += result.response.has_value() ? 1 : 0;
        if (++finished < count) {
            client->send({"127.0.0.1", port}, get("/"), call_timeout, next);
        }
    };
    client->send({"127.0.0.1", port}, get("/"), call_timeout, next);
    // 200 waits of 20 ms would be 4 s.
    const bool in_time = loop.run_until([&] { return finished == count; }, milliseconds{2000});
    finished_all = true;
    other.join();
    CHECK(in_time);
    LONGS_EQUAL(count, answered);
}
