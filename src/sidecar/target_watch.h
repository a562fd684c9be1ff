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
    /// The target counts as absent after `unanswered_limit` calls without an answer or a heartbeat
    /// in between, if its last answer was at least `min_silence` ago.
    milliseconds min_silence{800};
    unsigned unanswered_limit = 3;
    /// The target counts as absent after this many refused connections without an answer in
    /// between.
    unsigned refused_limit = 2;
    /// The last request is sent this long before `drain` ends, to allow for its transmission.
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
    /// The target stops or has stopped; effective when this call returns. An id may be used again
    /// after a restart: if the start time of the deregistered target is not known, all runs of
    /// `target_id` that started up to `unix_time`, the current Unix time, are deregistered.
    void on_deregistration(time_point now, const std::string& target_id, milliseconds unix_time);
    /// The target answered a health check with its id and slots. Ignored if a target is known.
    void on_target_id(time_point now, const std::string& target_id, std::uint32_t slots);
    /// The result of a call to the target: an answer, no answer in time, or a refused connection.
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
    unsigned refused_ = 0;    ///< refused connections since the last answer
    std::uint64_t changes_ = 0;
};

} // namespace bulrushgw::sidecar
