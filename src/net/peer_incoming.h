#pragma once

/// Incoming connections, opened by peers to send frames to this node. Internal to the peer
/// transport. Not thread-safe.

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "net/memory_budget.h"
#include "net/peer_transport.h"
#include "net/sockets.h"
#include "net/stream_codec.h"

namespace bulrushgw::net::detail {

class peer_incoming {
public:
    using receiver = std::function<void(const wire::frame&)>;
    using peer_lost_hook = std::function<void(incarnation_id)>;

    /// Throws `listen_error` when the address cannot be bound.
    peer_incoming(loop& loop, const endpoint& address, const peer_limits& limits,
                  peer_counters& counters, receiver on_frame, peer_lost_hook on_peer_lost);
    ~peer_incoming();
    peer_incoming(const peer_incoming&) = delete;
    peer_incoming& operator=(const peer_incoming&) = delete;
    peer_incoming(peer_incoming&&) = delete;
    peer_incoming& operator=(peer_incoming&&) = delete;

    /// The bound address, with the assigned port if port 0 was requested.
    [[nodiscard]] const endpoint& address() const { return listener_.address(); }

private:
    struct connection {
        peer_incoming* owner = nullptr;
        h2o_socket_t* socket = nullptr;
        incarnation_id peer;                ///< sender of the latest frame
        bool closing_after_failure = false; ///< a `protocol_failure` was sent; input is discarded
        std::string failure;                ///< the failure frame; h2o keeps a pointer to it
        bool has_partial_frame = false;     ///< the rest of a frame is awaited
        std::optional<stream_decompressor> decompressor; ///< with compression only
        std::string decompressed;                        ///< decompressed input, not yet decoded
        memory_charge charge;                            ///< of the input that is not yet decoded
        std::size_t unfinished_bytes = 0; ///< buffer of a frame whose rest is awaited
        /// Start of the wait for the rest of a frame, or for the peer to close the connection
        /// after a failure.
        time_point waiting_since;
    };

    void open(h2o_socket_t* socket);
    void close(connection& peer);
    void read_frames(connection& peer);
    bool decompress_input(connection& peer);
    std::optional<std::size_t> deliver_frames(connection& peer, std::string_view bytes,
                                              bool& frame_received);
    void charge_input(connection& peer);
    void send_failure(connection& peer, const std::string& reason);
    void close_stalled();
    void set_unfinished(connection& peer, std::size_t bytes);
    void enforce_unfinished_limit();

    static void on_readable(h2o_socket_t* socket, const char* failure);

    loop& loop_;
    const peer_limits& limits_;
    peer_counters& counters_;
    receiver on_frame_;
    peer_lost_hook on_peer_lost_;
    std::set<connection*> connections_;
    std::size_t unfinished_bytes_ = 0; ///< of all connections
    listener listener_;
    loop::timer_id sweep_timer_ = 0;
};

/// Enables TCP keep-alive probes and a limit on the time that sent data stays unacknowledged, so
/// that the kernel reports a peer whose host disappeared without closing the connection.
void enable_lost_peer_detection(h2o_socket_t* socket, milliseconds unacknowledged_limit);

/// Limits the bytes that the kernel holds for the socket before it sends them.
void limit_unsent_bytes(h2o_socket_t* socket, std::size_t bytes);

} // namespace bulrushgw::net::detail
