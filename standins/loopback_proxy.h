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
        pass,   ///< bytes are forwarded at once
        delay,  ///< bytes in both directions are forwarded after a delay
        silent, ///< all bytes are discarded, and connections stay open
        /// Bytes to the client are discarded. Bytes to the server are forwarded until the first
        /// bytes to the client were discarded; see `set_mode`.
        one_way,
    };

    /// Throws `net::listen_error`.
    loopback_proxy(net::loop& loop, const net::endpoint& address, net::endpoint server);
    ~loopback_proxy();
    loopback_proxy(const loopback_proxy&) = delete;
    loopback_proxy& operator=(const loopback_proxy&) = delete;
    loopback_proxy(loopback_proxy&&) = delete;
    loopback_proxy& operator=(loopback_proxy&&) = delete;

    /// Applies to existing and new connections. After bytes of a connection were discarded, all
    /// bytes that it receives are discarded in both directions, even if the mode changes. This
    /// models a middlebox that lost its state. `delay` is used by `mode::delay` only.
    void set_mode(mode next, milliseconds delay = milliseconds{0});
    /// Closes all existing connections on both sides.
    void reset_all();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace bulrushgw::standin
