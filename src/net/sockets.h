#pragma once

/// Listening sockets and socket addresses, shared by the HTTP server and the
/// peer transport. Not thread-safe.

#include <cstddef>
#include <functional>
#include <string_view>
#include <sys/socket.h>

#include "net/h2o_library.h"
#include "net/http.h"
#include "net/loop.h"

namespace bulrushgw::net::detail {

/// Compares header names, ignoring the case of ASCII letters.
bool is_same_header_name(std::string_view left, std::string_view right);

struct socket_address {
    sockaddr_storage bytes{};
    socklen_t size = 0;
};

/// Throws `address_error` when `address.ip` is not an IP address.
socket_address to_socket_address(const endpoint& address);

/// Bytes that were written to the socket and that the peer has not acknowledged; 0 if the kernel
/// does not tell.
std::size_t unacknowledged_bytes(int fd);

/// Accepts connections and passes each socket to a callback, which becomes its owner.
class listener {
public:
    using acceptor = std::function<void(h2o_socket_t*)>;

    /// Throws `listen_error` when the address cannot be bound.
    listener(loop& loop, const endpoint& address, acceptor on_accept);
    ~listener();
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;
    listener(listener&&) = delete;
    listener& operator=(listener&&) = delete;

    /// The bound address, with the assigned port if port 0 was requested.
    [[nodiscard]] const endpoint& address() const { return address_; }

private:
    static void on_readable(h2o_socket_t* socket, const char* failure);

    endpoint address_;
    acceptor on_accept_;
    h2o_socket_t* socket_ = nullptr;
};

} // namespace bulrushgw::net::detail
