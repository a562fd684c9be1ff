#pragma once

/// What is known about the target on this host: its heartbeats, and whether it
/// answers. Pure.

#include <optional>
#include <string>

#include "assignment/types.h"
#include "sidecar/protocol.h"

namespace bulrushgw::sidecar {

struct target_watch_settings {
    milliseconds drain{2000};  ///< bound after the confirmation of a leave
    milliseconds silence{800}; ///< without any answer while several are awaited
    unsigned unanswered = 3;   ///< calls without an answer before it counts as silent
    unsigned refused = 2;      ///< refused connections before it counts as gone
    /// Time before the bound at which the last request is sent, for its way.
    milliseconds drain_margin{300};
};

/// Not thread-safe.
class target_watch {
public:
    target_watch(target_watch_settings settings, std::string service, std::string address);

    void set_drain(milliseconds drain) { settings_.drain = drain; }
    /// False when the heartbeat is not of the target on this host, or older than
    /// what is known; it changes nothing then.
    bool on_heartbeat(time_point now, const heartbeat& beat);
    /// The target leaves or is gone. Binds from the return on. `unix_time` tells the
    /// lives that are meant when the target was not known: those that began before.
    void on_deregistration(time_point now, const std::string& target_id, milliseconds unix_time);
    /// The id that the target told with a health answer.
    void on_identity(time_point now, const std::string& target_id, std::uint32_t slots);
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
    void begin_leave(time_point now);

    target_watch_settings settings_;
    std::string service_;
    std::string address_;
    assignment::target_status status_;
    std::uint64_t sequence_ = 0;
    std::optional<time_point> leaving_since_;
    std::string ended_id_; ///< deregistered; late heartbeats do not bring it back
    std::uint64_t ended_born_ = 0;
    time_point last_answer_{};
    unsigned unanswered_ = 0;
    unsigned refused_ = 0;
    std::uint64_t changes_ = 0;
};

} // namespace bulrushgw::sidecar
