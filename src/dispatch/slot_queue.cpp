#include "dispatch/slot_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace bulrushgw::dispatch {

namespace {

/// Duration of a short run as a part of the mean work time. A request is refused for lack of time
/// only if even a short run would end too late.
constexpr double short_run_factor = 0.5;
/// A request is almost sure to meet its latency goal (`aim`) if it starts with at least this many
/// times the mean work time left. Work times vary by as much as their mean.
constexpr double ample_time_factor = 1.5;
/// Minimum share of the slots that is assumed to be available to a request, even if requests that
/// run before it take all slots.
constexpr double min_slot_share = 0.02;

double ms_until(time_point now, time_point then)
{
    return std::chrono::duration<double, std::milli>(then - now).count();
}

milliseconds to_ms(double value)
{
    return milliseconds{std::lround(value)};
}

} // namespace

milliseconds slot_queue::expected(const std::string& kind) const
{
    return to_ms(work_.expected_ms(kind));
}

slot_decisions slot_queue::offer(time_point now, waiting_request request)
{
    slot_decisions result;
    offered_.add(now, request.kind, request.rank, work_.admission_ms(now, request.kind));
    queue_.push_back(std::move(request));
    decide(now, result);
    return result;
}

slot_decisions slot_queue::finish(time_point now, ticket id, bool answered)
{
    slot_decisions result;
    const auto found = running_.find(id);
    if (found == running_.end()) {
        return result;
    }
    if (answered) {
        work_.record(now, found->second.kind, now - found->second.started);
    }
    running_.erase(found);
    decide(now, result);
    return result;
}

bool slot_queue::cancel_queued(ticket id)
{
    return std::erase_if(queue_, [id](const auto& item) { return item.id == id; }) > 0;
}

slot_decisions slot_queue::on_tick(time_point now)
{
    slot_decisions result;
    decide(now, result);
    return result;
}

std::vector<ticket> slot_queue::clear()
{
    std::vector<ticket> result;
    for (const auto& item : std::exchange(queue_, {})) {
        result.push_back(item.id);
    }
    return result;
}

double slot_queue::density_of(time_point now, const waiting_request& request, bool late) const
{
    return policy_.worth_density({request.rank, work_.admission_ms(now, request.kind), late});
}

std::vector<slot_queue::queued_request> slot_queue::take_sorted_queue(time_point now)
{
    std::vector<queued_request> result;
    result.reserve(queue_.size());
    for (auto& request : std::exchange(queue_, {})) {
        const double work_ms = work_.admission_ms(now, request.kind);
        const double left_ms = ms_until(now, request.aim);
        const double density = density_of(now, request, work_ms > left_ms);
        const bool has_ample_time = work_ms * ample_time_factor <= left_ms;
        result.push_back({std::move(request), work_ms, density, has_ample_time});
    }
    // Among requests of one density, those with ample time go first. If only the deadline decided,
    // the oldest requests would go first, and under overload all of them would start just too late
    // for their latency goal.
    std::stable_sort(result.begin(), result.end(), [](const auto& a, const auto& b) {
        return std::tuple(-a.density, !a.has_ample_time, a.request.deadline) <
               std::tuple(-b.density, !b.has_ample_time, b.request.deadline);
    });
    return result;
}

std::vector<slot_queue::kind_density> slot_queue::offered_densities(time_point now) const
{
    std::vector<kind_density> result;
    for (const auto& load : offered_.loads(now)) {
        const double work_ms = work_.admission_ms(now, load.kind);
        result.push_back({policy_.worth_density({load.rank, work_ms, false}), load.slots});
    }
    return result;
}

// Compares kinds, as if no request were late: a late request gives way to others of its kind in the
// order of the queue, but it may use a slot that is free.
std::uint32_t slot_queue::reserved_for_denser(time_point now, const waiting_request& request,
                                              const std::vector<kind_density>& offered) const
{
    const double own_density = density_of(now, request, false);
    denser_work denser;
    for (const auto& load : offered) {
        if (is_worth_much_more(load.density, own_density)) {
            denser.offered += load.slots;
        }
    }
    if (denser.offered <= 0) {
        return 0;
    }
    for (const auto& [id, running] : running_) {
        const double work_ms = work_.admission_ms(now, running.kind);
        const double density = policy_.worth_density({running.rank, work_ms, false});
        denser.running += is_worth_much_more(density, own_density) ? 1 : 0;
    }
    return policy_.reserved_slots(denser, slots_);
}

// A request waits for the requests ahead of it, and for requests that arrive later but run before
// it. Once it will miss its latency goal, its density is lower and more of the later arrivals run
// before it.
bool slot_queue::is_unservable(time_point now, const queued_request& item, double wait_ms,
                               const std::vector<kind_density>& offered) const
{
    const auto delayed_wait_ms = [&](double density, bool inclusive) {
        double load_ahead = 0;
        for (const auto& load : offered) {
            const bool is_ahead = load.density > density || (inclusive && load.density == density);
            load_ahead += is_ahead ? load.slots : 0;
        }
        return wait_ms / std::max(min_slot_share, 1 - load_ahead / slots_);
    };
    const double short_run_ms = item.work_ms * short_run_factor;
    const double aim_ms = ms_until(now, item.request.aim);
    const bool meets_aim =
        item.work_ms <= aim_ms &&
        delayed_wait_ms(item.density, !item.has_ample_time) + short_run_ms < aim_ms;
    if (meets_aim) {
        return false;
    }
    const double late_density = density_of(now, item.request, true);
    const double latest_start_ms = delayed_wait_ms(late_density, true);
    return latest_start_ms + short_run_ms >= ms_until(now, item.request.deadline);
}

// Goes through the queue in the order of service, estimates the start of each request, and starts,
// keeps or refuses it.
void slot_queue::decide(time_point now, slot_decisions& decisions)
{
    if (queue_.empty()) {
        return;
    }
    slot_forecast forecast(slots_);
    for (const auto& [id, item] : running_) {
        forecast.add_running(work_.admission_ms(now, item.kind));
    }
    const auto offered = offered_densities(now);
    for (auto& item : take_sorted_queue(now)) {
        const std::uint32_t reserved = reserved_for_denser(now, item.request, offered);
        const double wait_ms = forecast.wait_ms(reserved);
        if (slots_ == 0 || is_unservable(now, item, wait_ms, offered)) {
            work_.on_refusal(now, item.request.kind);
            decisions.refuse.push_back({item.request.id, to_ms(std::max(wait_ms, item.work_ms))});
            continue;
        }
        forecast.add_queued(item.work_ms, reserved);
        if (running_.size() + reserved < slots_) {
            running_[item.request.id] = {item.request.kind, item.request.rank, now};
            decisions.start.push_back(item.request.id);
        }
        else {
            queue_.push_back(std::move(item.request));
        }
    }
}

} // namespace bulrushgw::dispatch
