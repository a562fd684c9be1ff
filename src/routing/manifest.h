#pragma once

/// The routes, services and limits that operators put in force as one document.

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "common/boot_clock.h"
#include "common/errors.h"

namespace bulrushgw::routing {

/// A manifest that cannot be parsed or contradicts itself.
struct manifest_error : error {
    using error::error;
};

/// One destination of a route and its weight among the destinations.
struct destination {
    std::string service;
    std::uint32_t weight = 1;
};

struct route {
    std::string name;
    std::string host;
    std::string prefix;                    ///< begins and ends with a slash
    bool idempotent = false;               ///< the request may run more than once
    milliseconds timeout{0};               ///< limit on the time that a client waits; 0: none
    milliseconds aim{0};                   ///< latency goal: slower answers are worth less; 0: none
    std::uint32_t attempts = 1;            ///< number of targets to which one request may be sent
    std::uint32_t rank = 0;                ///< 0 is the most urgent
    std::vector<destination> destinations; ///< at least one; all weights are above 0
    std::vector<std::string> regions;      ///< where requests may run; empty: any
    bool no_region_allowed = false;        ///< the manifest's lists of regions have none in common
};

struct service {
    std::string name;
    std::string health_path;
    std::uint32_t max_connections = 0; ///< per target, from all callers; 0: not specified
    bool sharded = false;              ///< keys are assigned to targets
    milliseconds warm_up{0}; ///< time for which a target is slow if it starts without a handover
    /// Requests per second that a target tolerates while it is cold; 0: not limited.
    double cold_requests_per_s = 0;
    milliseconds cold_time{0}; ///< time for which a target is cold after its start
};

/// Limits on the requests of clients. 0: not specified.
struct client_limits {
    std::size_t header_bytes = 0;
    std::size_t body_bytes = 0;
    milliseconds header_time{0};
    milliseconds idle_time{0};
};

struct manifest {
    std::uint64_t version = 0;
    client_limits limits;
    std::vector<route> routes;
    std::vector<service> services;
};

} // namespace bulrushgw::routing
