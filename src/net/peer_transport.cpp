#include "net/peer_transport.h"

#include <algorithm>
#include <limits>
#include <map>
#include <utility>

#include "net/peer_incoming.h"
#include "net/sockets.h"
#include "net/stream_codec.h"

namespace bulrushgw::net {

namespace {

/// Bounds of the interval between checks for idle connections.
constexpr milliseconds max_sweep_interval{1000};
constexpr milliseconds min_sweep_interval{10};
/// Write buffers with a larger capacity are freed after use, so that a burst of frames does not
/// keep memory allocated for each peer.
constexpr std::size_t max_kept_buffer_bytes = std::size_t{64} * 1024;

/// Replies may exceed the memory budget by its limit divided by this.
constexpr std::size_t reply_overdraft_divisor = 16;

/// Bytes by which the frame may exceed the memory budget. A lost request, part or text is sent
/// again or refused as not run; a lost reply leaves an outcome unknown; without the other frames,
/// hosts lose their leases.
std::size_t overdraft_of(const wire::body& content, const memory_budget* budget)
{
    const bool may_be_lost = std::holds_alternative<wire::forward>(content) ||
                             std::holds_alternative<wire::forward_part>(content) ||
                             std::holds_alternative<wire::rules_text>(content);
    if (may_be_lost || budget == nullptr) {
        return 0;
    }
    return std::holds_alternative<wire::forward_reply>(content)
               ? budget->limit() / reply_overdraft_divisor
               : std::numeric_limits<std::size_t>::max();
}

void clear_buffer(std::string& buffer)
{
    if (buffer.capacity() > max_kept_buffer_bytes) {
        buffer = {};
    }
    buffer.clear();
}

} // namespace

namespace {
/// Subtracted from the start time of a connection attempt, because a caller reads the clock shortly
/// before it calls `send`, which starts the attempt. No frame was sent on an earlier connection to
/// the peer within this margin, because that connection broke at least `reconnect_delay` earlier or
/// was closed as idle.
constexpr milliseconds connect_start_margin{5};
} // namespace

struct peer_transport::state {
    enum class phase {
        connecting,
        open,
        broken, ///< until the reconnect delay has passed; frames are refused
    };

    /// The outgoing connection to one peer address.
    struct outgoing_connection {
        state* transport = nullptr;
        std::string address;
        phase current_phase = phase::connecting;
        time_point connect_started;
        h2o_socket_t* socket = nullptr;
        std::string queued_bytes; ///< frames that wait for the current write to end
        std::uint64_t queued_frames = 0;
        bool has_unsent_reply = false; ///< among the frames that are queued or being written
        memory_charge charge;          ///< of `queued_bytes` and `write_buffer`
        std::string write_buffer;      ///< h2o keeps a pointer to its bytes until the write ends
        std::optional<detail::stream_compressor> compressor;
        std::uint64_t write_buffer_frames = 0;
        bool is_flush_deferred = false;
        time_point last_used;
        loop::timer_id timer = 0; ///< connect, stall or reconnect timer, depending on the phase
    };

    net::loop& event_loop;
    receiver on_frame;
    disconnect_hook on_disconnect;
    peer_limits limits;
    peer_counters counters;
    std::function<bool(const std::string&, bool)> should_drop;
    drain_hook on_drained;
    peer_lost_hook on_peer_lost;
    std::map<std::string, std::unique_ptr<outgoing_connection>, std::less<>> connections;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    loop::timer_id sweep_timer = 0;
    detail::peer_incoming incoming;

    state(net::loop& loop_to_use, const endpoint& address, receiver frame_receiver,
          disconnect_hook disconnect_callback, peer_limits limits_to_use)
        : event_loop(loop_to_use), on_frame(std::move(frame_receiver)),
          on_disconnect(std::move(disconnect_callback)), limits(std::move(limits_to_use)),
          incoming(
              loop_to_use, address, limits, counters,
              [this](const wire::frame& frame) { receive(frame); },
              [this](incarnation_id peer) { report_lost_peer(peer); })
    {
        const auto interval =
            std::clamp(limits.idle_timeout / 4, min_sweep_interval, max_sweep_interval);
        sweep_timer = event_loop.every(interval, [this] { close_idle(); });
    }

