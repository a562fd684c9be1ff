// Ordinary clients, each of which sends one small request after the other, each on a new
// connection. Asks the sidecar once a second whether it is ready. Prints each try, each answer of
// the ready address, and the longest span in which the sidecar said that it was ready and no try
// got an answer.

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <iostream>
#include <mutex>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

#include <gflags/gflags.h>

DEFINE_int32(port, 0, "port of the sidecar's address for requests, on loopback");
DEFINE_int32(ready_port, 0, "port of the sidecar's ready address; 0: it is not asked");
DEFINE_string(host, "h.example", "host header");
DEFINE_string(path, "/", "path of each request");
DEFINE_string(method, "POST", "method of each request; only POST has a body");
DEFINE_string(prefix, "o", "begin of the request ids");
DEFINE_int64(deadline_ms, 2000, "time budget of each request");
DEFINE_int32(clients, 8, "number of clients");
DEFINE_int32(pause_ms, 300, "pause of a client between two tries");
DEFINE_int32(seconds, 10, "time of the tries");

namespace {

using steady = std::chrono::steady_clock;

const steady::time_point start = steady::now();
std::mutex output;

struct event {
    long at_ms = 0;
    bool good = false;
};
std::vector<event> tries;
std::vector<event> checks;

long elapsed_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - start).count();
}

/// Sends the text on a new connection and returns the first line of the answer, or what went wrong.
std::string ask(int port, const std::string& text)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const timeval limit{2, 0};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    std::string result = "not connected";
    if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0) {
        send(fd, text.data(), text.size(), MSG_NOSIGNAL);
        char bytes[2048];
        const auto size = recv(fd, bytes, sizeof(bytes), 0);
        result = size > 0 ? std::string(bytes, static_cast<std::size_t>(size))
                          : std::string("closed without an answer");
        result = result.substr(0, result.find('\r'));
    }
    close(fd);
    return result;
}

void note(std::vector<event>& events, const std::string& name, const std::string& answer, bool good)
{
    const std::lock_guard lock(output);
    events.push_back({elapsed_ms(), good});
    std::cout << elapsed_ms() << " ms: " << name << ": " << answer << "\n";
}

void run_client(int number)
{
    const std::string body = FLAGS_method == "POST" ? "ok" : "";
    for (int i = 0; elapsed_ms() < FLAGS_seconds * 1000; ++i) {
        const std::string id = FLAGS_prefix + std::to_string(number) + "-" + std::to_string(i);
        const auto answer = ask(
            FLAGS_port,
            FLAGS_method + " " + FLAGS_path + " HTTP/1.1\r\nHost: " + FLAGS_host +
                "\r\nRequest-Id: " + id + "\r\nDeadline-Ms: " + std::to_string(FLAGS_deadline_ms) +
                "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        note(tries, id, answer, answer.starts_with("HTTP/1.1 "));
        std::this_thread::sleep_for(std::chrono::milliseconds{FLAGS_pause_ms});
    }
}

void check_readiness()
{
    while (elapsed_ms() < FLAGS_seconds * 1000) {
        const auto answer = ask(FLAGS_ready_port, "GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        note(checks, "ready", answer, answer.starts_with("HTTP/1.1 200"));
        std::this_thread::sleep_for(std::chrono::seconds{1});
    }
}

/// The longest time from one event of a kind that ends a span to the next.
long longest_silence()
{
    std::vector<long> ends{0, elapsed_ms()};
    for (const auto& item : tries) {
        if (item.good) {
            ends.push_back(item.at_ms);
        }
    }
    for (const auto& item : checks) {
        if (!item.good) {
            ends.push_back(item.at_ms);
        }
    }
    std::sort(ends.begin(), ends.end());
    long longest = 0;
    for (std::size_t i = 1; i < ends.size(); ++i) {
        longest = std::max(longest, ends[i] - ends[i - 1]);
    }
    return longest;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::vector<std::thread> threads;
    for (int i = 0; i < FLAGS_clients; ++i) {
        threads.emplace_back(run_client, i);
    }
    if (FLAGS_ready_port != 0) {
        threads.emplace_back(check_readiness);
    }
    for (auto& item : threads) {
        item.join();
    }
    const auto answered =
        std::count_if(tries.begin(), tries.end(), [](const event& item) { return item.good; });
    std::cout << "tries " << tries.size() << " answered " << answered
              << " longest_silence_while_ready_ms " << longest_silence() << std::endl;
    return 0;
}
