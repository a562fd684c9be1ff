/// Compares the cost of forwarded requests with direct requests to the same target.
/// `scripts/bench.sh forward` starts the processes that are measured.

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include <unistd.h>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include "common/errors.h"
#include "net/http.h"
#include "net/loop.h"

DEFINE_string(direct, "", "Address of the target");
DEFINE_string(local, "", "Client address of the node on the target's host");
DEFINE_string(remote, "", "Client address of another node");
DEFINE_string(path, "", "Path of an idempotent request whose key the target owns");
DEFINE_int32(local_pid, 0, "Process id of the node on the target's host");
DEFINE_int32(remote_pid, 0, "Process id of the other node");
DEFINE_int32(target_pid, 0, "Process id of the target");
DEFINE_int32(requests, 4000, "Sequential requests of each latency measurement");
DEFINE_int32(load_requests, 40000, "Requests of each throughput measurement");
DEFINE_int32(concurrency, 48, "Concurrent requests of each throughput measurement");
DEFINE_bool(json, false, "Print JSON");

namespace {

using namespace bulrushgw;

constexpr std::size_t max_connections = 64;
constexpr std::size_t max_response_bytes = 64 * 1024;
constexpr milliseconds request_timeout{5000};
constexpr milliseconds measurement_timeout{60000};

struct measurement {
    std::string name;
    double p50_us = 0;
    double p99_us = 0;
    double requests_per_second = 0;
    std::size_t failed = 0;
    // Processor time per request in the throughput measurement.
    double local_cpu_us = 0;
    double remote_cpu_us = 0;
    double target_cpu_us = 0;
};

/// User and system time of a process; 0 if `pid` is 0.
double cpu_seconds(int pid)
{
    if (pid == 0) {
        return 0;
    }
    std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
    std::string line;
    std::getline(in, line);
    // Skips the process id and the command name, which may contain spaces.
    std::istringstream fields(line.substr(line.rfind(')') + 2));
    std::string skipped;
    constexpr int fields_before_user_time = 11;
    for (int i = 0; i < fields_before_user_time; ++i) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

class load_generator {
public:
    load_generator(net::loop& loop, net::endpoint address)
        : loop_(loop), address_(std::move(address)),
          client_(loop, max_connections, max_response_bytes)
    {
    }

    /// Sends `count` requests with `concurrency` in flight and returns the
    /// latencies in microseconds, ascending.
    std::vector<double> run(int count, int concurrency)
    {
        unsent_ = count;
        finished_ = 0;
        failed_ = 0;
        latencies_.clear();
        for (int i = 0; i < concurrency && unsent_ > 0; ++i) {
            send();
        }
        if (!loop_.run_until([this, count] { return finished_ == count; }, measurement_timeout)) {
            throw error("the measurement did not finish within its time limit");
        }
        std::sort(latencies_.begin(), latencies_.end());
        return latencies_;
    }

    [[nodiscard]] std::size_t failed() const { return failed_; }

private:
    void send()
    {
        --unsent_;
        net::http_request request;
        request.method = "GET";
        request.path = FLAGS_path;
        request.headers = {{"Bulrush-Request-Id", "bench-" + std::to_string(++number_)}};
        client_.send(address_, request, request_timeout,
                     [this, started = loop_.now()](const net::http_result& result) {
                         finish(started, result);
                     });
    }

    void finish(time_point started, const net::http_result& result)
    {
        const bool succeeded = result.response && result.response->status == 200;
        failed_ += succeeded ? 0 : 1;
        latencies_.push_back(
            std::chrono::duration<double, std::micro>(loop_.now() - started).count());
        ++finished_;
        if (unsent_ > 0) {
            send();
        }
    }

    net::loop& loop_;
    net::endpoint address_;
    net::http_client client_;
    std::vector<double> latencies_;
    int unsent_ = 0;
    int finished_ = 0;
    std::size_t failed_ = 0;
    std::uint64_t number_ = 0;
};

measurement measure_path(net::loop& loop, const std::string& name, const std::string& address)
{
    constexpr int warm_up_requests = 500;
    constexpr double p50 = 0.5;
    constexpr double p99 = 0.99;
    constexpr double micro = 1e6;
    load_generator requests(loop, net::parse_endpoint(address));
    requests.run(warm_up_requests, 1);
    measurement out;
    out.name = name;
    const auto latencies = requests.run(FLAGS_requests, 1);
    const auto at = [&latencies](double share) {
        const double last = static_cast<double>(latencies.size()) - 1;
        return latencies[static_cast<std::size_t>(share * last)];
    };
    out.p50_us = at(p50);
    out.p99_us = at(p99);
    out.failed = requests.failed();
    requests.run(warm_up_requests, FLAGS_concurrency);
    const double local = cpu_seconds(FLAGS_local_pid);
    const double remote = cpu_seconds(FLAGS_remote_pid);
    const double target = cpu_seconds(FLAGS_target_pid);
    const time_point started = loop.now();
    requests.run(FLAGS_load_requests, FLAGS_concurrency);
    const double seconds = std::chrono::duration<double>(loop.now() - started).count();
    out.failed += requests.failed();
    const double count = FLAGS_load_requests;
    out.requests_per_second = count / seconds;
    out.local_cpu_us = (cpu_seconds(FLAGS_local_pid) - local) / count * micro;
    out.remote_cpu_us = (cpu_seconds(FLAGS_remote_pid) - remote) / count * micro;
    out.target_cpu_us = (cpu_seconds(FLAGS_target_pid) - target) / count * micro;
    return out;
}

void print_table(const std::vector<measurement>& measures)
{
    std::printf("%-24s %9s %9s %9s %7s %12s %12s %14s\n", "way", "p50 us", "p99 us", "req/s",
                "failed", "node cpu us", "entry cpu us", "target cpu us");
    for (const auto& row : measures) {
        std::printf("%-24s %9.0f %9.0f %9.0f %7zu %12.1f %12.1f %14.1f\n", row.name.c_str(),
                    row.p50_us, row.p99_us, row.requests_per_second, row.failed, row.local_cpu_us,
                    row.remote_cpu_us, row.target_cpu_us);
    }
    const auto& direct = measures.front();
    for (std::size_t i = 1; i < measures.size(); ++i) {
        std::printf("%s to direct: p50 x%.2f (hop %.0f us), p99 x%.2f\n", measures[i].name.c_str(),
                    measures[i].p50_us / direct.p50_us, measures[i].p50_us - direct.p50_us,
                    measures[i].p99_us / direct.p99_us);
    }
}

void print_json(const std::vector<measurement>& measures)
{
    auto rows = nlohmann::json::array();
    for (const auto& row : measures) {
        rows.push_back({{"way", row.name},
                        {"p50_us", row.p50_us},
                        {"p99_us", row.p99_us},
                        {"requests_per_second", row.requests_per_second},
                        {"failed", row.failed},
                        {"node_cpu_us", row.local_cpu_us},
                        {"entry_cpu_us", row.remote_cpu_us},
                        {"target_cpu_us", row.target_cpu_us}});
    }
    std::cout << rows.dump(2) << '\n';
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        net::loop loop;
        const std::vector<measurement> measures{
            measure_path(loop, "direct", FLAGS_direct),
            measure_path(loop, "node beside the target", FLAGS_local),
            measure_path(loop, "through another node", FLAGS_remote)};
        if (FLAGS_json) {
            print_json(measures);
        }
        else {
            print_table(measures);
        }
        return 0;
    }
    catch (const std::exception& failure) {
        std::cerr << "forward: " << failure.what() << '\n';
        return 2;
    }
}
