#include "ownership/witness_choice.h"

#include <algorithm>
#include <optional>

#include "common/hash.h"

namespace bulrushgw::ownership {

witness_penalty penalty_of(const member_row& holder, const member_row& candidate,
                           const member_row* other_witness)
{
    const auto zone_of = [](const member_row& row) { return std::pair{row.region, row.zone}; };
    witness_penalty penalty;
    if (zone_of(candidate) == zone_of(holder)) {
        penalty.zone = 2;
    }
    else if (other_witness != nullptr && zone_of(candidate) == zone_of(*other_witness)) {
        penalty.zone = 1;
    }
    penalty.mutual = std::find(candidate.witnesses.begin(), candidate.witnesses.end(),
                               holder.incarnation) != candidate.witnesses.end();
    penalty.order = hash_pair(holder.incarnation.value, candidate.incarnation.value);
    return penalty;
}

const member_row* choose_witness(const member_row& holder, const member_row* other_witness,
                                 std::span<const member_row* const> live)
{
    const member_row* best = nullptr;
    std::optional<witness_penalty> best_penalty;
    for (const member_row* candidate : live) {
        // Nodes on the same host would fail together.
        if (candidate->incarnation == holder.incarnation || candidate->host == holder.host ||
            candidate == other_witness ||
            (other_witness != nullptr && candidate->host == other_witness->host)) {
            continue;
        }
        const witness_penalty penalty = penalty_of(holder, *candidate, other_witness);
        if (!best_penalty || penalty < *best_penalty) {
            best = candidate;
            best_penalty = penalty;
        }
    }
    return best;
}

} // namespace bulrushgw::ownership
