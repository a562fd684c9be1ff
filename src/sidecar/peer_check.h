#pragma once

/// Probes peers to distinguish a connection that silently loses data from a peer that answers late.
/// A missing reply alone is no proof of data loss: the target may hang, or the node may no longer
/// be the leader. A reset of the connection to a healthy node would lose the requests in flight on
/// that connection.

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "common/boot_clock.h"
#include "wire/messages.h"

namespace bulrushgw::sidecar {

struct peer_check_settings {
    /// Time within which a peer must answer a probe. It allows for a few ticks of a busy process
    /// plus the round trip.
    milliseconds reply_timeout{300};
    /// Minimum time between two probes of the same peer.
    milliseconds probe_interval{1000};
};

/// Reads the time and sends messages only through its hooks. Not thread-safe.
class peer_check {
public:
    struct hooks {
        std::function<time_point()> now;
        std::function<void(const std::string& address, const wire::body&)> send;
        /// The peer did not answer a probe, so data to the peer or from the peer gets lost. `cause`
        /// is the one given to `suspect`.
        std::function<void(const std::string& address, const std::string& cause)> on_unresponsive;
    };

    /// All hooks must be set.
    explicit peer_check(hooks callbacks, peer_check_settings settings = {})
        : hooks_(std::move(callbacks)), settings_(settings)
    {
    }

    /// Sends a probe to the peer, unless one was sent within `peer_check_settings::probe_interval`.
    /// `cause` says why the peer is suspected, for logs.
    void suspect(const std::string& address, const std::string& cause);
    /// A reply that matches no open probe is ignored.
    void on_reply(const std::string& address, const wire::probe_reply& reply);
    /// Reports probes that were not answered in time. Call at least every 50 ms.
    void on_tick();

private:
    struct check {
        std::uint64_t number = 0;
        time_point started;
        std::string cause;
        bool awaiting_reply = false; ///< no reply yet
    };

    hooks hooks_;
    peer_check_settings settings_;
    std::map<std::string, check> checks_; ///< by address
    std::uint64_t next_number_ = 1;
};

} // namespace bulrushgw::sidecar
