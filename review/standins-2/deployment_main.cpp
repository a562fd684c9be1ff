// The platform's store and the endpoints of a small deployment, built from the project's model of
// the platform. On SIGTERM it writes one line "ran ID TIMES" for each request that an endpoint ran.

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
DEFINE_int32(execution_ms, 20, "time that an endpoint takes for a request");
DEFINE_uint32(answer_bytes, 0, "minimum size of the body of an answer");
DEFINE_string(runs, "", "file for the requests that ran");

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

standin::platform_target_settings endpoint_settings(const std::string& text)
{
    const auto parts = split(text, '/');
    standin::platform_target_settings result;
    result.address = net::parse_endpoint(parts.at(0));
    result.control = net::parse_endpoint(parts.at(1));
    result.service = parts.at(2);
    result.sharded = parts.size() > 3 && parts[3] == "sharded";
    result.execution_time = milliseconds{FLAGS_execution_ms};
    result.answer_bytes = FLAGS_answer_bytes;
    return result;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    net::loop loop;
    std::ifstream file(FLAGS_manifest);
    std::ostringstream manifest;
    manifest << file.rdbuf();
    const standin::platform_store store(loop, net::parse_endpoint(FLAGS_store), manifest.str());
    standin::platform_history history;
    std::vector<standin::platform_target*> running_endpoints;
    std::vector<std::unique_ptr<standin::platform_target>> endpoints;
    for (const auto& text : split(FLAGS_targets, ',')) {
        endpoints.push_back(std::make_unique<standin::platform_target>(
            loop, endpoint_settings(text), history, running_endpoints));
    }
    loop.on_signal([&] { loop.stop(); });
    loop.run();
    std::ofstream runs(FLAGS_runs);
    for (const auto& [id, times] : history.runs) {
        runs << "ran " << id << " " << times << "\n";
    }
    return 0;
}
