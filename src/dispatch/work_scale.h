#pragma once

/// How long work currently takes on the machine of a target, as the target reports it with its
/// answers. Some machines are several times slower for some hundred milliseconds at a time.

#include <cstdint>

#include "common/boot_clock.h"

namespace bulrushgw::dispatch {

/// Deterministic; not thread-safe.
class work_scale {
public:
    /// A reported figure says nothing any more after this time. The speed of a machine changes
    /// about once in this time.
    static constexpr milliseconds max_age{400};
    static constexpr std::uint32_t usual_percent = 100;

    /// The target reported at `now` that work takes `percent` of the usual time. 0 counts as not
    /// reported.
    void set(time_point now, std::uint32_t percent)
    {
        percent_ = percent > 0 ? percent : usual_percent;
        reported_at_ = now;
    }
    /// The last figure, or 100 if there is none that is at most `max_age` old.
    [[nodiscard]] std::uint32_t percent(time_point now) const
    {
        return now - reported_at_ <= max_age ? percent_ : usual_percent;
    }
    /// Duration of work as a multiple of the usual one.
    [[nodiscard]] double factor(time_point now) const
    {
        return static_cast<double>(percent(now)) / usual_percent;
    }

private:
    std::uint32_t percent_ = usual_percent;
    time_point reported_at_{};
};

} // namespace bulrushgw::dispatch
