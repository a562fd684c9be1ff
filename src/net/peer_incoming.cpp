#include "net/peer_incoming.h"

#include <algorithm>
#include <exception>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace bulrushgw::net::detail {

namespace {

/// Expanded bytes that one connection may hold, in frames of the largest size.
constexpr std::size_t max_expanded_frames = 4;

constexpr milliseconds max_sweep_interval{500};
constexpr milliseconds min_sweep_interval{10};
/// Input buffers above this are freed once they are empty.
constexpr std::size_t kept_input_bytes = std::size_t{64} * 1024;
/// Keep-alive probes: first after 10 s of silence, then every 5 s, 3 in all.
constexpr int probe_after_s = 10;
constexpr int probe_interval_s = 5;
constexpr int probe_count = 3;

std::string reason_of(const wire::frame_error& failure)
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

void watch_for_lost_peer(h2o_socket_t* socket, milliseconds limit)
{
    const int fd = h2o_socket_get_fd(socket);
    const int on = 1;
    const auto unacknowledged = static_cast<unsigned>(limit.count());
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &probe_after_s, sizeof(probe_after_s));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &probe_interval_s, sizeof(probe_interval_s));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probe_count, sizeof(probe_count));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged, sizeof(unacknowledged));
}

peer_incoming::peer_incoming(loop& loop, const endpoint& address, const peer_limits& limits,
                             peer_counters& counters, receiver on_frame)
    : loop_(loop), limits_(limits), counters_(counters), on_frame_(std::move(on_frame)),
      listener_(loop, address, [this](h2o_socket_t* socket) { open(socket); })
{
    const auto interval =
        std::clamp(limits_.stall_timeout / 2, min_sweep_interval, max_sweep_interval);
    sweep_ = loop_.every(interval, [this] { close_stalled(); });
}

peer_incoming::~peer_incoming()
{
    loop_.cancel(sweep_);
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
    watch_for_lost_peer(socket, limits_.stall_timeout);
    auto* peer = new connection{};
    peer->owner = this;
    peer->socket = socket;
    connections_.insert(peer);
    socket->data = peer;
    h2o_socket_read_start(socket, on_readable);
}

void peer_incoming::close(connection& peer)
{
    connections_.erase(&peer);
    h2o_socket_close(peer.socket);
    delete &peer;
}

void peer_incoming::on_readable(h2o_socket_t* socket, const char* failure)
{
    auto& peer = *static_cast<connection*>(socket->data);
    if (peer.failing) {
        h2o_buffer_consume(&socket->input, socket->input->size);
    }
    else {
        peer.owner->read_frames(peer);
    }
    if (failure != nullptr) {
        peer.owner->close(peer);
    }
}

// Hands the whole frames at the start of `bytes` on and returns their size; none
// when the peer broke the protocol.
std::optional<std::size_t> peer_incoming::take_frames(connection& peer, std::string_view bytes,
                                                      bool& any)
{
    std::size_t used = 0;
    while (bytes.size() - used >= wire::length_bytes) {
        const char* start = bytes.data() + used;
        const auto size = wire::decode_length(start);
        if (size > std::min(limits_.max_frame_bytes, wire::max_frame_bytes)) {
            fail(peer, "frame-too-long: " + std::to_string(size) + " bytes");
            return std::nullopt;
        }
        if (bytes.size() - used < wire::length_bytes + size) {
            break;
        }
        wire::frame frame;
        try {
            frame = wire::decode(start + wire::length_bytes, size);
        }
        catch (const wire::frame_error& failure) {
            fail(peer, reason_of(failure));
            return std::nullopt;
        }
        used += wire::length_bytes + size;
        ++counters_.frames_received;
        counters_.bytes_received += wire::length_bytes + size;
        any = true;
        try {
            on_frame_(frame);
        }
        catch (...) {
            // An exception must not cross h2o's C frames; it ends the loop's run instead.
            loop_.defer([failure = std::current_exception()] { std::rethrow_exception(failure); });
        }
    }
    return used;
}

bool peer_incoming::expand_input(connection& peer)
{
    auto* socket = peer.socket;
    try {
        if (!peer.expander) {
            peer.expander.emplace(limits_.dictionary);
        }
        peer.expander->expand({socket->input->bytes, socket->input->size}, peer.plain,
                              max_expanded_frames * limits_.max_frame_bytes);
    }
    catch (const stream_error& failure) {
        fail(peer, std::string("stream: ") + failure.what());
        return false;
    }
    h2o_buffer_consume(&socket->input, socket->input->size);
    return true;
}

void peer_incoming::read_frames(connection& peer)
{
    auto* socket = peer.socket;
    const bool was_unfinished = std::exchange(peer.unfinished, false);
    bool any = false;
    bool left = false;
    if (limits_.compress) {
        if (!expand_input(peer)) {
            return;
        }
        const auto used = take_frames(peer, peer.plain, any);
        if (!used) {
            return;
        }
        peer.plain.erase(0, *used);
        left = !peer.plain.empty();
    }
    else {
        const auto used = take_frames(peer, {socket->input->bytes, socket->input->size}, any);
        if (!used) {
            return;
        }
        h2o_buffer_consume(&socket->input, *used);
        left = socket->input->size > 0;
    }
    if (socket->input->size == 0 && socket->input->capacity > kept_input_bytes) {
        h2o_buffer_dispose(&socket->input);
        h2o_buffer_init(&socket->input, &h2o_socket_buffer_prototype);
    }
    if (left) {
        peer.unfinished = true;
        if (any || !was_unfinished) {
            peer.waiting_since = loop_.now();
        }
    }
}

// The connection is closed only after the peer did, or after a delay: closing it
// with unread input would reset it, and the peer could lose the failure frame.
void peer_incoming::fail(connection& peer, const std::string& reason)
{
    ++counters_.frames_broken;
    peer.failing = true;
    peer.waiting_since = loop_.now();
    peer.failure = wire::encode({{}, {}, to_string(address()), wire::protocol_failure{reason}});
    h2o_buffer_consume(&peer.socket->input, peer.socket->input->size);
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
        if (peer->failing && waited > limits_.connect_timeout) {
            close(*peer);
        }
        else if (peer->unfinished && !peer->failing && waited > limits_.stall_timeout) {
            fail(*peer, "frame-unfinished");
        }
    }
}

} // namespace bulrushgw::net::detail
