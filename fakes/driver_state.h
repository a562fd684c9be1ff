#pragma once

/// What the driver keeps for each host. Only the driver's sources include it.

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
    std::unique_ptr<target> server;
    /// Counts engines; what was meant for an earlier one is dropped.
    std::uint64_t generation = 0;
    /// Counts starts of the process; ticks of an earlier one are dropped.
    std::uint64_t process = 0;
    bool paused = false;
    bool tick_missed = false;
    bool store_blocked = false;
    std::deque<std::function<void()>> inbox; ///< unread while the process is paused
    std::map<range_id, std::size_t> open_spans;
    std::map<range_id, fence> granted;
    std::map<range_id, std::size_t> in_flight;
    bool announced = false;
    /// Set while the node stops admitting and waits for the grants of a silent
    /// target to expire, before it ends its incarnation.
    bool stopping = false;
    time_point grants_end{}; ///< latest end of a grant, on the node's clock
    int unanswered_polls = 0;
    time_point next_poll{};
    time_point answer_at{}; ///< on the node's clock
    time_point answer_clock{};
    std::uint64_t placement_seen = 0;
    std::uint64_t rules_seen = 0;
    ownership::rules_stamp rules;

    [[nodiscard]] bool acts() const { return engine != nullptr && !paused; }
};

} // namespace bulrushgw::fakes
