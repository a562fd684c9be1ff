#pragma once

/// Plays a load scenario in virtual time with the shipped decisions: the choice of a target, the
/// queue of each target, the allowance for retries and the time that a caller has already waited.
/// Clients, targets, network and the node's message handling are models. The same seed gives the
/// same result.

#include <cstdint>

#include "bench/dispatch_figures.h"
#include "bench/dispatch_scenario.h"
#include "dispatch/slot_policy.h"
#include "dispatch/target_picker.h"

namespace bulrushgw::bench {

/// The decisions that a play uses. An experiment can switch a mechanism off.
struct decision_policy {
    dispatch::slot_policy queue = dispatch::default_slot_policy();
    dispatch::pick_settings picks;
    bool counts_target_refusals = true; ///< as failures of the target
    bool uses_time_spent = true;        ///< for the latency goal of requests that return
};

/// Preconditions: the services and kinds that `scenario` names exist in it.
[[nodiscard]] load_figures play_load(const load_scenario& scenario, const decision_policy& policy,
                                     std::uint64_t seed);

} // namespace bulrushgw::bench
