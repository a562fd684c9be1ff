#include "assignment/lease_lengths.h"

#include <algorithm>

namespace bulrushgw::assignment {

namespace {

// A grant that is carried out late finds a hold of up to this length over.
milliseconds longest_simple_hold(const timing& times)
{
    return times.holds_count_from_arrival
               ? milliseconds::max()
               : times.late_order_delay * 1000 / (1000 + times.drift_permille) - times.hold_margin;
}

} // namespace

milliseconds lease_length(const timing& times, milliseconds longest_work)
{
    if (longest_work.count() <= 0) {
        return times.lease;
    }
    const auto work = std::min(longest_work, times.longest_lease) + times.work_margin;
    const auto hold = with_drift(work, times.drift_permille);
    return std::clamp(latest_hold_end(times, hold), times.lease, times.longest_lease);
}

milliseconds longest_hold(const timing& times, milliseconds left)
{
    const auto time = left - times.hold_margin;
    const auto simple = time * 1000 / (1000 + times.drift_permille);
    const auto limit = longest_simple_hold(times);
    return simple <= limit ? simple
                           : std::max(limit, time / 2 * 1000 / (1000 + 2 * times.drift_permille));
}

milliseconds latest_hold_end(const timing& times, milliseconds hold)
{
    const auto time = hold <= longest_simple_hold(times)
                          ? with_drift(hold, times.drift_permille)
                          : with_drift(hold * 2, 2 * times.drift_permille);
    return time + times.hold_margin;
}

milliseconds relied_hold(const timing& times, milliseconds hold)
{
    return hold * 1000 / (1000 + times.drift_permille);
}

void lease_lengths::set_longest_work(const std::map<std::string, milliseconds>& longest_work)
{
    lengths_.clear();
    for (const auto& [service, work] : longest_work) {
        lengths_[service] = lease_length(times_, work);
    }
}

milliseconds lease_lengths::length_for(const std::string& service, milliseconds confirmed) const
{
    const auto found = lengths_.find(service);
    const auto wanted = found == lengths_.end() ? times_.lease : found->second;
    // Every leader allows for leases of `timing::lease`.
    return std::min(wanted, std::max(confirmed, times_.lease));
}

void lease_lengths::note_lease(milliseconds length, time_point end)
{
    auto& latest = latest_ends_[length];
    latest = std::max(latest, end);
}

milliseconds lease_lengths::longest(time_point now) const
{
    milliseconds result = times_.lease;
    for (const auto& [service, length] : lengths_) {
        result = std::max(result, length);
    }
    for (const auto& [length, end] : latest_ends_) {
        if (end > now) {
            result = std::max(result, length);
        }
    }
    return result;
}

} // namespace bulrushgw::assignment
