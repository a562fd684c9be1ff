#pragma once

/// The routes, services and limits that operators put in force as one document.

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "common/boot_clock.h"
#include "common/errors.h"

namespace bulrushgw::routing {

/// A manifest that cannot be read or contradicts itself.
struct manifest_error : error {
    using error::error;
};

/// One destination of a route and its part of the requests.
struct destination {
    std::string service;
    std::uint32_t weight = 1;
};

struct route {
    std::string name;
    std::string host;
    std::string prefix;                    ///< begins and ends with a slash
    bool idempotent = false;               ///< may run more than once
    milliseconds timeout{0};               ///< longest time a client is kept waiting; 0: none
    milliseconds aim{0};                   ///< answers within it are worth most
    std::uint32_t attempts = 1;            ///< targets one request may be sent to
    std::uint32_t rank = 0;                ///< 0 is the most urgent
    std::vector<destination> destinations; ///< at least one, weights above 0
};

struct service {
    std::string name;
    std::string health_path;
    std::uint32_t max_connections = 0; ///< per target, from all callers; 0: not told
    bool sharded = false;              ///< divided by key
    milliseconds warm_up{0};           ///< slow for this time without a handover
};

/// Bounds on what clients send.
struct client_limits {
    std::size_t header_bytes = 0; ///< 0: not told
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
