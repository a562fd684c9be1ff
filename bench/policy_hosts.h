#pragma once

#include <optional>
#include <string>
#include <unordered_map>

#include "bench/policy_simulation.h"

namespace bulrushgw::bench {

/// One simulated host with a node and its target. The node acts as both entry and owner.
struct simulation::host {
    std::uint64_t generation = 1;
    bool up = true;
    bool silent = false; ///< the host is down, but peers don't notice because their connections to
                         ///< it stay open
    bool frozen = false; ///< the target does not answer
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
    std::size_t connections = 0; ///< open connections to the target; new requests reuse them
    std::uint64_t ticks = 0;
    double busy_seconds = 0; ///< execution time of the requests started in this minute
};

} // namespace bulrushgw::bench
