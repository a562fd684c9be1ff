#pragma once

/// Sequences of random faults in a simulated deployment. With long leases, the timeouts of the
/// manifest change at random as well.

#include <cstdint>
#include <string>

#include "tests/sidecar/simulated_cluster.h"

namespace bulrushgw::sidecar::test {

/// Runs without further faults until the deployment must have recovered. Returns the first violated
/// invariant, or how many keys are held if not all of them are; empty: none.
[[nodiscard]] std::string find_problem_after_settling(simulated_cluster& cluster);

/// Each injects a sequence of faults, ends them and returns the problem, if any, as
/// `find_problem_after_settling` does.
[[nodiscard]] std::string run_random_faults(std::uint64_t seed, const cluster_settings& settings);
/// Restarts of nodes beside other faults.
[[nodiscard]] std::string run_restart_faults(std::uint64_t seed, const cluster_settings& settings);
/// Planned stops of leaders beside other faults.
[[nodiscard]] std::string run_transfer_faults(std::uint64_t seed, const cluster_settings& settings);
/// Returns of the store from older copies, up to two in a row, beside losses, planned stops and
/// restarts of leaders or all nodes, and beside other faults.
[[nodiscard]] std::string run_store_return_faults(std::uint64_t seed,
                                                  const cluster_settings& settings);

} // namespace bulrushgw::sidecar::test
