#include "assignment/move_budget.h"

namespace bulrushgw::assignment {

namespace {

/// Number of moves in a round of a service with few targets.
constexpr std::size_t moves_per_round = 4;
/// A service with fewer targets than this moves its keys in rounds.
constexpr std::size_t min_targets_without_rounds = 40;
/// Share of the load of a service that may be in motion. A move takes about as long as the runs in
/// progress, so a quarter of the load can move within about 2 s.
constexpr double max_share_in_motion = 0.1;

} // namespace

bool moves_in_rounds(std::size_t targets)
{
    return targets < min_targets_without_rounds;
}

move_budget remaining_budget(std::size_t targets, const keys_in_motion& moving, double total_load)
{
    if (moves_in_rounds(targets)) {
        return {moving.ranges == 0 ? moves_per_round : 0};
    }
    // Each range costs its new owner a grant, so on average a target gets at most one at a time.
    const std::size_t moves = moving.ranges < targets ? targets - moving.ranges : 0;
    return {moves, max_share_in_motion * total_load - moving.load};
}

} // namespace bulrushgw::assignment
