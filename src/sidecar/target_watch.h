#pragma once

/// Tracks the state of the target on this host from its heartbeats and from the results of calls
/// to it. Pure: no socket or clock.

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
};

/// Not thread-safe.
class target_watch {
public:
    target_watch(target_watch_settings settings, std::string service, std::string address);

    void set_drain(milliseconds drain) { settings_.drain = drain; }
    /// Returns false and changes nothing if the heartbeat is from a target with another address
    /// or service, from an earlier or deregistered run of the target, or out of sequence.
    bool on_heartbeat(time_point now, const heartbeat& beat);
    /// The target stops or has stopped; effective when this call returns. A target may use its id
    /// again after a restart, so later runs of `target_id` are not deregistered. If the start time
    /// of the deregistered target is not known, all runs that started up to `unix_time`, the
    /// current Unix time, are deregistered.
    void on_deregistration(time_point now, const std::string& target_id, milliseconds unix_time);
    /// The target answered a health check with its id and slots. Ignored if a target is known, or
    /// if `target_id` is empty or the id of the deregistered target.
    void on_target_id(time_point now, const std::string& target_id, std::uint32_t slots);
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

    target_watch_settings settings_;
    std::string service_;
    std::string address_;
    assignment::target_status status_;
    std::uint64_t sequence_ = 0;
    std::optional<time_point> draining_since_;
    std::string deregistered_id_; ///< deregistered target, whose late heartbeats are ignored
    /// Unix time. Runs of `deregistered_id_` that started later are accepted.
    std::uint64_t max_deregistered_start_ms_ = 0;
    time_point last_answer_{};
    unsigned unanswered_ = 0; ///< calls without an answer since the last answer or heartbeat
    unsigned refused_ = 0;    ///< calls that could not be sent since the last answer
    std::uint64_t changes_ = 0;
};

} // namespace bulrushgw::sidecar
