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
#include "net/memory_budget.h"
#include "wire/messages.h"

namespace bulrushgw::net {

struct peer_limits {
    std::size_t max_frame_bytes = wire::max_frame_bytes;
    /// Upper bound on the unsent bytes for one peer; `send` refuses frames above it.
    std::size_t max_queued_bytes = std::size_t{4} * 1024 * 1024;
    /// Upper bound on the queued bytes that one write takes, and on the bytes that the kernel holds
    /// unsent for a connection. On a link of 10 Mbit/s, the slowest of a deployment, a write takes
    /// 0.1 s, well below `stall_timeout`.
    std::size_t max_write_bytes = std::size_t{128} * 1024;
    /// Upper bound on the buffers of unfinished frames of all incoming connections together. Above
    /// it, the connection that has waited longest for the rest of a frame is closed. The default
    /// has room for eight frames of the highest size.
    std::size_t max_unfinished_bytes = std::size_t{8} * 1024 * 1024;
    std::size_t max_connections = 2000; ///< in each direction
    /// Counts the partial frames of incoming connections, and the frames that wait to be sent. An
    /// incoming connection whose frames do not fit is closed. `send` refuses a request, a part of a
    /// body or a text of rules that does not fit. Replies may exceed the limit by a sixteenth of
    /// it, since their requests have run; all other frames, such as those of leases, are small and
    /// are sent in any case. Null: unlimited.
    std::shared_ptr<memory_budget> budget;
    /// Compresses all connections. All nodes of a deployment must use the same value.
    bool compress = false;
    /// Dictionary of `detail::stream_compressor`. It is part of the protocol between nodes.
    std::string dictionary;
    /// Upper bound on the duration of a connection attempt, and on the wait for a peer to close its
    /// end of a connection on which this node sent a `protocol_failure`.
    milliseconds connect_timeout{500};
    milliseconds reconnect_delay{100};
    /// Limit on three times: the duration of a write, the time for which sent data stays
    /// unacknowledged, and the time until the rest of an incoming frame arrives. The connection is
    /// closed if one of them exceeds the limit.
    milliseconds stall_timeout{5000};
    /// Time without a frame after which an outgoing connection is closed, so that connections to
    /// peers that are no longer used do not accumulate.
    milliseconds idle_timeout{30000};
};

/// Frames of one message type that were queued for sending; bytes before compression.
struct frame_count {
    std::uint64_t frames = 0;
    std::uint64_t bytes = 0;
};

struct peer_counters {
    std::array<frame_count, std::variant_size_v<wire::body>> queued; ///< by message type
    std::uint64_t frames_sent = 0;
    std::uint64_t frames_received = 0;
    std::uint64_t bytes_sent = 0;     ///< after compression
    std::uint64_t bytes_received = 0; ///< of the received frames, after decompression
    std::uint64_t frames_refused = 0; ///< by `send`: queue full, no connection, or invalid
    /// Incoming frames that were refused with a `protocol_failure`. Their length, version, type,
    /// body or compressed stream was invalid, or they were incomplete after `stall_timeout`.
    std::uint64_t frames_broken = 0;
    /// Incoming connections closed because of `max_unfinished_bytes`.
    std::uint64_t unfinished_closed = 0;
    std::uint64_t frames_over_budget =
        0;                             ///< refused because of the budget; in `frames_refused` too
    std::uint64_t frames_lost = 0;     ///< queued or being written when a connection broke
    std::uint64_t frames_filtered = 0; ///< dropped by the filter of `set_filter`
    std::uint64_t writes = 0;          ///< socket writes; one may take several system calls
    std::uint64_t connects = 0;        ///< attempts to open an outgoing connection
    std::uint64_t connections_refused = 0; ///< incoming connections above the limit
    std::uint64_t over_budget = 0;         ///< incoming connections closed because of the budget
    std::uint64_t idle_closed = 0;         ///< outgoing connections closed by `idle_timeout`
    std::uint64_t failures_received =
        0; ///< connections on which the peer sent a `protocol_failure`
};

/// Sends and receives frames. There is one outgoing connection for each peer address; a peer
/// replies over its own outgoing connection. A received frame that cannot be decoded is answered
/// with a `protocol_failure` on the same connection, which is then closed. Closing an idle
/// connection does not call the disconnect hook. The hooks run on the loop and must not destroy
/// the transport. Not thread-safe.
class peer_transport {
public:
    using receiver = std::function<void(const wire::frame&)>;
    /// Called when the outgoing connection to `address` breaks. Frames without a reply may or may
    /// not have arrived. If the connection was never established, `unsent_since` is the time at
    /// which the connection attempt started, and no frame sent since then has arrived.
    using disconnect_hook =
        std::function<void(const std::string& address, std::optional<time_point> unsent_since)>;

    /// Called after a write of the outgoing connection to `address`, when at most
    /// `max_write_bytes` are still queued for it. Senders of much data wait for it.
    using drain_hook = std::function<void(const std::string& address)>;
    /// Called when the last incoming connection on which `peer` sent frames has closed. Frames that
    /// are still under way from it are lost, or arrive on a connection that it opens later.
    using peer_lost_hook = std::function<void(incarnation_id peer)>;

    /// Throws `listen_error` when the address cannot be bound.
    peer_transport(loop& loop, const endpoint& address, receiver on_frame,
                   disconnect_hook on_disconnect, peer_limits limits = {});
    ~peer_transport();
    peer_transport(const peer_transport&) = delete;
    peer_transport& operator=(const peer_transport&) = delete;
    peer_transport(peer_transport&&) = delete;
    peer_transport& operator=(peer_transport&&) = delete;

    /// Queues a frame. Returns false if the frame will not be sent because the queue or the memory
    /// budget is full, there is no connection, the frame is above the limits, or `address` is not
    /// "IP:port". The frames of one loop iteration are sent in one write.
    bool send(const std::string& address, const wire::frame& frame);
    /// True while a `forward_reply` waits to be written to a connection that is not broken.
    [[nodiscard]] bool has_unsent_replies() const;
    /// Closes the outgoing connection to `address`, if it is established. Callers use it when
    /// frames no longer reach the peer, although TCP reports no failure. The disconnect hook is not
    /// called, because the peer may still reply to frames that it received before.
    void reset(const std::string& address);
    [[nodiscard]] const peer_counters& counters() const;
    /// Both hooks are called at the end of a loop iteration. They may be empty.
    void set_flow_hooks(drain_hook on_drained, peer_lost_hook on_peer_lost);
    /// For tests: drops each frame for which `should_drop` returns true. `address` is the peer's
    /// address, and `outgoing` is true for frames to the peer.
    void set_filter(std::function<bool(const std::string& address, bool outgoing)> should_drop);
    /// The bound address, with the assigned port if port 0 was requested.
    [[nodiscard]] const endpoint& address() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace bulrushgw::net
