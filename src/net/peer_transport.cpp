#include "net/peer_transport.h"

#include <algorithm>
#include <map>
#include <utility>

#include "net/peer_incoming.h"
#include "net/sockets.h"
#include "net/stream_codec.h"

namespace bulrushgw::net {

namespace {

constexpr milliseconds max_sweep_interval{1000};
constexpr milliseconds min_sweep_interval{10};
/// Write buffers above this are freed after use; a burst must not keep memory for
/// each peer.
constexpr std::size_t kept_buffer_bytes = std::size_t{64} * 1024;

void clear_buffer(std::string& buffer)
{
    if (buffer.capacity() > kept_buffer_bytes) {
        buffer = {};
    }
    buffer.clear();
}

} // namespace

namespace {
// The caller takes its time of sending shortly before the connection begins. No
// frame can have left over an earlier connection in this margin: it broke at
// least a reconnect delay ago, or had been idle.
constexpr milliseconds begin_margin{5};
} // namespace

struct peer_transport::state {
    enum class phase {
        connecting,
        open,
        broken, ///< waits for the reconnect delay; frames are refused
    };

    /// The outgoing connection to one address.
    struct peer {
        state* owner = nullptr;
        std::string address;
        phase now = phase::connecting;
        time_point begun;
        h2o_socket_t* socket = nullptr;
        std::string pending; ///< frames that wait for the current write
        std::uint64_t pending_frames = 0;
        std::string writing; ///< h2o refers to it until the write ends
        std::optional<detail::stream_compressor> packer;
        std::uint64_t writing_frames = 0;
        bool flush_deferred = false;
        time_point last_used;
        loop::timer_id timer = 0; ///< connect, stall or reconnect, by the phase
    };

    net::loop& owner;
    receiver on_frame;
    disconnect_hook on_disconnect;
    peer_limits limits;
    peer_counters counters;
    std::function<bool(const std::string&, bool)> drop;
    std::map<std::string, std::unique_ptr<peer>, std::less<>> peers;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    loop::timer_id sweep = 0;
    detail::peer_incoming incoming;

    state(net::loop& on_loop, const endpoint& address, receiver frame_hook,
          disconnect_hook break_hook, peer_limits with)
        : owner(on_loop), on_frame(std::move(frame_hook)), on_disconnect(std::move(break_hook)),
          limits(std::move(with)), incoming(on_loop, address, limits, counters,
                                            [this](const wire::frame& frame) { receive(frame); })
    {
        const auto interval =
            std::clamp(limits.idle_timeout / 4, min_sweep_interval, max_sweep_interval);
        sweep = owner.every(interval, [this] { close_idle(); });
    }

    void receive(const wire::frame& frame);
    peer* find_or_connect(const std::string& address);
    bool queue(peer& to, const std::string& bytes);
    void defer_flush(peer& to);
    void flush(peer& to);
    void disconnect(peer& to);
    void drop_connection(peer& to);
    void close_idle();

