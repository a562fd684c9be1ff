#include "deployment.h"

#include <arpa/inet.h>
#include <array>
#include <csignal>
#include <fcntl.h>
#include <iomanip>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

#include <nlohmann/json.hpp>

namespace bulrushgw::review {

namespace {

using nlohmann::json;

const std::string loopback = "127.0.0.1";

/// The bounds of a small deployment.
json bounds()
{
    return {{"drain_ms", 2000},   {"grace_s", 6},      {"longest_hold_ms", 10000},
            {"retry_ratio", 0.2}, {"retry_slack", 58}, {"retry_window_s", 10}};
}

json settings_of(const machine& at, const net::endpoint& store)
{
    json addresses{{"requests", net::to_string(at.requests)},
                   {"ready", net::to_string(at.ready)},
                   {"control", net::to_string(at.control)},
                   {"inner", net::to_string(at.inner)},
                   {"metrics", net::to_string(at.metrics)}};
    if (at.announced) {
        addresses["announced"] = net::to_string(*at.announced);
    }
    return {{"host", at.host},
            {"zone", at.zone},
            {"region", "nairobi"},
            {"zones", {{"nbo-a", "nairobi"}, {"nbo-b", "nairobi"}, {"nbo-c", "nairobi"}}},
            {"service", at.service},
            {"target", net::to_string(at.target)},
            {"store", net::to_string(store)},
            {"descriptors", 4100},
            {"processor_share", 0.2},
            {"memory_mb", 260},
            {"link_mbps", at.link_mbps},
            {"addresses", addresses},
            {"bounds", bounds()}};
}

} // namespace

record::record(const std::string& file) : start_(boot_clock::now()), file_(file, std::ios::trunc)
{
    if (!file_) {
        throw std::runtime_error("cannot write " + file);
    }
}

milliseconds record::age() const
{
    return std::chrono::duration_cast<milliseconds>(boot_clock::now() - start_);
}

void record::write(const std::string& line)
{
    file_ << std::setw(6) << age().count() << " " << line << std::endl;
}

// The ports are below those that the system gives to outgoing connections, so that no connection
// takes one before its listener is started. Scripts that run at the same time begin at different
// ports.
net::endpoint free_address()
{
    constexpr int first_port = 12000;
    constexpr int blocks = 300;
    constexpr int ports_per_block = 64;
    static int next = first_port + getpid() % blocks * ports_per_block;
    for (int tries = 0; tries < blocks * ports_per_block; ++tries) {
        const auto port = static_cast<std::uint16_t>(next);
        next = next + 1 < first_port + blocks * ports_per_block ? next + 1 : first_port;
        const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        inet_pton(AF_INET, loopback.c_str(), &address.sin_addr);
        const bool is_free =
            bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
        close(descriptor);
        if (is_free) {
            return {loopback, port};
        }
    }
    throw std::runtime_error("no free port");
}

machine make_machine(const std::string& host, const std::string& zone, const std::string& service)
{
    return {host,           zone,           service,        free_address(), free_address(),
            free_address(), free_address(), free_address(), free_address()};
}

sidecar_process::sidecar_process(machine at, const net::endpoint& store, std::string program,
                                 std::string folder)
    : at_(std::move(at)), program_(std::move(program)), folder_(std::move(folder))
{
    std::ofstream file(folder_ + "/" + at_.host + ".json");
    file << settings_of(at_, store).dump(2) << "\n";
}

sidecar_process::~sidecar_process()
{
    if (runs()) {
        signal(SIGKILL);
        waitpid(pid_, nullptr, 0);
    }
}

void sidecar_process::start()
{
    const std::string settings = folder_ + "/" + at_.host + ".json";
    const std::string log = folder_ + "/" + at_.host + ".log";
    pid_ = fork();
    if (pid_ < 0) {
        throw std::runtime_error("cannot start a process");
    }
    if (pid_ == 0) {
        // No sidecar outlives this program.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        // The child keeps no socket of this program.
        constexpr int max_descriptor = 1024;
        for (int descriptor = STDERR_FILENO + 1; descriptor < max_descriptor; ++descriptor) {
            close(descriptor);
        }
        execl(program_.c_str(), program_.c_str(), "sidecar", "--config", settings.c_str(),
              static_cast<char*>(nullptr));
        _exit(127);
    }
}

void sidecar_process::signal(int number) const
{
    if (pid_ > 0) {
        kill(pid_, number);
    }
}

bool sidecar_process::runs()
{
    if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) {
        pid_ = 0;
    }
    return pid_ > 0;
}

} // namespace bulrushgw::review
