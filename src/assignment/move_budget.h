#pragma once

/// Bounds the keys of a service that move at the same time. Requests for moving keys wait, so only
/// a small part of the load may be in motion. In a deployment of many targets of which some are
/// full, many small moves together take less of the load than a few large ones, so the bound is on
/// the load and not on the number of moves.

#include <cstddef>
#include <limits>

namespace bulrushgw::assignment {

/// Keys of a service that are moving or have no owner.
struct keys_in_motion {
    std::size_t ranges = 0; ///< that are released and assigned separately
    double load = 0;
};

/// What may begin to move now.
struct move_budget {
    std::size_t moves = 0;
    /// Further moves begin until their load together reaches this.
    double load = std::numeric_limits<double>::infinity();
};

/// True if a service with so many targets moves its keys in rounds: a few moves, which end before
/// the next begin, because each changes the loads of many of the targets.
[[nodiscard]] bool moves_in_rounds(std::size_t targets);

/// Returns what may begin to move in a service of `targets` targets with the load `total_load`.
[[nodiscard]] move_budget remaining_budget(std::size_t targets, const keys_in_motion& moving,
                                           double total_load);

} // namespace bulrushgw::assignment
