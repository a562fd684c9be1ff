#include "ownership/witness_choice.h"

#include <algorithm>
#include <optional>

#include "common/hash.h"

namespace bulrushgw::ownership {

witness_fitness fitness_of(const member_row& holder, const member_row& candidate,
                           const member_row* other_witness)
{
    const auto zone_of = [](const member_row& row) { return std::pair{row.region, row.zone}; };
    witness_fitness fitness;
    if (zone_of(candidate) == zone_of(holder)) {
        fitness.zone = 2;
    }
    else if (other_witness != nullptr && zone_of(candidate) == zone_of(*other_witness)) {
        fitness.zone = 1;
    }
    fitness.mutual = std::find(candidate.witnesses.begin(), candidate.witnesses.end(),
                               holder.incarnation) != candidate.witnesses.end();
    fitness.order = hash_pair(holder.incarnation.value, candidate.incarnation.value);
    return fitness;
}

const member_row* choose_witness(const member_row& holder, const member_row* other_witness,
                                 std::span<const member_row* const> live)
{
    const member_row* best = nullptr;
    std::optional<witness_fitness> best_fitness;
    for (const member_row* candidate : live) {
        // Nodes on the same host would fail together.
        if (candidate->incarnation == holder.incarnation || candidate->host == holder.host ||
            candidate == other_witness ||
            (other_witness != nullptr && candidate->host == other_witness->host)) {
            continue;
        }
        const witness_fitness fitness = fitness_of(holder, *candidate, other_witness);
        if (!best_fitness || fitness < *best_fitness) {
            best = candidate;
            best_fitness = fitness;
        }
    }
    return best;
}

} // namespace bulrushgw::ownership
