#include "sidecar/client_limits.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <malloc.h>
#include <sstream>
#include <string_view>
#include <utility>

namespace bulrushgw::sidecar {

namespace {

constexpr std::size_t bytes_per_mb = std::size_t{1024} * 1024;
/// Memory that the process needs itself, without clients.
constexpr std::size_t process_mb = 16;
/// Share of the remaining memory that clients and peers may fill. Three quarters of it, which
/// `http_server` leaves to bodies, hold one body of 64 MiB on a host with 160 MB. The rest is for
/// the kernel's buffers, frames that wait to be sent, and the allocator's losses.
constexpr std::size_t budget_share_numerator = 5;
constexpr std::size_t budget_share_denominator = 8;
/// Blocks of at least this size are mapped one by one. It equals the size from which
/// `http_message_parser` counts a body by its bytes.
constexpr int mapped_block_bytes = 32 * 1024;
/// Free memory at the end of the heap that is kept.
constexpr int kept_free_bytes = 1024 * 1024;
/// Bodies of heartbeats and other calls on the host are below 1 KiB.
constexpr std::size_t max_local_body_bytes = std::size_t{64} * 1024;
/// Room for about 1,000 idle connections, of which the oldest are closed first.
constexpr std::size_t local_budget_bytes = std::size_t{4} * 1024 * 1024;
/// Retry-after time of refusals while memory is low: unfinished requests are closed within seconds.
constexpr const char* retry_after_s = "1.000";
constexpr int status_unavailable = 503;
constexpr int status_request_timeout = 408;

struct cause {
    const char* name;
    std::uint64_t net::http_server_counters::*count;
};

constexpr std::array<cause, 10> causes{{
    {"malformed", &net::http_server_counters::malformed},
    {"head_too_large", &net::http_server_counters::heads_too_large},
    {"body_too_large", &net::http_server_counters::bodies_too_large},
    {"head_too_slow", &net::http_server_counters::heads_too_slow},
    {"body_too_slow", &net::http_server_counters::bodies_too_slow},
    {"memory_refused", &net::http_server_counters::memory_refused},
    {"stop_refused", &net::http_server_counters::stop_refused},
    {"memory_closed", &net::http_server_counters::memory_closed},
    {"slow_reader", &net::http_server_counters::slow_readers},
    {"connection_limit", &net::http_server_counters::connections_refused},
}};

} // namespace

std::shared_ptr<net::memory_budget> make_budget(std::size_t memory_mb)
{
    const auto available = std::max(memory_mb, process_mb) - process_mb;
    return std::make_shared<net::memory_budget>(available * bytes_per_mb /
                                                budget_share_denominator * budget_share_numerator);
}

void return_freed_memory()
{
    mallopt(M_MMAP_THRESHOLD, mapped_block_bytes);
    mallopt(M_TRIM_THRESHOLD, kept_free_bytes);
}

net::http_server_limits
request_server_limits(const std::shared_ptr<net::memory_budget>& budget,
                      const platform_protocol& protocol,
                      std::function<std::shared_ptr<const routing::route_index>()> routes)
{
    net::http_server_limits limits;
    limits.max_body_bytes = default_body_bytes;
    limits.ignore_abandoned_requests = true;
    limits.budget = budget;
    limits.refusal_headers = [name = protocol.names.retry_after](int status) {
        const bool is_retried = status == status_unavailable || status == status_request_timeout;
        return is_retried ? net::header_list{{name, retry_after_s}} : net::header_list{};
    };
    limits.may_run_ahead = [routes = std::move(routes)](const net::http_request& request) {
        const auto index = routes();
        const auto host = net::find_header(request.headers, "host").value_or("");
        const auto* route = index ? index->find(host, request.path) : nullptr;
        return route != nullptr && route->idempotent;
    };
    return limits;
}

net::http_server_limits local_server_limits()
{
    net::http_server_limits limits;
    limits.max_body_bytes = max_local_body_bytes;
    limits.budget = std::make_shared<net::memory_budget>(local_budget_bytes);
    return limits;
}

void apply_limits(const routing::client_limits& limits, net::http_server& server)
{
    const net::http_server_limits defaults;
    server.set_request_limits(
        limits.header_bytes > 0 ? limits.header_bytes : defaults.max_header_bytes,
        limits.body_bytes > 0 ? limits.body_bytes : default_body_bytes, limits.header_time);
}

void refusal_report::log_changes(const net::http_server& server, const net::memory_budget& budget,
                                 const logger& log)
{
    const auto& counters = server.counters();
    journal::fields line;
    for (const auto& item : causes) {
        if (const auto count = counters.*item.count - logged_.*item.count; count > 0) {
            line[item.name] = count;
        }
    }
    logged_ = counters;
    if (!line.empty()) {
        line["connections"] = server.connections();
        log("clients_refused", line);
    }
    const bool is_low = server.is_memory_low();
    if (is_low != memory_was_low_) {
        memory_was_low_ = is_low;
        log(is_low ? "memory_low" : "memory_sufficient",
            {{"used_bytes", budget.used()}, {"limit_bytes", budget.limit()}});
    }
}

std::string refusal_metrics(const net::http_server& server, const net::memory_budget& budget)
{
    std::ostringstream out;
    out << "# TYPE bulrushgw_clients_refused_total counter\n";
    for (const auto& item : causes) {
        out << "bulrushgw_clients_refused_total{cause=\"" << item.name << "\"} "
            << server.counters().*item.count << '\n';
    }
    out << "# TYPE bulrushgw_client_connections gauge\nbulrushgw_client_connections "
        << server.connections() << '\n';
    out << "# TYPE bulrushgw_memory_used_bytes gauge\nbulrushgw_memory_used_bytes " << budget.used()
        << '\n';
    out << "# TYPE bulrushgw_memory_limit_bytes gauge\nbulrushgw_memory_limit_bytes "
        << budget.limit() << '\n';
    return out.str();
}

} // namespace bulrushgw::sidecar
