#include "dispatch/slot_queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bulrushgw::dispatch {

namespace {

/// Weight of one answer in the mean work time of its kind of request.
constexpr double sample_weight = 0.1;
/// Weight of one answer in the mean work time over all kinds. Keys are divided among targets by
/// this mean. Work times vary by as much as their mean, so about 50 answers are needed to
/// distinguish targets whose speeds differ by a fifth.
constexpr double overall_sample_weight = 0.04;
/// Expected work time before the first answer.
constexpr double initial_work_ms = 50;
/// Duration of a short run as a part of the mean work time. A request is refused for lack of time
/// only if even a short run would end too late.
constexpr double short_run_factor = 0.5;
/// A request is almost sure to meet its latency goal (`aim`) if it starts with at least this many
/// times the mean work time left. Work times vary by as much as their mean.
constexpr double ample_time_factor = 1.5;
/// Minimum share of the slots that is assumed to be available to a request, even if more urgent
/// requests take all slots.
constexpr double min_slot_share = 0.02;
/// Maximum number of kinds of requests for which a mean work time is kept. When a request of a
/// further kind is answered, the mean work times of all kinds are cleared. There is a limit because
/// the kinds are routes of the manifest, and the manifest may be large.
constexpr std::size_t max_kinds = 256;

milliseconds to_ms(double value)
{
    return milliseconds{std::lround(value)};
}

} // namespace

milliseconds slot_queue::expected(const std::string& kind) const
{
    const auto found = mean_ms_by_kind_.find(kind);
    if (found != mean_ms_by_kind_.end()) {
        return to_ms(found->second);
    }
    return to_ms(overall_mean_ms_ > 0 ? overall_mean_ms_ : initial_work_ms);
}

std::chrono::microseconds slot_queue::mean_work() const
{
    return std::chrono::microseconds{static_cast<std::int64_t>(overall_mean_ms_ * 1000)};
}

slot_decisions slot_queue::offer(time_point now, waiting_request request)
{
    slot_decisions result;
    offered_.add(now, request.rank, expected(request.kind));
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
        const double took_ms =
            std::chrono::duration<double, std::milli>(now - found->second.started).count();
        overall_answers_ += 1;
        overall_mean_ms_ +=
            std::max(overall_sample_weight, 1 / overall_answers_) * (took_ms - overall_mean_ms_);
        if (mean_ms_by_kind_.size() >= max_kinds &&
            !mean_ms_by_kind_.contains(found->second.kind)) {
            mean_ms_by_kind_.clear();
        }
        const auto [kind, is_new] = mean_ms_by_kind_.emplace(found->second.kind, took_ms);
        if (!is_new) {
            kind->second += sample_weight * (took_ms - kind->second);
        }
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

bool slot_queue::will_miss_aim(time_point now, const waiting_request& request) const
{
    return now + expected(request.kind) > request.aim;
}

bool slot_queue::has_ample_time(time_point now, const waiting_request& request) const
{
    const auto work_ms = static_cast<double>(expected(request.kind).count());
    return now + to_ms(work_ms * ample_time_factor) <= request.aim;
}

void slot_queue::sort(time_point now)
{
    std::stable_sort(queue_.begin(), queue_.end(),
                     [&](const waiting_request& a, const waiting_request& b) {
                         const bool a_late = will_miss_aim(now, a);
                         const bool b_late = will_miss_aim(now, b);
                         if (a_late != b_late) {
                             return b_late;
                         }
                         // Within a rank, requests with ample time go first. If only the deadline
                         // decided, the oldest requests would go first, and under overload all of
                         // them would start just too late for their latency goal.
                         const bool a_short_of_time = !has_ample_time(now, a);
                         const bool b_short_of_time = !has_ample_time(now, b);
                         return std::tie(a.rank, a_short_of_time, a.deadline) <
                                std::tie(b.rank, b_short_of_time, b.deadline);
                     });
}

void slot_queue::start(time_point now, const waiting_request& request, slot_decisions& decisions)
{
    running_[request.id] = {request.kind, now};
    decisions.start.push_back(request.id);
}

// A request waits for the work ahead of it, and for requests that arrive later but run before it. A
// request that will miss its latency goal runs after all others, so every arriving request delays
// it. If a request would miss its deadline when it runs after all others, it is servable only if it
// can meet its latency goal.
bool slot_queue::is_unservable(time_point now, const waiting_request& request,
                               double ahead_ms) const
{
    const double wait_ms = ahead_ms / slots_;
    const auto delayed_wait = [&](double load_ahead) {
        return to_ms(wait_ms / std::max(min_slot_share, 1 - load_ahead / slots_));
    };
    const auto work_ms = static_cast<double>(expected(request.kind).count());
    const auto latest_start = now + delayed_wait(offered_.total(now));
    const bool misses_deadline =
        latest_start + to_ms(work_ms * short_run_factor) >= request.deadline;
    if (will_miss_aim(now, request) || !misses_deadline) {
        return misses_deadline;
    }
    const double load_ahead =
        offered_.load_up_to_rank(now, request.rank, !has_ample_time(now, request));
    return now + delayed_wait(load_ahead) + to_ms(work_ms * short_run_factor) >= request.aim;
}

// Goes through the queue in the order of service, adds up the work ahead of each request, and
// starts, keeps or refuses it.
void slot_queue::decide(time_point now, slot_decisions& decisions)
{
    if (queue_.empty()) {
        return;
    }
    sort(now);
    double ahead_ms = 0;
    for (const auto& [id, item] : running_) {
        const double expected_ms = static_cast<double>(expected(item.kind).count());
        const double elapsed_ms =
            std::chrono::duration<double, std::milli>(now - item.started).count();
        // A run that exceeds its expected time may end at once or take much longer, so at least
        // a quarter of the expected time is assumed to remain.
        ahead_ms += std::max(expected_ms - elapsed_ms, expected_ms / 4);
    }
    // The first request in the queue waits only for the first slot that becomes free.
    const double first_free_ms =
        ahead_ms / static_cast<double>(std::max<std::size_t>(running_.size(), 1));
    std::vector<waiting_request> still_queued;
    for (auto& request : queue_) {
        const auto work_ms = static_cast<double>(expected(request.kind).count());
        const bool has_slot = running_.size() < slots_;
        const double wait_ms = has_slot || slots_ == 0 ? 0 : ahead_ms / slots_;
        const double request_ahead_ms = has_slot               ? 0
                                        : still_queued.empty() ? first_free_ms
                                                               : ahead_ms;
        if (slots_ == 0 || is_unservable(now, request, request_ahead_ms)) {
            decisions.refuse.push_back({request.id, to_ms(std::max(wait_ms, work_ms))});
            continue;
        }
        ahead_ms += work_ms;
        if (has_slot) {
            start(now, request, decisions);
        }
        else {
            still_queued.push_back(std::move(request));
        }
    }
    queue_ = std::move(still_queued);
}

} // namespace bulrushgw::dispatch
