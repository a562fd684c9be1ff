#pragma once

/// Choice of an incarnation's witnesses.

#include <span>
#include <string>
#include <vector>

#include "ownership/types.h"

namespace bulrushgw::ownership {

/// How unsuitable a candidate is as a witness. Penalties are compared field by field in this order,
/// and the candidate with the lowest penalty is chosen.
struct witness_penalty {
    int zone = 0;        ///< 2: in the holder's zone, 1: in the other witness's zone, 0: in neither
    bool mutual = false; ///< the holder is a witness of the candidate
    std::uint64_t order = 0; ///< hash of both incarnations, to break ties
    auto operator<=>(const witness_penalty&) const = default;
};

witness_penalty penalty_of(const member_row& holder, const member_row& candidate,
                           const member_row* other_witness);

/// The best witness in addition to `other_witness` (which may be null), or null if there is none.
/// `live` contains live members only. Every node makes the same choice for the same arguments.
const member_row* choose_witness(const member_row& holder, const member_row* other_witness,
                                 std::span<const member_row* const> live);

} // namespace bulrushgw::ownership
