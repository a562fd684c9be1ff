#pragma once

#include <optional>
#include <string>
#include <unordered_map>

#include "bench/policy_simulation.h"

namespace bulrushgw::bench {

/// One host: its node as entry and owner, and its target.
struct simulation::host {
    std::uint64_t generation = 1;
    bool up = true;
    bool silent = false; ///< not up, and connections to it did not break
    bool frozen = false;
    bool misreports = false;
    bool draining = false;
    time_point started;
    std::optional<request::forward_tracker> tracker;
    std::optional<request::admission> gate;
    std::map<std::string, request::retry_budget> budgets;
    std::unordered_map<request::forward_id, std::size_t> entered; ///< requests by forward
    std::unordered_map<request::ticket, job> jobs;
    request::ticket next_ticket = 1;
    std::size_t connections = 0; ///< opened to the target and kept
    std::uint64_t ticks = 0;
    double busy_seconds = 0; ///< work in this minute
};

} // namespace bulrushgw::bench
