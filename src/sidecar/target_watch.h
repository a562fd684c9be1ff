#pragma once

/// Tracks the state of the target on this host from its heartbeats and from the results of calls
/// to it. Pure: no socket or clock.
///
/// A process that was started beside a running target does not know whether an earlier process of
/// this host confirmed to the target that it leaves, and a heartbeat may be older than that
/// confirmation. A target therefore counts as ready only if it is new or says so itself, in its
/// answer to a health check that this process sent.

#include <optional>
#include <string>

#include "assignment/types.h"
#include "sidecar/protocol.h"

namespace bulrushgw::sidecar {

struct target_watch_settings {
    /// Time from the start of draining after which the target must get no request.
    milliseconds drain{2000};
    /// The target counts as absent if both conditions hold when a call gets no answer:
    /// `unanswered_limit` or more calls got no answer since the last answer or heartbeat, and the
    /// last answer arrived at least `min_silence` ago.
    milliseconds min_silence{800};
    unsigned unanswered_limit = 3;
    /// The target counts as absent after this many calls that could not be sent, for example
    /// because the target refused the connection, without an answer in between.
    unsigned refused_limit = 2;
    /// No request is sent in this last part of `drain`, to allow for the transmission of the last
    /// request.
    milliseconds drain_margin{300};
    /// Heartbeats may arrive seconds late, but a target that leaves sends no more of them with the
    /// state ready. A target whose health checks fail counts as ready when its ready heartbeats
    /// have arrived for this time.
    milliseconds max_heartbeat_delay{6000};
    /// A target is not checked any more if no heartbeat arrived for this time, in which three are
    /// due.
    milliseconds max_check_time{3000};
};

/// The target's answer to a health check.
struct target_health {
    std::string target_id;
    std::uint32_t slots = 0; ///< 0: not given
    bool is_ready = false;   ///< false: the target leaves or is failing
};

/// Not thread-safe.
class target_watch {
public:
    target_watch(target_watch_settings settings, std::string service, std::string address);

    void set_drain(milliseconds drain) { settings_.drain = drain; }
    /// Returns false and changes nothing if the heartbeat is from a target with another address
    /// or service, from an earlier or deregistered run of the target, or out of sequence. A target
    /// that reports itself ready is used once it has confirmed that, see `needs_check`.
    bool on_heartbeat(time_point now, const heartbeat& beat);
    /// The target stops or has stopped; effective when this call returns. A target may use its id
    /// again after a restart, so later runs of `target_id` are not deregistered. If the start time
    /// of the deregistered target is not known, all runs that started up to `unix_time`, the
    /// current Unix time, are deregistered.
    void on_deregistration(time_point now, const std::string& target_id, milliseconds unix_time);
    /// The target answered a health check that this process sent. Ignored if a target is known and
    /// not to be checked, or if the answer is from the deregistered target.
    void on_health(time_point now, const target_health& health);
    /// True if a target reports itself ready and must confirm this in a health check, or if the
    /// check must tell which target runs after another one ended.
    [[nodiscard]] bool needs_check(time_point now) const;
    /// The target refused a request because it is not the known target, which has thus ended. The
    /// known target counts as absent until a health check tells which one runs.
    void on_other_target(time_point now);
    /// The result of a call to the target: an answer, no valid answer to a call that was sent, or a
    /// call that could not be sent, for example because the target refused the connection.
    void on_answer(time_point now);
    void on_no_answer(time_point now);
    void on_refused(time_point now);

    [[nodiscard]] const assignment::target_status& status() const { return status_; }
    /// True while requests may be sent to the target.
    [[nodiscard]] bool accepts(time_point now) const;
    /// Increased by each change of the status.
    [[nodiscard]] std::uint64_t changes() const { return changes_; }

private:
    void set_phase(assignment::target_phase phase);
    void begin_drain(time_point now);
    /// The phase of a target that is not absent.
    [[nodiscard]] assignment::target_phase present_phase() const;
    [[nodiscard]] bool is_earlier_run(const assignment::target_status& reported) const;
    [[nodiscard]] bool counts_as_ready(time_point now, const heartbeat& beat);
    void adopt(const assignment::target_status& target, std::uint64_t sequence);

    target_watch_settings settings_;
    std::string service_;
    std::string address_;
    assignment::target_status status_;
    std::uint64_t sequence_ = 0;
    /// A target that reports itself ready, but did not confirm it in a health check.
    struct unchecked_target {
        heartbeat latest;
        time_point first_arrival;
        time_point latest_arrival;
    };
    std::optional<unchecked_target> unchecked_;
    /// Latest answer from the address of an absent target that may have ended.
    std::optional<time_point> unidentified_answer_;
    bool is_replaced_ = false; ///< another target than the known one answered
    std::string checked_id_;   ///< target that confirmed to this process that it is ready
    std::optional<time_point> draining_since_;
    /// The known target was ready under this process. Otherwise it leaves or fails, possibly since
    /// a time before this process was started.
    bool was_ready_ = false;
    std::string deregistered_id_; ///< deregistered target, whose late heartbeats are ignored
    /// Unix time. Runs of `deregistered_id_` that started later are accepted.
    std::uint64_t max_deregistered_start_ms_ = 0;
    time_point last_answer_{};
    unsigned unanswered_ = 0; ///< calls without an answer since the last answer or heartbeat
    unsigned refused_ = 0;    ///< calls that could not be sent since the last answer
    std::uint64_t changes_ = 0;
};

} // namespace bulrushgw::sidecar
