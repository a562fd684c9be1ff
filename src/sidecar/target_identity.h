#pragma once

/// Decides whether the connections to the target lead to the run of it that is known. Pure: no
/// socket or clock.
///
/// A grant names no target: it goes to whatever process listens at the address. Only connections of
/// a session (see `net::server_continuity`) on which the target has told its id lead to a known
/// run. A new run may use the id again, and only its heartbeats tell it from the run before.

#include <cstdint>
#include <optional>
#include <string>

#include "assignment/types.h"

namespace bulrushgw::sidecar {

/// Not thread-safe.
class target_identity {
public:
    /// An answer on a connection of `session` came from the target `id`. `known` is the run that
    /// the node knows; `last_broken` is the latest session of which the target ended a connection.
    void on_answer(std::uint64_t session, const std::string& id,
                   const assignment::target_status& known, std::uint64_t last_broken);
    /// A heartbeat of the known run arrived.
    void on_heartbeat(const assignment::target_status& known);

    /// True if connections of `session` lead to the run `known`.
    [[nodiscard]] bool is_confirmed(std::uint64_t session,
                                    const assignment::target_status& known) const
    {
        return is_answered(session, known) && !confirmed_->awaits_heartbeat;
    }
    /// True if a health check has to tell which target runs.
    [[nodiscard]] bool needs_answer(std::uint64_t session,
                                    const assignment::target_status& known) const
    {
        return !known.id.empty() && !is_answered(session, known);
    }

private:
    struct confirmation {
        std::uint64_t session = 0;
        assignment::target_status run;
        /// The target broke the connections of the session before, so this may be a new run with
        /// the same id. Its next heartbeat tells.
        bool awaits_heartbeat = false;
    };

    [[nodiscard]] bool is_answered(std::uint64_t session,
                                   const assignment::target_status& known) const
    {
        return session != 0 && confirmed_ && confirmed_->session == session &&
               confirmed_->run.is_same_instance(known);
    }

    std::optional<confirmation> confirmed_;
};

} // namespace bulrushgw::sidecar