    static void on_connected(h2o_socket_t* socket, const char* failure);
    static void on_written(h2o_socket_t* socket, const char* failure);
    static void on_readable(h2o_socket_t* socket, const char* failure);
};

void peer_transport::state::receive(const wire::frame& frame)
{
    if (drop && drop(frame.reply_address, false)) {
        ++counters.frames_filtered;
        return;
    }
    on_frame(frame);
}

peer_transport::state::peer* peer_transport::state::find_or_connect(const std::string& address)
{
    const auto found = peers.find(address);
    if (found != peers.end()) {
        return found->second->now == phase::broken ? nullptr : found->second.get();
    }
    auto target = detail::to_socket_address(parse_endpoint(address));
    if (peers.size() >= limits.max_connections) {
        return nullptr;
    }
    auto& to = *peers.emplace(address, std::make_unique<peer>()).first->second;
    to.owner = this;
    to.begun = owner.now() - begin_margin;
    to.address = address;
    ++counters.connects;
    to.socket = h2o_socket_connect(owner.evloop(), reinterpret_cast<sockaddr*>(&target.bytes),
                                   target.size, on_connected);
    if (to.socket == nullptr) {
        disconnect(to);
        return nullptr;
    }
    to.socket->data = &to;
    to.timer = owner.after(limits.connect_timeout, [this, &to] { disconnect(to); });
    return &to;
}

bool peer_transport::state::queue(peer& to, const std::string& bytes)
{
    if (to.pending.size() + to.writing.size() + bytes.size() > limits.max_queued_bytes) {
        return false;
    }
    to.pending += bytes;
    ++to.pending_frames;
    to.last_used = owner.now();
    if (to.now == phase::open && to.writing.empty()) {
        defer_flush(to);
    }
    return true;
}

void peer_transport::state::defer_flush(peer& to)
{
    if (std::exchange(to.flush_deferred, true)) {
        return;
    }
    // Found by address again, because the connection may break before the turn ends.
    owner.defer([this, is_alive = alive, address = to.address] {
        if (!*is_alive) {
            return;
        }
        const auto found = peers.find(address);
        if (found != peers.end()) {
            found->second->flush_deferred = false;
            flush(*found->second);
        }
    });
}

void peer_transport::state::flush(peer& to)
{
    if (to.now != phase::open || !to.writing.empty() || to.pending.empty()) {
        return;
    }
    to.writing.swap(to.pending);
    if (limits.compress) {
        if (!to.packer) {
            to.packer.emplace(limits.dictionary);
        }
        to.writing = to.packer->compress(to.writing);
        to.pending.clear();
    }
    to.writing_frames = std::exchange(to.pending_frames, 0);
    ++counters.writes;
    to.timer = owner.after(limits.stall_timeout, [this, &to] { disconnect(to); });
    h2o_iovec_t bytes = h2o_iovec_init(to.writing.data(), to.writing.size());
    h2o_socket_write(to.socket, &bytes, 1, on_written);
}

void peer_transport::state::disconnect(peer& to)
{
    const auto unsent_since = to.now == phase::connecting ? std::optional{to.begun} : std::nullopt;
    drop_connection(to);
    owner.defer([this, is_alive = alive, address = to.address, unsent_since] {
        if (*is_alive && on_disconnect) {
            on_disconnect(address, unsent_since);
        }
    });
}

// The entry stays until the reconnect delay has passed, so that a dead address
// is not tried for each frame.
void peer_transport::state::drop_connection(peer& to)
{
    owner.cancel(to.timer);
    if (to.socket != nullptr) {
        h2o_socket_close(std::exchange(to.socket, nullptr));
    }
    counters.frames_lost += std::exchange(to.pending_frames, 0);
    counters.frames_lost += std::exchange(to.writing_frames, 0);
    to.pending = {};
    to.writing = {};
    to.now = phase::broken;
    to.timer =
        owner.after(limits.reconnect_delay, [this, address = to.address] { peers.erase(address); });
}

void peer_transport::state::close_idle()
{
    const auto now = owner.now();
    for (auto at = peers.begin(); at != peers.end();) {
        peer& to = *at->second;
        const bool is_idle = to.now == phase::open && to.pending.empty() && to.writing.empty() &&
                             now - to.last_used > limits.idle_timeout;
        if (is_idle) {
            ++counters.idle_closed;
            h2o_socket_close(to.socket);
            at = peers.erase(at);
        }
        else {
            ++at;
        }
    }
}

void peer_transport::state::on_connected(h2o_socket_t* socket, const char* failure)
{
    auto& to = *static_cast<peer*>(socket->data);
    auto& self = *to.owner;
    if (failure != nullptr) {
        self.disconnect(to);
        return;
    }
    self.owner.cancel(to.timer);
    to.now = phase::open;
    detail::watch_for_lost_peer(socket, self.limits.stall_timeout);
    h2o_socket_read_start(socket, on_readable);
    self.flush(to);
}

void peer_transport::state::on_written(h2o_socket_t* socket, const char* failure)
{
    auto& to = *static_cast<peer*>(socket->data);
    auto& self = *to.owner;
    if (failure != nullptr) {
        self.disconnect(to);
        return;
    }
    self.owner.cancel(to.timer);
    self.counters.bytes_sent += to.writing.size();
    self.counters.frames_sent += std::exchange(to.writing_frames, 0);
    clear_buffer(to.writing);
    self.flush(to);
}

// A peer writes nothing on this connection but the refusal of a frame, after
// which it closes. Either way the connection is of no more use.
void peer_transport::state::on_readable(h2o_socket_t* socket, const char*)
{
    auto& to = *static_cast<peer*>(socket->data);
    if (socket->input->size > 0) {
        ++to.owner->counters.failures_received;
    }
    to.owner->disconnect(to);
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
    state_->owner.cancel(state_->sweep);
    for (auto& [address, to] : state_->peers) {
        state_->owner.cancel(to->timer);
        if (to->socket != nullptr) {
            h2o_socket_close(to->socket);
        }
    }
}

bool peer_transport::send(const std::string& address, const wire::frame& frame)
{
    auto& self = *state_;
    if (self.drop && self.drop(address, true)) {
        ++self.counters.frames_filtered;
        return true;
    }
    std::string bytes;
    state::peer* to = nullptr;
    try {
        bytes = wire::encode(frame);
        to = self.find_or_connect(address);
    }
    catch (const wire::frame_error&) {
        ++self.counters.frames_refused;
        return false;
    }
    catch (const address_error&) {
        // Addresses come from frames, which anybody may have sent.
        ++self.counters.frames_refused;
        return false;
    }
    if (to == nullptr || !self.queue(*to, bytes)) {
        ++self.counters.frames_refused;
        return false;
    }
    auto& count = self.counters.queued.at(frame.content.index());
    ++count.frames;
    count.bytes += bytes.size();
    return true;
}

void peer_transport::reset(const std::string& address)
{
    const auto found = state_->peers.find(address);
    if (found != state_->peers.end() && found->second->now == state::phase::open) {
        state_->drop_connection(*found->second);
    }
}

const peer_counters& peer_transport::counters() const
{
    return state_->counters;
}

void peer_transport::set_filter(std::function<bool(const std::string&, bool)> drop)
{
    state_->drop = std::move(drop);
}

const endpoint& peer_transport::address() const
{
    return state_->incoming.address();
}

} // namespace bulrushgw::net
