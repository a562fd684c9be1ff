#pragma once

/// The limits of the servers for clients, the share of memory that clients and peers may fill, and
/// the log lines and metrics about both.

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "net/http.h"
#include "net/memory_budget.h"
#include "routing/route_index.h"
#include "sidecar/journal.h"
#include "sidecar/protocol.h"

namespace bulrushgw::sidecar {

/// Limit on bodies while no manifest specifies one.
constexpr std::size_t default_body_bytes = std::size_t{1024} * 1024;

/// The budget for what clients and peers make the process hold, from the memory of the process.
std::shared_ptr<net::memory_budget> make_budget(std::size_t memory_mb);

/// Makes the allocator return large blocks to the system when they are freed. By default, glibc
/// keeps blocks of a size that was freed once, so that bodies of past crowds remain resident. Call
/// once, before the servers start.
void return_freed_memory();

/// Limits of the server for requests. `routes` returns the routes in force, or null.
net::http_server_limits
request_server_limits(const std::shared_ptr<net::memory_budget>& budget,
                      const platform_protocol& protocol,
                      std::function<std::shared_ptr<const routing::route_index>()> routes);

/// Limits of the servers for calls of the platform and of the target, whose bodies are small. Each
/// has a small budget of its own, so that readiness checks and heartbeats are served while clients
/// fill theirs.
net::http_server_limits local_server_limits();

/// Applies the manifest's limits. A limit that the manifest does not specify keeps its default.
void apply_limits(const routing::client_limits& limits, net::http_server& server);

/// Reports what a server refused. Not thread-safe.
class refusal_report {
public:
    using logger = std::function<void(std::string_view event, const journal::fields&)>;

    /// Logs the refusals by cause since the last call, if there are any, and whether memory became
    /// low or sufficient. Call at a fixed interval, which bounds the number of lines.
    void log_changes(const net::http_server& server, const net::memory_budget& budget,
                     const logger& log);

private:
    net::http_server_counters logged_;
    bool memory_was_low_ = false;
};

/// Metrics in the Prometheus text format.
std::string refusal_metrics(const net::http_server& server, const net::memory_budget& budget);

} // namespace bulrushgw::sidecar
