#pragma once

/// Sends bodies that are too large for one frame, part by part.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>

#include "common/boot_clock.h"
#include "common/ids.h"
#include "dispatch/link_pacer.h"
#include "wire/messages.h"

namespace bulrushgw::sidecar {

/// Largest size of a part. On a link of 10 Mbit/s, the slowest of a deployment, another frame waits
/// 50 ms for a part in front of it.
inline constexpr std::size_t body_part_bytes = std::size_t{64} * 1024;
/// Parts that are queued on a connection before its present write has ended.
inline constexpr std::size_t max_queued_parts = 2;

/// Sends the parts of bodies, which their requests keep: at most what the receiver has credited, at
/// the rate of `dispatch::link_pacer` for all receivers together, and at the pace at which the
/// connections take them: it queues at most `max_queued_parts` parts on a connection until the
/// connection's write ends. Bodies take turns, so that no body waits for the end of another.
/// Addresses many large uploads at once over a slow link that also carries the frames of leases and
/// small requests. Not thread-safe.
class part_sender {
public:
    struct hooks {
        std::function<time_point()> now;
        /// Returns false if the message will not be sent.
        std::function<bool(const std::string& address, incarnation_id to, const wire::body&)> send;
        /// The body of the request with this message number, or null if the request has ended.
        std::function<const std::string*(std::uint64_t number)> body_of;
        /// Calls `on_rate` after the time.
        std::function<void(milliseconds)> call_on_rate_after;
    };

    /// `link_mbps`: speed of this host's link in Mbit/s, positive. All hooks must be set. They must
    /// not call this object.
    part_sender(double link_mbps, hooks callbacks) : pacer_(link_mbps), hooks_(std::move(callbacks))
    {
    }

    /// Prepares to send the body of the request `number`, whose `wire::forward` was sent before. No
    /// part is sent before a credit.
    void begin(std::uint64_t number, const std::string& address, incarnation_id to);
    /// The receiver `from` takes up to `bytes` of the body in total. A credit that is not above an
    /// earlier one, or is for an unknown request, is ignored.
    void on_credit(incarnation_id from, std::uint64_t number, std::uint64_t bytes);
    /// Sends no more parts of the request. Returns true if parts of it were not sent yet: the
    /// request cannot have run.
    bool stop(std::uint64_t number);
    /// Whether parts of the request were not sent yet.
    [[nodiscard]] bool is_sending(std::uint64_t number) const { return bodies_.contains(number); }
    /// A write of the connection to `address` ended.
    void on_drained(const std::string& address);
    /// The time of `hooks::call_on_rate_after` has passed.
    void on_rate();

private:
    struct unsent_body {
        std::string address;
        incarnation_id to;
        std::uint64_t next_part = 0;
        std::uint64_t sent_bytes = 0;
        std::uint64_t credited_bytes = 0;
        bool has_turn = false; ///< its number is in `turns_`
    };
    enum class part_result {
        sent,
        connection_full, ///< until its write ends
        link_full,       ///< until `on_rate`
    };

    void send_parts();
    part_result send_part(std::uint64_t number, unsent_body& unsent);
    void call_on_rate_after(milliseconds time);

    dispatch::link_pacer pacer_;
    hooks hooks_;
    std::map<std::uint64_t, unsent_body> bodies_;
    std::deque<std::uint64_t> turns_; ///< numbers of bodies with unused credit; the first is next
    std::map<std::string, std::size_t> queued_parts_; ///< by address, since the last write ended
    bool is_call_pending_ = false;
};

} // namespace bulrushgw::sidecar
