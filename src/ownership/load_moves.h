#pragma once

/// Moves of ranges between members that balance the load, and the budget that limits them.

#include <optional>
#include <vector>

#include "common/boot_clock.h"
#include "ownership/engine.h"

namespace bulrushgw::ownership {

/// Requests per second of all ranges that a member owns.
struct member_load {
    incarnation_id member;
    double rate = 0; ///< requests per second
    std::uint32_t weight = 1;
};

/// A move of a range from its owner to the member `to`.
struct range_move {
    range_id range;
    incarnation_id to;
    auto operator<=>(const range_move&) const = default;
};

/// A member whose load per weight exceeds the mean of the service by this factor moves a range
/// away. The margin above the mean is the hysteresis that keeps ranges from moving back and
/// forth.
inline constexpr double overload_factor = 1.3;

/// The range of `self` whose move to the least loaded member reduces the imbalance most, or none.
/// `loads` contains all members with a known load, including `self`. `own` contains the ranges of
/// `self`.
std::optional<range_move> choose_move(incarnation_id self, const std::vector<member_load>& loads,
                                      const std::vector<range_load>& own);

/// Token bucket for a member's load moves. Half of the hourly moves are available at once and the
/// other half accrues over the hour, so that no hour exceeds `moves_per_hour`. Not thread-safe.
class move_budget {
public:
    /// Spends `moves` tokens and returns true, or returns false if fewer are available.
    bool try_spend(time_point now, std::size_t moves, double moves_per_hour);
    [[nodiscard]] bool allows(time_point now, std::size_t moves, double moves_per_hour) const;

private:
    [[nodiscard]] double available(time_point now, double moves_per_hour) const;

    double spent_ = 0; ///< tokens missing from a full bucket at time `at_`
    time_point at_{};
};

} // namespace bulrushgw::ownership
