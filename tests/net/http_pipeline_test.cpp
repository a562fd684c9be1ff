#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "net/http.h"
#include "net/loop.h"
#include "tests/net/raw_client.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::net;

namespace {

constexpr milliseconds wait_limit{3000};

std::string get(const std::string& path, const std::string& headers = "")
{
    return "GET " + path + " HTTP/1.1\r\nhost: h\r\n" + headers + "\r\n";
}

} // namespace

// The server as clients see it that send bytes of their choice.
TEST_GROUP(http_connections)
{
    net::loop loop;
    std::vector<http_exchange> exchanges;
    std::optional<http_server> server;
    std::optional<test::raw_client> client;
    std::string received;

    void teardown() override
    {
        client.reset();
        exchanges.clear();
        server.reset();
    }

    void serve(http_server_limits limits = {})
    {
        server.emplace(
            loop, endpoint{"127.0.0.1", 0},
            [this](http_exchange exchange) { exchanges.push_back(std::move(exchange)); },
            std::move(limits));
        client.emplace(server->address());
    }

    void serve_ahead(std::size_t max_pipelined)
    {
        http_server_limits limits;
        limits.max_pipelined = max_pipelined;
        limits.may_run_ahead = [](const http_request& request) { return request.method == "GET"; };
        serve(limits);
    }

    bool await_exchanges(std::size_t count)
    {
        return loop.run_until([&] { return exchanges.size() >= count; }, wait_limit);
    }

    bool await_text(const std::string& text)
    {
        return loop.run_until(
            [&] {
                received += client->received();
                return received.find(text) != std::string::npos;
            },
            wait_limit);
    }

    bool await_end()
    {
        return loop.run_until(
            [&] {
                received += client->received();
                return client->closed;
            },
            wait_limit);
    }

    void run_briefly()
    {
        loop.run_until([] { return false; }, milliseconds{20});
    }
};

// Guards against pipelined requests that wait for each other although they may run at once, and
// against responses in the order in which they became ready.
TEST(http_connections, idempotent_requests_run_ahead_and_are_answered_in_order)
{
    serve_ahead(16);
    CHECK(client->send(get("/0") + get("/1") + "POST /2 HTTP/1.1\r\ncontent-length: 1\r\n\r\nx" +
                       get("/3")));
    CHECK(await_exchanges(3));
    run_briefly();
    LONGS_EQUAL(3, exchanges.size());
    STRCMP_EQUAL("/3", exchanges[2].request.path.c_str());
    exchanges[2].respond({200, {}, "third"});
    exchanges[1].respond({200, {}, "first"});
    run_briefly();
    STRCMP_EQUAL("", client->received().c_str());
    exchanges[0].respond({200, {}, "zeroth"});
    CHECK(await_exchanges(4));
    STRCMP_EQUAL("/2", exchanges[3].request.path.c_str());
    exchanges[3].respond({200, {}, "second"});
    CHECK(await_text("third"));
    CHECK(received.find("zeroth") < received.find("first"));
    CHECK(received.find("first") < received.find("second"));
    CHECK(received.find("second") < received.find("third"));
}

// Guards against a connection that makes the process hold any number of requests, and against
// requests that are lost when reading stops and begins again.
TEST(http_connections, requests_read_ahead_are_bounded)
{
    serve_ahead(2);
    std::string input;
    for (int i = 0; i < 40; ++i) {
        input += get("/" + std::to_string(i), "x: " + std::string(2000, 'v') + "\r\n");
    }
    CHECK(client->send(input));
    CHECK(await_exchanges(3));
    run_briefly();
    for (std::size_t i = 0; i < 40; ++i) {
        CHECK(await_exchanges(i + 1));
        CHECK(exchanges.size() <= i + 3);
        STRCMP_EQUAL(("/" + std::to_string(i)).c_str(), exchanges[i].request.path.c_str());
        exchanges[i].respond({200, {}, ""});
    }
}

// Guards against work that goes on for a client that left while its further requests were not read.
TEST(http_connections, disconnect_cancels_all_requests_even_behind_unread_input)
{
    http_server_limits limits;
    limits.max_pipelined = 1;
    limits.may_run_ahead = [](const http_request&) { return true; };
    limits.request_timeout = milliseconds{200};
    serve(limits);
    CHECK(client->send(get("/0") + get("/1") + get("/2") + get("/3")));
    CHECK(await_exchanges(2));
    run_briefly();
    CHECK(client->send(get("/4")));
    int cancelled = 0;
    for (auto& exchange : exchanges) {
        *exchange.on_cancel = [&] { ++cancelled; };
    }
    run_briefly();
    client.reset();
    CHECK(loop.run_until([&] { return cancelled == 2; }, wait_limit));
    LONGS_EQUAL(0, server->connections());
}

