#pragma once

/// Writes a log event for each change of the node's state.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "common/ids.h"
#include "node/event_log.h"

namespace bulrushgw::node {

/// Snapshot of the state of a node.
struct observed_state {
    bool lease_running = false;
    bool store_up = false;
    bool store_outcome_known = false; ///< false until the first answer or failed message
    bool rules_stale = false;
    std::uint64_t rules_version = 0;
    bool target_known = false;
    bool target_silent = false;
    bool target_draining = false;
    bool member = false;           ///< this node is a live member of its service's newest placement
    std::size_t other_members = 0; ///< number of other members that have not ended
};

/// Compares successive snapshots. Not thread-safe.
class state_watch {
public:
    explicit state_watch(std::function<void(const log_event&)> write) : write_(std::move(write)) {}

    /// Writes an event for each difference from the snapshot of the previous call.
    void observe(const observed_state& state);

private:
    void write_line(event_kind kind, std::optional<std::uint64_t> version = std::nullopt,
                    std::string cause = {});

    std::function<void(const log_event&)> write_;
    observed_state last_;
};

} // namespace bulrushgw::node
