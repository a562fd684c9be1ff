#pragma once

/// When a target that is avoided because it does not answer gets a request, so that it is used
/// again soon after it recovers. Each of many hosts probes for itself: the intervals are of random
/// length, grow while the target stays silent, and are longer for hosts with few requests, which
/// would otherwise send an avoided target more than a good one.

#include <random>

#include "common/boot_clock.h"

namespace bulrushgw::dispatch {

/// Not thread-safe. Times must not decrease.
class probe_schedule {
public:
    /// Tells whether the target is avoided. Returns true if it is, and a probe is due.
    bool update(time_point now, bool avoided, std::mt19937_64& random);
    /// The target gets a request; a probe if it is avoided.
    void on_pick(time_point now, std::mt19937_64& random);
    /// True if `update` would certainly return true for a target that is still avoided. Changes
    /// nothing.
    [[nodiscard]] bool is_certainly_due(time_point now) const
    {
        return is_avoided() && now >= next_probe_;
    }
    [[nodiscard]] bool is_avoided() const { return interval_.count() > 0; }

private:
    void schedule(time_point now, std::mt19937_64& random);

    double mean_gap_ms_ = 0; ///< between requests while the target is not avoided; 0: unknown
    time_point last_pick_{};
    std::chrono::duration<double, std::milli> interval_{
        0}; ///< mean time to a probe; 0: not avoided
    time_point next_probe_{};
};

} // namespace bulrushgw::dispatch
