/// Measures the unavailable time caused by each fault, and the control cost as a function of the
/// number of nodes, in virtual time.

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include "fakes/driver.h"
#include "fakes/faults.h"
#include "fakes/random_run.h"
#include "fakes/recovery.h"
#include "fakes/store_lease.h"

DEFINE_bool(json, false, "print one JSON object");
DEFINE_uint32(runs, 60, "number of runs for each fault, each with its own seed");
DEFINE_string(nodes, "10,30,100,300",
              "comma-separated numbers of nodes to measure the control cost with");
DEFINE_uint32(seconds, 20, "virtual seconds of steady state for the control cost");

namespace {

using namespace bulrushgw;
using namespace bulrushgw::fakes;

struct measured_fault {
    const char* name;
    fault_kind kind;
    milliseconds span;
};

constexpr milliseconds join_time{8000};
constexpr milliseconds outage{10'000};

constexpr std::array measured_faults{
    measured_fault{"process killed", fault_kind::process_killed, milliseconds{6000}},
    measured_fault{"process paused", fault_kind::process_paused, milliseconds{6000}},
    measured_fault{"partition both ways", fault_kind::cut_both, milliseconds{6000}},
    measured_fault{"partition inward", fault_kind::cut_in, milliseconds{6000}},
    measured_fault{"partition outward", fault_kind::cut_out, milliseconds{6000}},
    measured_fault{"target frozen", fault_kind::target_frozen, milliseconds{6000}},
    measured_fault{"availability zone lost", fault_kind::zone_lost, milliseconds{6000}},
    measured_fault{"availability zone cut off", fault_kind::zone_cut, milliseconds{6000}},
    measured_fault{"planned stop", fault_kind::planned_leave, milliseconds{20'000}},
};

struct unavailable_times {
    std::vector<milliseconds> values;
    std::size_t double_owners = 0;
    [[nodiscard]] nlohmann::json json() const
    {
        std::vector<milliseconds> sorted = values;
        std::sort(sorted.begin(), sorted.end());
        return {{"p50_ms", sorted[sorted.size() / 2].count()},
                {"worst_ms", sorted.back().count()},
                {"runs", sorted.size()},
                {"double_owners", double_owners}};
    }
};

/// Measures the unavailable time of the worst range in each run.
unavailable_times measure_fault(const measured_fault& fault, bool store_down)
{
    unavailable_times result;
    for (std::uint32_t run = 0; run < FLAGS_runs; ++run) {
        driver_settings settings;
        settings.seed = run + 1;
        settings.hosts = 9;
        settings.ranges = 18;
        settings.longest_work = milliseconds{40};
        driver world(settings);
        for (std::size_t host = 0; host < settings.hosts; ++host) {
            world.start(host);
        }
        world.run_for(join_time + milliseconds{world.draw(200)});
        if (store_down) {
            inject(world, {fault_kind::store_down, 0, 0, outage});
            world.run_for(milliseconds{1000});
        }
        const true_time begin = world.now();
        inject(world, {fault.kind, run % settings.hosts, 0, fault.span});
        world.run_for(milliseconds{5000});
        const true_time end = world.now();
        const history& record = world.finish();
        result.values.push_back(longest_gap(record, begin, end));
        for (const violation& found : check(record)) {
            result.double_owners += found.kind == violation_kind::two_owners ? 1 : 0;
        }
    }
    return result;
}

/// Calculates the unavailable time for leases in the store (way A of the design page). Two times
/// are evenly distributed over the runs: from the last renewal to the loss, and from the end of the
/// promise to the next read.
nlohmann::json measure_store_lease(bool store_down)
{
    const store_lease_times lease;
    unavailable_times result;
    for (std::uint32_t run = 0; run < FLAGS_runs; ++run) {
        const milliseconds after{run * lease.renewal.count() / FLAGS_runs};
        const milliseconds watch{run * 7 % FLAGS_runs * lease.watch.count() / FLAGS_runs};
        const milliseconds left = store_down ? outage - milliseconds{1000} : milliseconds{0};
        result.values.push_back(store_lease_takeover(lease, after, watch, left));
    }
    return result.json();
}

double resident_mb()
{
    std::ifstream status("/proc/self/status");
    std::string word;
    while (status >> word) {
        if (word == "VmRSS:") {
            double kilobytes = 0;
            status >> kilobytes;
            return kilobytes / 1024;
        }
    }
    return 0;
}

nlohmann::json measure_cost(std::size_t nodes)
{
    const double memory_before = resident_mb();
    driver_settings settings;
    settings.hosts = nodes;
    settings.ranges = 64;
    settings.observe = false;
    driver world(settings);
    for (std::size_t host = 0; host < nodes; ++host) {
        world.start(host);
    }
    constexpr milliseconds settle{30'000};
    world.run_for(settle);
    const auto traffic_before = world.traffic();
    const auto store_before = world.store().counters();
    const std::clock_t cpu_clock_before = std::clock();
    world.run_for(milliseconds{FLAGS_seconds * 1000});
    const double cpu_seconds =
        static_cast<double>(std::clock() - cpu_clock_before) / static_cast<double>(CLOCKS_PER_SEC);
    const double seconds = FLAGS_seconds;
    const double node_seconds = seconds * static_cast<double>(nodes);
    const auto& store_after = world.store().counters();
    return {
        {"nodes", nodes},
        {"all_served", world.all_served()},
        {"store_writes_per_s",
         static_cast<double>(store_after.writes - store_before.writes) / seconds},
        {"store_reads_per_s",
         static_cast<double>(store_after.reads - store_before.reads) / seconds},
        {"way_a_store_writes_per_s", store_lease_writes({}, nodes)},
        {"control_messages_per_node_s",
         static_cast<double>(world.traffic().messages - traffic_before.messages) / node_seconds},
        {"control_bytes_per_node_s",
         static_cast<double>(world.traffic().bytes - traffic_before.bytes) / node_seconds},
        {"core_percent_per_node", 100 * cpu_seconds / node_seconds},
        {"memory_mb_per_node", (resident_mb() - memory_before) / static_cast<double>(nodes)}};
}

std::vector<std::size_t> node_counts()
{
    std::vector<std::size_t> counts;
    std::string text = FLAGS_nodes;
    for (std::size_t at = 0; at < text.size();) {
        const std::size_t comma = std::min(text.find(',', at), text.size());
        counts.push_back(std::stoul(text.substr(at, comma - at)));
        at = comma + 1;
    }
    return counts;
}

/// Growth of each figure per additional node, between the first and the last number of nodes.
nlohmann::json slopes(const nlohmann::json& costs)
{
    nlohmann::json result;
    const auto& first = costs.front();
    const auto& last = costs.back();
    const double nodes = last["nodes"].get<double>() - first["nodes"].get<double>();
    for (const auto& [key, value] : last.items()) {
        if (value.is_number_float() && nodes > 0) {
            result[key] = (value.get<double>() - first[key].get<double>()) / nodes;
        }
    }
    return result;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    nlohmann::json report;
    for (const bool store_down : {false, true}) {
        auto& group = report["unavailable"][store_down ? "store_down" : "store_up"];
        for (const measured_fault& fault : measured_faults) {
            group[fault.name] = measure_fault(fault, store_down).json();
        }
        group["way A, process killed"] = measure_store_lease(store_down);
    }
    report["unavailable"]["way A, store outage of 10 s without a loss_ms"] =
        store_lease_outage({}, outage).count();
    for (const std::size_t nodes : node_counts()) {
        report["cost"].push_back(measure_cost(nodes));
    }
    report["slopes_per_node"] = slopes(report["cost"]);
    std::cout << report.dump(FLAGS_json ? -1 : 2) << "\n";
}
