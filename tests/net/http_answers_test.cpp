#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "net/h2o_library.h"
#include "net/http.h"
#include "net/loop.h"
#include "net/sockets.h"

#include <CppUTest/TestHarness.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace bulrushgw;
using namespace bulrushgw::net;

// A server that sends raw bytes, to test the client with responses that faulty servers send.
TEST_GROUP(http_answers)
{
    net::loop loop;
    std::unique_ptr<detail::listener> server;
    std::optional<http_client> client;
    std::string answer;
    bool close_after = false;
    bool reset_after = false;
    bool shut_down_after = false; ///< the server ends its direction and does not read on
    h2o_socket_t* shut_down_socket = nullptr;
    int connections = 0;
    std::size_t first_part_bytes = 0; ///< sent 1 ms before the rest of `answer`, unless 0
    std::string repeated_bytes;       ///< sent after `answer` until the client closes
    std::size_t sent_bytes = 0;
    /// Socket on which `repeated_bytes` are sent; null once closed.
    h2o_socket_t* endless_response_socket = nullptr;

    void setup() override
    {
        client.emplace(loop, 1, 100000);
        server = std::make_unique<detail::listener>(loop, endpoint{"127.0.0.1", 0},
                                                    [this](h2o_socket_t* socket) {
                                                        ++connections;
                                                        socket->data = this;
                                                        h2o_socket_read_start(socket, on_readable);
                                                    });
    }
    void teardown() override
    {
        client.reset();
        server.reset();
        if (shut_down_socket != nullptr) {
            h2o_socket_close(shut_down_socket);
        }
    }

    static void on_readable(h2o_socket_t * socket, const char* failure)
    {
        auto& self = *static_cast<TEST_GROUP_CppUTestGrouphttp_answers*>(socket->data);
        if (failure != nullptr) {
            self.endless_response_socket =
                self.endless_response_socket == socket ? nullptr : self.endless_response_socket;
            h2o_socket_close(socket);
            return;
        }
        h2o_buffer_consume(&socket->input, socket->input->size);
        const int fd = h2o_socket_get_fd(socket);
        if (!self.repeated_bytes.empty()) {
            self.endless_response_socket = socket;
            self.send_repeatedly();
            return;
        }
        if (self.first_part_bytes > 0) {
            const std::string head = self.answer.substr(0, self.first_part_bytes);
            CHECK(send(fd, head.data(), head.size(), MSG_NOSIGNAL) ==
                  static_cast<ssize_t>(head.size()));
            self.loop.after(milliseconds{1}, [&self, fd] {
                const std::string rest = self.answer.substr(self.first_part_bytes);
                send(fd, rest.data(), rest.size(), MSG_NOSIGNAL);
            });
            return;
        }
        CHECK(send(fd, self.answer.data(), self.answer.size(), MSG_NOSIGNAL) ==
              static_cast<ssize_t>(self.answer.size()));
        if (self.reset_after) {
            const linger reset_on_close{1, 0};
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof(reset_on_close));
        }
        if (self.shut_down_after) {
            shutdown(fd, SHUT_WR);
            h2o_socket_read_stop(socket);
            self.shut_down_socket = socket;
        }
        if (self.close_after || self.reset_after) {
            h2o_socket_close(socket);
        }
    }

    // Every millisecond, sends as many bytes as the socket accepts.
    void send_repeatedly()
    {
        if (endless_response_socket == nullptr) {
            return;
        }
        std::string bytes = sent_bytes == 0 ? answer : "";
        while (bytes.size() < 16384) {
            bytes += repeated_bytes;
        }
        const auto sent = send(h2o_socket_get_fd(endless_response_socket), bytes.data(),
                               bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        sent_bytes += sent > 0 ? static_cast<std::size_t>(sent) : 0;
        loop.after(milliseconds{1}, [this] { send_repeatedly(); });
    }

    http_result call(std::function<head_verdict(const http_response&, bool)> accept_head = {})
    {
        std::optional<http_result> result;
        client->send(
            server->address(), {"GET", "/", {}, ""}, milliseconds{1000},
            [&](http_result received) { result = std::move(received); }, {},
            std::move(accept_head));
        CHECK(loop.run_until([&] { return result.has_value(); }, milliseconds{3000}));
        return *result;
    }
};

// Guards against delivering a response that was truncated by a reset as complete.
TEST(http_answers, response_without_length_is_complete_only_at_an_orderly_close)
{
    answer = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf";
    close_after = true;
    auto result = call();
    CHECK(result.response.has_value());
    STRCMP_EQUAL("half", result.response->body.c_str());
    close_after = false;
    reset_after = true;
    result = call();
    CHECK_FALSE(result.response.has_value());
    CHECK(result.failure == http_failure::closed);
}

