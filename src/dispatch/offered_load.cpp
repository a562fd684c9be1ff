#include "dispatch/offered_load.h"

#include <cmath>
#include <limits>

namespace bulrushgw::dispatch {

namespace {

/// Arrivals are averaged over about this time: long enough for some dozens at a busy
/// target, short enough for a load that changes within seconds.
constexpr double window_ms = 2000;
/// Ranks that are told apart; they come from the manifest, which may be large.
constexpr std::size_t max_ranks = 64;

double decay(time_point from, time_point to)
{
    const auto passed = std::chrono::duration<double, std::milli>(to - from).count();
    return std::exp(-passed / window_ms);
}

} // namespace

void offered_load::add(time_point now, std::uint32_t rank, milliseconds work)
{
    if (ranks_.size() >= max_ranks && !ranks_.contains(rank)) {
        rank = ranks_.rbegin()->first;
    }
    auto& item = ranks_[rank];
    item.work_ms = item.work_ms * decay(item.at, now) + static_cast<double>(work.count());
    item.at = now;
}

double offered_load::up_to(time_point now, std::uint32_t rank, bool inclusive) const
{
    double work_ms = 0;
    for (const auto& [at_rank, item] : ranks_) {
        if (at_rank > rank || (at_rank == rank && !inclusive)) {
            break;
        }
        work_ms += item.work_ms * decay(item.at, now);
    }
    return work_ms / window_ms;
}

double offered_load::total(time_point now) const
{
    return up_to(now, std::numeric_limits<std::uint32_t>::max(), true);
}

} // namespace bulrushgw::dispatch
