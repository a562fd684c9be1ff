#pragma once

/// Turns the state of the node into log lines, one for each change.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "common/ids.h"
#include "node/event_log.h"

namespace bulrushgw::node {

/// What a node looks like from outside at one moment.
struct observed_state {
    bool lease_running = false;
    bool store_up = false;
    bool store_asked = false; ///< false until the first answer or failure
    bool rules_stale = false;
    std::uint64_t rules_version = 0;
    bool target_known = false;
    bool target_silent = false;
    bool target_draining = false;
    bool member = false; ///< in its service's newest placement
    std::size_t other_hosts = 0;
};

/// Not thread-safe.
class state_watch {
public:
    explicit state_watch(std::function<void(const log_event&)> write) : write_(std::move(write)) {}

    /// Writes a line for each difference to the state of the last call.
    void observe(const observed_state& state);

private:
    void line(event_kind kind, std::optional<std::uint64_t> version = std::nullopt,
              std::string cause = {});

    std::function<void(const log_event&)> write_;
    observed_state last_;
};

} // namespace bulrushgw::node
