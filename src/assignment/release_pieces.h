#pragma once

/// Cuts keys that move into pieces that are released separately. A released piece waits for the
/// longest run in progress for its keys, and some runs take several times as long as the rest. With
/// few runs in each piece, most keys wait for a usual run only. Each piece costs its new owner a
/// grant and is an entry of the directory until it is merged with its neighbours, so keys with few
/// runs in progress are not cut.

#include <cstdint>
#include <vector>

#include "assignment/planner.h"

namespace bulrushgw::assignment {

/// A range of keys that is released and assigned as a whole.
struct release_piece {
    std::uint32_t first = 0; ///< inclusive
    std::uint32_t last = 0;  ///< inclusive
};

/// Cuts the keys `first` to `last` into adjacent pieces of similar load. `runs` is the expected
/// number of runs in progress for these keys; 0: unknown.
[[nodiscard]] std::vector<release_piece>
release_pieces(const key_load_table& keys, std::uint32_t first, std::uint32_t last, double runs);

} // namespace bulrushgw::assignment
