#include "request/balance.h"

#include <cstddef>

namespace bulrushgw::request {

std::optional<incarnation_id> pick_of_two(std::span<const balance_candidate> candidates,
                                          random_engine& random)
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    if (candidates.size() == 1) {
        return candidates.front().node;
    }
    // The modulo bias of a 64-bit random number is below 10^-6 for these sizes.
    const std::size_t first = random() % candidates.size();
    std::size_t second = random() % (candidates.size() - 1);
    if (second >= first) {
        ++second;
    }
    const auto& left = candidates[first];
    const auto& right = candidates[second];
    if (left.in_flight != right.in_flight) {
        return left.in_flight < right.in_flight ? left.node : right.node;
    }
    return right.same_zone && !left.same_zone ? right.node : left.node;
}

} // namespace bulrushgw::request
