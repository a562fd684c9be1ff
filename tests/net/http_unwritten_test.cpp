#include <array>
#include <cstdint>
#include <netinet/in.h>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

#include "net/http.h"
#include "net/loop.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::net;

namespace {

constexpr milliseconds wait_limit{3000};

/// A port on which no further connection is ever established, because its backlog is full.
class full_listener {
public:
    full_listener() : fds_{open_socket(), open_socket(), open_socket()}
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        auto* generic = reinterpret_cast<sockaddr*>(&address);
        CHECK(bind(fds_[0], generic, size) == 0);
        CHECK(listen(fds_[0], 0) == 0);
        CHECK(getsockname(fds_[0], generic, &size) == 0);
        port_ = ntohs(address.sin_port);
        for (std::size_t i = 1; i < fds_.size(); ++i) {
            connect(fds_[i], generic, size); // does not block; the last one waits for ever
        }
    }
    ~full_listener()
    {
        for (const int fd : fds_) {
            close(fd);
        }
    }
    full_listener(const full_listener&) = delete;
    full_listener& operator=(const full_listener&) = delete;
    full_listener(full_listener&&) = delete;
    full_listener& operator=(full_listener&&) = delete;

    [[nodiscard]] endpoint address() const { return {"127.0.0.1", port_}; }

private:
    static int open_socket() { return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0); }

    std::array<int, 3> fds_;
    std::uint16_t port_ = 0;
};

} // namespace

TEST_GROUP(http_unwritten){};

// Guards against a call that is reported as possibly run although its connection was not
// established before its time limit or its cancellation.
TEST(http_unwritten, call_without_an_established_connection_was_not_sent)
{
    full_listener listener;
    net::loop loop;
    http_client client(loop, 4, 1000);
    std::vector<http_result> results;
    const auto record = [&](http_result result) { results.push_back(std::move(result)); };
    const auto send = [&](milliseconds timeout) {
        return client.send(listener.address(), {"GET", "/", {}, ""}, timeout, record);
    };
    send(milliseconds{50});
    CHECK(loop.run_until([&] { return results.size() == 1; }, wait_limit));
    CHECK(results[0].failure == http_failure::connect);
    const auto call = send(milliseconds{60000});
    CHECK(client.cancel(call));
    CHECK_FALSE(client.cancel(call)); // it has ended
    CHECK(loop.run_until([&] { return results.size() == 2; }, wait_limit));
    CHECK(results[1].failure == http_failure::connect);
}
