#include "dispatch/offered_load.h"

#include <cmath>
#include <limits>

namespace bulrushgw::dispatch {

namespace {

/// Time constant of the exponential average over arrivals. It is long enough to cover some dozens
/// of requests at a busy target, and short enough to follow a load that changes within seconds.
constexpr double decay_time_ms = 2000;
/// Number of ranks that are counted separately. Requests of further ranks are counted with the
/// least urgent of these ranks. There is a limit because the manifest may have many ranks.
constexpr std::size_t max_ranks = 64;

double decay_factor(time_point from, time_point to)
{
    const auto passed = std::chrono::duration<double, std::milli>(to - from).count();
    return std::exp(-passed / decay_time_ms);
}

} // namespace

void offered_load::add(time_point now, std::uint32_t rank, milliseconds work)
{
    if (ranks_.size() >= max_ranks && !ranks_.contains(rank)) {
        rank = ranks_.rbegin()->first;
    }
    auto& item = ranks_[rank];
    item.decayed_work_ms = item.decayed_work_ms * decay_factor(item.updated_at, now) +
                           static_cast<double>(work.count());
    item.updated_at = now;
}

double offered_load::load_up_to_rank(time_point now, std::uint32_t rank, bool inclusive) const
{
    double work_ms = 0;
    for (const auto& [item_rank, item] : ranks_) {
        if (item_rank > rank || (item_rank == rank && !inclusive)) {
            break;
        }
        work_ms += item.decayed_work_ms * decay_factor(item.updated_at, now);
    }
    return work_ms / decay_time_ms;
}

double offered_load::total(time_point now) const
{
    return load_up_to_rank(now, std::numeric_limits<std::uint32_t>::max(), true);
}

} // namespace bulrushgw::dispatch
