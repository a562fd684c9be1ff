// A client that sends safe requests one behind the other on one connection, and reads the answers
// at a limited rate. Prints what it sent, each complete answer, and how the connection ended.
// Exits with 0 in any case in which the connection was established.

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include <gflags/gflags.h>

DEFINE_int32(port, 0, "port of the sidecar's address for requests, on loopback");
DEFINE_string(host, "h.example", "host header");
DEFINE_string(path, "/", "path of each request");
DEFINE_string(prefix, "r", "begin of the request ids");
DEFINE_int32(requests, 1, "number of requests");
DEFINE_int32(deadline_ms, 25000, "time budget of each request");
DEFINE_int32(bytes_per_s, 0, "rate of reading; 0: as fast as possible");
DEFINE_int32(receive_buffer, 16384, "size of the socket's receive buffer");

namespace {

using steady = std::chrono::steady_clock;

const steady::time_point start = steady::now();

long elapsed_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - start).count();
}

/// The value of a header of the head, or an empty text. Names are in lower case.
std::string header_value(const std::string& head, const std::string& name)
{
    const auto at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos) {
        return "";
    }
    const auto begin = at + name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

/// Prints and removes the complete answers at the start of `input`. Returns their number.
int take_answers(std::string& input)
{
    int count = 0;
    for (;;) {
        const auto end = input.find("\r\n\r\n");
        if (end == std::string::npos) {
            return count;
        }
        const std::string head = input.substr(0, end + 2);
        const auto length = std::strtoul(header_value(head, "content-length").c_str(), nullptr, 10);
        if (input.size() < end + 4 + length) {
            return count;
        }
        std::cout << "answered " << header_value(head, "request-id") << " " << head.substr(9, 3)
                  << " " << length << " bytes at " << elapsed_ms() << " ms" << std::endl;
        input.erase(0, end + 4 + length);
        ++count;
    }
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &FLAGS_receive_buffer, sizeof(FLAGS_receive_buffer));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(FLAGS_port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
        std::cout << "not connected: " << std::strerror(errno) << std::endl;
        return 2;
    }
    std::string requests;
    for (int i = 0; i < FLAGS_requests; ++i) {
        const std::string id = FLAGS_prefix + std::to_string(i);
        requests += "GET " + FLAGS_path + " HTTP/1.1\r\nHost: " + FLAGS_host +
                    "\r\nRequest-Id: " + id +
                    "\r\nDeadline-Ms: " + std::to_string(FLAGS_deadline_ms) + "\r\n\r\n";
        std::cout << "sent " << id << "\n";
    }
    if (write(fd, requests.data(), requests.size()) != static_cast<ssize_t>(requests.size())) {
        std::cout << "not sent: " << std::strerror(errno) << std::endl;
        return 2;
    }
    std::cout << "all sent at " << elapsed_ms() << " ms" << std::endl;
    std::string input;
    char bytes[4096];
    long total = 0;
    int answers = 0;
    while (answers < FLAGS_requests) {
        const auto size = read(fd, bytes, sizeof(bytes));
        if (size <= 0) {
            std::cout << "channel ended at " << elapsed_ms() << " ms ("
                      << (size == 0 ? "closed" : std::strerror(errno)) << ") after " << answers
                      << " complete answers and " << input.size() << " bytes of the next"
                      << std::endl;
            return 0;
        }
        total += size;
        input.append(bytes, static_cast<std::size_t>(size));
        answers += take_answers(input);
        if (FLAGS_bytes_per_s > 0) {
            std::this_thread::sleep_until(
                start + std::chrono::microseconds{total * 1000000 / FLAGS_bytes_per_s});
        }
    }
    std::cout << "all answered at " << elapsed_ms() << " ms" << std::endl;
    return 0;
}