// Guards against requests that run although their client sends them again, because the response
// before them closed the connection.
TEST(http_connections, requests_behind_a_closing_response_count_as_not_read)
{
    serve_ahead(16);
    CHECK(
        client->send(get("/0", "connection: close\r\n") + get("/1") + "POST /2 HTTP/1.1\r\n\r\n"));
    CHECK(await_exchanges(2));
    bool is_cancelled = false;
    *exchanges[1].on_cancel = [&] { is_cancelled = true; };
    exchanges[0].respond({200, {}, "last"});
    CHECK(await_end());
    CHECK(received.find("connection: close") != std::string::npos);
    CHECK(received.find("last") != std::string::npos);
    CHECK(loop.run_until([&] { return is_cancelled; }, wait_limit));
    LONGS_EQUAL(2, exchanges.size());
}

// Guards against a stop that cuts off requests which were read, and against one that goes on to
// read requests: all that were read are answered, then the connection is closed.
TEST(http_connections, finish_answers_what_was_read_and_closes)
{
    serve_ahead(1);
    CHECK(client->send(get("/0") + get("/1") + get("/2") + get("/3") + "GET /part"));
    CHECK(await_exchanges(2));
    LONGS_EQUAL(1, server->undelivered());
    server->finish();
    run_briefly();
    CHECK(client->send(get("/late")));
    for (std::size_t i = 0; i < 4; ++i) {
        CHECK(await_exchanges(i + 1));
        LONGS_EQUAL(1, server->undelivered());
        exchanges[i].respond({200, {}, "answer" + std::to_string(i)});
    }
    CHECK(await_end());
    CHECK(received.find("answer3") != std::string::npos);
    const auto closing = received.find("connection: close");
    CHECK(closing > received.find("answer2") && closing < received.find("answer3"));
    client.reset();
    CHECK(loop.run_until([&] { return server->connections() == 0; }, wait_limit));
    LONGS_EQUAL(4, exchanges.size());
    LONGS_EQUAL(0, server->undelivered());
}

// Guards against a stop that calls an answer delivered while most of it waits for a client that
// reads slowly, and against a reset by input that nobody reads.
TEST(http_connections, finish_delivers_an_answer_that_is_read_slowly)
{
    serve();
    CHECK(client->send(get("/0")));
    CHECK(await_exchanges(1));
    const std::string body(8'000'000, 'b');
    exchanges[0].respond({200, {}, body});
    run_briefly();
    LONGS_EQUAL(1, server->undelivered());
    server->finish();
    CHECK(client->send(get("/late")));
    CHECK(await_end());
    CHECK(received.ends_with(body));
    client.reset();
    CHECK(loop.run_until([&] { return server->connections() == 0; }, wait_limit));
}

// Guards against an upload that waits for its deadline although the server stops.
TEST(http_connections, finish_refuses_an_incomplete_body_and_closes_idle_connections)
{
    serve();
    test::raw_client idle(server->address());
    CHECK(client->send("POST / HTTP/1.1\r\ncontent-length: 10\r\n\r\nhalf"));
    CHECK(loop.run_until([&] { return server->connections() == 2; }, wait_limit));
    run_briefly();
    server->finish();
    CHECK(await_end());
    CHECK(received.starts_with("HTTP/1.1 503 "));
    CHECK(received.find("retry-after") != std::string::npos);
    LONGS_EQUAL(1, server->counters().stop_refused);
    CHECK(loop.run_until(
        [&] {
            idle.received();
            return idle.closed;
        },
        wait_limit));
    LONGS_EQUAL(0, exchanges.size());
}

// Guards against a refusal that overtakes the response to an earlier request.
TEST(http_connections, refusal_waits_for_the_responses_before_it)
{
    serve();
    CHECK(client->send(get("/0") + "GET / HTTP/1.1\r\nx : y\r\n\r\n"));
    CHECK(await_exchanges(1));
    run_briefly();
    exchanges[0].respond({200, {}, "first"});
    CHECK(await_end());
    CHECK(received.find("first") < received.find("HTTP/1.1 400 "));
    LONGS_EQUAL(1, server->counters().malformed);
}

// Guards against clients that wait for "100 Continue", and against bodies that confuse the client
// of a HEAD request or of HTTP/1.0.
TEST(http_connections, interim_and_bodyless_responses)
{
    serve();
    CHECK(client->send("POST / HTTP/1.1\r\nexpect: 100-continue\r\ncontent-length: 4\r\n\r\n"));
    CHECK(await_text("HTTP/1.1 100 Continue\r\n\r\n"));
    CHECK(client->send("bodyHEAD / HTTP/1.1\r\n\r\nGET / HTTP/1.0\r\n\r\n"));
    for (std::size_t i = 0; i < 3; ++i) {
        CHECK(await_exchanges(i + 1));
        exchanges[i].respond({200, {}, "text" + std::to_string(i)});
    }
    STRCMP_EQUAL("body", exchanges[0].request.body.c_str());
    CHECK(await_end());
    CHECK(received.find("text0") != std::string::npos);
    CHECK(received.find("text1") == std::string::npos);
    CHECK(received.find("content-length: 5\r\n\r\nHTTP/1.1 200") != std::string::npos);
    CHECK(received.ends_with("text2"));
}

