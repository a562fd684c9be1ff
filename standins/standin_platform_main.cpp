#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include <gflags/gflags.h>

#include "standins/platform_model.h"

DEFINE_string(store, "", "address of the store");
DEFINE_string(manifest, "", "file with the manifest");
DEFINE_string(targets, "", "comma-separated ADDRESS/CONTROL/SERVICE[/sharded]");
DEFINE_int32(late_heartbeat_ms, 1500, "delay of the last heartbeat of a target that leaves");

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
    result.sharded = parts.size() > 3;
    return result;
}

} // namespace

/// Runs until SIGTERM or SIGINT, then prints the targets' counters of runs and violations as
/// one line. On SIGHUP the first target leaves.
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
    for (const auto& text : split(FLAGS_targets, ',')) {
        targets.push_back(std::make_unique<standin::platform_target>(loop, target_settings(text),
                                                                     history, running_targets));
    }
    loop.on_signal([&] { loop.stop(); });
    loop.on_hangup([&] { targets.front()->leave(milliseconds{FLAGS_late_heartbeat_ms}); });
    std::cout << "listening on " << FLAGS_store << std::endl;
    loop.run();
    std::uint64_t repeated = 0;
    for (const auto& [id, runs] : history.runs) {
        repeated += runs > 1 ? 1 : 0;
    }
    std::cout << "runs=" << history.runs.size() << " repeated=" << repeated
              << " foreign_keys=" << history.misdirected_requests
              << " cut_runs=" << history.cut_runs << " shared_keys=" << history.overlapping_grants
              << " over_slots=" << history.over_limit_requests
              << " lower_fences=" << history.lower_fence_grants << std::endl;
    return 0;
}