    void receive(const wire::frame& frame);
    void report_lost_peer(incarnation_id peer);
    void report_drained(const outgoing_connection& conn);
    outgoing_connection* find_or_connect(const std::string& address);
    bool queue_frame(outgoing_connection& conn, const std::string& bytes, std::size_t overdraft);
    void defer_flush(outgoing_connection& conn);
    void flush(outgoing_connection& conn);
    void disconnect(outgoing_connection& conn);
    void mark_disconnected(outgoing_connection& conn);
    void close_idle();

    static void on_connected(h2o_socket_t* socket, const char* failure);
    static void on_written(h2o_socket_t* socket, const char* failure);
    static void on_readable(h2o_socket_t* socket, const char* failure);
};

void peer_transport::state::receive(const wire::frame& frame)
{
    if (should_drop && should_drop(frame.reply_address, false)) {
        ++counters.frames_filtered;
        return;
    }
    on_frame(frame);
}

void peer_transport::state::report_lost_peer(incarnation_id peer)
{
    event_loop.defer([this, is_alive = alive, peer] {
        if (*is_alive && on_peer_lost) {
            on_peer_lost(peer);
        }
    });
}

void peer_transport::state::report_drained(const outgoing_connection& conn)
{
    if (!on_drained || conn.queued_bytes.size() > limits.max_write_bytes) {
        return;
    }
    event_loop.defer([this, is_alive = alive, address = conn.address] {
        if (*is_alive && on_drained) {
            on_drained(address);
        }
    });
}

peer_transport::state::outgoing_connection*
peer_transport::state::find_or_connect(const std::string& address)
{
    const auto found = connections.find(address);
    if (found != connections.end()) {
        return found->second->current_phase == phase::broken ? nullptr : found->second.get();
    }
    auto target = detail::to_socket_address(parse_endpoint(address));
    if (connections.size() >= limits.max_connections) {
        return nullptr;
    }
    auto& conn =
        *connections.emplace(address, std::make_unique<outgoing_connection>()).first->second;
    conn.transport = this;
    conn.charge = memory_charge(limits.budget);
    conn.connect_started = event_loop.now() - connect_start_margin;
    conn.address = address;
    ++counters.connects;
    conn.socket = h2o_socket_connect(
        event_loop.evloop(), reinterpret_cast<sockaddr*>(&target.bytes), target.size, on_connected);
    if (conn.socket == nullptr) {
        disconnect(conn);
        return nullptr;
    }
    conn.socket->data = &conn;
    conn.timer = event_loop.after(limits.connect_timeout, [this, &conn] { disconnect(conn); });
    return &conn;
}

bool peer_transport::state::queue_frame(outgoing_connection& conn, const std::string& bytes,
                                        std::size_t overdraft)
{
    if (conn.queued_bytes.size() + conn.write_buffer.size() + bytes.size() >
        limits.max_queued_bytes) {
        return false;
    }
    if (!conn.charge.try_resize(conn.charge.bytes() + bytes.size(), overdraft)) {
        ++counters.frames_over_budget;
        return false;
    }
    conn.queued_bytes += bytes;
    ++conn.queued_frames;
    conn.last_used = event_loop.now();
    if (conn.current_phase == phase::open && conn.write_buffer.empty()) {
        defer_flush(conn);
    }
    return true;
}

void peer_transport::state::defer_flush(outgoing_connection& conn)
{
    if (std::exchange(conn.is_flush_deferred, true)) {
        return;
    }
    // The connection is looked up again, because it may be removed before the deferred action runs.
    event_loop.defer([this, is_alive = alive, address = conn.address] {
        if (!*is_alive) {
            return;
        }
        const auto found = connections.find(address);
        if (found != connections.end()) {
            found->second->is_flush_deferred = false;
            flush(*found->second);
        }
    });
}

void peer_transport::state::flush(outgoing_connection& conn)
{
    if (conn.current_phase != phase::open || !conn.write_buffer.empty() ||
        conn.queued_bytes.empty()) {
        return;
    }
    if (conn.queued_bytes.size() <= limits.max_write_bytes) {
        conn.write_buffer.swap(conn.queued_bytes);
        conn.write_buffer_frames = std::exchange(conn.queued_frames, 0);
    }
    else {
        // The frames count as written with the last of their bytes.
        conn.write_buffer.assign(conn.queued_bytes, 0, limits.max_write_bytes);
        conn.queued_bytes.erase(0, limits.max_write_bytes);
    }
    if (limits.compress) {
        if (!conn.compressor) {
            conn.compressor.emplace(limits.dictionary);
        }
        conn.write_buffer = conn.compressor->compress(conn.write_buffer);
    }
    ++counters.writes;
    conn.timer = event_loop.after(limits.stall_timeout, [this, &conn] { disconnect(conn); });
    h2o_iovec_t bytes = h2o_iovec_init(conn.write_buffer.data(), conn.write_buffer.size());
    h2o_socket_write(conn.socket, &bytes, 1, on_written);
}

void peer_transport::state::disconnect(outgoing_connection& conn)
{
    const auto unsent_since = conn.current_phase == phase::connecting
                                  ? std::optional{conn.connect_started}
                                  : std::nullopt;
    mark_disconnected(conn);
    event_loop.defer([this, is_alive = alive, address = conn.address, unsent_since] {
        if (*is_alive && on_disconnect) {
            on_disconnect(address, unsent_since);
        }
    });
}

// Closes the connection. Its entry stays until `reconnect_delay` has passed, so that not every
// frame to an unreachable address starts a connection attempt.
void peer_transport::state::mark_disconnected(outgoing_connection& conn)
{
    event_loop.cancel(conn.timer);
    if (conn.socket != nullptr) {
        h2o_socket_close(std::exchange(conn.socket, nullptr));
    }
    counters.frames_lost += std::exchange(conn.queued_frames, 0);
    counters.frames_lost += std::exchange(conn.write_buffer_frames, 0);
    conn.queued_bytes = {};
    conn.write_buffer = {};
    conn.has_unsent_reply = false;
    conn.charge.reset();
    conn.current_phase = phase::broken;
    conn.timer = event_loop.after(limits.reconnect_delay,
                                  [this, address = conn.address] { connections.erase(address); });
}

void peer_transport::state::close_idle()
{
    const auto now = event_loop.now();
    for (auto at = connections.begin(); at != connections.end();) {
        outgoing_connection& conn = *at->second;
        const bool is_idle = conn.current_phase == phase::open && conn.queued_bytes.empty() &&
                             conn.write_buffer.empty() &&
                             now - conn.last_used > limits.idle_timeout;
        if (is_idle) {
            ++counters.idle_closed;
            h2o_socket_close(conn.socket);
            at = connections.erase(at);
        }
        else {
            ++at;
        }
    }
}

void peer_transport::state::on_connected(h2o_socket_t* socket, const char* failure)
{
    auto& conn = *static_cast<outgoing_connection*>(socket->data);
    auto& self = *conn.transport;
    if (failure != nullptr) {
        self.disconnect(conn);
        return;
    }
    self.event_loop.cancel(conn.timer);
    conn.current_phase = phase::open;
    detail::enable_lost_peer_detection(socket, self.limits.stall_timeout);
    detail::limit_unsent_bytes(socket, self.limits.max_write_bytes);
    h2o_socket_read_start(socket, on_readable);
    self.flush(conn);
}

void peer_transport::state::on_written(h2o_socket_t* socket, const char* failure)
{
    auto& conn = *static_cast<outgoing_connection*>(socket->data);
    auto& self = *conn.transport;
    if (failure != nullptr) {
        self.disconnect(conn);
        return;
    }
    self.event_loop.cancel(conn.timer);
    self.counters.bytes_sent += conn.write_buffer.size();
    self.counters.frames_sent += std::exchange(conn.write_buffer_frames, 0);
    clear_buffer(conn.write_buffer);
    conn.has_unsent_reply = conn.has_unsent_reply && !conn.queued_bytes.empty();
    conn.charge.try_resize(conn.queued_bytes.size());
    self.flush(conn);
    self.report_drained(conn);
}

// The only frame that a peer writes on this connection is a `protocol_failure`, after which it
// closes the connection. The connection is therefore unusable, whether a failure or the end of the
// input was read.
void peer_transport::state::on_readable(h2o_socket_t* socket, const char*)
{
    auto& conn = *static_cast<outgoing_connection*>(socket->data);
    if (socket->input->size > 0) {
        ++conn.transport->counters.failures_received;
    }
    conn.transport->disconnect(conn);
}

peer_transport::peer_transport(loop& loop, const endpoint& address, receiver on_frame,
                               disconnect_hook on_disconnect, peer_limits limits)
    : state_(std::make_unique<state>(loop, address, std::move(on_frame), std::move(on_disconnect),
                                     std::move(limits)))
{
}

peer_transport::~peer_transport()
{
    *state_->alive = false;
    state_->event_loop.cancel(state_->sweep_timer);
    for (auto& [address, conn] : state_->connections) {
        state_->event_loop.cancel(conn->timer);
        if (conn->socket != nullptr) {
            h2o_socket_close(conn->socket);
        }
    }
}

bool peer_transport::send(const std::string& address, const wire::frame& frame)
{
    auto& self = *state_;
    if (self.should_drop && self.should_drop(address, true)) {
        ++self.counters.frames_filtered;
        return true;
    }
    std::string bytes;
    state::outgoing_connection* conn = nullptr;
    try {
        bytes = wire::encode(frame);
        conn = self.find_or_connect(address);
    }
    catch (const wire::frame_error&) {
        ++self.counters.frames_refused;
        return false;
    }
    catch (const address_error&) {
        // The address may be invalid: it comes from a frame, and any process can send frames.
        ++self.counters.frames_refused;
        return false;
    }
    const auto overdraft = overdraft_of(frame.content, self.limits.budget.get());
    if (conn == nullptr || !self.queue_frame(*conn, bytes, overdraft)) {
        ++self.counters.frames_refused;
        return false;
    }
    conn->has_unsent_reply =
        conn->has_unsent_reply || std::holds_alternative<wire::forward_reply>(frame.content);
    auto& count = self.counters.queued.at(frame.content.index());
    ++count.frames;
    count.bytes += bytes.size();
    return true;
}

bool peer_transport::has_unsent_replies() const
{
    return std::any_of(state_->connections.begin(), state_->connections.end(),
                       [](const auto& item) { return item.second->has_unsent_reply; });
}

void peer_transport::reset(const std::string& address)
{
    const auto found = state_->connections.find(address);
    if (found != state_->connections.end() && found->second->current_phase == state::phase::open) {
        state_->mark_disconnected(*found->second);
    }
}

const peer_counters& peer_transport::counters() const
{
    return state_->counters;
}

void peer_transport::set_flow_hooks(drain_hook on_drained, peer_lost_hook on_peer_lost)
{
    state_->on_drained = std::move(on_drained);
    state_->on_peer_lost = std::move(on_peer_lost);
}

void peer_transport::set_filter(std::function<bool(const std::string&, bool)> should_drop)
{
    state_->should_drop = std::move(should_drop);
}

const endpoint& peer_transport::address() const
{
    return state_->incoming.address();
}

} // namespace bulrushgw::net
