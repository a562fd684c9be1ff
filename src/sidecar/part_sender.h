#pragma once

/// Sends bodies that are too large for one frame, part by part.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>

#include "common/ids.h"
#include "wire/messages.h"

namespace bulrushgw::sidecar {

/// Size of a part. On a link of 10 Mbit/s, the slowest of a deployment, another frame waits 50 ms
/// for a part in front of it.
inline constexpr std::size_t body_part_bytes = std::size_t{64} * 1024;
/// Bodies up to this size travel in one frame with their request, as most uploads do, which have
/// 60,000 bytes. With larger frames, a burst of uploads from many hosts to one would take memory
/// for unfinished frames before that host can refuse them.
inline constexpr std::size_t max_single_frame_body_bytes = body_part_bytes;
/// Parts that are queued on a connection before its present write has ended.
inline constexpr std::size_t max_queued_parts = 2;

/// Sends the parts of bodies, which their requests keep, at the pace at which the connections take
/// them: it queues at most `max_queued_parts` parts on a connection until the connection's write
/// ends. Bodies to the same address take turns, so that no body waits for the end of another.
/// Addresses several large uploads at once over a slow connection that also carries the frames of
/// leases and small requests. Not thread-safe.
class part_sender {
public:
    struct hooks {
        /// Returns false if the message will not be sent.
        std::function<bool(const std::string& address, incarnation_id to, const wire::body&)> send;
        /// The body of the request with this message number, or null if the request has ended.
        std::function<const std::string*(std::uint64_t number)> body_of;
    };

    /// Both hooks must be set. They must not call this object.
    explicit part_sender(hooks callbacks) : hooks_(std::move(callbacks)) {}

    /// Sends the body of the request `number`, whose `wire::forward` was sent before.
    void begin(std::uint64_t number, const std::string& address, incarnation_id to);
    /// Sends no more parts of the request. Returns true if parts of it were not sent yet: the
    /// request cannot have run.
    bool stop(std::uint64_t number);
    /// Whether parts of the request were not sent yet.
    [[nodiscard]] bool is_sending(std::uint64_t number) const { return bodies_.contains(number); }
    /// A write of the connection to `address` ended.
    void on_drained(const std::string& address);

private:
    struct unsent_body {
        std::string address;
        incarnation_id to;
        std::uint64_t next_part = 0;
    };
    struct connection {
        std::deque<std::uint64_t> turns; ///< message numbers; the first one is next
        std::size_t queued_parts = 0;    ///< since the last write ended
    };

    void send_parts(const std::string& address);
    /// Sends the next part of a body. Returns false if the connection takes no part now.
    bool send_part(connection& conn, std::uint64_t number);

    hooks hooks_;
    std::map<std::uint64_t, unsent_body> bodies_;
    std::map<std::string, connection> connections_;
};

} // namespace bulrushgw::sidecar
