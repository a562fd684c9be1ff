#include "ownership/load_moves.h"

#include <algorithm>

namespace bulrushgw::ownership {

namespace {
constexpr double burst_fraction = 0.5; ///< part of the hourly moves that is available at once
/// Rates below this, in requests per second, are ignored.
constexpr double min_requests_per_second = 1.0;
} // namespace

std::optional<range_move> choose_move(incarnation_id self, const std::vector<member_load>& loads,
                                      const std::vector<range_load>& own)
{
    double total = 0;
    double weights = 0;
    const member_load* mine = nullptr;
    for (const member_load& load : loads) {
        total += load.rate;
        weights += load.weight;
        mine = load.member == self ? &load : mine;
    }
    if (mine == nullptr || loads.size() < 2) {
        return std::nullopt;
    }
    const auto relative = [](const member_load& load) { return load.rate / load.weight; };
    const double mean = total / weights;
    if (mine->rate < min_requests_per_second || relative(*mine) <= mean * overload_factor) {
        return std::nullopt;
    }
    const auto least_loaded = std::min_element(
        loads.begin(), loads.end(), [&](const member_load& left, const member_load& right) {
            return relative(left) != relative(right) ? relative(left) < relative(right)
                                                     : left.member < right.member;
        });
    const double excess = mine->rate - mean * mine->weight;
    const range_load* best = nullptr;
    for (const range_load& candidate : own) {
        // After the move, the receiver's load must be below that of this member.
        const bool reduces_imbalance =
            candidate.requests_per_second <= excess &&
            (least_loaded->rate + candidate.requests_per_second) / least_loaded->weight <
                (mine->rate - candidate.requests_per_second) / mine->weight;
        if (reduces_imbalance && candidate.requests_per_second >= min_requests_per_second &&
            (best == nullptr || candidate.requests_per_second > best->requests_per_second)) {
            best = &candidate;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return range_move{best->range, least_loaded->member};
}

double move_budget::available(time_point now, double moves_per_hour) const
{
    const double hours = std::chrono::duration<double, std::ratio<3600>>(now - at_).count();
    const double missing_tokens =
        std::max(0.0, spent_ - hours * moves_per_hour * (1 - burst_fraction));
    return moves_per_hour * burst_fraction - missing_tokens;
}

bool move_budget::allows(time_point now, std::size_t moves, double moves_per_hour) const
{
    return static_cast<double>(moves) <= available(now, moves_per_hour);
}

bool move_budget::try_spend(time_point now, std::size_t moves, double moves_per_hour)
{
    const double before = available(now, moves_per_hour);
    if (static_cast<double>(moves) > before) {
        return false;
    }
    spent_ = moves_per_hour * burst_fraction - before + static_cast<double>(moves);
    at_ = now;
    return true;
}

} // namespace bulrushgw::ownership
