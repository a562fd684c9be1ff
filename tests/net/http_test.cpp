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

struct result_recorder {
    std::optional<http_result> result;
    int calls = 0;
    http_client::callback callback()
    {
        return [this](http_result received) {
            result = std::move(received);
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
    std::vector<http_exchange> exchanges;
    std::optional<http_server> server;
    std::optional<http_client> client;

    void setup() override
    {
        client.emplace(loop, 2, 100000);
    }
    void teardown() override
    {
        exchanges.clear();
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

    void serve_without_response(http_server_limits limits = {})
    {
        server.emplace(
            loop, any_port,
            [this](http_exchange exchange) { exchanges.push_back(std::move(exchange)); }, limits);
    }

    http_result call(http_request request, milliseconds timeout = call_timeout)
    {
        result_recorder recorder;
        client->send(server->address(), std::move(request), timeout, recorder.callback());
        CHECK(loop.run_until([&] { return recorder.calls > 0; }, wait_limit));
        return *recorder.result;
    }

    /// Sends raw bytes and returns the received bytes. Stops receiving when the server closes the
    /// connection, or when the received bytes contain `end_mark`.
    std::string exchange_raw(const std::string& bytes, const std::string& end_mark)
    {
        test::raw_client raw(server->address());
        raw.send(bytes);
        std::string received;
        loop.run_until(
            [&] {
                received += raw.received();
                return raw.closed || received.find(end_mark) != std::string::npos;
            },
            wait_limit);
        return received;
    }
};

// Guards against losing a part of a request or a response.
TEST(http, request_and_response_arrive_complete)
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

// Guards against opening a connection for each call, which takes 1 ms, and against more
// connections to one address than allowed.
TEST(http, connections_are_reused_and_bounded)
{
    serve_echo();
    std::vector<result_recorder> recorders(20);
    int done = 0;
    for (auto& recorder : recorders) {
        client->send(server->address(), get("/"), call_timeout, [&](http_result received) {
            recorder.result = std::move(received);
            ++done;
        });
    }
    CHECK(loop.run_until([&] { return done == 20; }, wait_limit));
    for (const auto& recorder : recorders) {
        CHECK(recorder.result->response.has_value());
    }
    CHECK(server->connections() <= 2);
    const auto before = server->connections();
    call(get("/again"));
    LONGS_EQUAL(before, server->connections());
}

// Guards against reporting a refused connection as a failure after which the request may have run.
TEST(http, refused_connection_is_reported_as_connect)
{
    serve_echo();
    const auto address = server->address();
    server.reset();
    result_recorder recorder;
    client->send(address, get("/"), call_timeout, recorder.callback());
    CHECK(loop.run_until([&] { return recorder.calls > 0; }, wait_limit));
    CHECK(!recorder.result->response);
    CHECK(recorder.result->failure == http_failure::connect);
}

// Guards against writing a request after the lease ended while the call waited for a connection.
TEST(http, before_write_can_stop_the_request)
{
    serve_without_response();
    result_recorder recorder;
    client->send(server->address(), get("/"), call_timeout, recorder.callback(),
                 [] { return false; });
    CHECK(loop.run_until([&] { return recorder.calls > 0; }, wait_limit));
    CHECK(recorder.result->failure == http_failure::not_sent);
    LONGS_EQUAL(0, exchanges.size());
}

// Guards against a call that never ends, and against reporting a written request as not sent after
// a timeout.
TEST(http, unresponsive_server_causes_a_timeout)
{
    serve_without_response();
    const auto result = call(get("/"), milliseconds{50});
    CHECK(!result.response);
    CHECK(result.failure == http_failure::timeout);
    LONGS_EQUAL(1, exchanges.size());
}

// Guards against a target that continues to work on a cancelled request.
TEST(http, cancel_reaches_the_handler)
{
    serve_without_response();
    result_recorder recorder;
    const auto id = client->send(server->address(), get("/"), call_timeout, recorder.callback());
    CHECK(loop.run_until([&] { return exchanges.size() == 1; }, wait_limit));
    bool cancelled = false;
    *exchanges[0].on_cancel = [&] { cancelled = true; };
    CHECK_FALSE(client->cancel(id)); // it was written
    CHECK(loop.run_until([&] { return cancelled && recorder.calls == 1; }, wait_limit));
    CHECK(recorder.result->failure == http_failure::closed);
    exchanges[0].respond({200, {}, "late"});
    CHECK(loop.run_until([&] { return server->connections() == 0; }, wait_limit));
}

// Guards against a promise that a request has not run while it runs: a client that closed its
// sending side was told 503.
TEST(http, client_that_closes_its_sending_side_gets_no_answer)
{
    serve_without_response();
    test::raw_client raw(server->address());
    CHECK(raw.send("POST / HTTP/1.1\r\ncontent-length: 4\r\n\r\nbody"));
    CHECK(loop.run_until([&] { return exchanges.size() == 1; }, wait_limit));
    bool cancelled = false;
    *exchanges[0].on_cancel = [&] { cancelled = true; };
    raw.shut_down_sending();
    std::string received;
    CHECK(loop.run_until(
        [&] {
            received += raw.received();
            return raw.closed;
        },
        wait_limit));
    STRCMP_EQUAL("", received.c_str());
    CHECK(loop.run_until([&] { return cancelled && server->connections() == 0; }, wait_limit));
}

// Guards against running requests whose clients gave up while the process was not reading, for
// example while it was paused.
TEST(http, request_of_a_client_that_left_before_it_was_read_is_ignored)
{
    http_server_limits limits;
    limits.ignore_abandoned_requests = true;
    serve_without_response(limits);
    const std::string request = "GET /left HTTP/1.1\r\n\r\n";
    {
        const test::raw_client closed(server->address());
        CHECK(closed.send(request));
    }
    const test::raw_client half_closed(server->address());
    CHECK(half_closed.send(request + request));
    half_closed.shut_down_sending();
    const test::raw_client waiting(server->address());
    CHECK(waiting.send("GET /waits HTTP/1.1\r\n\r\n"));
    CHECK(loop.run_until([&] { return !exchanges.empty() && server->connections() == 1; },
                         wait_limit));
    LONGS_EQUAL(1, exchanges.size());
    STRCMP_EQUAL("/waits", exchanges[0].request.path.c_str());
    LONGS_EQUAL(2, server->abandoned_requests());
}

// Guards against reusing a connection that the server closed while it was idle. The call must
// either use a new connection or be reported as closed. After a write, it must never be reported as
// not sent.
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

// Guards against reporting a request as not sent when a reused connection is closed after bytes
// were written.
TEST(http, connection_dropped_after_the_write_is_reported_as_closed)
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

// Guards against reporting that a call may have run when it only waited for a connection.
TEST(http, call_that_never_got_a_connection_was_not_sent)
{
    serve_without_response();
    result_recorder busy;
    for (int i = 0; i < 2; ++i) {
        client->send(server->address(), get("/busy"), call_timeout, [](const http_result&) {});
    }
    CHECK(call(get("/"), milliseconds{30}).failure == http_failure::not_sent);
    LONGS_EQUAL(2, exchanges.size());
    const auto id = client->send(server->address(), get("/"), call_timeout, busy.callback());
    CHECK(client->cancel(id));
    CHECK(loop.run_until([&] { return busy.calls == 1; }, wait_limit));
    CHECK(busy.result->failure == http_failure::not_sent);
}

// Guards against connection pools that accumulate for addresses that are no longer called.
TEST(http, pools_of_unused_addresses_are_removed)
{
    std::vector<std::unique_ptr<http_server>> servers;
    for (int i = 0; i < 70; ++i) {
        servers.push_back(
            std::make_unique<http_server>(loop, any_port, [](const http_exchange& exchange) {
                exchange.respond({200, {}, "x"});
            }));
        result_recorder recorder;
        client->send(servers.back()->address(), get("/"), call_timeout, recorder.callback());
        CHECK(loop.run_until([&] { return recorder.calls > 0; }, wait_limit));
        CHECK(recorder.result->response.has_value());
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

// Guards against delivering a truncated response as complete.
TEST(http, truncated_response_is_reported_as_closed)
{
    static std::string part = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nonly this";
    static h2o_iovec_t buffer = {part.data(), part.size()};
    std::optional<detail::listener> truncating_server;
    truncating_server.emplace(loop, any_port, [](h2o_socket_t* socket) {
        h2o_socket_write(socket, &buffer, 1,
                         [](h2o_socket_t* written, const char*) { h2o_socket_close(written); });
    });
    result_recorder recorder;
    client->send(truncating_server->address(), get("/"), call_timeout, recorder.callback());
    CHECK(loop.run_until([&] { return recorder.calls > 0; }, wait_limit));
    CHECK(!recorder.result->response);
    CHECK(recorder.result->failure == http_failure::closed);
}

// Guards against a server that exhausts memory by an endless or oversized response.
TEST(http, oversized_responses_are_malformed)
{
    static std::string text;
    static h2o_iovec_t buffer;
    for (const std::string& bytes :
         {"HTTP/1.1 200 OK\r\nx: " + std::string(300000, 'h'),
          "HTTP/1.1 200 OK\r\ncontent-length: 200000\r\n\r\n" + std::string(200000, 'b'),
          std::string("SSH-2.0\r\n\r\n")}) {
        text = bytes;
        buffer = {text.data(), text.size()};
        detail::listener faulty_server(loop, any_port, [](h2o_socket_t* socket) {
            h2o_socket_write(socket, &buffer, 1, [](h2o_socket_t* written, const char* failure) {
                if (failure != nullptr) {
                    h2o_socket_close(written);
                }
            });
        });
        result_recorder recorder;
        client->send(faulty_server.address(), get("/"), call_timeout, recorder.callback());
        CHECK(loop.run_until([&] { return recorder.calls > 0; }, wait_limit));
        CHECK(!recorder.result->response);
        CHECK(recorder.result->failure == http_failure::malformed);
    }
}

// Guards against a client that exhausts memory by an oversized request: it gets the matching error
// status, and the server continues.
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

// Guards against error responses generated by h2o that lack the outcome headers. These responses
// must also tell the client that its request did not run.
TEST(http, error_responses_without_the_handler_have_the_refusal_headers)
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

// Guards against executing input that is not valid HTTP/1.1, and against senders that keep a
// connection open without finishing a request.
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
        const auto received = exchange_raw(input, "never in an answer");
        CHECK_TEXT(received.find(" 201 ") == std::string::npos, input.substr(0, 60).c_str());
    }
    CHECK(loop.run_until([&] { return server->connections() == 0; }, wait_limit));
    CHECK(call(get("/")).response.has_value());
}

// Guards against a client that occupies memory and a connection by not reading its response.
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

// Guards against mixing up the responses to pipelined requests.
TEST(http, pipelined_requests_are_answered_in_order)
{
    serve_without_response();
    test::raw_client raw(server->address());
    raw.send("GET /1 HTTP/1.1\r\nhost: a\r\n\r\nGET /2 HTTP/1.1\r\nhost: a\r\n\r\n");
    CHECK(loop.run_until([&] { return exchanges.size() == 1; }, wait_limit));
    CHECK(!loop.run_until([&] { return exchanges.size() == 2; }, milliseconds{20}));
    exchanges[0].respond({200, {}, "first"});
    CHECK(loop.run_until([&] { return exchanges.size() == 2; }, wait_limit));
    exchanges[0].respond({200, {}, "again"});
    exchanges[1].respond({200, {}, "second"});
    std::string received;
    CHECK(loop.run_until(
        [&] {
            received += raw.received();
            return received.find("second") != std::string::npos;
        },
        wait_limit));
    CHECK(received.find("first") < received.find("second"));
    CHECK(received.find("again") == std::string::npos);
}

// Guards against a relayed header that adds a header or splits the message.
TEST(http, header_injection_is_refused)
{
    serve_echo();
    const auto result = call({"GET", "/", {{"x", "a\r\ny: b"}}, ""});
    CHECK(!result.response);
    CHECK(result.failure == http_failure::not_sent);
    CHECK(call(get("/a b")).failure == http_failure::not_sent);
}

// Guards against an unlimited number of client connections.
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

// Guards against dropping requests in progress during a planned stop.
TEST(http, finish_lets_requests_finish)
{
    serve_without_response();
    result_recorder recorder;
    client->send(server->address(), get("/"), call_timeout, recorder.callback());
    CHECK(loop.run_until([&] { return exchanges.size() == 1; }, wait_limit));
    server->finish();
    exchanges[0].respond({200, {}, "done"});
    CHECK(loop.run_until([&] { return recorder.calls == 1; }, wait_limit));
    CHECK(recorder.result->response->body == "done");
    CHECK(loop.run_until([&] { return server->connections() == 0; }, wait_limit));
}

TEST_GROUP(endpoints){};

// Guards against accepting an address of which only a part was parsed.
TEST(endpoints, only_ip_addresses_with_a_port_are_accepted)
{
    CHECK(parse_endpoint("127.0.0.1:80") == (endpoint{"127.0.0.1", 80}));
    CHECK(to_string(parse_endpoint("[::1]:80")) == "[::1]:80");
    for (const char* bad : {"localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:99999", "::1:80",
                            "127.0.0.1:8x", ""}) {
        CHECK_THROWS(address_error, parse_endpoint(bad));
    }
}

// Guards against calls that are delayed until the next timer. When a call was sent in the callback
// of another call, its response was read only when the loop's wait for events ended, after up to 20
// ms. The server has its own loop, as in another process, because events of the server on the same
// loop would end the client's waits.
TEST(http, sequential_calls_do_not_wait_for_a_timer)
{
    std::atomic<std::uint16_t> port{0};
    std::atomic<bool> all_finished{false};
    std::thread other([&] {
        net::loop server_loop;
        const http_server echo(server_loop, any_port, [](const http_exchange& exchange) {
            exchange.respond({200, {}, "answer"});
        });
        port = echo.address().port;
        server_loop.run_until([&] { return all_finished.load(); }, milliseconds{10000});
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
    all_finished = true;
    other.join();
    CHECK(in_time);
    LONGS_EQUAL(count, answered);
}
