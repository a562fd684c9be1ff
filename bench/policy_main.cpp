// Measures the policy for placement, admission and retries in virtual time.

#include <cstdio>

#include <gflags/gflags.h>

#include "bench/policy_report.h"

DEFINE_bool(json, false, "print JSON for programs instead of a table");
DEFINE_uint64(seed, 1, "seed of the workload and of all random choices");
DEFINE_int32(minutes, 30, "virtual length of the day, 6 to 240 minutes");
DEFINE_double(load, 1.0, "factor on the offered load, 0.1 to 3");
DEFINE_string(deployment, "", "only this one: ladderdesk or hima-kalapu");

int main(int argc, char** argv)
{
    using namespace bulrushgw::bench;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_minutes < 6 || FLAGS_minutes > 240 || FLAGS_load < 0.1 || FLAGS_load > 3) {
        std::fputs("policy: --minutes must be 6 to 240 and --load 0.1 to 3\n", stderr);
        return 2;
    }
    simulation_settings settings;
    settings.length = std::chrono::minutes{FLAGS_minutes};
    settings.seed = FLAGS_seed;
    settings.load_factor = FLAGS_load;
    const auto report = measure(settings, FLAGS_deployment);
    std::fputs((FLAGS_json ? to_json(report) : to_table(report)).c_str(), stdout);
    return 0;
}
