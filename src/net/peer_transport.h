#pragma once

/// TCP connections between nodes, which carry the frames of package `wire`.

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "common/boot_clock.h"
#include "net/http.h"
#include "net/loop.h"
#include "wire/messages.h"

namespace bulrushgw::net {

struct peer_limits {
    std::size_t max_frame_bytes = wire::max_frame_bytes;
    /// Unsent bytes kept for one peer; frames above are refused to the sender.
    std::size_t max_queued_bytes = std::size_t{4} * 1024 * 1024;
    std::size_t max_connections = 2000; ///< for each direction
    /// Compresses the connections. All nodes of a deployment must have the same.
    bool compress = false;
    /// See `detail::stream_compressor`. It is part of the protocol between nodes.
    std::string dictionary;
    milliseconds connect_timeout{500};
    milliseconds reconnect_delay{100};
    /// A peer that takes no byte for this time is disconnected, as is a sender
    /// that leaves a frame unfinished for this time.
    milliseconds stall_timeout{5000};
    /// An outgoing connection without a frame for this time is closed, so that the
    /// connections do not grow with every peer that was ever met.
    milliseconds idle_timeout{30000};
};

/// Frames of one message type that were queued, before compression.
struct frame_count {
    std::uint64_t frames = 0;
    std::uint64_t bytes = 0;
};

struct peer_counters {
    std::array<frame_count, std::variant_size_v<wire::body>> queued; ///< by message type
    std::uint64_t frames_sent = 0;
    std::uint64_t frames_received = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t frames_refused = 0;      ///< queue full or no connection
    std::uint64_t frames_broken = 0;       ///< bad length, version or body
    std::uint64_t frames_lost = 0;         ///< queued or being written when a connection broke
    std::uint64_t frames_filtered = 0;     ///< dropped by the test hook
    std::uint64_t writes = 0;              ///< system calls may be more when a peer is slow
    std::uint64_t connects = 0;            ///< outgoing connections that were tried
    std::uint64_t connections_refused = 0; ///< incoming, above the limit
    std::uint64_t idle_closed = 0;         ///< outgoing connections
    std::uint64_t failures_received = 0;   ///< a peer refused a frame of ours
};

/// Sends and receives frames. One outgoing connection for each peer address;
/// the answers of a peer come over that peer's own outgoing connection. A frame
/// that cannot be decoded is answered with a `protocol_failure` on the connection
/// that it came by, which is then closed. Closing an idle connection does not call
/// the disconnect hook. The hooks run on the loop and must not
/// destroy the transport. Not thread-safe.
class peer_transport {
public:
    using receiver = std::function<void(const wire::frame&)>;
    /// Called when the outgoing connection to `address` breaks: frames that were
    /// sent and not answered may or may not have arrived. When the connection was
    /// never established, `unsent_since` is the time at which it was begun: frames
    /// sent from then on certainly did not arrive.
    using disconnect_hook =
        std::function<void(const std::string& address, std::optional<time_point> unsent_since)>;

    /// Throws `listen_error` when the address cannot be bound.
    peer_transport(loop& loop, const endpoint& address, receiver on_frame,
                   disconnect_hook on_disconnect, peer_limits limits = {});
    ~peer_transport();
    peer_transport(const peer_transport&) = delete;
    peer_transport& operator=(const peer_transport&) = delete;
    peer_transport(peer_transport&&) = delete;
    peer_transport& operator=(peer_transport&&) = delete;

    /// Queues a frame; false when it was certainly not sent and will not be, also for an
    /// address that is not "IP:port". The frames of one turn of the loop go out in one
    /// write.
    bool send(const std::string& address, const wire::frame& frame);
    /// Closes the outgoing connection to `address`, if there is one: the caller knows
    /// that the peer no longer gets what is sent on it, although it looks sound. Does not
    /// call the disconnect hook, since replies to what did arrive may still come.
    void reset(const std::string& address);
    [[nodiscard]] const peer_counters& counters() const;
    /// Test hook: drops every frame to or from addresses for which it returns
    /// true. Direction: true for outgoing.
    void set_filter(std::function<bool(const std::string& address, bool outgoing)> drop);
    /// The bound address; its port is known also after binding port 0.
    [[nodiscard]] const endpoint& address() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace bulrushgw::net
