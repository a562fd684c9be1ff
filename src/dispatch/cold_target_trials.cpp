#include "dispatch/cold_target_trials.h"

#include <algorithm>

namespace bulrushgw::dispatch {

namespace {

/// Mean time between two trials of one node at a target in its own availability zone, and at one in
/// another zone, to which traffic is expensive. Every target should get some requests within 4 s,
/// also if only one node has requests for it.
constexpr milliseconds own_zone_interval{1000};
constexpr milliseconds other_zone_interval{2500};
/// Bounds of the random length of an interval as a multiple of its mean.
constexpr double min_length = 0.6;
constexpr double max_length = 1.4;

bool is_over(time_point now, time_point begin, double length, bool same_zone)
{
    const auto mean = same_zone ? own_zone_interval : other_zone_interval;
    return now - begin >= mean * length;
}

} // namespace

bool cold_target_trials::is_due(time_point now, incarnation_id node, bool same_zone,
                                std::mt19937_64& random)
{
    const auto [entry, is_new] = intervals_.try_emplace(node, interval{now, 0});
    auto& current = entry->second;
    if (current.length <= 0) {
        current.length = std::uniform_real_distribution<double>(min_length, max_length)(random);
    }
    return is_over(now, current.begin, current.length, same_zone);
}

bool cold_target_trials::is_certainly_due(time_point now, incarnation_id node, bool same_zone) const
{
    const auto found = intervals_.find(node);
    if (found == intervals_.end()) {
        return false;
    }
    const auto& [begin, length] = found->second;
    return is_over(now, begin, length > 0 ? length : max_length, same_zone);
}

void cold_target_trials::on_pick(time_point now, incarnation_id node)
{
    if (const auto found = intervals_.find(node); found != intervals_.end()) {
        found->second = interval{now, 0};
    }
}

void cold_target_trials::keep(std::span<const incarnation_id> live)
{
    std::erase_if(intervals_, [&](const auto& item) {
        return std::find(live.begin(), live.end(), item.first) == live.end();
    });
}

} // namespace bulrushgw::dispatch
