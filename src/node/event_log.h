#pragma once

/// Log of a node: one line with a JSON object on standard error for each change of state, written
/// through log4cxx.

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "common/boot_clock.h"
#include "common/ids.h"
#include "node/settings.h"

namespace bulrushgw::node {

/// Kinds of events. The value of each is the index of its entry in `event_table`.
enum class event_kind : std::uint8_t {
    started,
    stopping,
    stopped,
    joined,
    left,
    incarnation_ended,
    lease_lost,
    lease_running,
    pause_detected,
    ranges_changed,
    member_ended,
    witness_replaced,
    too_few_witnesses,
    target_announced,
    target_silent,
    target_restarted,
    target_draining,
    store_down,
    store_up,
    rules_applied,
    rules_refused,
    rules_stale,
    rules_fresh,
    end_asserted,
    drain_requested,
    peer_failure,
    internal_failure,
};

struct event_info {
    event_kind kind = event_kind::started;
    std::string_view name; ///< value of the field "event"
    log_level level = log_level::info;
    std::string_view meaning;
};

// clang-format off
inline constexpr std::array event_table{
    event_info{event_kind::started, "started", log_level::info,
        "the process listens on all its addresses"},
    event_info{event_kind::stopping, "stopping", log_level::info,
        "a planned stop began: the node hands its ranges over"},
    event_info{event_kind::stopped, "stopped", log_level::info,
        "the process exits; the cause says whether all requests finished"},
    event_info{event_kind::joined, "joined", log_level::info,
        "this incarnation is a member of its service's placement"},
    event_info{event_kind::left, "left", log_level::info,
        "this incarnation is no longer a member and serves nothing"},
    event_info{event_kind::incarnation_ended, "incarnation-ended", log_level::warn,
        "this incarnation ended; the node rejoins as a new one"},
    event_info{event_kind::lease_lost, "lease-lost", log_level::warn,
        "the lease expired without a renewal or ended with its incarnation; the node rejects requests of keyed services"},
    event_info{event_kind::lease_running, "lease-running", log_level::info,
        "a witness renewed the lease, which is now running for the first time or again"},
    event_info{event_kind::pause_detected, "pause-detected", log_level::warn,
        "the process paused: a tick of the lease timer was delayed by more than lease.pause_threshold"},
    event_info{event_kind::ranges_changed, "ranges-changed", log_level::info,
        "the node started or stopped serving ranges of its service"},
    event_info{event_kind::member_ended, "member-ended", log_level::info,
        "a certificate proves that another member's lease ended"},
    event_info{event_kind::witness_replaced, "witness-replaced", log_level::info,
        "a lost witness of this node was replaced through the store"},
    event_info{event_kind::too_few_witnesses, "too-few-witnesses", log_level::error,
        "fewer than two other hosts are known: no lease can start, and a running lease ends with the next loss of a witness"},
    event_info{event_kind::target_announced, "target-announced", log_level::info,
        "a target announced itself on this host"},
    event_info{event_kind::target_silent, "target-silent", log_level::warn,
        "the target did not answer for 1 s; this incarnation ends"},
    event_info{event_kind::target_restarted, "target-restarted", log_level::warn,
        "the target announced itself with a new run id and receives its grants again"},
    event_info{event_kind::target_draining, "target-draining", log_level::info,
        "the target reports that it is draining and receives no new requests"},
    event_info{event_kind::store_down, "store-down", log_level::warn,
        "the platform store does not answer; takeovers continue, but joins, moves and new rules are delayed"},
    event_info{event_kind::store_up, "store-up", log_level::info,
        "the platform store answers, for the first time or again"},
    event_info{event_kind::rules_applied, "rules-applied", log_level::info,
        "a higher rules version is in force on this node"},
    event_info{event_kind::rules_refused, "rules-refused", log_level::warn,
        "a received rules version, or a row of the rules in the store, was rejected; the cause says why"},
    event_info{event_kind::rules_stale, "rules-possibly-stale", log_level::warn,
        "no contact with the store or with another node for at least 30 s"},
    event_info{event_kind::rules_fresh, "rules-fresh", log_level::info,
        "contact with the store or with another node was restored"},
    event_info{event_kind::end_asserted, "end-asserted", log_level::warn,
        "an operator asserted that an incarnation is switched off"},
    event_info{event_kind::drain_requested, "drain-requested", log_level::info,
        "an operator asked this node to drain"},
    event_info{event_kind::peer_failure, "peer-failure", log_level::warn,
        "a peer reported that a frame of this node violates the protocol"},
    event_info{event_kind::internal_failure, "internal-failure", log_level::error,
        "an unexpected error occurred; the process exits"},
};
// clang-format on

/// A change of state. Members without a value are omitted from the log line.
struct log_event {
    event_kind kind = event_kind::started;
    std::string service{};
    std::optional<range_id> range{};
    incarnation_id subject{}; ///< incarnation that the event is about, if not this node's own
    std::optional<std::uint64_t> version{};
    std::optional<std::uint64_t> count{};
    std::string cause{};
};

struct event_log_limits {
    /// Maximum number of lines of one kind per window. Further lines are only counted. When the
    /// next window begins, one line reports their number in the field "suppressed".
    std::uint32_t lines_per_kind = 20;
    std::uint32_t lines = 200; ///< lines of all kinds per window
    milliseconds window{10000};
};

/// Writes events as log lines, with a rate limit. Not thread-safe.
class event_log {
public:
    using sink = std::function<void(log_level, const std::string& line)>;

    /// Writes to standard error through log4cxx, which it configures for the whole process. Events
    /// below `min_level` are dropped.
    event_log(log_level min_level, const std::string& host);
    /// Passes each line to `write`.
    event_log(log_level min_level, const std::string& host, sink write,
              event_log_limits limits = {});

    /// Sets the incarnation that all later lines show.
    void set_incarnation(incarnation_id self);
    void write(time_point now, const log_event& event);
    /// Reports the number of suppressed lines of a window after the window has ended.
    void on_tick(time_point now);
    [[nodiscard]] std::uint64_t suppressed() const { return suppressed_; }

private:
    struct window_count {
        std::uint32_t written = 0;
        std::uint32_t suppressed_count = 0;
    };

    void begin_window(time_point now);
    void emit(const log_event& event, const event_info& info, std::uint32_t suppressed_count);

    log_level min_level_;
    std::string host_;
    incarnation_id self_;
    sink write_;
    event_log_limits limits_;
    time_point window_start_{};
    std::uint32_t written_ = 0;
    std::map<event_kind, window_count> window_counts_; ///< lines of the current window by kind
    std::uint64_t suppressed_ = 0;
};

/// The Markdown table of events in docs/operators.md, with one row for each event.
std::string events_markdown();

} // namespace bulrushgw::node
