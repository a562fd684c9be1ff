// Clients that send chunked bodies in chunks of one byte, with a pause between them, and never the
// last chunk. Prints how many connections were opened and how many were still open at the end.

#include <arpa/inet.h>
#include <chrono>
#include <iostream>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

#include <gflags/gflags.h>

DEFINE_int32(port, 0, "port of the sidecar's address for requests, on loopback");
DEFINE_string(host, "h.example", "host header");
DEFINE_string(path, "/", "path of each request");
DEFINE_string(prefix, "c", "begin of the request ids");
DEFINE_int32(connections, 1, "number of connections");
DEFINE_int32(deadline_ms, 2000, "time budget of each request");
DEFINE_int32(pause_ms, 2000, "pause between two chunks of a connection");
DEFINE_int32(seconds, 10, "time from the first chunk to the end");

namespace {

using steady = std::chrono::steady_clock;

int connect_to_port()
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(FLAGS_port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    if (fd < 0 || connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

bool send_text(int fd, const std::string& text)
{
    return send(fd, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT) ==
           static_cast<ssize_t>(text.size());
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::string chunk = "1\r\na\r\n";
    std::vector<int> open_connections;
    for (int i = 0; i < FLAGS_connections; ++i) {
        const int fd = connect_to_port();
        const std::string head = "POST " + FLAGS_path + " HTTP/1.1\r\nHost: " + FLAGS_host +
                                 "\r\nRequest-Id: " + FLAGS_prefix + std::to_string(i) +
                                 "\r\nDeadline-Ms: " + std::to_string(FLAGS_deadline_ms) +
                                 "\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk;
        if (fd >= 0 && send_text(fd, head)) {
            open_connections.push_back(fd);
        }
        // A few hundred connections at a time, so that the queue of new channels does not overflow.
        if (i % 50 == 49) {
            std::this_thread::sleep_for(std::chrono::milliseconds{10});
        }
    }
    std::cout << "opened " << open_connections.size() << std::endl;
    const auto end = steady::now() + std::chrono::seconds{FLAGS_seconds};
    while (steady::now() < end) {
        std::this_thread::sleep_for(std::chrono::milliseconds{FLAGS_pause_ms});
        std::erase_if(open_connections, [&](int fd) {
            const bool is_open = send_text(fd, chunk);
            if (!is_open) {
                close(fd);
            }
            return !is_open;
        });
    }
    std::cout << "open at the end " << open_connections.size() << std::endl;
    return 0;
}