// Guards against heads and bodies that occupy a connection without an end.
TEST(http_connections, stalled_heads_and_bodies_get_408)
{
    http_server_limits limits;
    limits.header_timeout = milliseconds{40};
    limits.request_timeout = milliseconds{400};
    serve(limits);
    test::raw_client body(server->address());
    CHECK(client->send("GET / HTTP/1.1\r\nx: "));
    CHECK(body.send("POST / HTTP/1.1\r\ncontent-length: 4\r\n\r\nab"));
    CHECK(await_end());
    CHECK(received.starts_with("HTTP/1.1 408 "));
    // In calm, a slow body has the idle timeout.
    STRCMP_EQUAL("", body.received().c_str());
    CHECK(loop.run_until([&] { return server->counters().bodies_too_slow == 1; }, wait_limit));
    LONGS_EQUAL(1, server->counters().heads_too_slow);
    LONGS_EQUAL(0, exchanges.size());
}

// Guards against stalled clients that take all connections and thus keep others out.
TEST(http_connections, stalled_and_idle_connections_end_early_when_few_are_left)
{
    http_server_limits limits;
    limits.max_connections = 8;
    limits.header_timeout = milliseconds{40};
    serve(limits);
    const test::raw_client early(server->address());
    CHECK(loop.run_until([&] { return server->connections() == 2; }, wait_limit));
    run_briefly();
    std::vector<std::unique_ptr<test::raw_client>> crowd;
    for (int i = 0; i < 6; ++i) {
        crowd.push_back(std::make_unique<test::raw_client>(server->address()));
        CHECK(crowd.back()->send("POST / HTTP/1.1\r\ncontent-length: 4\r\n\r\nab"));
    }
    CHECK(loop.run_until([&] { return server->connections() == 8; }, wait_limit));
    CHECK(loop.run_until(
        [&] {
            for (auto& each : crowd) {
                each->received();
            }
            return server->counters().bodies_too_slow > 0 || server->connections() < 7;
        },
        wait_limit));
}

// Guards against unfinished bodies that exceed the memory of the process, and against refusing
// requests without a body, or cancelling running ones, because of them.
TEST(http_connections, unfinished_bodies_are_refused_when_memory_is_low)
{
    http_server_limits limits;
    limits.budget = std::make_shared<memory_budget>(400'000);
    serve(limits);
    CHECK(client->send("POST /running HTTP/1.1\r\ncontent-length: 4\r\n\r\nbody"));
    CHECK(await_exchanges(1));
    std::vector<std::unique_ptr<test::raw_client>> crowd;
    for (int i = 0; i < 12; ++i) {
        crowd.push_back(std::make_unique<test::raw_client>(server->address()));
        CHECK(crowd.back()->send("POST / HTTP/1.1\r\ncontent-length: 50001\r\n\r\n" +
                                 std::string(50'000, 'b')));
    }
    CHECK(loop.run_until([&] { return server->counters().memory_refused >= 6; }, wait_limit));
    CHECK(limits.budget->used() <= limits.budget->limit());
    std::string refusals;
    CHECK(loop.run_until(
        [&] {
            for (auto& each : crowd) {
                refusals += each->received();
            }
            return refusals.find("retry-after: 1") != std::string::npos;
        },
        wait_limit));
    CHECK(refusals.starts_with("HTTP/1.1 503 "));
    const test::raw_client head_only(server->address());
    CHECK(head_only.send(get("/head")));
    CHECK(await_exchanges(2));
    exchanges[0].respond({200, {}, "done"});
    CHECK(await_text("done"));
    crowd.clear();
    exchanges.clear();
    client.reset();
    CHECK(loop.run_until([&] { return server->connections() == 1; }, wait_limit));
    server.reset();
    LONGS_EQUAL(0, limits.budget->used());
}

// Guards against responses to clients that do not read, which exceed the memory of the process.
TEST(http_connections, unread_responses_count_towards_the_budget)
{
    http_server_limits limits;
    limits.budget = std::make_shared<memory_budget>(3'000'000);
    limits.may_run_ahead = [](const http_request&) { return true; };
    limits.max_pipelined_bytes = 100'000'000;
    serve(limits);
    std::string input;
    for (int i = 0; i < 10; ++i) {
        input += get("/");
    }
    CHECK(client->send(input));
    CHECK(await_exchanges(10));
    for (auto& exchange : exchanges) {
        exchange.respond({200, {}, std::string(1'000'000, 'r')});
    }
    LONGS_EQUAL(1, server->counters().memory_closed);
    LONGS_EQUAL(0, server->connections());
    CHECK(limits.budget->used() == 0);
}
