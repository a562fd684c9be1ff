#pragma once

/// A blocking client on a plain socket, to send what the HTTP client cannot.

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

    /// Sends without waiting; returns false when the peer closed.
    bool send(const std::string& bytes) const;
    /// What has arrived and was not read yet; sets `closed` at the end.
    std::string received();
    bool closed = false;
    void shut_down_sending() const;
    /// Closes with a reset, so that the peer's next write fails.
    void reset();

private:
    int fd_ = -1;
};

} // namespace bulrushgw::net::test
