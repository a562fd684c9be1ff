#include <memory>
#include <optional>
#include <string>

#include "net/h2o_library.h"
#include "net/http.h"
#include "net/loop.h"
#include "net/sockets.h"

#include <CppUTest/TestHarness.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace bulrushgw;
using namespace bulrushgw::net;

// Answers that a faulty server may send, byte by byte.
TEST_GROUP(http_answers)
{
    net::loop loop;
    std::unique_ptr<detail::listener> server;
    std::optional<http_client> client;
    std::string answer;
    bool close_after = false;
    bool reset_after = false;
    int connections = 0;

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
    }

    static void on_readable(h2o_socket_t * socket, const char* failure)
    {
        auto& self = *static_cast<TEST_GROUP_CppUTestGrouphttp_answers*>(socket->data);
        if (failure != nullptr) {
            h2o_socket_close(socket);
            return;
        }
        h2o_buffer_consume(&socket->input, socket->input->size);
        const int fd = h2o_socket_get_fd(socket);
        CHECK(send(fd, self.answer.data(), self.answer.size(), MSG_NOSIGNAL) ==
              static_cast<ssize_t>(self.answer.size()));
        if (self.reset_after) {
            const linger at_once{1, 0};
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
        }
        if (self.close_after || self.reset_after) {
            h2o_socket_close(socket);
        }
    }

    http_result call(std::function<bool(const http_response&)> accept = {})
    {
        std::optional<http_result> result;
        client->send(
            server->address(), {"GET", "/", {}, ""}, milliseconds{1000},
            [&](http_result got) { result = std::move(got); }, {}, std::move(accept));
        CHECK(loop.run_until([&] { return result.has_value(); }, milliseconds{3000}));
        return *result;
    }
};

// Guards against an answer that was cut by a reset and is delivered as whole.
TEST(http_answers, without_length_is_whole_only_when_the_connection_ends)
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

// Guards against a process that ends itself on a malformed answer.
TEST(http_answers, malformed_heads_end_the_call_only)
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

// Guards against bytes behind an answer that become the answer to the next call.
TEST(http_answers, connection_with_extra_bytes_is_not_used_again)
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

// Guards against the answer of another request on a kept connection.
TEST(http_answers, head_that_the_caller_does_not_accept_closes_the_connection)
{
    answer = "HTTP/1.1 200 OK\r\nrequest-id: other\r\ncontent-length: 2\r\n\r\nok";
    const auto result = call([](const http_response& head) {
        return find_header(head.headers, "Request-Id") == "mine";
    });
    CHECK_FALSE(result.response.has_value());
    CHECK(result.failure == http_failure::malformed);
    CHECK(call().response.has_value());
    LONGS_EQUAL(2, connections);
}

// Guards against an interim answer that is taken for the final one.
TEST(http_answers, interim_answers_are_skipped)
{
    answer = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    const auto result = call();
    CHECK(result.response.has_value());
    LONGS_EQUAL(200, result.response->status);
}
