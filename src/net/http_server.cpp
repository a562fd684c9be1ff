#include <algorithm>
#include <map>
#include <sys/socket.h>
#include <utility>
#include <vector>

#include "net/h2o_library.h"
#include "net/http.h"
#include "net/http_connection.h"
#include "net/sockets.h"

namespace bulrushgw::net {

namespace {

/// Bounds of the interval between checks of the time limits.
constexpr milliseconds max_sweep_interval{1000};
constexpr milliseconds min_sweep_interval{10};
/// Bytes of one read. All connections share one buffer of this size.
constexpr std::size_t read_bytes = std::size_t{16} * 1024;
/// Estimate of what an open connection holds besides buffers: the objects of this package, of h2o
/// and of the kernel.
constexpr std::size_t connection_bytes = std::size_t{4} * 1024;
/// Size of a connection's kernel buffers in each direction while there is a memory budget. Without
/// it, the kernel grows each buffer to megabytes for a fast sender or a slow reader. It allows
/// 300 Mbit/s at a round trip of 3 ms.
constexpr int kernel_buffer_bytes = 128 * 1024;
/// Shares of the budget, in sixteenths, that bodies may fill, and that all uses of the server may
/// fill. Requests without bodies are served while bodies are refused, and frames of peers have room
/// while clients fill their share.
constexpr std::size_t share_denominator = 16;
constexpr std::size_t body_share = 12;
constexpr std::size_t server_share = 14;
/// Share of the allowed connections, in sixteenths, from which idle connections and bodies without
/// progress have only the time of a head, so that stalled clients do not keep others out.
constexpr std::size_t crowded_share = 14;

} // namespace

using detail::http_connection;
using detail::memory_use;

struct http_server::state : std::enable_shared_from_this<http_server::state> {
    std::shared_ptr<detail::http_server_context> context;
    std::unique_ptr<detail::listener> listener;
    endpoint address;
    std::map<const http_connection*, std::shared_ptr<http_connection>> connections;
    loop::timer_id sweep_timer = 0;

    state(net::loop& loop, handler on_request, http_server_limits limits)
        : context(std::make_shared<detail::http_server_context>(loop, std::move(on_request),
                                                                std::move(limits)))
    {
        context->read_buffer.resize(read_bytes);
        context->reserve = [this](memory_charge& charge, std::size_t bytes, memory_use use,
                                  http_connection* requester) {
            return reserve(charge, bytes, use, requester);
        };
        context->is_memory_low = [this] { return !has_room(0, memory_use::body); };
        context->is_crowded = [this] {
            return connections.size() * share_denominator >=
                   context->limits.max_connections * crowded_share;
        };
        context->on_closed = [this](const http_connection& closed) { connections.erase(&closed); };
    }

    void start(const endpoint& on_address);
    void close();
    void open(h2o_socket_t* socket);
    void schedule_sweep();
    void check_times();
    bool reserve(memory_charge& charge, std::size_t bytes, memory_use use,
                 const http_connection* requester);
    [[nodiscard]] bool has_room(std::size_t added_bytes, memory_use use) const;
    bool free_memory(memory_use use, const http_connection* requester);
    [[nodiscard]] std::shared_ptr<http_connection> costliest_unfinished() const;
    [[nodiscard]] std::shared_ptr<http_connection>
    longest_idle(const http_connection* requester) const;
    [[nodiscard]] std::shared_ptr<http_connection>
    slowest_reader(const http_connection* requester) const;
};

void http_server::state::start(const endpoint& on_address)
{
    listener = std::make_unique<detail::listener>(context->event_loop, on_address,
                                                  [this](h2o_socket_t* socket) { open(socket); });
    address = listener->address();
    schedule_sweep();
}

void http_server::state::schedule_sweep()
{
    context->event_loop.cancel(sweep_timer);
    auto shortest = std::min(context->limits.request_timeout, context->idle_timeout);
    if (context->limits.header_timeout.count() > 0) {
        shortest = std::min(shortest, context->limits.header_timeout);
    }
    sweep_timer =
        context->event_loop.every(std::clamp(shortest / 4, min_sweep_interval, max_sweep_interval),
                                  [this] { check_times(); });
}

void http_server::state::check_times()
{
    const auto now = context->event_loop.now();
    const auto all = connections;
    for (const auto& [key, connection] : all) {
        connection->check_times(now);
    }
}

void http_server::state::open(h2o_socket_t* socket)
{
    memory_charge charge(context->limits.budget);
    if (connections.size() >= context->limits.max_connections) {
        ++context->counters.connections_refused;
        h2o_socket_close(socket);
        return;
    }
    if (!reserve(charge, connection_bytes, memory_use::other, nullptr)) {
        ++context->counters.memory_closed;
        h2o_socket_close(socket);
        return;
    }
    if (context->limits.budget != nullptr) {
        const int fd = h2o_socket_get_fd(socket);
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kernel_buffer_bytes, sizeof(kernel_buffer_bytes));
        setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &kernel_buffer_bytes, sizeof(kernel_buffer_bytes));
    }
    const auto created = std::make_shared<http_connection>(context, socket, std::move(charge));
    connections.emplace(created.get(), created);
    created->start();
}

