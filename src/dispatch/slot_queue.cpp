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

/// Predicts the starts that the warm-up limit allows to the requests of a queue, in order.
class start_forecast {
public:
    /// `limiter` may be null.
    start_forecast(const warm_up_limiter* limiter, time_point now) : now_(now)
    {
        if (limiter != nullptr && limiter->is_limiting()) {
            limiter_ = *limiter;
        }
    }

    [[nodiscard]] time_point next() const { return limiter_ ? limiter_->next_start(now_) : now_; }

    /// The request starts `wait_ms` from now.
    void add(double wait_ms)
    {
        if (limiter_) {
            limiter_->on_start(now_ + std::chrono::duration_cast<boot_clock::duration>(
                                          std::chrono::duration<double, std::milli>(wait_ms)));
        }
    }

private:
    time_point now_;
    std::optional<warm_up_limiter> limiter_; ///< none: no limit
};

milliseconds to_ms(double value)
{
    return milliseconds{std::lround(value)};
}

} // namespace

double slot_queue::admission_ms(time_point now, const std::string& kind) const
{
    return work_.admission_ms(now, kind) * scale_.factor(now);
}

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
        const double mean_scale = (found->second.scale_at_start + scale_.factor(now)) / 2;
        work_.record(now, found->second.kind, now - found->second.started, mean_scale);
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
    return policy_.worth_density({request.rank, admission_ms(now, request.kind), late});
}

std::vector<slot_queue::queued_request> slot_queue::take_sorted_queue(time_point now)
{
    std::vector<queued_request> result;
    result.reserve(queue_.size());
    for (auto& request : std::exchange(queue_, {})) {
        const double work_ms = admission_ms(now, request.kind);
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
        constexpr double ms_per_s = 1000;
        const double work_ms = admission_ms(now, load.kind);
        const double usual_work_ms = work_.admission_ms(now, load.kind);
        result.push_back({policy_.worth_density({load.rank, work_ms, false}), load.slots,
                          load.slots / usual_work_ms * ms_per_s});
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
        const double work_ms = admission_ms(now, running.kind);
        const double density = policy_.worth_density({running.rank, work_ms, false});
        denser.running += is_worth_much_more(density, own_density) ? 1 : 0;
    }
    return policy_.reserved_slots(denser, slots_);
}

double slot_queue::share_ahead(double density, bool inclusive,
                               const std::vector<kind_density>& offered) const
{
    double slots_ahead = 0;
    double starts_ahead = 0;
    for (const auto& load : offered) {
        if (load.density > density || (inclusive && load.density == density)) {
            slots_ahead += load.slots;
            starts_ahead += load.starts_per_s;
        }
    }
    const bool is_limiting = limiter_ != nullptr && limiter_->is_limiting();
    return std::max(slots_ahead / slots_,
                    is_limiting ? starts_ahead / limiter_->starts_per_s() : 0.0);
}

// A request waits for the requests ahead of it, and for requests that arrive later but run before
// it. Once it will miss its latency goal, its density is lower and more of the later arrivals run
// before it.
bool slot_queue::is_unservable(time_point now, const queued_request& item,
                               const expected_wait& wait,
                               const std::vector<kind_density>& offered) const
{
    const auto delayed_wait_ms = [&](double density, bool inclusive) {
        return wait.ms / std::max(min_slot_share, 1 - share_ahead(density, inclusive, offered));
    };
    const double short_run_ms = item.work_ms * short_run_factor;
    const double aim_ms = ms_until(now, item.request.aim);
    const bool meets_aim =
        item.work_ms <= aim_ms &&
        delayed_wait_ms(item.density, !item.has_ample_time) + short_run_ms < aim_ms;
    if (meets_aim) {
        return false;
    }
    if (item.request.has_alternative && wait.cause == refusal_cause::warm_up_limit) {
        return true;
    }
    const double late_density = density_of(now, item.request, true);
    const double latest_start_ms = delayed_wait_ms(late_density, true);
    return latest_start_ms + short_run_ms >= ms_until(now, item.request.deadline);
}

bool slot_queue::is_start_allowed(time_point now) const
{
    return limiter_ == nullptr || limiter_->next_start(now) <= now;
}

void slot_queue::count_delay(waiting_request& request)
{
    delayed_starts_ += request.was_delayed ? 0 : 1;
    request.was_delayed = true;
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
        forecast.add_running(admission_ms(now, item.kind));
    }
    start_forecast starts(limiter_, now);
    const auto offered = offered_densities(now);
    for (auto& item : take_sorted_queue(now)) {
        const std::uint32_t reserved = reserved_for_denser(now, item.request, offered);
        const bool has_slot = running_.size() + reserved < slots_;
        const bool starts_now = has_slot && is_start_allowed(now);
        const double slot_wait_ms = forecast.wait_ms(reserved);
        const double limit_wait_ms = starts_now ? 0 : ms_until(now, starts.next());
        const bool is_limited = limit_wait_ms > slot_wait_ms;
        const expected_wait wait{std::max(slot_wait_ms, limit_wait_ms),
                                 is_limited ? refusal_cause::warm_up_limit
                                            : refusal_cause::no_slot};
        if (slots_ == 0 || is_unservable(now, item, wait, offered)) {
            if (!is_limited) {
                work_.on_refusal(now, item.request.kind);
            }
            const double retry_after_ms = is_limited ? wait.ms : std::max(wait.ms, item.work_ms);
            decisions.refuse.push_back({item.request.id, to_ms(retry_after_ms), wait.cause});
            continue;
        }
        forecast.add_queued(item.work_ms, reserved);
        if (starts_now) {
            running_[item.request.id] = {item.request.kind, item.request.rank, now,
                                         scale_.factor(now)};
            decisions.start.push_back(item.request.id);
            if (limiter_ != nullptr) {
                limiter_->on_start(now);
            }
        }
        else {
            if (has_slot) {
                count_delay(item.request);
            }
            queue_.push_back(std::move(item.request));
        }
        starts.add(wait.ms);
    }
}

} // namespace bulrushgw::dispatch
