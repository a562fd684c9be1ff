// Clients that send requests with small chunked bodies, one behind the other, on many connections,
// and read no answer. Prints how many connections were opened and how many bytes were taken.

#include <arpa/inet.h>
#include <cerrno>
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
DEFINE_string(prefix, "f", "begin of the request ids");
DEFINE_int32(connections, 1, "number of connections");
DEFINE_int32(requests, 100, "number of requests on each connection");
DEFINE_int32(deadline_ms, 2000, "time budget of each request");
DEFINE_int32(seconds, 10, "time from the first request to the end");

namespace {

using steady = std::chrono::steady_clock;

struct connection {
    int fd = -1;
    std::string unsent;
};

int connect_to_port()
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(FLAGS_port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    // Without a small buffer, the kernel would keep megabytes for each client of the test.
    const int send_buffer = 16384;
    setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &send_buffer, sizeof(send_buffer));
    if (fd < 0 || connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

std::string requests_of(int number)
{
    std::string result;
    for (int i = 0; i < FLAGS_requests; ++i) {
        result += "POST " + FLAGS_path + " HTTP/1.1\r\nHost: " + FLAGS_host +
                  "\r\nRequest-Id: " + FLAGS_prefix + std::to_string(number) + "-" +
                  std::to_string(i) + "\r\nDeadline-Ms: " + std::to_string(FLAGS_deadline_ms) +
                  "\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n4\r\nbody\r\n0\r\n\r\n";
    }
    return result;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::vector<connection> open_connections;
    std::size_t opened = 0;
    std::size_t sent_bytes = 0;
    for (int i = 0; i < FLAGS_connections; ++i) {
        const int fd = connect_to_port();
        if (fd >= 0) {
            open_connections.push_back({fd, requests_of(i)});
            ++opened;
        }
        if (i % 50 == 49) {
            std::this_thread::sleep_for(std::chrono::milliseconds{10});
        }
    }
    std::cout << "opened " << opened << std::endl;
    const auto end = steady::now() + std::chrono::seconds{FLAGS_seconds};
    while (steady::now() < end) {
        std::erase_if(open_connections, [&](connection& item) {
            const auto size =
                send(item.fd, item.unsent.data(), item.unsent.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
            if (size < 0 && errno != EAGAIN) {
                close(item.fd);
                return true;
            }
            if (size > 0) {
                sent_bytes += static_cast<std::size_t>(size);
                item.unsent.erase(0, static_cast<std::size_t>(size));
            }
            return false;
        });
        std::this_thread::sleep_for(std::chrono::milliseconds{50});
    }
    std::cout << "open at the end " << open_connections.size() << ", sent " << sent_bytes / 1024
              << " KiB" << std::endl;
    return 0;
}
