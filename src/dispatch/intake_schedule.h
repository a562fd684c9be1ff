#pragma once

/// Order in which the bodies of requests from other hosts cross the link of this host.

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "common/boot_clock.h"
#include "common/ids.h"
#include "dispatch/link_pacer.h"

namespace bulrushgw::dispatch {

/// The host that sends a body, and the number of its request, unique for that host.
using body_key = std::pair<incarnation_id, std::uint64_t>;

struct announced_body {
    body_key key;
    std::uint64_t bytes = 0; ///< size, at least 1
    std::uint32_t rank = 0;  ///< of the request; 0 is the most urgent
    milliseconds work{0};    ///< expected time that the target takes to run the request
    time_point aim;          ///< latency goal of the request
    time_point deadline;     ///< of the request
};

/// The sender of the body may send up to `bytes` of it in total.
struct body_credit {
    body_key key;
    std::uint64_t bytes = 0;
};

/// A body that cannot arrive in time for its request to run.
struct late_body {
    body_key key;
    milliseconds retry_after{0}; ///< time until the bodies ahead of it have arrived
};

/// Totals since the start.
struct intake_schedule_counters {
    std::uint64_t bytes_credited = 0;
    std::uint64_t bytes_arrived = 0;
    std::uint64_t bytes_returned = 0; ///< credited, but not sent by a sender that left or stalled
};

/// Decides which of the bodies that other hosts have announced is sent next. Credited bytes that
/// have not arrived stay within `link_pacer::window_bytes`. Bodies are credited in pieces, the
/// lowest rank first. Within a rank, bodies that can meet their latency goal go first, then the
/// earliest deadline, as in `slot_queue`; but a sender that has got `max_lead_bytes` more than
/// another one that waits gives way to it. A body that cannot arrive and run before its deadline is
/// refused at once. The credit of a sender that makes no progress returns to the window until the
/// sender continues.
///
/// Addresses many hosts that upload to the target of one host at the same time, over a link that
/// takes seconds to carry what they hold, while leases and short calls use the same link.
/// Deterministic; not thread-safe.
class intake_schedule {
public:
    /// Largest piece that one credit adds.
    static constexpr std::uint64_t piece_bytes = std::uint64_t{64} * 1024;
    /// Number of bytes by which a sender may be ahead of another one of the same rank.
    static constexpr std::uint64_t max_lead_bytes = 2 * piece_bytes;
    /// A sender that has sent nothing of a credit for this time is taken to be stalled.
    static constexpr milliseconds stall_time{500};

    /// `link_mbps`: speed of the host's link in Mbit/s, positive.
    explicit intake_schedule(double link_mbps) : pacer_(link_mbps) {}

    /// Adds a body. Returns the Retry-After time if the body cannot arrive in time; it is then not
    /// added. Precondition: the key is new.
    std::optional<milliseconds> announce(time_point now, const announced_body& body);
    /// The next credit to be sent, if the window and the rate of the link allow one now. Call it
    /// until it returns none, after each other call that changes this object.
    std::optional<body_credit> next_credit(time_point now);
    /// Time until the rate of the link allows the next credit; none: no body waits for the rate.
    /// Precondition: the last call of `next_credit` returned none.
    [[nodiscard]] std::optional<milliseconds> next_attempt(time_point now) const;
    /// `bytes` of a body arrived. Unknown keys are ignored.
    void on_arrived(time_point now, body_key key, std::uint64_t bytes);
    /// The body is complete, was refused or was dropped. Its unused credit returns to the window.
    void remove(body_key key);
    /// Returns the bodies whose sender has made no progress since `stall_time`; each is returned
    /// once until its sender continues. Their credit is taken out of the window.
    std::vector<body_key> take_stalled(time_point now);
    /// Removes and returns the waiting bodies that can no longer arrive in time.
    std::vector<late_body> take_late(time_point now);

    /// Time after which a body of `piece_bytes` that is announced at `now`, behind all others,
    /// would be credited; 0: at once.
    [[nodiscard]] milliseconds wait(time_point now) const;
    /// Number of bodies that have not been credited in full.
    [[nodiscard]] std::size_t waiting() const;
    [[nodiscard]] const intake_schedule_counters& counters() const { return counters_; }

private:
    struct body {
        announced_body announced;
        std::uint64_t credited = 0;
        std::uint64_t arrived = 0;
        time_point last_progress;
        bool stalled = false;

        [[nodiscard]] std::uint64_t uncredited() const { return announced.bytes - credited; }
        [[nodiscard]] std::uint64_t on_the_way() const { return credited - arrived; }
        [[nodiscard]] bool is_waiting() const { return !stalled && uncredited() > 0; }
    };
    /// Start-time fair queueing between the senders.
    struct sender {
        std::uint64_t served = 0; ///< credited bytes, counted on from `served_` after an idle time
        std::size_t bodies = 0;
    };
    struct position {
        std::uint32_t rank = 0;
        bool is_ahead_of_others = false;
        bool misses_aim = false;
        time_point deadline;
        auto operator<=>(const position&) const = default;
    };
    /// Bytes that are credited before a given body.
    struct bytes_ahead {
        std::uint64_t of_lower_ranks = 0;
        std::map<incarnation_id, std::uint64_t> of_senders; ///< with the same rank
    };
    using body_map = std::map<body_key, body>;

    [[nodiscard]] position position_of(time_point now, const body& item) const;
    [[nodiscard]] body_map::iterator first_waiting(time_point now);
    [[nodiscard]] std::uint64_t bytes_before(const body& item, const bytes_ahead& ahead) const;
    [[nodiscard]] bool is_late(time_point now, const body& item, std::uint64_t before) const;
    [[nodiscard]] std::uint64_t piece_limit() const;

    link_pacer pacer_;
    body_map bodies_;
    std::map<incarnation_id, sender> senders_;
    std::uint64_t served_ = 0;     ///< `sender::served` of the last credited sender, not decreasing
    std::uint64_t on_the_way_ = 0; ///< credited bytes that have not arrived, without stalled bodies
    std::uint64_t uncredited_ = 0; ///< of all waiting bodies
    std::optional<std::uint64_t> wanted_piece_; ///< that the rate did not allow
    intake_schedule_counters counters_;
};

} // namespace bulrushgw::dispatch
