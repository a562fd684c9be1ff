#pragma once

#include <optional>
#include <string>
#include <unordered_map>

#include "bench/policy_simulation.h"

namespace bulrushgw::bench {

/// One simulated host: a node, which is entry and owner, and its target.
struct simulation::host {
    std::uint64_t generation = 1;
    bool up = true;
    bool silent =
        false; ///< down without breaking the connections to it, so that peers don't notice
    bool frozen = false;     ///< the target does not answer
    bool misreports = false; ///< the target reports a false load
    bool draining = false;
    time_point started;
    std::optional<request::forward_tracker> tracker;
    std::optional<request::admission> admission_queue;
    std::map<std::string, request::retry_budget> budgets;
    std::unordered_map<request::forward_id, std::size_t>
        request_indexes; ///< index of the request of each forward
    std::unordered_map<request::ticket, job> jobs;
    request::ticket next_ticket = 1;
    std::size_t connections = 0; ///< open connections to the target, which are reused
    std::uint64_t ticks = 0;
    double busy_seconds = 0; ///< execution time of the requests started in this minute
};

} // namespace bulrushgw::bench