// Guards against delivering a part of a response as complete: the server answered without a length
// while the request was still being written, and reset the connection. The failed write takes the
// error, so that the read after it reports an end of the input.
TEST(http_answers, response_cut_by_a_reset_during_the_upload_is_not_complete)
{
    answer = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf";
    reset_after = true;
    const auto body = std::make_shared<const std::string>(std::size_t{6} * 1024 * 1024, 'b');
    for (int i = 0; i < 50; ++i) {
        std::optional<http_result> result;
        client->send(
            server->address(), {"POST", "/", {}, ""}, milliseconds{1000},
            [&](http_result received) { result = std::move(received); }, {}, {}, body);
        CHECK(loop.run_until([&] { return result.has_value(); }, milliseconds{3000}));
        CHECK_FALSE(result->response.has_value());
        CHECK(result->failure == http_failure::closed);
    }
}

// Guards against discarding a whole response that the server sent before it had read the request.
TEST(http_answers, response_before_the_end_of_the_upload_is_complete_at_an_orderly_close)
{
    answer = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nwhole";
    shut_down_after = true;
    std::optional<http_result> result;
    client->send(server->address(),
                 {"POST", "/", {}, std::string(std::size_t{6} * 1024 * 1024, 'b')},
                 milliseconds{1000}, [&](http_result received) { result = std::move(received); });
    CHECK(loop.run_until([&] { return result.has_value(); }, milliseconds{3000}));
    CHECK(result->response.has_value());
    STRCMP_EQUAL("whole", result->response->body.c_str());
}

// Guards against answers with a status that HTTP does not have, or with invalid field names, that
// callers got as answers. The connection is not used again.
TEST(http_answers, invalid_status_or_field_is_no_answer)
{
    int calls = 0;
    for (const char* head :
         {"000 OK", "099 OK", "101 Switching Protocols", "600 X", "999 X", "0200 OK",
          "200 OK\r\nx y: z", "200 OK\r\ncontent-length : 4", "200 OK\r\nx\x01: z"}) {
        answer = "HTTP/1.1 " + std::string(head) + "\r\ncontent-length: 0\r\n\r\n";
        const auto result = call();
        CHECK_FALSE(result.response.has_value());
        CHECK(result.failure == http_failure::malformed);
        LONGS_EQUAL(++calls, connections);
    }
}

// Guards against a malformed response that ends the process.
TEST(http_answers, malformed_heads_fail_only_the_call)
{
    for (const char* head : {"HTTP/1.1 200 OK\r\ncontent-length: x1\r\n\r\n",
                             "HTTP/1.1 200 OK\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\n",
                             "nonsense\r\n\r\n", "HTTP/1.1 2x0 OK\r\n\r\n"}) {
        answer = head;
        const auto result = call();
        CHECK_FALSE(result.response.has_value());
        CHECK(result.failure == http_failure::malformed);
    }
}

// Guards against treating bytes after a response as the response to the next call.
TEST(http_answers, connection_with_extra_bytes_is_not_reused)
{
    answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
             "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother";
    for (int i = 0; i < 2; ++i) {
        const auto result = call();
        CHECK(result.response.has_value());
        STRCMP_EQUAL("ok", result.response->body.c_str());
    }
    LONGS_EQUAL(2, connections);
}

namespace {

head_verdict accept_own_response(const http_response& head, bool)
{
    const auto id = find_header(head.headers, "Request-Id");
    return id == "mine" ? head_verdict::accept : id ? head_verdict::skip : head_verdict::refuse;
}

} // namespace

// Guards against delivering the response to another request from a reused connection.
TEST(http_answers, refused_head_closes_the_connection)
{
    answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    const auto result = call(accept_own_response);
    CHECK_FALSE(result.response.has_value());
    CHECK(result.failure == http_failure::malformed);
    CHECK(call().response.has_value());
    LONGS_EQUAL(2, connections);
}

// Guards against a late duplicate of an earlier response that is delivered to the next call or
// makes that call fail. The bytes are split at many positions, as the network may split them.
TEST(http_answers, duplicate_of_an_earlier_response_is_skipped)
{
    const std::string stale =
        "HTTP/1.1 200 OK\r\nrequest-id: other\r\ncontent-length: 5\r\n\r\nstale";
    const std::string own = "HTTP/1.1 200 OK\r\nrequest-id: mine\r\ncontent-length: 2\r\n\r\nok";
    const std::string chunked = "HTTP/1.1 200 OK\r\nrequest-id: other\r\n"
                                "transfer-encoding: chunked\r\n\r\n5\r\nstale\r\n0\r\n\r\n";
    for (const auto& before : {stale, chunked, stale + chunked}) {
        for (std::size_t cut = 0; cut < before.size() + own.size(); cut += 7) {
            answer = before + own;
            first_part_bytes = cut;
            const auto result = call(accept_own_response);
            CHECK(result.response.has_value());
            STRCMP_EQUAL("ok", result.response->body.c_str());
        }
    }
    first_part_bytes = 0;
    const int before = connections;
    answer = own;
    CHECK(call(accept_own_response).response.has_value());
    CHECK(call(accept_own_response).response.has_value());
    LONGS_EQUAL(before + 1, connections); // connections that received a duplicate are closed
    answer = stale + stale + stale + own;
    CHECK(call(accept_own_response).failure == http_failure::malformed);
}