void http_server::state::close()
{
    context->closed = true;
    context->event_loop.cancel(sweep_timer);
    listener.reset();
    while (!connections.empty()) {
        connections.begin()->second->close();
    }
}

bool http_server::state::has_room(std::size_t added_bytes, memory_use use) const
{
    const auto& budget = context->limits.budget;
    if (budget == nullptr) {
        return true;
    }
    const auto share = use == memory_use::body ? body_share : server_share;
    const auto limit = budget->limit() / share_denominator * share;
    return budget->used() <= limit && added_bytes <= limit - budget->used();
}

bool http_server::state::reserve(memory_charge& charge, std::size_t bytes, memory_use use,
                                 const http_connection* requester)
{
    if (bytes <= charge.bytes()) {
        return charge.try_resize(bytes);
    }
    // A request that starts while memory is freed may destroy the server.
    const auto keep = shared_from_this();
    while (!has_room(bytes - charge.bytes(), use)) {
        if (!free_memory(use, requester)) {
            return false;
        }
    }
    return charge.try_resize(bytes);
}

// Closes one other connection, or refuses its unfinished request. Returns false if `requester`
// itself is the next to be refused, or if nothing is left but running requests and responses. Idle
// connections hold little, so they are not closed for a body.
bool http_server::state::free_memory(memory_use use, const http_connection* requester)
{
    if (const auto unfinished = costliest_unfinished()) {
        if (unfinished.get() == requester) {
            return false;
        }
        unfinished->refuse_unfinished();
        return true;
    }
    const auto idle = use != memory_use::body ? longest_idle(requester) : nullptr;
    if (idle != nullptr) {
        ++context->counters.memory_closed;
        idle->close();
        return true;
    }
    const auto reader = use == memory_use::response ? slowest_reader(requester) : nullptr;
    if (reader == nullptr) {
        return false;
    }
    ++context->counters.slow_readers;
    reader->close();
    return true;
}

// The largest and slowest of the requests that are being read: the one with the most bytes,
// weighted by the time since it began.
std::shared_ptr<http_connection> http_server::state::costliest_unfinished() const
{
    const auto now = context->event_loop.now();
    std::shared_ptr<http_connection> result;
    double highest_cost = 0;
    for (const auto& [key, connection] : connections) {
        const auto age_ms = static_cast<double>(connection->unfinished_age(now).count());
        const double cost = static_cast<double>(connection->unfinished_bytes()) * (1 + age_ms);
        if (cost > highest_cost) {
            highest_cost = cost;
            result = connection;
        }
    }
    return result;
}

// The client that leaves the most response bytes unread, weighted by the time since they were
// written. Clients that read are served first when there is no room for all responses.
std::shared_ptr<http_connection>
http_server::state::slowest_reader(const http_connection* requester) const
{
    const auto now = context->event_loop.now();
    std::shared_ptr<http_connection> result;
    double highest_cost = 0;
    for (const auto& [key, connection] : connections) {
        const auto age_ms = static_cast<double>(connection->unread_age(now).count());
        const double cost = static_cast<double>(connection->unread_bytes()) * age_ms;
        if (connection.get() != requester && cost > highest_cost) {
            highest_cost = cost;
            result = connection;
        }
    }
    return result;
}

std::shared_ptr<http_connection>
http_server::state::longest_idle(const http_connection* requester) const
{
    std::shared_ptr<http_connection> result;
    for (const auto& [key, connection] : connections) {
        if (connection.get() != requester && connection->is_idle() &&
            (result == nullptr || connection->idle_since() < result->idle_since())) {
            result = connection;
        }
    }
    return result;
}

http_server::http_server(loop& loop, const endpoint& address, handler on_request,
                         http_server_limits limits)
    : state_(std::make_shared<state>(loop, std::move(on_request), std::move(limits)))
{
    state_->start(address);
}

http_server::~http_server()
{
    state_->close();
}

void http_server::finish()
{
    state_->listener.reset();
    const auto all = state_->connections;
    for (const auto& [key, connection] : all) {
        connection->finish();
    }
}

std::size_t http_server::undelivered() const
{
    return static_cast<std::size_t>(
        std::count_if(state_->connections.begin(), state_->connections.end(),
                      [](const auto& item) { return item.second->has_undelivered(); }));
}

void http_server::set_idle_timeout(milliseconds time)
{
    state_->context->idle_timeout = time;
    state_->schedule_sweep();
}

void http_server::set_request_limits(std::size_t max_header_bytes, std::size_t max_body_bytes,
                                     milliseconds header_timeout)
{
    auto& limits = state_->context->limits;
    limits.max_header_bytes = max_header_bytes;
    limits.max_body_bytes = max_body_bytes;
    limits.header_timeout = header_timeout;
    state_->schedule_sweep();
}

std::uint64_t http_server::abandoned_requests() const
{
    return state_->context->abandoned_requests;
}

const http_server_counters& http_server::counters() const
{
    return state_->context->counters;
}

bool http_server::is_memory_low() const
{
    return state_->context->is_memory_low();
}

std::size_t http_server::connections() const
{
    return state_->connections.size();
}

const endpoint& http_server::address() const
{
    return state_->address;
}

} // namespace bulrushgw::net
