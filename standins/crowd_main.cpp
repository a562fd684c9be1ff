#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <iostream>
#include <map>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

#include <gflags/gflags.h>

#include "net/http.h"
#include "net/sockets.h"

DEFINE_string(address, "", "address of the server");
DEFINE_string(kind, "", "what the clients send, see `make_script`");
DEFINE_string(path, "/", "path of the requests");
DEFINE_string(host, "h", "Host header of the requests");
DEFINE_int32(connections, 220, "number of connections");
DEFINE_int32(seconds, 3, "time after which all connections are closed");

namespace {

using namespace bulrushgw;

/// The bytes that each client sends: `head`, then `part` `parts` times. A client that does not read
/// leaves all responses in its socket.
struct script {
    std::string head;
    std::string part;
    std::uint64_t parts = 0; ///< 0: without an end
    bool reads = true;
};

struct client {
    int fd = -1;
    std::uint64_t sent = 0;
};

constexpr std::size_t large_chunk = 300'000;
constexpr std::size_t unfinished_body = 900'000;
constexpr std::size_t upload = 360'000;
constexpr std::size_t block = 65'536;
constexpr auto poll_wait = std::chrono::milliseconds{100};

std::string post(const std::string& headers)
{
    return "POST " + FLAGS_path + " HTTP/1.1\r\nhost: " + FLAGS_host + "\r\ndeadline-ms: 3000\r\n" +
           headers + "\r\n";
}

std::string chunk(std::size_t size)
{
    constexpr const char* digits = "0123456789abcdef";
    std::string length;
    for (auto rest = size; rest > 0; rest /= 16) {
        length.insert(length.begin(), digits[rest % 16]);
    }
    return length + "\r\n" + std::string(size, 'x') + "\r\n";
}

std::string sized(std::size_t announced)
{
    return post("content-length: " + std::to_string(announced) + "\r\n");
}

std::map<std::string, script> make_scripts()
{
    const std::string chunked = post("transfer-encoding: chunked\r\n");
    const std::string get = "GET " + FLAGS_path + " HTTP/1.1\r\nhost: " + FLAGS_host + "\r\n\r\n";
    return {
        {"large-chunks", {chunked, chunk(large_chunk), unfinished_body / large_chunk}},
        {"tiny-chunks", {chunked, chunk(1), 150'000}},
        {"declared", {sized(unfinished_body + 1), std::string(unfinished_body, 'x'), 1}},
        {"endless", {chunked, chunk(block), 0}},
        {"announced", {sized(200'000'000), std::string(block, 'x'), 0}},
        {"heads", {get.substr(0, get.size() - 2) + "x: ", std::string(100, 'x'), 120}},
        {"behind",
         {post(""), sized(unfinished_body) + std::string(unfinished_body, 'x'), 0, false}},
        {"unread", {"", get, 0, false}},
        {"uploads", {"", sized(upload) + std::string(upload, 'x'), 0}},
    };
}

/// The next bytes of a client, at most to the end of the head or of the current part.
std::string_view next_bytes(const script& what, std::uint64_t sent)
{
    if (sent < what.head.size()) {
        return std::string_view(what.head).substr(sent);
    }
    const auto behind_head = sent - what.head.size();
    if (what.parts > 0 && behind_head >= what.parts * what.part.size()) {
        return {};
    }
    return std::string_view(what.part).substr(behind_head % what.part.size());
}

void send_some(client& sender, const script& what)
{
    // Several small parts are sent with one call.
    std::string bytes;
    while (bytes.size() < block) {
        const auto next = next_bytes(what, sender.sent + bytes.size()).substr(0, block);
        if (next.empty()) {
            break;
        }
        bytes += next;
    }
    const auto size = send(sender.fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    sender.sent += size > 0 ? static_cast<std::uint64_t>(size) : 0;
}

/// Returns false when the server closed the connection.
bool receive_some(const client& receiver)
{
    char bytes[4096];
    const auto size = recv(receiver.fd, bytes, sizeof(bytes), MSG_DONTWAIT);
    return size > 0 || (size < 0 && (errno == EAGAIN || errno == EINTR));
}

void open(client& opened, const net::detail::socket_address& target)
{
    const auto* name = reinterpret_cast<const sockaddr*>(&target.bytes);
    opened.fd = socket(name->sa_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    opened.sent = 0;
    // The connection is not established yet; a failure shows as an event of the socket.
    static_cast<void>(connect(opened.fd, name, target.size));
}

} // namespace

/// Opens many connections on which clients behave badly. A client whose connection is closed opens
/// another one. Prints the number of connections that the server closed.
int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto scripts = make_scripts();
    const auto found = scripts.find(FLAGS_kind);
    if (found == scripts.end()) {
        std::cerr << "unknown kind \"" << FLAGS_kind << "\"\n";
        return 2;
    }
    const script& what = found->second;
    const auto target = net::detail::to_socket_address(net::parse_endpoint(FLAGS_address));
    std::vector<client> clients(static_cast<std::size_t>(FLAGS_connections));
    std::uint64_t closed = 0;
    for (auto& each : clients) {
        open(each, target);
    }
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds{FLAGS_seconds};
    while (std::chrono::steady_clock::now() < end) {
        std::vector<pollfd> states;
        for (const auto& each : clients) {
            const bool has_more = !next_bytes(what, each.sent).empty();
            const auto events = (has_more ? POLLOUT : 0) | (what.reads ? POLLIN : 0);
            states.push_back({each.fd, static_cast<short>(events), 0});
        }
        poll(states.data(), states.size(), static_cast<int>(poll_wait.count()));
        for (std::size_t i = 0; i < clients.size(); ++i) {
            const auto happened = states[i].revents;
            if ((happened & POLLOUT) != 0) {
                send_some(clients[i], what);
            }
            const bool is_lost = (happened & (POLLERR | POLLHUP)) != 0 ||
                                 ((happened & POLLIN) != 0 && !receive_some(clients[i]));
            if (is_lost) {
                ++closed;
                close(clients[i].fd);
                open(clients[i], target);
            }
        }
    }
    std::cout << "closed=" << closed << std::endl;
    return 0;
}
