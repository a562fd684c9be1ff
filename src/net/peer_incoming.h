#pragma once

/// Connections that peers opened: they carry frames to this node. Internal to
/// the peer transport. Not thread-safe.

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "net/peer_transport.h"
#include "net/sockets.h"
#include "net/stream_codec.h"

namespace bulrushgw::net::detail {

class peer_incoming {
public:
    using receiver = std::function<void(const wire::frame&)>;

    /// Throws `listen_error` when the address cannot be bound.
    peer_incoming(loop& loop, const endpoint& address, const peer_limits& limits,
                  peer_counters& counters, receiver on_frame);
    ~peer_incoming();
    peer_incoming(const peer_incoming&) = delete;
    peer_incoming& operator=(const peer_incoming&) = delete;
    peer_incoming(peer_incoming&&) = delete;
    peer_incoming& operator=(peer_incoming&&) = delete;

    [[nodiscard]] const endpoint& address() const { return listener_.address(); }

private:
    struct connection {
        peer_incoming* owner = nullptr;
        h2o_socket_t* socket = nullptr;
        bool failing = false; ///< a protocol failure was written; all input is discarded
        std::string failure;  ///< its bytes, which h2o refers to
        bool unfinished = false;
        std::optional<stream_expander> expander; ///< of a compressed connection
        std::string plain;                       ///< its expanded bytes, not yet read
        time_point waiting_since;                ///< valid when unfinished or failing
    };

    void open(h2o_socket_t* socket);
    void close(connection& peer);
    void read_frames(connection& peer);
    bool expand_input(connection& peer);
    std::optional<std::size_t> take_frames(connection& peer, std::string_view bytes, bool& any);
    void fail(connection& peer, const std::string& reason);
    void close_stalled();

    static void on_readable(h2o_socket_t* socket, const char* failure);

    loop& loop_;
    const peer_limits& limits_;
    peer_counters& counters_;
    receiver on_frame_;
    std::set<connection*> connections_;
    listener listener_;
    loop::timer_id sweep_ = 0;
};

/// Lets the kernel report a peer whose host vanished without closing.
void watch_for_lost_peer(h2o_socket_t* socket, milliseconds limit);

} // namespace bulrushgw::net::detail
