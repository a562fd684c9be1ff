#include "net/peer_incoming.h"

#include <algorithm>
#include <exception>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace bulrushgw::net::detail {

namespace {

/// Upper bound on the decompressed input that one connection buffers at a time, as a number of
/// frames of the maximum size.
constexpr std::size_t max_decompressed_frames = 4;

/// Bounds of the interval between checks for stalled connections.
constexpr milliseconds max_sweep_interval{500};
constexpr milliseconds min_sweep_interval{10};
/// Empty input buffers with a larger capacity are freed.
constexpr std::size_t max_kept_input_bytes = std::size_t{64} * 1024;
/// TCP keep-alive: the first probe after 10 s without input, then one every 5 s; the connection is
/// closed after 3 probes without a reply.
constexpr int first_probe_s = 10;
constexpr int probe_interval_s = 5;
constexpr int probe_count = 3;

std::string failure_reason(const wire::frame_error& failure)
{
    const char* kind = "malformed";
    if (dynamic_cast<const wire::unknown_version*>(&failure) != nullptr) {
        kind = "unknown-version";
    }
    else if (dynamic_cast<const wire::unknown_type*>(&failure) != nullptr) {
        kind = "unknown-type";
    }
    return std::string(kind) + ": " + failure.what();
}

} // namespace

void enable_lost_peer_detection(h2o_socket_t* socket, milliseconds unacknowledged_limit)
{
    const int fd = h2o_socket_get_fd(socket);
    const int enabled = 1;
    const auto unacknowledged_timeout_ms = static_cast<unsigned>(unacknowledged_limit.count());
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof(enabled));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &first_probe_s, sizeof(first_probe_s));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &probe_interval_s, sizeof(probe_interval_s));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probe_count, sizeof(probe_count));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_timeout_ms,
               sizeof(unacknowledged_timeout_ms));
}

void limit_unsent_bytes(h2o_socket_t* socket, std::size_t bytes)
{
    const auto limit = static_cast<unsigned>(bytes);
    setsockopt(h2o_socket_get_fd(socket), IPPROTO_TCP, TCP_NOTSENT_LOWAT, &limit, sizeof(limit));
}

peer_incoming::peer_incoming(loop& loop, const endpoint& address, const peer_limits& limits,
                             peer_counters& counters, receiver on_frame,
                             peer_lost_hook on_peer_lost)
    : loop_(loop), limits_(limits), counters_(counters), on_frame_(std::move(on_frame)),
      on_peer_lost_(std::move(on_peer_lost)),
      listener_(loop, address, [this](h2o_socket_t* socket) { open(socket); })
{
    const auto interval =
        std::clamp(limits_.stall_timeout / 2, min_sweep_interval, max_sweep_interval);
    sweep_timer_ = loop_.every(interval, [this] { close_stalled(); });
}

peer_incoming::~peer_incoming()
{
    loop_.cancel(sweep_timer_);
    on_peer_lost_ = {};
    while (!connections_.empty()) {
        close(**connections_.begin());
    }
}

void peer_incoming::open(h2o_socket_t* socket)
{
    if (connections_.size() >= limits_.max_connections) {
        ++counters_.connections_refused;
        h2o_socket_close(socket);
        return;
    }
    enable_lost_peer_detection(socket, limits_.stall_timeout);
    auto* peer = new connection{};
    peer->owner = this;
    peer->socket = socket;
    peer->charge = memory_charge(limits_.budget);
    connections_.insert(peer);
    socket->data = peer;
    h2o_socket_read_start(socket, on_readable);
}

void peer_incoming::close(connection& peer)
{
    connections_.erase(&peer);
    set_unfinished(peer, 0);
    const bool is_last =
        peer.peer && std::none_of(connections_.begin(), connections_.end(),
                                  [&](const auto* other) { return other->peer == peer.peer; });
    if (is_last && on_peer_lost_) {
        on_peer_lost_(peer.peer);
    }
    h2o_socket_close(peer.socket);
    delete &peer;
}

void peer_incoming::on_readable(h2o_socket_t* socket, const char* failure)
{
    auto& peer = *static_cast<connection*>(socket->data);
    auto& self = *peer.owner;
    if (peer.closing_after_failure) {
        h2o_buffer_consume(&socket->input, socket->input->size);
    }
    else {
        self.read_frames(peer);
    }
    if (failure != nullptr) {
        self.close(peer);
    }
    self.enforce_unfinished_limit();
}

void peer_incoming::set_unfinished(connection& peer, std::size_t bytes)
{
    unfinished_bytes_ += bytes - peer.unfinished_bytes;
    peer.unfinished_bytes = bytes;
}

void peer_incoming::enforce_unfinished_limit()
{
    while (unfinished_bytes_ > limits_.max_unfinished_bytes) {
        const auto slowest = std::min_element(
            connections_.begin(), connections_.end(),
            [](const connection* left, const connection* right) {
                return std::pair{left->unfinished_bytes == 0, left->waiting_since} <
                       std::pair{right->unfinished_bytes == 0, right->waiting_since};
            });
        ++counters_.unfinished_closed;
        close(**slowest);
    }
}

