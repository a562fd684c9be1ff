#pragma once

/// Moves of ranges that follow load, and their budget.

#include <optional>
#include <vector>

#include "common/boot_clock.h"
#include "ownership/engine.h"

namespace bulrushgw::ownership {

/// Requests per second of all ranges that a member owns.
struct member_load {
    incarnation_id member;
    double rate = 0;
    std::uint32_t weight = 1;
};

struct range_move {
    range_id range;
    incarnation_id to;
    auto operator<=>(const range_move&) const = default;
};

/// A member moves a range when its load for its weight is above the mean of the
/// service by this factor. Hysteresis: after the move it is below.
inline constexpr double overload_factor = 1.3;

/// The range of `self` whose move to the least loaded member evens the load
/// best, or none. `loads` includes `self`.
std::optional<range_move> choose_move(incarnation_id self, const std::vector<member_load>& loads,
                                      const std::vector<range_load>& own);

/// A member's share of the service's moves in an hour. Half of it may be spent
/// at once and the rest accrues over the hour, so that no hour exceeds the share.
/// Not thread-safe.
class move_budget {
public:
    /// Spends `moves` when the share allows them.
    bool take(time_point now, std::size_t moves, double moves_per_hour);
    [[nodiscard]] bool allows(time_point now, std::size_t moves, double moves_per_hour) const;

private:
    [[nodiscard]] double available(time_point now, double moves_per_hour) const;

    double spent_ = 0; ///< moves that have not accrued again at `at_`
    time_point at_{};
};

} // namespace bulrushgw::ownership
