#pragma once

/// Tells a connection between nodes that swallows what is sent on it from a peer that
/// answers late. A target that hangs, or a node that no longer leads, leaves requests
/// without a reply too; making the connection to a sound node anew would cost the
/// requests under way on it.

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "common/boot_clock.h"
#include "wire/messages.h"

namespace bulrushgw::sidecar {

struct peer_check_settings {
    /// For the answer to a probe: a few ticks of a busy process and the way there and back.
    milliseconds answer_time{300};
    /// Between two checks of one peer.
    milliseconds pause{1000};
};

/// Pure apart from its hooks. Not thread-safe.
class peer_check {
public:
    struct hooks {
        std::function<time_point()> now;
        std::function<void(const std::string& address, const wire::body&)> send;
        /// No answer came: nothing that is sent to the peer arrives, or nothing that it
        /// sends. `cause` is that of the suspicion.
        std::function<void(const std::string& address, const std::string& cause)> on_lost;
    };

    /// All hooks must be set.
    explicit peer_check(hooks with, peer_check_settings settings = {})
        : hooks_(std::move(with)), settings_(settings)
    {
    }

    /// Asks the peer to answer, unless it was asked within the pause.
    void suspect(const std::string& address, const std::string& cause);
    /// An answer that matches no question is ignored.
    void on_reply(const std::string& address, const wire::probe_reply& reply);
    /// Ends checks whose time is over. Call at least every 50 ms.
    void on_tick();

private:
    struct check {
        std::uint64_t number = 0;
        time_point begun;
        std::string cause;
        bool open = false; ///< the answer is awaited
    };

    hooks hooks_;
    peer_check_settings settings_;
    std::map<std::string, check> checks_; ///< by address
    std::uint64_t next_number_ = 1;
};

} // namespace bulrushgw::sidecar