// Delivers the complete frames at the start of `bytes` and returns their total size, or none after
// a protocol failure. Sets `frame_received` when at least one frame was delivered.
std::optional<std::size_t> peer_incoming::deliver_frames(connection& peer, std::string_view bytes,
                                                         bool& frame_received)
{
    std::size_t consumed = 0;
    while (bytes.size() - consumed >= wire::length_bytes) {
        const char* start = bytes.data() + consumed;
        const auto size = wire::decode_length(start);
        if (size > std::min(limits_.max_frame_bytes, wire::max_frame_bytes)) {
            send_failure(peer, "frame-too-long: " + std::to_string(size) + " bytes");
            return std::nullopt;
        }
        if (bytes.size() - consumed < wire::length_bytes + size) {
            break;
        }
        wire::frame frame;
        try {
            frame = wire::decode(start + wire::length_bytes, size);
        }
        catch (const wire::frame_error& failure) {
            send_failure(peer, failure_reason(failure));
            return std::nullopt;
        }
        consumed += wire::length_bytes + size;
        ++counters_.frames_received;
        counters_.bytes_received += wire::length_bytes + size;
        frame_received = true;
        peer.peer = frame.from;
        try {
            on_frame_(frame);
        }
        catch (...) {
            // An exception must not propagate through h2o's C stack frames; it is rethrown from the
            // loop instead.
            loop_.defer([failure = std::current_exception()] { std::rethrow_exception(failure); });
        }
    }
    return consumed;
}

bool peer_incoming::decompress_input(connection& peer)
{
    auto* socket = peer.socket;
    try {
        if (!peer.decompressor) {
            peer.decompressor.emplace(limits_.dictionary);
        }
        peer.decompressor->decompress({socket->input->bytes, socket->input->size},
                                      peer.decompressed,
                                      max_decompressed_frames * limits_.max_frame_bytes);
    }
    catch (const stream_error& failure) {
        send_failure(peer, std::string("stream: ") + failure.what());
        return false;
    }
    h2o_buffer_consume(&socket->input, socket->input->size);
    return true;
}

void peer_incoming::read_frames(connection& peer)
{
    auto* socket = peer.socket;
    const bool had_partial_frame = std::exchange(peer.has_partial_frame, false);
    bool frame_received = false;
    bool has_remainder = false;
    if (limits_.compress) {
        if (!decompress_input(peer)) {
            return;
        }
        const auto consumed = deliver_frames(peer, peer.decompressed, frame_received);
        if (!consumed) {
            return;
        }
        peer.decompressed.erase(0, *consumed);
        if (peer.decompressed.empty() && peer.decompressed.capacity() > max_kept_input_bytes) {
            peer.decompressed = {};
        }
        has_remainder = !peer.decompressed.empty();
        set_unfinished(peer, has_remainder ? peer.decompressed.capacity() : 0);
    }
    else {
        const auto consumed =
            deliver_frames(peer, {socket->input->bytes, socket->input->size}, frame_received);
        if (!consumed) {
            return;
        }
        h2o_buffer_consume(&socket->input, *consumed);
        has_remainder = socket->input->size > 0;
        set_unfinished(peer, has_remainder ? socket->input->capacity : 0);
    }
    if (socket->input->size == 0 && socket->input->capacity > max_kept_input_bytes) {
        h2o_buffer_dispose(&socket->input);
        h2o_buffer_init(&socket->input, &h2o_socket_buffer_prototype);
    }
    if (has_remainder) {
        peer.has_partial_frame = true;
        if (frame_received || !had_partial_frame) {
            peer.waiting_since = loop_.now();
        }
    }
    charge_input(peer);
}

// Bytes that wait for the rest of their frame count towards the budget. Without room for them, the
// connection is closed, since its sender may be no node of the deployment.
void peer_incoming::charge_input(connection& peer)
{
    if (!peer.charge.try_resize(peer.socket->input->size + peer.decompressed.size())) {
        ++counters_.over_budget;
        send_failure(peer, "no memory for the frame");
    }
}

// Sends a `protocol_failure` and stops reading frames. The connection is closed only after the peer
// has closed its end, or after `connect_timeout`. If the socket were closed with unread input, the
// connection would be reset and the peer could lose the failure frame.
void peer_incoming::send_failure(connection& peer, const std::string& reason)
{
    ++counters_.frames_broken;
    peer.closing_after_failure = true;
    peer.waiting_since = loop_.now();
    peer.decompressed = {};
    set_unfinished(peer, 0);
    peer.failure = wire::encode({{}, {}, to_string(address()), wire::protocol_failure{reason}});
    h2o_buffer_consume(&peer.socket->input, peer.socket->input->size);
    std::string().swap(peer.decompressed);
    peer.charge.reset();
    h2o_iovec_t bytes = h2o_iovec_init(peer.failure.data(), peer.failure.size());
    h2o_socket_write(peer.socket, &bytes, 1, [](h2o_socket_t* socket, const char*) {
        shutdown(h2o_socket_get_fd(socket), SHUT_WR);
    });
}

void peer_incoming::close_stalled()
{
    const auto now = loop_.now();
    const auto all = connections_;
    for (auto* peer : all) {
        const auto waited = now - peer->waiting_since;
        if (peer->closing_after_failure && waited > limits_.connect_timeout) {
            close(*peer);
        }
        else if (peer->has_partial_frame && !peer->closing_after_failure &&
                 waited > limits_.stall_timeout) {
            send_failure(*peer, "frame-unfinished");
        }
    }
}

} // namespace bulrushgw::net::detail
