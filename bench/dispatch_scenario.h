#pragma once

/// Load scenarios of the dispatch benchmark: services with targets of differing speed, kinds of
/// requests with the calls that their runs make, and faults of targets at set times.

#include <cstdint>
#include <string>
#include <vector>

#include "common/boot_clock.h"

namespace bulrushgw::bench {

/// Calls that a run makes through the system while it runs. If one fails, the run fails.
struct nested_call {
    std::string kind;
    int times = 1;
    double share = 1; ///< share of the runs that make the calls
};

struct load_kind {
    std::string name;
    std::string service;
    std::uint32_t rank = 0;   ///< 0 is the most urgent
    double worth = 0;         ///< of an answer in time
    double late_worth = 0;    ///< part of `worth` that a late answer has
    double per_s = 0;         ///< requests of clients per second; 0: only called by runs
    milliseconds work{0};     ///< mean
    double work_spread = 0.5; ///< standard deviation of the logarithm of the work time
    milliseconds aim{0};
    milliseconds deadline{0};
    int client_retries = 0; ///< how often a client returns after a refusal
    std::vector<nested_call> calls;
    std::size_t body_bytes = 0; ///< mean; 0: no body
};

struct load_service {
    std::string name;
    std::vector<double> speeds; ///< one target each
    std::uint32_t slots = 1;
    std::vector<double> link_mbps = {}; ///< of the target's host; empty: unlimited
};

enum class target_fault {
    slow, ///< runs take `strength` times as long
    shed, ///< the target rejects this share of its requests itself
    stop, ///< the target takes no requests
    /// The link of the target's host transfers nothing. What was sent meanwhile arrives at the end,
    /// unless the request was cancelled.
    silence,
};

struct fault_window {
    target_fault kind = target_fault::slow;
    std::string service;
    std::size_t target = 0; ///< index within the service
    milliseconds from{0};
    milliseconds to{0};
    double strength = 1;
};

struct load_scenario {
    std::string name;
    std::vector<load_service> services;
    std::vector<load_kind> kinds;
    std::vector<fault_window> faults;
    std::size_t entries = 0; ///< hosts that receive requests of clients; 0: one for each target
    milliseconds length{30000};
};

/// All scenarios, by name.
[[nodiscard]] std::vector<load_scenario> load_scenarios();

} // namespace bulrushgw::bench