// Guards against a target that occupies a connection, memory or time by an endless response. Each
// part of a response is made endless in turn, such as the status line, a header or the body.
TEST(http_answers, endless_responses_fail_the_call)
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = ok + "transfer-encoding: chunked\r\n\r\n";
    const std::vector<std::pair<std::string, std::string>> endless_responses{
        {"", "x"},
        {"HTTP/1.1 200 ", "O"},
        {ok + "a: ", "b"},
        {ok, "a: b\r\n"},
        {"", "HTTP/1.1 100 Continue\r\n\r\n"},
        {ok + "\r\n", "body"},
        {ok + "content-length: 99999999\r\n\r\n", "body"},
        {chunked, "1\r\nx\r\n"},
        {chunked + "1;", "extension"},
        {chunked + "0\r\n", "trailer: x\r\n"},
    };
    for (const auto& [head, part] : endless_responses) {
        answer = head;
        repeated_bytes = part;
        sent_bytes = 0;
        const auto started = loop.now();
        const auto result = call();
        CHECK_FALSE(result.response.has_value());
        CHECK(result.failure == http_failure::malformed);
        CHECK(loop.now() - started < milliseconds{900}); // before the call times out
        loop.run_until([&] { return endless_response_socket == nullptr; }, milliseconds{1000});
        POINTERS_EQUAL(nullptr, endless_response_socket); // the connection was closed
    }
    repeated_bytes.clear();
    answer = ok + "content-length: 2\r\n\r\nok";
    CHECK(call().response.has_value());
}

// Guards against treating an interim response as the final one.
TEST(http_answers, interim_responses_are_skipped)
{
    answer = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    const auto result = call();
    CHECK(result.response.has_value());
    LONGS_EQUAL(200, result.response->status);
}

// Guards against delivering a truncated response as complete. The response is truncated at each
// byte of its head or body, by a closed and by a reset connection. An empty body must not be taken
// for the body of a response whose head ended early.
TEST(http_answers, truncated_response_fails_the_call)
{
    const std::string without_length = "HTTP/1.1 200 OK\r\nrequest-id: mine\r\n\r\n";
    const std::vector<std::string> complete_responses{
        "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nabcdef",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n3\r\ndef\r\n0\r\n\r\n",
        without_length};
    for (const auto& text : complete_responses) {
        for (std::size_t size = 1; size < text.size(); ++size) {
            answer = text.substr(0, size);
            for (const bool resets : {false, true}) {
                close_after = !resets;
                reset_after = resets;
                CHECK_FALSE(call().response.has_value());
            }
        }
    }
    reset_after = false;
    close_after = true;
    for (const auto& text : complete_responses) {
        answer = text;
        const auto result = call();
        CHECK(result.response.has_value());
        STRCMP_EQUAL(text == without_length ? "" : "abcdef", result.response->body.c_str());
    }
}

// Guards against a copy of a response without an id that is taken for the response to the next
// call.
TEST(http_answers, connection_is_closed_after_a_response_accepted_as_the_last)
{
    answer = "HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n";
    std::vector<bool> is_new;
    for (int i = 0; i < 3; ++i) {
        const auto result = call([&](const http_response&, bool is_new_connection) {
            is_new.push_back(is_new_connection);
            return head_verdict::accept_last;
        });
        CHECK(result.response.has_value());
        LONGS_EQUAL(421, result.response->status);
    }
    LONGS_EQUAL(3, connections);
    CHECK(is_new == std::vector<bool>({true, true, true}));
}

// Guards against a second copy of an earlier response that is taken for the response to a call
// which must have a connection of its own.
TEST(http_answers, connections_are_not_reused_if_each_call_needs_its_own)
{
    client.emplace(loop, 4, 100000, http_client::connection_reuse::never);
    answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    for (int i = 0; i < 3; ++i) {
        CHECK(call().response.has_value());
    }
    LONGS_EQUAL(3, connections);
}

// Guards against the use of a freed socket after a request is written to an idle connection and
// cancelled before the next loop iteration. This happens on a busy node. Without memory checks the
// test fails only by chance; tests/process/memory_test.sh runs it with freed memory overwritten.
TEST(http_answers, call_cancelled_right_after_its_write)
{
    answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    for (int i = 0; i < 50; ++i) {
        CHECK(call().response.has_value());
        std::optional<http_result> result;
        loop.defer([&] {
            const auto id =
                client->send(server->address(), {"GET", "/", {}, ""}, milliseconds{1000},
                             [&](http_result received) { result = std::move(received); });
            client->cancel(id);
        });
        CHECK(loop.run_until([&] { return result.has_value(); }, milliseconds{3000}));
        CHECK_FALSE(result->response.has_value());
    }
}
