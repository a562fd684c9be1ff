#pragma once

/// Choice of an incarnation's witnesses.

#include <span>
#include <string>
#include <vector>

#include "ownership/types.h"

namespace bulrushgw::ownership {

/// How well a candidate suits as a witness; lower is better in every field, and
/// earlier fields go first.
struct witness_fitness {
    int zone = 0;        ///< 0: a zone of its own, 1: the other witness's, 2: the holder's
    bool mutual = false; ///< the holder witnesses the candidate
    std::uint64_t order = 0;
    auto operator<=>(const witness_fitness&) const = default;
};

witness_fitness fitness_of(const member_row& holder, const member_row& candidate,
                           const member_row* other_witness);

/// The best candidate beside `other_witness` (may be null), or none. The caller
/// passes live members only. Every node computes the same choice.
const member_row* choose_witness(const member_row& holder, const member_row* other_witness,
                                 std::span<const member_row* const> live);

} // namespace bulrushgw::ownership
