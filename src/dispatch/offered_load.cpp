#include "dispatch/offered_load.h"

#include <cmath>

namespace bulrushgw::dispatch {

namespace {

/// Time constant of the exponential average over arrivals. It is long enough to cover some dozens
/// of requests at a busy target, and short enough to follow a load that changes within seconds.
constexpr double decay_time_ms = 2000;
/// Number of kinds that are counted separately. Requests of further kinds are counted together, as
/// the kind with the empty name. There is a limit because the manifest may have many routes.
constexpr std::size_t max_kinds = 64;
/// A kind with less load than this, in slots, is removed when there are too many kinds.
constexpr double idle_slots = 0.001;

double decay_factor(time_point from, time_point to)
{
    const auto passed = std::chrono::duration<double, std::milli>(to - from).count();
    return std::exp(-passed / decay_time_ms);
}

} // namespace

void offered_load::remove_idle(time_point now)
{
    std::erase_if(kinds_, [now](const auto& item) {
        const auto& work = item.second;
        return work.decayed_work_ms * decay_factor(work.updated_at, now) <
               idle_slots * decay_time_ms;
    });
}

void offered_load::add(time_point now, const std::string& kind, std::uint32_t rank, double work_ms)
{
    const bool is_known = kinds_.contains(kind);
    if (!is_known && kinds_.size() >= max_kinds) {
        remove_idle(now);
    }
    auto& item = is_known || kinds_.size() < max_kinds ? kinds_[kind] : kinds_[std::string{}];
    item.rank = rank;
    item.decayed_work_ms = item.decayed_work_ms * decay_factor(item.updated_at, now) + work_ms;
    item.updated_at = now;
}

std::vector<offered_load::kind_load> offered_load::loads(time_point now) const
{
    std::vector<kind_load> result;
    result.reserve(kinds_.size());
    for (const auto& [kind, item] : kinds_) {
        result.push_back(
            {kind, item.rank,
             item.decayed_work_ms * decay_factor(item.updated_at, now) / decay_time_ms});
    }
    return result;
}

} // namespace bulrushgw::dispatch
