#pragma once

/// Sends a request now and then to targets that warm up. Such a target is slower than the others,
/// so that by its cost alone it would get nothing while the others have room, and what is warm once
/// it has served requests would stay cold. The load that it answers is little: with more requests
/// than the warm targets can serve, cold ones are picked by their cost.

#include <map>
#include <random>
#include <span>

#include "common/boot_clock.h"
#include "common/ids.h"

namespace bulrushgw::dispatch {

/// Not thread-safe.
class cold_target_trials {
public:
    /// True if the cold target should get the next request. The first call for a target, and each
    /// pick, begins a new interval of random length, since many nodes learn of a target at once.
    bool is_due(time_point now, incarnation_id node, bool same_zone, std::mt19937_64& random);
    /// True if `is_due` would certainly return true. Changes nothing.
    [[nodiscard]] bool is_certainly_due(time_point now, incarnation_id node, bool same_zone) const;
    /// A request is sent to the target.
    void on_pick(time_point now, incarnation_id node);
    /// Forgets targets that are not in `live`.
    void keep(std::span<const incarnation_id> live);

private:
    struct interval {
        time_point begin;
        double length = 1; ///< as a multiple of the mean interval
    };

    std::map<incarnation_id, interval> intervals_;
};

} // namespace bulrushgw::dispatch
