#pragma once

/// The driver's state of one host. Included only by the sources of the driver.

#include <deque>
#include <functional>
#include <map>
#include <memory>

#include "fakes/driver.h"

namespace bulrushgw::fakes {

struct driver::host_state {
    std::size_t index = 0;
    ownership::engine_settings settings;
    drifting_clock clock;
    std::unique_ptr<ownership::engine> engine;
    std::unique_ptr<target> server; ///< the target on this host
    /// Number of engines created so far; actions posted for an earlier engine are dropped.
    std::uint64_t generation = 0;
    /// Number of times the process was killed; ticks scheduled before the last kill are dropped.
    std::uint64_t process = 0;
    bool paused = false;
    bool tick_missed = false;
    bool store_blocked = false;
    std::deque<std::function<void()>> inbox;    ///< actions that wait while the process is paused
    std::map<range_id, std::size_t> open_spans; ///< index in `history::served`
    std::map<range_id, fence> granted;
    std::map<range_id, std::size_t> in_flight;
    bool announced = false; ///< the engine knows the target
    /// The node no longer starts requests or sends grants. It waits for the grants of a frozen
    /// target to expire before it ends its incarnation.
    bool stopping = false;
    time_point grants_end{}; ///< latest expiry of a sent grant, on the node's clock
    int unanswered_polls = 0;
    time_point next_poll{};
    time_point last_poll_at{};         ///< last answered poll, on the node's clock
    time_point target_clock_at_poll{}; ///< the target's clock at that poll
    std::uint64_t recorded_placement_version = 0;
    std::uint64_t recorded_rules_version = 0;
    ownership::rules_stamp rules;

    [[nodiscard]] bool is_active() const { return engine != nullptr && !paused; }
};

} // namespace bulrushgw::fakes
