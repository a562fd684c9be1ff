#pragma once

/// A TCP proxy on loopback that injects network faults between two programs.

#include <cstdint>
#include <map>
#include <memory>

#include "net/http.h"
#include "net/loop.h"

namespace bulrushgw::standin {

/// Not thread-safe: runs on one loop.
class loopback_proxy {
public:
    enum class mode {
        pass,    ///< bytes are forwarded at once
        delay,   ///< bytes are forwarded late, in both directions
        silent,  ///< all bytes are discarded, and connections stay open
        one_way, ///< bytes to the server are forwarded, bytes to the client are discarded
    };

    /// Throws `net::listen_error`.
    loopback_proxy(net::loop& loop, const net::endpoint& address, net::endpoint server);
    ~loopback_proxy();
    loopback_proxy(const loopback_proxy&) = delete;
    loopback_proxy& operator=(const loopback_proxy&) = delete;
    loopback_proxy(loopback_proxy&&) = delete;
    loopback_proxy& operator=(loopback_proxy&&) = delete;

    /// Applies to present and new connections. A connection whose bytes were discarded forwards
    /// nothing any more, also in a later mode, as after a middlebox lost its state. `delay`
    /// is used by `mode::delay` only.
    void set_mode(mode next, milliseconds delay = milliseconds{0});
    /// Closes all present connections on both sides.
    void reset_all();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace bulrushgw::standin
