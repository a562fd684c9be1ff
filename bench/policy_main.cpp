/// Compares policies for placement, admission and retries in virtual time.

#include <cstdio>

#include <gflags/gflags.h>

#include "bench/policy_report.h"

DEFINE_bool(json, false, "print JSON instead of a table");
DEFINE_uint64(seed, 1, "seed of the workload and of all random choices");
DEFINE_int32(minutes, 30, "length of the simulated day in virtual minutes, 6 to 240");
DEFINE_double(load, 1.0, "factor applied to the offered load, 0.1 to 3");
DEFINE_string(deployment, "", "deployment to run, ladderdesk or hima-kalapu; empty runs all");

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
    const auto report = run_policies(settings, FLAGS_deployment);
    std::fputs((FLAGS_json ? to_json(report) : to_table(report)).c_str(), stdout);
    return 0;
}
