#pragma once

/// Mean time that a target takes for a request, over several seconds. Targets report a mean of
/// their latest runs only, of which a few take several times as long as the rest. Keys placed by
/// that mean would move back and forth although neither loads nor speeds change.

#include "assignment/types.h"

namespace bulrushgw::assignment {

/// Not thread-safe.
class work_average {
public:
    /// Adds the mean that the target reported at `now`; 0: it has no figure yet, which is ignored.
    void add(time_point now, std::chrono::microseconds reported);
    /// Mean of the latest reports; 0: unknown.
    [[nodiscard]] std::chrono::microseconds mean() const
    {
        return std::chrono::microseconds{static_cast<std::int64_t>(mean_us_)};
    }

private:
    double mean_us_ = 0;
    double reports_ = 0;
    time_point last_{};
};

} // namespace bulrushgw::assignment
