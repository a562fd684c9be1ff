#pragma once

/// Tells whether connections to an address lead to the same process.

#include <cstdint>
#include <set>

namespace bulrushgw::net {

/// The kernel closes the connections of a process when it ends, before another process can accept
/// connections at its address. Connections that are open at the same time therefore lead to the
/// same process, and so do all connections of a session: each was established while an earlier one
/// was open. Clients of one address share an object. Not thread-safe.
class server_continuity {
public:
    /// A connection was established. Begins a new session unless an earlier connection is open,
    /// which is asked of the kernel, because the end of a connection may not have been read yet.
    void on_connected(int descriptor);
    /// The connection is closed now. `by_server`: the server ended it without an announcement, as
    /// the end of its process does. Precondition: the descriptor is still open.
    void on_closed(int descriptor, bool by_server);

    /// The session of all open connections; 0 if there is none.
    [[nodiscard]] std::uint64_t session() const { return open_.empty() ? 0 : session_; }
    /// The latest session of which the server ended a connection; 0 if there is none.
    [[nodiscard]] std::uint64_t last_broken() const { return last_broken_; }

private:
    std::set<int> open_;
    std::uint64_t session_ = 0;
    std::uint64_t last_broken_ = 0;
};

} // namespace bulrushgw::net
