#pragma once

/// Plays a load scenario in virtual time with the shipped decisions: the choice of a target, the
/// queue of each target, the allowance for retries and the time that a caller has already waited.
/// Clients, targets, network and the node's message handling are models. The same seed gives the
/// same result.

#include <cstdint>
#include <map>
#include <string>

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

/// What became of the requests of one kind that clients sent.
struct kind_figures {
    std::uint64_t asked = 0;
    std::uint64_t in_aim = 0;
    std::uint64_t late = 0;
    std::uint64_t refused = 0;
    std::uint64_t refused_again = 0; ///< returned after a refusal and was refused again
    std::uint64_t failed = 0;        ///< a call of its run failed, or no answer in time
};

/// What the entries of one availability zone did for clients.
struct zone_figures {
    std::uint64_t answered_in_aim = 0;
    std::uint64_t ended = 0;         ///< requests of clients, with any outcome
    std::uint64_t sent = 0;          ///< to targets, also for calls of runs
    std::uint64_t sent_to_other = 0; ///< part of `sent` that left the zone
};

struct load_figures {
    double worth_owed = 0;
    double worth_earned = 0;
    std::map<std::string, kind_figures> kinds;
    std::map<std::size_t, zone_figures> zones;

    [[nodiscard]] double worth_share() const;
    /// Share of the requests of clients that were answered, in time or late.
    [[nodiscard]] double served_share() const;
    /// -log10 of the share that was not answered.
    [[nodiscard]] double nines() const;
};

/// Preconditions: the services and kinds that `scenario` names exist in it.
[[nodiscard]] load_figures play_load(const load_scenario& scenario, const decision_policy& policy,
                                     std::uint64_t seed);

} // namespace bulrushgw::bench
