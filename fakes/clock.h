#pragma once

/// Clocks of simulated processes. Only the driver and the history checker know the true time; an
/// engine sees only the local time of its own clock.

#include <cstdint>

#include "common/boot_clock.h"

namespace bulrushgw::fakes {

/// Simulated time without offset or drift. It has the same type as `time_point`, so that durations
/// of true and local time can be compared.
using true_time = time_point;

/// A boot clock with a fixed offset and a fixed rate error. Its local time never decreases.
class drifting_clock {
public:
    drifting_clock() = default;
    /// `parts_per_million` is the rate error. A value of 10000 makes the clock 1% too fast.
    drifting_clock(std::chrono::nanoseconds offset, std::int64_t parts_per_million)
        : offset_(offset), parts_per_million_(parts_per_million)
    {
    }

    [[nodiscard]] time_point local(true_time at) const
    {
        const auto elapsed = at.time_since_epoch();
        return time_point{offset_ + elapsed + elapsed * parts_per_million_ / million};
    }

    /// True time at which the clock shows `at`, rounded up.
    [[nodiscard]] true_time when(time_point at) const
    {
        const auto elapsed = at.time_since_epoch() - offset_;
        const std::int64_t rate = million + parts_per_million_;
        // The division comes first because `elapsed * million` would overflow.
        const auto whole = elapsed / rate * million;
        return true_time{whole +
                         (elapsed % rate * million + std::chrono::nanoseconds{rate - 1}) / rate};
    }

private:
    static constexpr std::int64_t million = 1'000'000;
    std::chrono::nanoseconds offset_{0};
    std::int64_t parts_per_million_ = 0;
};

} // namespace bulrushgw::fakes
