#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include <gflags/gflags.h>

#include "standins/platform_model.h"

DEFINE_string(store, "", "address of the store");
DEFINE_string(manifest, "", "file with the manifest");
DEFINE_string(targets, "", "comma-separated ADDRESS/CONTROL/SERVICE[/sharded][/zone=ZONE]");
DEFINE_int32(warm_up_ms, 0, "time for which the targets warm up after their start");
DEFINE_int32(late_heartbeat_ms, 1500, "delay of the last heartbeat of a target that leaves");
DEFINE_string(on_hangup, "leave",
              "what the first target does on SIGHUP: leave, or restart under a new or the same id: "
              "new, same");
DEFINE_int32(down_ms, 100, "time between the end of a target and its restart");
DEFINE_int32(first_heartbeat_ms, 300, "delay of the first heartbeat of a target");
DEFINE_int32(execution_ms, 20, "time that a target takes for a request");
DEFINE_uint32(answer_bytes, 0, "minimum size of the body of an answer");
DEFINE_string(runs, "", "file to which the ids of the requests that ran are written at the end");

namespace {

using namespace bulrushgw;

std::vector<std::string> split(const std::string& text, char by)
{
    std::vector<std::string> parts;
    std::istringstream input(text);
    for (std::string part; std::getline(input, part, by);) {
        parts.push_back(part);
    }
    return parts;
}

standin::platform_target_settings target_settings(const std::string& text)
{
    const auto parts = split(text, '/');
    standin::platform_target_settings result;
    result.address = net::parse_endpoint(parts.at(0));
    result.control = net::parse_endpoint(parts.at(1));
    result.service = parts.at(2);
    result.execution_time = milliseconds{FLAGS_execution_ms};
    result.answer_bytes = FLAGS_answer_bytes;
    const std::string zone_option = "zone=";
    for (std::size_t i = 3; i < parts.size(); ++i) {
        if (parts[i].starts_with(zone_option)) {
            result.zone = parts[i].substr(zone_option.size());
        }
        else {
            result.sharded = result.sharded || parts[i] == "sharded";
        }
    }
    result.warm_up = milliseconds{FLAGS_warm_up_ms};
    result.first_heartbeat = milliseconds{FLAGS_first_heartbeat_ms};
    return result;
}

} // namespace

/// Runs until SIGTERM or SIGINT, then prints the targets' counters of runs and violations as
/// one line. On SIGHUP the first target leaves or restarts.
int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    net::loop loop;
    std::ifstream file(FLAGS_manifest);
    std::ostringstream manifest;
    manifest << file.rdbuf();
    const standin::platform_store store(loop, net::parse_endpoint(FLAGS_store), manifest.str());
    standin::platform_history history;
    std::vector<standin::platform_target*> running_targets;
    std::vector<std::unique_ptr<standin::platform_target>> targets;
    const auto start_target = [&](const std::string& text, std::string id = {}) {
        auto settings = target_settings(text);
        settings.id = std::move(id);
        settings.evacuated_since = [&store, zone = settings.zone] {
            return store.evacuated_since(zone);
        };
        return std::make_unique<standin::platform_target>(loop, std::move(settings), history,
                                                          running_targets);
    };
    const auto target_texts = split(FLAGS_targets, ',');
    std::transform(target_texts.begin(), target_texts.end(), std::back_inserter(targets),
                   [&](const std::string& text) { return start_target(text); });
    const auto restart = [&] {
        targets.front().reset();
        loop.after(milliseconds{FLAGS_down_ms}, [&] {
            const bool has_new_id = FLAGS_on_hangup == "new";
            targets.front() = start_target(
                target_texts.front(),
                has_new_id ? "i-run-" + std::to_string(history.target_runs + 1) : std::string{});
        });
    };
    loop.on_signal([&] { loop.stop(); });
    loop.on_hangup([&] {
        if (FLAGS_on_hangup == "leave") {
            targets.front()->leave(milliseconds{FLAGS_late_heartbeat_ms});
        }
        else {
            restart();
        }
    });
    std::cout << "listening on " << FLAGS_store << std::endl;
    loop.run();
    if (!FLAGS_runs.empty()) {
        std::ofstream out(FLAGS_runs);
        for (const auto& [id, runs] : history.runs) {
            out << id << "\n";
        }
    }
    std::uint64_t repeated = 0;
    for (const auto& [id, runs] : history.runs) {
        repeated += runs > 1 ? 1 : 0;
    }
    std::cout << "runs=" << history.runs.size() << " cold_second=" << history.highest_cold_arrivals
              << " repeated=" << repeated << " foreign_keys=" << history.misdirected_requests
              << " cut_runs=" << history.cut_runs
              << " reused_fences=" << history.reused_fence_grants
              << " shared_keys=" << history.overlapping_grants
              << " over_slots=" << history.over_limit_requests
              << " lower_fences=" << history.lower_fence_grants
              << " late_evacuated=" << history.late_evacuated_runs << std::endl;
    return 0;
}
