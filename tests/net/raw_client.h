#pragma once

/// A TCP client that sends raw bytes, for input that `http_client` and `peer_transport` cannot
/// send.

#include <string>

#include "net/http.h"

namespace bulrushgw::net::test {

class raw_client {
public:
    explicit raw_client(const endpoint& address);
    ~raw_client();
    raw_client(const raw_client&) = delete;
    raw_client& operator=(const raw_client&) = delete;
    raw_client(raw_client&&) = delete;
    raw_client& operator=(raw_client&&) = delete;

    /// Sends without blocking. Returns false unless all bytes were accepted by the socket.
    bool send(const std::string& bytes) const;
    /// Reads the bytes that have arrived. Sets `closed` when the peer closed the connection.
    std::string received();
    bool closed = false;
    void shut_down_sending() const;
    /// Closes the connection with a reset, so that the peer's next write fails.
    void reset();

private:
    int fd_ = -1;
};

} // namespace bulrushgw::net::test
