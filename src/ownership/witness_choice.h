#pragma once

/// Choice of an incarnation's witnesses.

#include <span>
#include <string>
#include <vector>

#include "ownership/types.h"

namespace bulrushgw::ownership {

/// Suitability of a candidate as a witness. Compared field by field in this order; lower is better.
struct witness_fitness {
    int zone = 0;        ///< 2: in the holder's zone, 1: in the other witness's zone, 0: in neither
    bool mutual = false; ///< the holder is a witness of the candidate
    std::uint64_t order = 0; ///< hash of both incarnations, to break ties
    auto operator<=>(const witness_fitness&) const = default;
};

witness_fitness fitness_of(const member_row& holder, const member_row& candidate,
                           const member_row* other_witness);

/// The best witness in addition to `other_witness` (which may be null), or null if there is none.
/// `live` contains live members only. Every node makes the same choice for the same arguments.
const member_row* choose_witness(const member_row& holder, const member_row* other_witness,
                                 std::span<const member_row* const> live);

} // namespace bulrushgw::ownership
