#pragma once

/// Runs all policies and formats their figures.

#include <string>
#include <vector>

#include "bench/policy_simulation.h"
#include "bench/spread_bytes.h"

namespace bulrushgw::bench {

struct policy_result {
    std::string deployment;
    std::string policy;
    simulation_figures figures;
};

struct policy_report {
    simulation_settings settings;
    std::vector<policy_result> results;
    std::vector<spread_figures> spread;
};

/// `deployment_name`: name of one deployment, or empty for all.
policy_report run_policies(const simulation_settings& settings, const std::string& deployment_name);

/// `to_table` and `to_json` give the same figures.
std::string to_table(const policy_report& report);
std::string to_json(const policy_report& report);

} // namespace bulrushgw::bench
